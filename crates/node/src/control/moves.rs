//! The node's version moves: feeds the decisions and carries their effects out.

use std::{collections::BTreeMap, sync::Arc};

use parsleylatch_decide::{
    configuration::Configuration,
    generation::AttemptReport,
    moves::{MoveEffect, MoveEnd, MoveInput, MovePlan, MoveTable, MoveView, Observer, Trial},
    version_choice::VersionPlan,
    view::{EndpointKind, Snapshot, WorkspaceView},
};
use parsleylatch_types::{EndpointId, Incarnation, MonoTime, MoveId, WorkspaceId};
use parsleylatch_wire::platform::ListReply;

use super::{
    events,
    move_records::{self, MoveRecord},
};
use crate::{clock::Clock, shared::Shared};

pub(crate) struct MoveControl {
    shared: Arc<Shared>,
    table: MoveTable,
    plans: BTreeMap<MoveId, MovePlan>,
}

impl MoveControl {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        let observer = Observer {
            node: shared.settings.node_id.clone(),
            incarnation: Incarnation::new(Clock::unix_now().get()),
        };
        Self {
            shared,
            table: MoveTable::new(observer),
            plans: BTreeMap::new(),
        }
    }

    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        self.table.next_deadline()
    }

    pub(crate) fn expire(&mut self, now: MonoTime) {
        if self.next_deadline().is_some_and(|deadline| deadline <= now) {
            let effects = self.table.expire(now);
            self.carry_out(effects);
        }
    }

    /// Opens the move that a template asks for, and ends the one before.
    pub(crate) fn take_template(&mut self, view: &WorkspaceView) {
        let _ = self.shared.events.send(events::template_event(view));
        let plan = MovePlan::of_workspace(view);
        if let Some(plan) = &plan {
            self.plans.insert(plan.id.clone(), plan.clone());
        }
        let workspace = view.template.workspace.clone();
        self.handle(MoveInput::Template { workspace, plan });
    }

    /// Takes over what the store has on moves.
    pub(crate) fn take_records(&mut self, reply: &ListReply) {
        let unix_now = Clock::unix_now();
        for (move_id, record) in reply.entries.iter().filter_map(move_records::read_entry) {
            self.handle(MoveInput::OpenedBefore {
                move_id: move_id.clone(),
                elapsed_ms: unix_now.since(record.opened_at_unix_ms),
            });
            if let Some(end) = record.end {
                self.handle(MoveInput::Recorded { move_id, end });
            }
        }
    }

    /// Counts an attempt for or against its version.
    pub(crate) fn take_attempt(&mut self, report: &AttemptReport, snapshot: &Snapshot) {
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

    /// Takes in whether an endpoint answered.
    pub(crate) fn take_answer(&mut self, endpoint: EndpointId, answered: bool) {
        self.handle(match answered {
            true => MoveInput::EndpointAnswered(endpoint),
            false => MoveInput::EndpointLost(endpoint),
        });
    }

    /// Versions for new generations, where a move decides on them.
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
        self.carry_out(effects);
    }

    fn carry_out(&mut self, effects: Vec<MoveEffect>) {
        for effect in effects {
            match effect {
                MoveEffect::RecordOpened(move_id) => self.record(move_id, None),
                MoveEffect::RecordEnd { move_id, end } => self.record(move_id, Some(end)),
                MoveEffect::Announce(view) => {
                    log::info!(
                        "move {}: {} at share {}",
                        view.plan.id,
                        view.state,
                        view.share
                    );
                    // No follower is no reason for an error.
                    let _ = self.shared.events.send(events::move_event(&view));
                }
            }
        }
    }

    fn record(&self, move_id: MoveId, end: Option<MoveEnd>) {
        let Some(plan) = self.plans.get(&move_id) else {
            return;
        };
        let open = MoveRecord::open(plan, Clock::unix_now());
        let record = MoveRecord { end, ..open };
        let shared = Arc::clone(&self.shared);
        tokio::spawn(move_records::write(shared, move_id, record));
    }
}
