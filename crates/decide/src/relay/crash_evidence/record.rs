//! A crash of an endpoint, with the requests that it had not begun to answer.

use std::{
    collections::BTreeSet,
    hash::{Hash, Hasher},
};

use parsleylatch_types::{Micros, Millis, MonoTime, PromptPartId};
use xxhash_rust::xxh3::Xxh3;

use super::{MAX_RETENTION_MS, PromptChain, RETENTION_MS};
use crate::relay::endpoint_table::EndpointKey;

/// Maximum number of requests that are kept of a crash.
pub(super) const REQUEST_LIMIT: usize = 8;
/// Maximum number of cleared parts that are kept of a crash.
const CLEARED_PART_LIMIT: usize = REQUEST_LIMIT * 33;
/// Time after which another loss of the same endpoint is a separate one; above the
/// inaccuracy of ages that are sent between nodes.
const RECURRENCE_MS: Millis = Millis::new(5_000);

/// A crash as nodes report it to each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedCrash {
    /// Endpoint that crashed.
    pub endpoint: EndpointKey,
    /// Time since the crash.
    pub age: Micros,
    /// Time since the crash, or since a request with one of its parts was last refused.
    pub idle: Micros,
    /// Prompts of the requests that the endpoint had not begun to answer.
    pub requests: Vec<PromptChain>,
    /// Parts on which an endpoint has begun an answer since the crash.
    pub cleared: Vec<PromptPartId>,
}

/// A crash as this node knows it.
#[derive(Clone, Debug)]
pub(super) struct CrashRecord {
    pub(super) at: MonoTime,
    pub(super) active_at: MonoTime,
    /// When anything apart from the times last changed.
    pub(super) changed_at: MonoTime,
    pub(super) requests: BTreeSet<PromptChain>,
    pub(super) cleared: BTreeSet<PromptPartId>,
}

impl CrashRecord {
    pub(super) fn new(now: MonoTime, at: MonoTime) -> Self {
        Self {
            at,
            active_at: at,
            changed_at: now,
            requests: BTreeSet::new(),
            cleared: BTreeSet::new(),
        }
    }

    /// When the crash is forgotten.
    pub(super) fn ends_at(&self) -> MonoTime {
        let idle_end = self.active_at + RETENTION_MS;
        idle_end.min(self.at + MAX_RETENTION_MS)
    }

    /// Whether the crash speaks against a part.
    pub(super) fn accuses(&self, part: &PromptPartId) -> bool {
        let mut requests = self.requests.iter();
        !self.cleared.contains(part) && requests.any(|it| it.contains(part))
    }

    /// Whether the loss of a request is another one than that on record, as an answer has
    /// cleared one of its parts meanwhile.
    pub(super) fn is_recurrence(&self, now: MonoTime, request: &PromptChain) -> bool {
        let mut parts = request.parts();
        is_distinct(self.at, now) && parts.any(|part| self.cleared.contains(part))
    }

    /// Starts over with a later loss of the same endpoint. What was cleared before it may
    /// have caused it; requests that have been answered did not.
    pub(super) fn restart(&mut self, now: MonoTime, at: MonoTime) {
        let cleared = std::mem::take(&mut self.cleared);
        self.requests.retain(|it| !it.is_answered(&cleared));
        self.at = at;
        self.changed_at = now;
    }

    /// Merges a crash of the same endpoint, with the time at which it happened.
    pub(super) fn merge(&mut self, now: MonoTime, at: MonoTime, crash: &ReportedCrash) {
        if is_distinct(self.at, at) {
            self.restart(now, at);
        }
        if is_distinct(at, self.at) {
            let cleared = crash.cleared.iter().cloned().collect();
            for request in crash.requests.iter().filter(|it| !it.is_answered(&cleared)) {
                self.add_request(now, request);
            }
            return;
        }
        self.at = self.at.min(at);
        for request in &crash.requests {
            self.add_request(now, request);
        }
        for part in &crash.cleared {
            self.clear_part(now, part);
        }
    }

    pub(super) fn add_request(&mut self, now: MonoTime, request: &PromptChain) {
        if !self.requests.insert(request.clone()) {
            return;
        }
        if self.requests.len() > REQUEST_LIMIT {
            let yielding = self.requests.iter().max_by_key(|it| rank_of(it)).cloned();
            self.requests.retain(|it| Some(it) != yielding.as_ref());
        }
        if self.requests.contains(request) {
            self.changed_at = now;
        }
    }

    pub(super) fn clear_part(&mut self, now: MonoTime, part: &PromptPartId) {
        if insert_limited(&mut self.cleared, part, CLEARED_PART_LIMIT) {
            self.changed_at = now;
        }
    }
}

/// Whether two losses of an endpoint are separate ones, the second later than the first.
fn is_distinct(first: MonoTime, second: MonoTime) -> bool {
    second.since(first) > RECURRENCE_MS.micros()
}

/// Rank of a request among those of a crash; the highest ones yield. All nodes compute the
/// same, and it does not depend on how the ids of the parts are ordered.
fn rank_of(request: &PromptChain) -> u64 {
    let mut hasher = Xxh3::new();
    request.hash(&mut hasher);
    hasher.finish()
}

/// Keeps the smallest items, so that nodes agree on them in whatever order they learn
/// them; returns whether the set has changed.
fn insert_limited<Item>(items: &mut BTreeSet<Item>, item: &Item, limit: usize) -> bool
where
    Item: Clone + Ord,
{
    if items.contains(item) {
        return false;
    }
    if items.len() < limit {
        return items.insert(item.clone());
    }
    let is_kept = items.last().is_some_and(|last| item < last);
    if is_kept {
        items.pop_last();
        items.insert(item.clone());
    }
    is_kept
}
