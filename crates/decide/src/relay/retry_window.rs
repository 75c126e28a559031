//! Retry budget of a service over a sliding window.
//!
//! All nodes together may send a service no more retries than a ratio of its
//! requests plus a fixed slack. Each node limits itself to the ratio of its own
//! requests plus its share of the slack, so the total holds without coordination.
//! With many nodes that share is less than one retry, although few nodes need it
//! at the same time. Resumptions of streams may therefore use slightly more.

use std::collections::VecDeque;

use parsleylatch_types::{Millis, MonoTime};

/// Share of the allowed ratio that a node uses, in percent. The rest covers requests
/// counted on either side of a window's edge.
const RATIO_USED_PERCENT: u64 = 85;
/// Share of the allowed slack that the nodes use together, in percent.
const SLACK_USED_PERCENT: u64 = 80;

/// Share of a node's allowance that is open to plain retries, in percent.
const PLAIN_RETRY_PERCENT: u64 = 60;
/// Resumptions per window that a node may make even if its share of the slack is
/// smaller.
const RESUMPTION_FLOOR: u64 = 4;
/// Multiple of the slack that the floors of all nodes may add up to.
const FLOOR_OVERCOMMIT: u64 = 2;

/// What a retry is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryKind {
    /// A request whose caller has received nothing yet.
    Plain,
    /// A stream of which the caller has received events.
    Resumption,
}

/// Requests and retries of one service within the window.
#[derive(Debug)]
pub struct RetryWindow {
    window_ms: Millis,
    ratio_percent: u64,
    slack: u64,
    requests: VecDeque<MonoTime>,
    retries: VecDeque<MonoTime>,
}

impl RetryWindow {
    /// Creates an empty window; `ratio_percent` and `slack` apply to all nodes together.
    pub fn new(window_ms: Millis, ratio_percent: u64, slack: u64) -> Self {
        Self {
            window_ms,
            ratio_percent,
            slack,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Records a caller's request for the service.
    pub fn record_request(&mut self, now: MonoTime) {
        self.drop_expired(now);
        self.requests.push_back(now);
    }

    /// Counts a retry if the budget allows it; returns whether it does.
    pub fn try_take_retry(&mut self, now: MonoTime, nodes: usize, kind: RetryKind) -> bool {
        self.drop_expired(now);
        let fits = (self.retries.len() as u64) < self.allowance(nodes as u64, kind);
        if fits {
            self.retries.push_back(now);
        }
        fits
    }

    fn allowance(&self, nodes: u64, kind: RetryKind) -> u64 {
        let nodes = nodes.max(1);
        let requests = self.requests.len() as u64;
        let from_requests = requests * self.ratio_percent * RATIO_USED_PERCENT / 10_000;
        let from_slack = self.slack * SLACK_USED_PERCENT / 100 / nodes;
        match kind {
            RetryKind::Plain => (from_requests + from_slack) * PLAIN_RETRY_PERCENT / 100,
            RetryKind::Resumption => {
                let floor = RESUMPTION_FLOOR.min(FLOOR_OVERCOMMIT * self.slack / nodes);
                from_requests + from_slack.max(floor)
            }
        }
    }

    fn drop_expired(&mut self, now: MonoTime) {
        let window = self.window_ms.micros();
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now.since(*at) > window) {
                times.pop_front();
            }
        }
    }
}
