//! Failed trials that are held back until their endpoint is known to be alive.
//!
//! An engine that dies breaks all its streams at once, which is no evidence
//! against its version. A failure is therefore counted only once its endpoint has
//! answered again, and is dropped if the endpoint is lost.

use std::collections::BTreeMap;

use parsleylatch_types::{EndpointId, Millis, MonoTime};

use super::plan::Trial;

/// Time after which failures are counted even if their endpoint has not answered.
const CONFIRMATION_TIMEOUT_MS: Millis = Millis::new(1_500);
/// Maximum number of pending failures per endpoint.
const MAX_FAILURES_PER_ENDPOINT: usize = 1_024;

struct EndpointFailures {
    deadline: MonoTime,
    failures: Vec<Trial>,
}

/// Pending failures by endpoint.
#[derive(Default)]
pub(crate) struct PendingFailures {
    by_endpoint: BTreeMap<EndpointId, EndpointFailures>,
}

impl PendingFailures {
    pub(crate) fn add(&mut self, now: MonoTime, trial: Trial) {
        let pending = self
            .by_endpoint
            .entry(trial.endpoint.clone())
            .or_insert_with(|| EndpointFailures {
                deadline: now + CONFIRMATION_TIMEOUT_MS,
                failures: Vec::new(),
            });
        if pending.failures.len() < MAX_FAILURES_PER_ENDPOINT {
            pending.failures.push(trial);
        }
    }

    /// Removes and returns the failures of an endpoint that has answered.
    pub(crate) fn confirm(&mut self, endpoint: &EndpointId) -> Vec<Trial> {
        let pending = self.by_endpoint.remove(endpoint);
        pending.map(|pending| pending.failures).unwrap_or_default()
    }

    /// Drops the failures of a lost endpoint.
    pub(crate) fn discard(&mut self, endpoint: &EndpointId) {
        self.by_endpoint.remove(endpoint);
    }

    /// Removes and returns the failures whose confirmation has timed out.
    pub(crate) fn expire(&mut self, now: MonoTime) -> Vec<Trial> {
        let due: Vec<EndpointId> = self
            .by_endpoint
            .iter()
            .filter(|(_, pending)| pending.deadline <= now)
            .map(|(endpoint, _)| endpoint.clone())
            .collect();
        due.iter()
            .flat_map(|endpoint| self.confirm(endpoint))
            .collect()
    }

    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        self.by_endpoint
            .values()
            .map(|pending| pending.deadline)
            .min()
    }

    /// All pending failures.
    pub(crate) fn failures(&self) -> impl Iterator<Item = &Trial> {
        self.by_endpoint
            .values()
            .flat_map(|pending| &pending.failures)
    }
}
