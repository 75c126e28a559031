//! Calls that wait at the node while every endpoint of their service is full.
//!
//! Load pattern: a burst that fills the queues of all endpoints for some tens of milliseconds.
//! An endpoint that rejects a call has ended several others by the time its rejection arrives. A
//! rejected call therefore waits for a moment, and is neither refused while it has time left nor
//! sent from one full endpoint to the next, each time with a retry from the budget. The wait is
//! bounded by a part of the goal, so that a call that can't be sent is refused early enough for
//! its caller to return.

use parsleylatch_types::{ByteCount, Millis, MonoTime, Rank};

/// Calls that may wait for one service at one traffic thread.
const QUEUE_LIMIT: usize = 64;
/// Bytes of request bodies that may wait for one service at one traffic thread.
const QUEUE_BYTES_LIMIT: ByteCount = ByteCount::new(1 << 20);
/// Divisor of the goal that gives the longest wait.
const WAIT_GOAL_DIVISOR: u64 = 8;

/// Identifies a call in a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallTicket(u64);

/// A call that may have to wait.
#[derive(Clone, Copy, Debug)]
pub struct QueuedCall {
    /// Rank of the request.
    pub rank: Rank,
    /// Whether an endpoint has received it before.
    pub is_retry: bool,
    /// Target for the response time.
    pub goal_ms: Millis,
    /// Time at which the caller leaves.
    pub deadline: MonoTime,
    /// Size of the request body.
    pub body_bytes: ByteCount,
    /// Time from which it waits.
    pub waits_since: MonoTime,
}

impl QueuedCall {
    /// Order in which calls are sent. A first attempt has cost no endpoint anything so far.
    fn order(&self) -> (Rank, bool, MonoTime) {
        (self.rank, self.is_retry, self.deadline)
    }

    /// Time until which it may wait.
    pub fn waits_until(&self) -> MonoTime {
        let wait = Millis::new(self.goal_ms.get() / WAIT_GOAL_DIVISOR);
        (self.waits_since + wait).min(self.deadline)
    }
}

/// Waiting calls of one service at one traffic thread.
#[derive(Debug, Default)]
pub struct CallQueue {
    waiting: Vec<(CallTicket, QueuedCall)>,
    next_ticket: u64,
}

impl CallQueue {
    /// Adds a call; `None` if it may wait no longer or the queue has reached a limit.
    pub fn push(&mut self, now: MonoTime, call: QueuedCall) -> Option<CallTicket> {
        let bytes = self.waiting.iter().map(|(_, it)| it.body_bytes.get());
        let bytes = bytes.sum::<u64>().saturating_add(call.body_bytes.get());
        let is_full = self.waiting.len() >= QUEUE_LIMIT || bytes > QUEUE_BYTES_LIMIT.get();
        if is_full || call.waits_until() <= now {
            return None;
        }
        let ticket = CallTicket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.push((ticket, call));
        Some(ticket)
    }

    /// Removes a call, for example because its caller has left.
    pub fn remove(&mut self, ticket: CallTicket) {
        self.waiting.retain(|(it, _)| *it != ticket);
    }

    /// Puts back calls that were taken and have to wait on.
    pub fn restore(&mut self, calls: Vec<(CallTicket, QueuedCall)>) {
        self.waiting.extend(calls);
    }

    /// Removes and returns the next call to send.
    pub fn take_next(&mut self) -> Option<(CallTicket, QueuedCall)> {
        let waiting = self.waiting.iter();
        let next = waiting.min_by_key(|(ticket, it)| (it.order(), *ticket));
        let next = next.copied()?;
        self.remove(next.0);
        Some(next)
    }

    /// Time at which the first call has waited for as long as it may.
    pub fn next_expiry(&self) -> Option<MonoTime> {
        let waiting = self.waiting.iter();
        waiting.map(|(_, it)| it.waits_until()).min()
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
