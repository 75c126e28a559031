//! Checks of requests against what their endpoints have said to the relay before: that they
//! leave, or that they want no requests for a while.

use std::collections::HashMap;

use parsleylatch_standin::{ArrivedRequest, RelayedNotice};
use parsleylatch_types::{EndpointId, Millis, MonoTime};

use crate::{
    checker::ARRIVAL_SLACK_MS,
    invariants::{Invariant, MAX_DRAIN_DELAY_MS},
    observations::SentRequest,
};

/// Time in which requests may be on their way when an endpoint asks for a pause.
const PAUSE_SLACK_MS: Millis = Millis::new(500);
/// Requests that an endpoint may get from one relay in the rest of a pause.
const MAX_ARRIVALS_IN_PAUSE: u32 = 2;

/// What one endpoint has said to one relay.
#[derive(Clone, Copy, Debug, Default)]
struct HeardNotices {
    leaving_since: Option<MonoTime>,
    pause: Option<HeardPause>,
}

#[derive(Clone, Copy, Debug)]
struct HeardPause {
    asked_at: MonoTime,
    until: MonoTime,
    arrivals: u32,
}

/// What endpoints have said to relays.
#[derive(Debug, Default)]
pub(crate) struct NoticeChecks {
    /// By endpoint and index of the relay.
    heard: HashMap<(EndpointId, usize), HeardNotices>,
}

impl NoticeChecks {
    /// Forgets what an endpoint has said, as a new process has replaced it.
    pub(crate) fn forget_endpoint(&mut self, endpoint: &EndpointId) {
        self.heard.retain(|(heard, _), _| heard != endpoint);
    }

    /// Forgets what a relay has heard, as its process has just started.
    pub(crate) fn forget_relay(&mut self, relay: usize) {
        self.heard.retain(|(_, heard_by), _| *heard_by != relay);
    }

    /// Checks a request that arrived, and records what the response says. `is_undisturbed` says
    /// whether nothing has disturbed the relay since a time.
    pub(crate) fn check(
        &mut self,
        now: MonoTime,
        sent: &SentRequest,
        arrived: &ArrivedRequest,
        is_undisturbed: impl Fn(MonoTime) -> bool,
    ) -> Vec<(Invariant, String)> {
        let (id, endpoint) = (&sent.id, &arrived.endpoint);
        let mut violations = Vec::new();
        let key = (endpoint.clone(), sent.relay);
        let heard = self.heard.entry(key).or_default();
        if let Some(since) = heard.leaving_since
            && sent.sent_at > since + MAX_DRAIN_DELAY_MS
            && now > since + MAX_DRAIN_DELAY_MS + ARRIVAL_SLACK_MS
            && is_undisturbed(since)
        {
            let reason = format!("{id} arrived at {endpoint}, which has said that it leaves");
            violations.push((Invariant::LeavingNotice, reason));
        }
        if let Some(pause) = &mut heard.pause
            && now > pause.asked_at + PAUSE_SLACK_MS
            && now < pause.until
        {
            pause.arrivals += 1;
            if pause.arrivals > MAX_ARRIVALS_IN_PAUSE && is_undisturbed(pause.asked_at) {
                let reason = format!("{id} arrived at {endpoint} within its pause");
                violations.push((Invariant::PauseNotice, reason));
            }
        }
        match arrived.notice {
            Some(RelayedNotice::Leaving) => {
                heard.leaving_since.get_or_insert(now);
            }
            Some(RelayedNotice::Pause(pause_ms)) => {
                heard.pause.get_or_insert(HeardPause {
                    asked_at: now,
                    until: now + pause_ms,
                    arrivals: 0,
                });
            }
            None => {}
        }
        heard.pause = heard.pause.filter(|pause| now < pause.until);
        violations
    }
}
