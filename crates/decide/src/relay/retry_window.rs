//! Bound on attempts beyond the first, over a sliding window.
//!
//! All nodes together may send a service no more repeats than a ratio of the
//! requests for it plus a fixed slack. Each node keeps to the ratio of its own
//! requests plus its part of the slack, so the sum holds without agreement.

use std::collections::VecDeque;

use parsleylatch_types::{Millis, MonoTime};

/// Part of the allowed ratio that a node uses, in percent; the rest covers
/// requests that fall on the two sides of a window's edge.
const RATIO_MARGIN_PERCENT: u64 = 85;
/// Part of the allowed slack that the nodes use together, in percent.
const SLACK_MARGIN_PERCENT: u64 = 80;

/// Requests and repeats of one service in the last window.
#[derive(Debug)]
pub struct RetryWindow {
    window_ms: Millis,
    ratio_percent: u64,
    slack: u64,
    requests: VecDeque<MonoTime>,
    repeats: VecDeque<MonoTime>,
}

impl RetryWindow {
    /// Empty window; `ratio_percent` and `slack` hold for all nodes together.
    pub fn new(window_ms: Millis, ratio_percent: u64, slack: u64) -> Self {
        Self {
            window_ms,
            ratio_percent,
            slack,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Notes a caller's request for the service.
    pub fn note_request(&mut self, now: MonoTime) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Whether another repeat fits; it is counted if it does.
    pub fn take_repeat(&mut self, now: MonoTime, nodes: usize) -> bool {
        self.forget(now);
        let from_requests =
            self.requests.len() as u64 * self.ratio_percent * RATIO_MARGIN_PERCENT / 10_000;
        let from_slack = self.slack * SLACK_MARGIN_PERCENT / 100 / nodes.max(1) as u64;
        let fits = (self.repeats.len() as u64) < from_requests + from_slack;
        if fits {
            self.repeats.push_back(now);
        }
        fits
    }

    fn forget(&mut self, now: MonoTime) {
        let window = self.window_ms.micros();
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|at| now.since(*at) > window) {
                times.pop_front();
            }
        }
    }
}
