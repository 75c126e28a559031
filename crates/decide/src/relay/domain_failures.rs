//! Failures of several endpoints of a failure domain at once, which suspend all of them.

use std::collections::VecDeque;

use parsleylatch_types::{Millis, MonoTime};

use super::endpoint_table::EndpointKey;

/// Suspension of a failure domain in which several endpoints failed together.
const DOMAIN_SUSPENSION_MS: Millis = Millis::new(1_200);
/// Time window in which failures of a domain's endpoints count as one incident.
const DOMAIN_FAILURE_WINDOW_MS: Millis = Millis::new(400);
/// Endpoints of a domain that have to fail within the window.
const DOMAIN_FAILURE_THRESHOLD: usize = 2;

/// Recent failures of a service's endpoints in one failure domain.
#[derive(Debug, Default)]
pub(super) struct DomainFailures {
    recent: VecDeque<(MonoTime, EndpointKey)>,
    /// Last time at which several endpoints failed together.
    failed_at: Option<MonoTime>,
    suspended_until: MonoTime,
}

impl DomainFailures {
    /// Records that an endpoint failed.
    pub(super) fn record(&mut self, now: MonoTime, key: &EndpointKey) {
        let span = DOMAIN_FAILURE_WINDOW_MS.micros();
        self.recent
            .retain(|(at, other)| now.since(*at) <= span && other != key);
        self.recent.push_back((now, key.clone()));
        if self.recent.len() >= DOMAIN_FAILURE_THRESHOLD {
            self.failed_at = Some(now);
            self.suspended_until = now + DOMAIN_SUSPENSION_MS;
        }
    }

    /// Whether several endpoints have failed together a short time ago.
    pub(super) fn is_suspended(&self, now: MonoTime) -> bool {
        self.suspended_until > now
    }

    /// Last time at which several endpoints failed together.
    pub(super) fn failed_at(&self) -> Option<MonoTime> {
        self.failed_at
    }
}
