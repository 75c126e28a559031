//! Health checks of endpoints, divided among the nodes of their region.
//!
//! Each endpoint has a few watchers, chosen by rendezvous hashing among the live
//! nodes of its region. Only the watchers request its load; all other nodes
//! receive their observations by gossip. A change of condition is published
//! immediately. Loads are published as coarse summaries, and each watcher gets a
//! share of a fixed rate for the region, so that a node's traffic doesn't grow
//! with the number of endpoints.

mod health;
mod probe;

use std::collections::BTreeMap;

use parsleylatch_chart::ChartError;
use parsleylatch_types::{
    EndpointId, FailureDomain, Micros, Millis, MonoTime, NodeId, Region, RequestCount,
};

pub use health::{HealthEvent, HealthState};
pub use probe::{ProbeEvent, ProbeState};

use crate::{
    gossip::{
        EndpointSummary, Item, ItemKey, ItemValue, ItemVersion, ObservationId, ObservedCondition,
    },
    membership::{MemberLocation, rendezvous_nodes},
    view::EndpointCondition,
};
use health::EndpointHealth;
use probe::EndpointProbe;

/// Number of watchers of one endpoint.
const WATCHERS_PER_ENDPOINT: usize = 2;
/// Number of nodes whose observations of an endpoint are accepted. It exceeds the
/// number of watchers because nodes may temporarily disagree on which nodes are
/// live.
const ACCEPTED_OBSERVERS: usize = 3;
/// Number of loads that all nodes of a region together may publish per second.
const REGION_LOAD_PUBLISHES_PER_SECOND: u64 = 70;
/// Minimum interval between two loads published by a watcher.
const LOAD_INTERVAL_MS: Millis = Millis::new(50);
/// Minimum interval between two published loads of one endpoint.
const ENDPOINT_LOAD_INTERVAL_MS: Millis = Millis::new(1_000);
/// Microseconds in a second.
const MICROS_PER_SECOND: u64 = 1_000_000;

pub(crate) fn verify_charts() -> Result<(), ChartError> {
    health::verify_chart()?;
    probe::verify_chart()
}

/// One endpoint on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// Id.
    pub id: EndpointId,
    /// Failure domain of its VM.
    pub failure_domain: FailureDomain,
    /// Region of its VM.
    pub region: Region,
    /// Whether it reports its load.
    pub reports_load: bool,
    /// Whether the platform is about to remove it.
    pub leaving: bool,
}

/// Load of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Number of running streams.
    pub running: RequestCount,
    /// Number of streams that wait for a free slot.
    pub waiting: RequestCount,
    /// Maximum number of concurrent streams.
    pub capacity: RequestCount,
}

/// Response of an endpoint to a load request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadResponse {
    /// Load.
    pub load: EndpointLoad,
    /// Whether the endpoint accepts no new work.
    pub leaving: bool,
}

/// Inputs of an [`EndpointWatch`].
#[derive(Clone, Debug)]
pub enum WatchInput {
    /// All endpoints on the platform's list.
    Listed(Vec<ListedEndpoint>),
    /// The live nodes, including this one.
    Members(Vec<MemberLocation>),
    /// A load request of this node has ended; `None` if there was no response.
    Load(EndpointId, Option<LoadResponse>),
    /// A newer observation of a watcher was received.
    Observed(ObservationId, ItemVersion, EndpointSummary),
    /// An attempt of this node has ended; the flag says whether it failed.
    Attempt(EndpointId, bool),
}

/// Effects that the caller has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEffect {
    /// Request the loads of exactly these endpoints; the flag says whether this node
    /// is the first watcher, which requests them more often.
    Watch(Vec<(EndpointId, bool)>),
    /// Publish an item to all nodes.
    Publish(Item),
    /// A load may have changed.
    LoadChanged,
    /// A condition may have changed.
    ConditionChanged,
}

#[derive(Clone, Debug)]
struct OwnWatch {
    probe: EndpointProbe,
    is_first: bool,
    load: EndpointLoad,
    published: Option<EndpointSummary>,
    published_at: MonoTime,
    version: ItemVersion,
}

