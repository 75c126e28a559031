//! Version moves: passes inputs to the decision logic and applies its effects.

use std::{collections::BTreeMap, sync::Arc};

use parsleylatch_decide::{
    configuration::Configuration,
    generation::AttemptReport,
    gossip::{Item, ItemKey, ItemValue, ItemVersion},
    moves::{MoveEffect, MoveEnd, MoveInput, MovePlan, MoveTable, MoveView, Observer, Trial},
    version_choice::VersionPlan,
    view::{EndpointKind, Snapshot, WorkspaceView},
};
use parsleylatch_peer::{decode_move_counts, encode_move_counts};
use parsleylatch_runtime::Clock;
use parsleylatch_types::{EndpointId, MonoTime, MoveId, NodeId, StoreEra, WorkspaceId};
use parsleylatch_wire::{moves::MoveCounts, platform::ListReply};
use prost::Message;

use super::{
    events,
    move_records::{self, MoveRecord},
};
use crate::shared::Shared;

/// Trial counts of another node, still encoded.
#[derive(Clone, Debug)]
pub(crate) struct LearnedCounts {
    pub(crate) move_id: MoveId,
    pub(crate) observer: Observer,
    pub(crate) content: Arc<[u8]>,
}

/// Limit of counts kept for moves that open later on this node.
const MAX_LEARNED_COUNTS: usize = 8_192;

pub(crate) struct MoveController {
    shared: Arc<Shared>,
    table: MoveTable,
    plans: BTreeMap<MoveId, MovePlan>,
    /// Moves that have ended, and the era of the store that last showed their end.
    ends: BTreeMap<MoveId, (MoveEnd, StoreEra)>,
    observer: Observer,
    /// Last published counts of this node, with their version counter.
    published: BTreeMap<MoveId, (u64, Arc<[u8]>)>,
    /// Counts of other nodes, for moves that open later on this node.
    learned: BTreeMap<(MoveId, NodeId), LearnedCounts>,
}

