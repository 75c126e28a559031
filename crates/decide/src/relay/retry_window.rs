//! Bound on attempts beyond the first, over a sliding window.
//!
//! All nodes together may send a service no more repeats than a ratio of the
//! requests for it plus a fixed slack. Each node keeps to the ratio of its own
//! requests plus its part of the slack, so the sum holds without agreement. On
//! many nodes that part is less than one stream's resumption, while few nodes need
//! theirs at the same time: streams that have begun may use a little more.

use std::collections::VecDeque;

use parsleylatch_types::{Millis, MonoTime};

/// Part of the allowed ratio that a node uses, in percent; the rest covers
/// requests that fall on the two sides of a window's edge.
const RATIO_USED_PERCENT: u64 = 85;
/// Part of the allowed slack that the nodes use together, in percent.
const SLACK_USED_PERCENT: u64 = 80;

/// Part of a node's allowance that repeats other than resumptions use, in percent.
const PLAIN_RETRY_PERCENT: u64 = 60;
/// Resumptions that a node may always make in a window.
const RESUMPTION_FLOOR: u64 = 4;
/// Times the slack that the floors of all nodes together may come to.
const FLOOR_OVERCOMMIT: u64 = 2;

/// What a repeat is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryKind {
    /// A request of which the caller has nothing.
    Plain,
    /// A stream that has begun.
    Resumption,
}

/// Requests and repeats of one service in the last window.
#[derive(Debug)]
pub struct RetryWindow {
    window_ms: Millis,
    ratio_percent: u64,
    slack: u64,
    requests: VecDeque<MonoTime>,
    retries: VecDeque<MonoTime>,
}

impl RetryWindow {
    /// Empty window; `ratio_percent` and `slack` hold for all nodes together.
    pub fn new(window_ms: Millis, ratio_percent: u64, slack: u64) -> Self {
        Self {
            window_ms,
            ratio_percent,
            slack,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Notes a caller's request for the service.
    pub fn record_request(&mut self, now: MonoTime) {
        self.drop_expired(now);
        self.requests.push_back(now);
    }

    /// Whether another repeat fits; it is counted if it does.
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
