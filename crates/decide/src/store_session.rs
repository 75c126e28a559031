//! Scheduling of calls to the key-value service, in normal operation and during
//! outages.
//!
//! The service meters calls and pending watches, and its capacity grows more slowly
//! than the fleet. Therefore only a few nodes of each region keep a watch open. The
//! others learn of changes by gossip and poll the service at a long interval.

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::{Micros, Millis, MonoTime, Revision, Seed};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::{
    charts::{self, LazyMachine},
    membership::{MemberLocation, rendezvous_nodes},
};

chart_names! {
    /// Availability of the service, as seen by this node.
    pub enum SessionState {
        /// The last call succeeded.
        Connected,
        /// The latest calls failed.
        Degraded,
        /// Enough consecutive calls failed to count as an outage.
        Out,
    }
}

chart_names! {
    /// Outcomes of calls to the service.
    pub enum SessionEvent {
        /// A call succeeded.
        Succeeded,
        /// A call failed or got no response.
        Failed,
    }
}

/// Consecutive failed calls after which the service counts as unavailable.
const OUTAGE_FAILURES: u32 = 3;
/// Shortest time between two calls, which bounds the call rate of a node.
const MIN_CALL_INTERVAL_MS: Millis = Millis::new(250);
/// Delay after the first failed call; doubles with each consecutive failure.
const BACKOFF_START_MS: Millis = Millis::new(250);
/// Longest delay of a node that watches, or that has not read any documents yet.
const WATCH_BACKOFF_LIMIT_MS: Millis = Millis::new(2_000);
/// Longest delay of a node that learns of changes by gossip.
const RECONCILE_BACKOFF_LIMIT_MS: Millis = Millis::new(30_000);
/// Time between two polls by a node that learns of changes by gossip.
const RECONCILE_INTERVAL_MS: Millis = Millis::new(60_000);
/// Nodes of a region that keep a watch open.
const WATCHERS_PER_REGION: usize = 3;
/// Rendezvous hashing key that selects the watching nodes.
const WATCH_RENDEZVOUS_KEY: &str = "templates";
/// Resolution of the random jitter.
const JITTER_STEPS: u64 = 1_000;

static MACHINE: LazyMachine<SessionState, SessionEvent, u32> = LazyMachine::new(|| {
    let bindings = Bindings::<u32>::new()
        .guard("failure_limit_reached", |failures| {
            *failures + 1 >= OUTAGE_FAILURES
        })
        .action("count_failure", |failures| {
            *failures = failures.saturating_add(1);
        })
        .action("reset_failures", |failures| *failures = 0);
    charts::compile(charts::STORE_SESSION, &bindings)
});

fn machine() -> &'static Machine<SessionState, SessionEvent, u32> {
    charts::verified(&MACHINE)
}

pub(crate) fn verify_chart() -> Result<(), ChartError> {
    MACHINE.as_ref().map(|_| ()).map_err(Clone::clone)
}

/// How a node learns of changes to documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchMode {
    /// Keeps a watch open.
    Watch,
    /// Learns of changes by gossip and polls to catch missed ones.
    Reconcile,
}

/// Watch mode of a node, given the live nodes of the fleet.
pub fn watch_mode<'locations>(
    own: &MemberLocation,
    live: impl Iterator<Item = &'locations MemberLocation>,
) -> WatchMode {
    let same_region = live.filter(|location| location.region == own.region);
    if rendezvous_nodes(WATCH_RENDEZVOUS_KEY, same_region, WATCHERS_PER_REGION).contains(&own) {
        WatchMode::Watch
    } else {
        WatchMode::Reconcile
    }
}

/// Next call to the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DocumentCall {
    /// List all documents.
    List,
    /// Read the changes since a revision, without waiting.
    Changes(Revision),
    /// Wait for changes after a revision.
    Watch(Revision),
}

/// Schedules the calls that read the documents of one kind.
#[derive(Clone, Debug)]
pub struct DocumentReader {
    instance: Instance<SessionState>,
    failures: u32,
    after: Option<Revision>,
    ended_at: Option<MonoTime>,
    started_at: MonoTime,
    jitter: Pcg32,
}

impl DocumentReader {
    /// Creates a reader that has not read any documents.
    pub fn new(now: MonoTime, seed: Seed) -> Self {
        let mut failures = 0;
        Self {
            instance: machine().start(now, &mut failures),
            failures,
            after: None,
            ended_at: None,
            started_at: now,
            jitter: Pcg32::seed_from_u64(seed.get()),
        }
    }

    /// Availability of the service.
    pub fn state(&self) -> SessionState {
        self.instance.state()
    }

    /// Time and kind of the next call.
    pub fn next_call(&mut self, mode: WatchMode) -> (MonoTime, DocumentCall) {
        let call = match (self.after, mode) {
            (Some(after), WatchMode::Watch) => DocumentCall::Watch(after),
            (Some(after), WatchMode::Reconcile) => DocumentCall::Changes(after),
            (None, _) => DocumentCall::List,
        };
        let Some(ended_at) = self.ended_at else {
            return (self.started_at, call);
        };
        let learns_by_gossip = self.after.is_some() && mode == WatchMode::Reconcile;
        let delay = match (self.state(), learns_by_gossip) {
            (SessionState::Connected, false) => MIN_CALL_INTERVAL_MS.micros(),
            (SessionState::Connected, true) => self.with_jitter(RECONCILE_INTERVAL_MS),
            (_, false) => self.backoff(WATCH_BACKOFF_LIMIT_MS),
            (_, true) => self.backoff(RECONCILE_BACKOFF_LIMIT_MS),
        };
        let at = match call {
            // The interval counts from the start of a watch, so that a long wait is
            // followed by the next watch at once.
            DocumentCall::Watch(_) if self.state() == SessionState::Connected => {
                self.started_at + delay
            }
            _ => ended_at + delay,
        };
        (at, call)
    }

    /// Makes the next call list all documents, as the store was restored from a copy.
    pub fn restart(&mut self) {
        self.after = None;
    }

    /// Records the start of a call.
    pub fn call_started(&mut self, now: MonoTime) {
        self.started_at = now;
    }

    /// Records the end of a call, with the revision it read or `None` on failure.
    /// Returns the new state if it changed.
    pub fn call_ended(&mut self, now: MonoTime, read: Option<Revision>) -> Option<SessionState> {
        self.ended_at = Some(now);
        let before = self.state();
        let event = match read {
            Some(revision) => {
                self.after = self.after.max(Some(revision));
                SessionEvent::Succeeded
            }
            None => SessionEvent::Failed,
        };
        machine().step(&mut self.instance, now, event, &mut self.failures);
        (self.state() != before).then_some(self.state())
    }

    fn backoff(&mut self, limit: Millis) -> Micros {
        let doublings = self.failures.saturating_sub(1).min(16);
        let delay = BACKOFF_START_MS.get() << doublings;
        self.with_jitter(Millis::new(delay).min(limit))
    }

    /// Random delay between 75 % and 125 % of `delay`.
    fn with_jitter(&mut self, delay: Millis) -> Micros {
        let quarter = delay.micros().get() / 4;
        let step = self.jitter.random_range(0..=2 * JITTER_STEPS);
        Micros::new(3 * quarter + quarter * step / JITTER_STEPS)
    }
}