impl MoveController {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        let observer = Observer {
            node: shared.settings.node_id.clone(),
            incarnation: shared.identity.incarnation,
        };
        Self {
            shared,
            table: MoveTable::new(observer.clone()),
            plans: BTreeMap::new(),
            ends: BTreeMap::new(),
            observer,
            published: BTreeMap::new(),
            learned: BTreeMap::new(),
        }
    }

    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        self.table.next_deadline()
    }

    pub(crate) fn expire(&mut self, now: MonoTime) {
        if self.next_deadline().is_some_and(|deadline| deadline <= now) {
            let effects = self.table.expire(now);
            self.apply_effects(effects);
        }
    }

    /// Opens the move that a template requests, and ends the workspace's previous one.
    pub(crate) fn apply_template(&mut self, view: &WorkspaceView) {
        let _ = self.shared.events.send(events::template_event(view));
        let plan = MovePlan::of_workspace(view);
        if let Some(plan) = &plan {
            self.plans.insert(plan.id.clone(), plan.clone());
        }
        let workspace = view.template.workspace.clone();
        let move_id = plan.as_ref().map(|plan| plan.id.clone());
        self.handle(MoveInput::Template { workspace, plan });
        let matching: Vec<LearnedCounts> = self
            .learned
            .values()
            .filter(|counts| Some(&counts.move_id) == move_id.as_ref())
            .cloned()
            .collect();
        matching.iter().for_each(|counts| self.merge_counts(counts));
    }

    /// Applies the counts of another node.
    pub(crate) fn apply_counts(&mut self, counts: LearnedCounts) {
        self.merge_counts(&counts);
        if self.learned.len() < MAX_LEARNED_COUNTS {
            let key = (counts.move_id.clone(), counts.observer.node.clone());
            self.learned.insert(key, counts);
        }
    }

    fn merge_counts(&mut self, counts: &LearnedCounts) {
        let message = MoveCounts::decode(&*counts.content).ok();
        let evidence = message.and_then(|it| decode_move_counts(&it, &counts.observer));
        match evidence {
            Some(evidence) => self.handle(MoveInput::Evidence {
                move_id: counts.move_id.clone(),
                evidence,
            }),
            None => log::warn!("unreadable trial counts from node {}", counts.observer.node),
        }
    }

    /// Returns the counts of this node that changed since the last call, as gossip items.
    pub(crate) fn changed_counts(&mut self) -> Vec<Item> {
        let mut items = Vec::new();
        for (move_id, evidence) in self.table.evidence() {
            // Each node publishes only its own counts.
            let message = encode_move_counts(evidence, &self.observer);
            let content: Arc<[u8]> = message.encode_to_vec().into();
            let previous = self.published.get(move_id);
            if content.is_empty() || previous.is_some_and(|(_, published)| *published == content) {
                continue;
            }
            let counter = previous.map_or(0, |(counter, _)| counter + 1);
            self.published
                .insert(move_id.clone(), (counter, Arc::clone(&content)));
            items.push(counts_item(&self.observer, move_id, counter, content));
        }
        items
    }

    /// Applies the move records of the store.
    pub(crate) fn apply_records(&mut self, reply: &ListReply) {
        let unix_now = Clock::unix_now();
        let era = self.shared.store_era();
        for (move_id, record) in reply.entries.iter().filter_map(move_records::read_entry) {
            self.handle(MoveInput::OpenedBefore {
                move_id: move_id.clone(),
                elapsed_ms: unix_now.since(record.opened_at_unix_ms),
            });
            if let Some(end) = record.end {
                self.ends.insert(move_id.clone(), (end, era));
                self.handle(MoveInput::Recorded { move_id, end });
            }
        }
        self.write_lost_ends(era);
    }

    /// Writes the ends again that the records of a restored store lack. The write has no
    /// effect if another node was faster.
    fn write_lost_ends(&mut self, era: StoreEra) {
        let mut lost = Vec::new();
        for (move_id, (end, shown_in)) in &mut self.ends {
            if *shown_in < era {
                *shown_in = era;
                lost.push((move_id.clone(), *end));
            }
        }
        for (move_id, end) in lost {
            self.write_record(move_id, Some(end));
        }
    }

    /// Records an attempt as a trial of its version.
    pub(crate) fn record_attempt(&mut self, report: &AttemptReport, snapshot: &Snapshot) {
        let mut endpoints = snapshot.endpoints.iter();
        let Some(endpoint) = endpoints.find(|known| known.id == report.endpoint) else {
            return;
        };
        let EndpointKind::Engine { model, .. } = &endpoint.kind else {
            return;
        };
        let route = format!("{}:{}", self.shared.settings.region, endpoint.region);
        let Ok(route) = route.parse() else {
            return;
        };
        self.handle(MoveInput::Trial(Trial {
            model: model.clone(),
            version: report.endpoint_version.clone(),
            route,
            endpoint: report.endpoint.clone(),
            failed: report.fault.is_some(),
            pace_us: report.pace_us,
        }));
    }

    /// Records whether an endpoint answered its last load request.
    pub(crate) fn record_answer(&mut self, endpoint: EndpointId, answered: bool) {
        self.handle(match answered {
            true => MoveInput::EndpointAnswered(endpoint),
            false => MoveInput::EndpointLost(endpoint),
        });
    }

    /// Returns the version plans of the workspaces whose versions a move determines.
    pub(crate) fn version_plans(
        &self,
        configuration: &Configuration,
    ) -> BTreeMap<WorkspaceId, VersionPlan> {
        let now = self.shared.clock.now();
        let workspaces = configuration.workspaces();
        let planned = workspaces.filter_map(|view| {
            let workspace = &view.template.workspace;
            let plan = self.table.version_plan(now, workspace)?;
            Some((workspace.clone(), plan))
        });
        planned.collect()
    }

    pub(crate) fn views(&self) -> Vec<MoveView> {
        self.table.views(self.shared.clock.now()).collect()
    }

    fn handle(&mut self, input: MoveInput) {
        let effects = self.table.handle(self.shared.clock.now(), input);
        self.apply_effects(effects);
    }

    fn apply_effects(&mut self, effects: Vec<MoveEffect>) {
        for effect in effects {
            match effect {
                MoveEffect::RecordOpened(move_id) => self.write_record(move_id, None),
                MoveEffect::RecordEnd { move_id, end } => {
                    let era = self.shared.store_era();
                    self.ends.insert(move_id.clone(), (end, era));
                    self.write_record(move_id, Some(end));
                }
                MoveEffect::Announce(view) => {
                    log::info!(
                        "move {}: {} at share {}",
                        view.plan.id,
                        view.state,
                        view.share
                    );
                    // Fails only if no client follows the events.
                    let _ = self.shared.events.send(events::move_event(&view));
                }
            }
        }
    }

    fn write_record(&self, move_id: MoveId, end: Option<MoveEnd>) {
        let Some(plan) = self.plans.get(&move_id) else {
            return;
        };
        let opened = MoveRecord::new(plan, Clock::unix_now());
        let record = MoveRecord { end, ..opened };
        let shared = Arc::clone(&self.shared);
        tokio::spawn(move_records::write(shared, move_id, record));
    }
}

fn counts_item(observer: &Observer, move_id: &MoveId, counter: u64, content: Arc<[u8]>) -> Item {
    Item {
        key: ItemKey::Evidence {
            origin: observer.node.clone(),
            move_id: move_id.clone(),
        },
        version: ItemVersion {
            incarnation: observer.incarnation,
            counter,
        },
        value: ItemValue::Evidence(content),
    }
}