#[derive(Clone, Debug)]
struct Endpoint {
    listed: ListedEndpoint,
    health: EndpointHealth,
    accepted_observations: Vec<ObservationId>,
    own: Option<OwnWatch>,
}

/// Endpoints as seen by one node.
#[derive(Clone, Debug)]
pub struct EndpointWatch {
    own: MemberLocation,
    start_version: ItemVersion,
    members: Vec<MemberLocation>,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    observations: BTreeMap<ObservationId, EndpointSummary>,
    endpoint_of: BTreeMap<ObservationId, EndpointId>,
    next_load_publish_at: MonoTime,
}

impl EndpointWatch {
    /// Creates the watch of a node that knows no endpoints.
    pub fn new(own: MemberLocation, start_version: ItemVersion) -> Self {
        Self {
            members: vec![own.clone()],
            own,
            start_version,
            endpoints: BTreeMap::new(),
            observations: BTreeMap::new(),
            endpoint_of: BTreeMap::new(),
            next_load_publish_at: MonoTime::ZERO,
        }
    }

    /// Condition of an endpoint; one that is not listed is leaving.
    pub fn condition(&self, endpoint: &EndpointId) -> EndpointCondition {
        let known = self.endpoints.get(endpoint);
        known.map_or(EndpointCondition::Leaving, |known| known.health.condition())
    }

    /// Last known load of an endpoint; zero if none is known.
    pub fn load(&self, endpoint: &EndpointId) -> EndpointLoad {
        let Some(known) = self.endpoints.get(endpoint) else {
            return EndpointLoad::default();
        };
        if let Some(own) = known.own.as_ref().filter(|own| own.published.is_some()) {
            return own.load;
        }
        let accepted = known.accepted_observations.iter();
        let summary = accepted.filter_map(|id| self.observations.get(id)).next();
        summary.map_or(EndpointLoad::default(), |summary| EndpointLoad {
            running: summary.running(),
            waiting: summary.waiting(),
            capacity: summary.capacity,
        })
    }

