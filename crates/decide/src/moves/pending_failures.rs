//! Failures that wait for word of their endpoint.
//!
//! An engine that dies breaks all its streams at once, which says nothing of its
//! version. A failure therefore counts once its endpoint has answered after it,
//! and is dropped if the endpoint is lost.

use std::collections::BTreeMap;

use parsleylatch_types::{EndpointId, Millis, MonoTime};

use super::plan::Trial;

/// Longest wait for word of an endpoint; then its failures count.
const CONFIRMATION_TIMEOUT_MS: Millis = Millis::new(1_500);
/// Failures that may wait for one endpoint.
const MAX_FAILURES_PER_ENDPOINT: usize = 1_024;

struct EndpointFailures {
    deadline: MonoTime,
    failures: Vec<Trial>,
}

/// Failures by endpoint.
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

    /// Failures that count now that the endpoint has answered.
    pub(crate) fn confirm(&mut self, endpoint: &EndpointId) -> Vec<Trial> {
        let pending = self.by_endpoint.remove(endpoint);
        pending.map(|pending| pending.failures).unwrap_or_default()
    }

    /// Drops the failures of an endpoint that is lost.
    pub(crate) fn discard(&mut self, endpoint: &EndpointId) {
        self.by_endpoint.remove(endpoint);
    }

    /// Failures that have waited for too long.
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

    /// Every failure that waits.
    pub(crate) fn failures(&self) -> impl Iterator<Item = &Trial> {
        self.by_endpoint
            .values()
            .flat_map(|pending| &pending.failures)
    }
}
