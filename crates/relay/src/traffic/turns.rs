//! How late a traffic thread comes to its turn, and what follows for new requests.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use parsleylatch_decide::relay::{TrafficLoad, TrafficLoadState, TrafficTurn};
use parsleylatch_types::{Micros, Millis, MonoTime, ServiceName};
use tokio::task::yield_now;

use super::state::Traffic;
use crate::telemetry::{RelayCounter, RelayLatency};

/// Time between two turns whose lateness is measured.
const TURN_INTERVAL_MS: Millis = Millis::new(50);

/// Rounds of the runtime that follow a measured turn: a connection that has waited for the turn is
/// accepted in the first one, its socket is registered in the second one, and its request is read
/// in the third one.
const SETTLING_ROUNDS: u32 = 3;

/// Shortest time between two lines of the log about refused requests.
const REPORT_INTERVAL_MS: Millis = Millis::new(1_000);
/// Lateness from which a thread looks once more whether a caller has left.
const LAST_LOOK_LATENESS_MS: Millis = Millis::new(20);

/// Lateness of a thread's turns, and the load that follows from it.
pub(crate) struct Turns {
    /// When the next measured turn is due.
    due: Cell<MonoTime>,
    /// Lateness of the last measured turn.
    lateness: Cell<Micros>,
    /// Whether the work that had waited for that turn has been done since.
    is_settled: Cell<bool>,
    load: RefCell<TrafficLoad>,
    /// Requests refused since the last line of the log that says so.
    refused: Cell<u64>,
    reported_at: Cell<MonoTime>,
}

impl Turns {
    pub(crate) fn new(now: MonoTime) -> Self {
        Self {
            due: Cell::new(now + TURN_INTERVAL_MS),
            lateness: Cell::new(Micros::ZERO),
            is_settled: Cell::new(true),
            load: RefCell::new(TrafficLoad::start(now)),
            refused: Cell::new(0),
            reported_at: Cell::new(now),
        }
    }

    /// How long work of the thread waits for its turn at present.
    pub(crate) fn lateness(&self, now: MonoTime) -> Micros {
        self.lateness.get().max(now.since(self.due.get()))
    }

    /// Whether a request is admitted; `draw` is a uniform random number in [0, 1).
    pub(crate) fn admits(&self, has_begun: bool, draw: f64) -> bool {
        let is_admitted = self.load.borrow().admits(has_begun, draw);
        if !is_admitted {
            self.count_refused();
        }
        is_admitted
    }

    /// Whether a request can't be answered before its deadline.
    pub(crate) fn is_hopeless(&self, now: MonoTime, deadline: MonoTime, has_begun: bool) -> bool {
        let is_hopeless = self.load.borrow().is_hopeless(now, deadline, has_begun);
        if is_hopeless {
            self.count_refused();
        }
        is_hopeless
    }

    /// Records how long a connection to an endpoint of a service took since `began_at`, or until
    /// it was given up.
    pub(crate) fn record_connect(&self, service: &ServiceName, began_at: MonoTime, now: MonoTime) {
        // What the thread itself was late by is not the link's.
        let took = now.since(began_at).get();
        let took = took.saturating_sub(self.lateness(now).get());
        let mut load = self.load.borrow_mut();
        load.record_connect(service, Micros::new(took));
    }

    /// When a request that is read now can have been sent, if its caller had the response before it
    /// at `responded_at` at the earliest. What a congested link adds to the way of the response
    /// counts as well, so that the response is there in time.
    pub(crate) fn arrival(&self, now: MonoTime, responded_at: Option<MonoTime>) -> MonoTime {
        let waited = self.longest_wait(now).get();
        let delay = self.load.borrow().link_delay(now).get();
        let earliest = MonoTime::new(now.get().saturating_sub(waited.saturating_add(delay)));
        earliest.max(responded_at.unwrap_or_default())
    }

    /// Waits until the runtime has polled the sockets and the connections have had their turn, if
    /// the caller may have left long since: the thread is late, or this is the first request of a
    /// connection, which may have waited in the listener's queue.
    pub(crate) async fn look_once_more(&self, now: MonoTime, is_first: bool) {
        if is_first || self.lateness(now) >= LAST_LOOK_LATENESS_MS.micros() {
            yield_now().await;
        }
    }

    /// How long a request that is read now can have waited for the thread. What waited for the last
    /// measured turn has been read once the thread has settled.
    fn longest_wait(&self, now: MonoTime) -> Micros {
        match self.is_settled.get() {
            true => now.since(self.due.get()),
            false => self.lateness(now),
        }
    }

    /// Waits until the runtime has polled the sockets that were ready at the last measured turn, and
    /// their tasks have run.
    async fn settle(&self) {
        for _ in 0..SETTLING_ROUNDS {
            yield_now().await;
        }
        self.is_settled.set(true);
    }

    fn count_refused(&self) {
        self.refused.set(self.refused.get() + 1);
    }
}

/// Measures the turns of a thread for as long as it runs.
pub(crate) async fn measure(traffic: Rc<Traffic>) {
    loop {
        let turns = &traffic.turns;
        let due = turns.due.get();
        let clock = &traffic.shared.clock;
        tokio::select! {
            biased;
            () = clock.sleep_until(Some(due)) => {}
            () = turns.settle() => clock.sleep_until(Some(due)).await,
        }
        let now = traffic.now();
        let lateness = now.since(due);
        turns.lateness.set(lateness);
        let was_settled = turns.is_settled.replace(false);
        turns.due.set(now + TURN_INTERVAL_MS);
        let metrics = &traffic.shared.metrics;
        metrics.observe(RelayLatency::TurnLateness, lateness);
        let snapshot = traffic.shared.snapshot.load();
        let goal_ms = snapshot
            .configuration
            .as_ref()
            .and_then(|it| it.shortest_goal_ms());
        let changed = {
            let mut load = turns.load.borrow_mut();
            load.set_goal(goal_ms);
            let turn = TrafficTurn {
                lateness,
                was_settled,
            };
            load.record_turn(now, turn)
        };
        report(&traffic, now, changed);
    }
}

/// Logs when requests begin to be refused, and once a second the requests that were refused for it.
fn report(traffic: &Traffic, now: MonoTime, changed: Option<TrafficLoadState>) {
    let turns = &traffic.turns;
    let is_due = now.since(turns.reported_at.get()) >= REPORT_INTERVAL_MS.micros();
    let is_over = changed == Some(TrafficLoadState::OnTime);
    if changed == Some(TrafficLoadState::Shedding) {
        traffic
            .shared
            .metrics
            .increment(RelayCounter::SheddingPeriods);
    } else if turns.refused.get() == 0 || !(is_due || is_over) {
        return;
    }
    let load = turns.load.borrow();
    log::warn!(
        state:% = load.state(),
        lateness_ms = turns.lateness.get().millis().get(),
        connect_ms = load.connect_time().millis().get(),
        admitted_permille = load.admitted_permille(),
        refused = turns.refused.replace(0);
        "traffic thread sheds load"
    );
    turns.reported_at.set(now);
}