    /// Time at which [`EndpointWatch::expire`] has to be called.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        let deadlines = self.endpoints.values().flat_map(|endpoint| {
            let probe = endpoint.own.as_ref();
            let probe = probe.and_then(|own| own.probe.next_deadline());
            [endpoint.health.next_deadline(), probe]
        });
        deadlines.flatten().min()
    }

    /// Handles an input and returns the effects to carry out.
    pub fn handle(&mut self, now: MonoTime, input: WatchInput) -> Vec<WatchEffect> {
        match input {
            WatchInput::Listed(listed) => self.apply_list(now, listed),
            WatchInput::Members(members) => {
                if self.members == members {
                    return Vec::new();
                }
                self.members = members;
                self.assign_watchers(now)
            }
            WatchInput::Load(endpoint, response) => self.apply_load(now, &endpoint, response),
            WatchInput::Observed(id, version, summary) => {
                self.apply_observation(now, id, version, summary)
            }
            WatchInput::Attempt(endpoint, lost) => {
                let event = if lost {
                    HealthEvent::AttemptLost
                } else {
                    HealthEvent::AttemptDone
                };
                self.apply_health_event(now, &endpoint, event)
            }
        }
    }

    /// Handles deadlines that have passed.
    pub fn expire(&mut self, now: MonoTime) -> Vec<WatchEffect> {
        let mut effects = Vec::new();
        let mut timed_out = Vec::new();
        for (id, endpoint) in &mut self.endpoints {
            if endpoint.health.expire(now) {
                effects.push(WatchEffect::ConditionChanged);
            }
            if endpoint
                .own
                .as_mut()
                .is_some_and(|own| own.probe.expire(now))
            {
                timed_out.push(id.clone());
            }
        }
        for id in timed_out {
            effects.extend(self.publish(now, &id));
        }
        effects
    }

    fn apply_list(&mut self, now: MonoTime, listed: Vec<ListedEndpoint>) -> Vec<WatchEffect> {
        let mut before = std::mem::take(&mut self.endpoints);
        for listed in listed {
            let id = listed.id.clone();
            let endpoint = match before.remove(&id) {
                Some(known) => Endpoint { listed, ..known },
                None => Endpoint {
                    listed,
                    health: EndpointHealth::new(now),
                    accepted_observations: Vec::new(),
                    own: None,
                },
            };
            self.endpoints.insert(id, endpoint);
        }
        let mut effects = self.assign_watchers(now);
        effects.push(WatchEffect::ConditionChanged);
        effects
    }

    /// Recomputes the watchers of all endpoints.
    fn assign_watchers(&mut self, now: MonoTime) -> Vec<WatchEffect> {
        let before = self.watched();
        self.endpoint_of.clear();
        for (id, endpoint) in &mut self.endpoints {
            let region = &endpoint.listed.region;
            let is_in_region = |location: &&MemberLocation| location.region == *region;
            // The endpoints of a region without nodes are watched by nodes of other regions.
            let region_has_node = self.members.iter().any(|location| is_in_region(&location));
            let candidates = self.members.iter();
            let candidates =
                candidates.filter(|location| !region_has_node || is_in_region(location));
            let observers = rendezvous_nodes(id.as_str(), candidates, ACCEPTED_OBSERVERS);
            endpoint.accepted_observations = observers
                .iter()
                .map(|location| ObservationId::new(id, &location.node))
                .collect();
            let accepted = endpoint.accepted_observations.iter();
            self.endpoint_of
                .extend(accepted.map(|observation| (*observation, id.clone())));
            let mut watchers = observers.iter().take(WATCHERS_PER_ENDPOINT);
            let rank = watchers.position(|location| **location == self.own);
            let rank = rank.filter(|_| endpoint.listed.reports_load);
            match (rank, &mut endpoint.own) {
                (None, own) => *own = None,
                (Some(rank), Some(own)) => own.is_first = rank == 0,
                (Some(rank), own) => {
                    *own = Some(OwnWatch {
                        probe: EndpointProbe::new(now),
                        is_first: rank == 0,
                        load: EndpointLoad::default(),
                        published: None,
                        published_at: MonoTime::ZERO,
                        version: self.start_version,
                    });
                }
            }
        }
        let mut effects = self.update_health_of_all(now);
        let watched = self.watched();
        if watched != before {
            effects.push(WatchEffect::Watch(watched));
        }
        effects
    }

    fn watched(&self) -> Vec<(EndpointId, bool)> {
        let watched = self.endpoints.iter().filter_map(|(id, endpoint)| {
            let own = endpoint.own.as_ref()?;
            Some((id.clone(), own.is_first))
        });
        watched.collect()
    }

    fn apply_load(
        &mut self,
        now: MonoTime,
        id: &EndpointId,
        response: Option<LoadResponse>,
    ) -> Vec<WatchEffect> {
        let endpoint = self.endpoints.get_mut(id);
        let Some(own) = endpoint.and_then(|endpoint| endpoint.own.as_mut()) else {
            return Vec::new();
        };
        let event = match response {
            Some(response) if response.leaving => ProbeEvent::AnsweredLeaving,
            Some(_) => ProbeEvent::Answered,
            None => ProbeEvent::Unanswered,
        };
        if let Some(response) = response {
            own.load = response.load;
        }
        own.probe.handle(now, event);
        let mut effects = vec![WatchEffect::LoadChanged];
        effects.extend(self.publish(now, id));
        effects
    }

    /// Publishes an observation of an endpoint if its condition has changed or its load
    /// is due.
    fn publish(&mut self, now: MonoTime, id: &EndpointId) -> Vec<WatchEffect> {
        let interval = self.load_publish_interval();
        let endpoint = self.endpoints.get_mut(id);
        let Some(own) = endpoint.and_then(|endpoint| endpoint.own.as_mut()) else {
            return Vec::new();
        };
        let Some(condition) = own.probe.condition() else {
            return Vec::new();
        };
        let load = own.load;
        let summary = EndpointSummary::new(condition, load.running, load.waiting, load.capacity);
        let condition_changed = own
            .published
            .is_none_or(|published| published.condition != condition);
        let load_is_due = own.is_first
            && own.published != Some(summary)
            && now >= self.next_load_publish_at
            && now.since(own.published_at) >= ENDPOINT_LOAD_INTERVAL_MS.micros();
        if !condition_changed && !load_is_due {
            return Vec::new();
        }
        own.published = Some(summary);
        own.published_at = now;
        own.version = own.version.next();
        let version = own.version;
        if !condition_changed {
            self.next_load_publish_at = now + interval;
        }
        let observation = ObservationId::new(id, &self.own.node);
        let mut effects = vec![WatchEffect::Publish(Item {
            key: ItemKey::Endpoint(observation),
            version,
            value: ItemValue::Endpoint(summary),
        })];
        self.observations.insert(observation, summary);
        effects.extend(self.update_health(now, id));
        effects
    }

    /// Interval between two loads that this node may publish.
    fn load_publish_interval(&self) -> Micros {
        let in_region = self.members.iter();
        let in_region = in_region
            .filter(|location| location.region == self.own.region)
            .count();
        let share = Micros::new(MICROS_PER_SECOND / REGION_LOAD_PUBLISHES_PER_SECOND)
            .saturating_mul(in_region as u64);
        share.max(LOAD_INTERVAL_MS.micros())
    }

    fn apply_observation(
        &mut self,
        now: MonoTime,
        id: ObservationId,
        version: ItemVersion,
        summary: EndpointSummary,
    ) -> Vec<WatchEffect> {
        self.observations.insert(id, summary);
        let Some(endpoint) = self.endpoint_of.get(&id).cloned() else {
            return Vec::new();
        };
        let is_own = id == ObservationId::new(&endpoint, &self.own.node);
        let known = self.endpoints.get_mut(&endpoint);
        if let Some(own) = known
            .and_then(|known| known.own.as_mut())
            .filter(|_| is_own)
        {
            // An earlier process of this node published it; the next observation needs a
            // higher version.
            own.version = own.version.max(version);
            own.published = None;
        }
        let mut effects = vec![WatchEffect::LoadChanged];
        effects.extend(self.update_health(now, &endpoint));
        effects
    }

    fn update_health_of_all(&mut self, now: MonoTime) -> Vec<WatchEffect> {
        let ids: Vec<EndpointId> = self.endpoints.keys().cloned().collect();
        ids.iter()
            .flat_map(|id| self.update_health(now, id))
            .collect()
    }

    /// Updates an endpoint's health with the merged condition of the accepted
    /// observations.
    fn update_health(&mut self, now: MonoTime, id: &EndpointId) -> Vec<WatchEffect> {
        let Some(endpoint) = self.endpoints.get(id) else {
            return Vec::new();
        };
        let conditions = endpoint.accepted_observations.iter();
        let conditions = conditions.filter_map(|id| Some(self.observations.get(id)?.condition));
        let event = HealthEvent::from(merge_conditions(endpoint.listed.leaving, conditions));
        self.apply_health_event(now, id, event)
    }

    fn apply_health_event(
        &mut self,
        now: MonoTime,
        id: &EndpointId,
        event: HealthEvent,
    ) -> Vec<WatchEffect> {
        let endpoint = self.endpoints.get_mut(id);
        let changed = endpoint.is_some_and(|endpoint| endpoint.health.handle(now, event));
        if changed {
            vec![WatchEffect::ConditionChanged]
        } else {
            Vec::new()
        }
    }

    /// Whether a node, possibly this one, is a watcher of an endpoint.
    pub fn is_watched_by(&self, endpoint: &EndpointId, node: &NodeId) -> bool {
        let id = ObservationId::new(endpoint, node);
        let known = self.endpoints.get(endpoint);
        known.is_some_and(|known| {
            known
                .accepted_observations
                .iter()
                .take(WATCHERS_PER_ENDPOINT)
                .any(|accepted| *accepted == id)
        })
    }
}

/// Merges the conditions from several observers. One report of leaving is enough;
/// otherwise the best condition counts, because a watcher that is partitioned from
/// the endpoint gets no answer either.
fn merge_conditions(
    listed_leaving: bool,
    conditions: impl Iterator<Item = ObservedCondition>,
) -> ObservedCondition {
    if listed_leaving {
        return ObservedCondition::Leaving;
    }
    let conditions: Vec<ObservedCondition> = conditions.collect();
    if conditions.contains(&ObservedCondition::Leaving) {
        return ObservedCondition::Leaving;
    }
    let best = conditions.into_iter().min();
    best.unwrap_or(ObservedCondition::Live)
}
