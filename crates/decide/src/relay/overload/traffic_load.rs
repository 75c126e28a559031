//! Early refusal by a traffic thread that can't keep up with its work.
//!
//! Load pattern: few nodes are left and get the traffic of all. Each step of a request waits
//! for a turn of the thread, so that responses come after their callers have left, and the
//! work on them delays the next ones as well. The chart is `traffic_load`.
//!
//! The measure is how late a periodic timer of the thread comes to its turn, which is how long
//! other work waits. A turn is late if responses would miss the shortest target of a route, and if
//! the thread did not get through the work that waited for the turn before: a VM on part of a CPU
//! makes the turns of a thread late that has hardly any work. Turns that are late throughout an
//! interval show more work than the thread can do, as in `CoDel`; one late turn does not. The share
//! of new requests that is admitted then falls with each late turn and rises with each punctual
//! one. Requests that were admitted, and streams that have begun elsewhere, are kept.
//!
//! A node whose link is congested has a thread that is on time, while no connection to any
//! endpoint is established in time, and its callers come back with as many bytes. A turn
//! therefore also counts as late if every connection of several services took long.

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::{Micros, Millis, MonoTime, ServiceName};

use crate::charts::{self, LazyMachine};

/// Smallest lateness from which a turn counts as late.
const MIN_LATE_TURN_MS: Millis = Millis::new(25);
/// Fastest of several connections from which the node's own link counts as congested; several
/// round trips between regions.
const LATE_CONNECT_MS: Millis = Millis::new(100);
/// Time after a sign of congestion for which requests count as delayed by the link.
const CONGESTION_MS: Millis = Millis::new(1_000);
/// Connections that are opened before the fastest of them tells about the link.
const JUDGED_CONNECTS: u32 = 4;
/// Goal while no configuration is known.
const DEFAULT_GOAL_MS: Millis = Millis::new(1_000);
/// Turns of the thread from the arrival of a request to its response.
const TURNS_PER_REQUEST: u64 = 8;
/// All requests, in thousandths.
const WHOLE_PERMILLE: u32 = 1_000;
/// Smallest share of admitted requests, which shows whether the thread can do more.
const MIN_PERMILLE: u32 = 20;
/// Part of the share that a turn takes off for each multiple of the lateness that makes it late.
const DECREASE_PERMILLE: u64 = 50;
/// Largest part of the share that one turn takes off.
const MAX_DECREASE_PERMILLE: u64 = 200;
/// Part of the share that a punctual turn adds, and a constant, so that a small share grows too.
const INCREASE_PERMILLE: u32 = 30;
const INCREASE_STEP_PERMILLE: u32 = 5;

chart_names! {
    /// Load of a traffic thread.
    pub enum TrafficLoadState {
        /// It keeps up.
        OnTime,
        /// Its turns have been late for a short time.
        Late,
        /// It refuses a share of its new requests.
        Shedding,
    }
}

chart_names! {
    /// Events of a traffic thread's load.
    pub(crate) enum TrafficLoadEvent {
        /// A turn came late.
        TurnLate,
        /// A turn came in time.
        TurnOnTime,
        /// The turns have been late for long.
        TimedOut,
    }
}

/// A periodic turn of a traffic thread.
#[derive(Clone, Copy, Debug)]
pub struct TrafficTurn {
    /// How late the thread came to it.
    pub lateness: Micros,
    /// Whether the thread got through the work that waited for the turn before.
    pub was_settled: bool,
}

/// Times that connections to endpoints took, since the last ones that were judged.
#[derive(Debug, Default)]
struct ConnectTimes {
    connects: u32,
    fastest: Option<Micros>,
    service: Option<ServiceName>,
    /// Whether they lead to endpoints of more than one service.
    is_mixed: bool,
}

impl ConnectTimes {
    fn record(&mut self, service: &ServiceName, took: Micros) {
        self.connects += 1;
        self.fastest = Some(self.fastest.map_or(took, |it| it.min(took)));
        match &self.service {
            Some(first) => self.is_mixed |= first != service,
            None => self.service = Some(service.clone()),
        }
    }

    /// Time that the fastest of enough connections took. The endpoints of one service may be slow
    /// on their own.
    fn judge(&mut self) -> Option<Micros> {
        if self.connects < JUDGED_CONNECTS || !self.is_mixed {
            return None;
        }
        std::mem::take(self).fastest
    }
}

struct LoadContext {
    lateness: Micros,
    /// Whether the thread got through the work that waited for the turn before.
    was_settled: bool,
    /// Time that every connection took lately, if enough were opened.
    connect_time: Micros,
    /// When the link was last found congested, and how long connections took then.
    congestion: Option<(MonoTime, Micros)>,
    /// Lateness from which a turn counts as late.
    late_from: Micros,
    admitted_permille: u32,
}

impl LoadContext {
    fn is_late(&self) -> bool {
        let lacks_time = self.lateness >= self.late_from && !self.was_settled;
        lacks_time || self.connect_time >= LATE_CONNECT_MS.micros()
    }

    fn lower_share(&mut self) {
        let excess = self.lateness.get() / self.late_from.get();
        let excess = excess.max(self.connect_time.get() / LATE_CONNECT_MS.micros().get());
        let decrease = (excess * DECREASE_PERMILLE).min(MAX_DECREASE_PERMILLE) as u32;
        let left = self.admitted_permille * (WHOLE_PERMILLE - decrease) / WHOLE_PERMILLE;
        self.admitted_permille = left.max(MIN_PERMILLE);
    }

    fn raise_share(&mut self) {
        let increase = self.admitted_permille * INCREASE_PERMILLE / WHOLE_PERMILLE;
        let raised = self.admitted_permille + increase + INCREASE_STEP_PERMILLE;
        self.admitted_permille = raised.min(WHOLE_PERMILLE);
    }
}

static MACHINE: LazyMachine<TrafficLoadState, TrafficLoadEvent, LoadContext> =
    LazyMachine::new(|| {
        let bindings = Bindings::<LoadContext>::new()
            .guard("is_share_whole", |it| {
                it.admitted_permille == WHOLE_PERMILLE
            })
            .action("lower_share", LoadContext::lower_share)
            .action("raise_share", LoadContext::raise_share);
        charts::compile(charts::TRAFFIC_LOAD, &bindings)
    });

fn machine() -> &'static Machine<TrafficLoadState, TrafficLoadEvent, LoadContext> {
    charts::verified(&MACHINE)
}

pub(crate) fn verify_chart() -> Result<(), ChartError> {
    MACHINE.as_ref().map(|_| ()).map_err(Clone::clone)
}

/// Load of one traffic thread.
pub struct TrafficLoad {
    instance: Instance<TrafficLoadState>,
    context: LoadContext,
    connects: ConnectTimes,
}

impl TrafficLoad {
    /// Starts with a thread that keeps up.
    pub fn start(now: MonoTime) -> Self {
        let mut context = LoadContext {
            lateness: Micros::ZERO,
            was_settled: true,
            connect_time: Micros::ZERO,
            congestion: None,
            late_from: late_from(None),
            admitted_permille: WHOLE_PERMILLE,
        };
        let instance = machine().start(now, &mut context);
        Self {
            instance,
            context,
            connects: ConnectTimes::default(),
        }
    }

    /// Sets the shortest target for a response time, which a late turn endangers.
    pub fn set_goal(&mut self, goal_ms: Option<Millis>) {
        self.context.late_from = late_from(goal_ms);
    }

    /// Records how long a connection to an endpoint took, or until it was given up.
    pub fn record_connect(&mut self, service: &ServiceName, took: Micros) {
        self.connects.record(service, took);
    }

    /// Records a periodic turn; returns the new state if it has changed.
    pub fn record_turn(&mut self, now: MonoTime, turn: TrafficTurn) -> Option<TrafficLoadState> {
        let earlier = self.instance.state();
        self.context.lateness = turn.lateness;
        self.context.was_settled = turn.was_settled;
        self.context.connect_time = self.connects.judge().unwrap_or_default();
        let connect_time = self.context.connect_time;
        if connect_time >= LATE_CONNECT_MS.micros() {
            self.context.congestion = Some((now, connect_time));
        }
        let event = match self.context.is_late() {
            true => TrafficLoadEvent::TurnLate,
            false => TrafficLoadEvent::TurnOnTime,
        };
        // A punctual turn ends a run of late ones even if the run was long enough.
        machine().step(&mut self.instance, now, event, &mut self.context);
        machine().expire(&mut self.instance, now, &mut self.context);
        let state = self.instance.state();
        (state != earlier).then_some(state)
    }

    /// Current state.
    pub fn state(&self) -> TrafficLoadState {
        self.instance.state()
    }

    /// Time that every connection took lately; zero if too few were opened.
    pub fn connect_time(&self) -> Micros {
        self.context.connect_time
    }

    /// Time that the link adds at present to the way of a request and of its response.
    pub fn link_delay(&self, now: MonoTime) -> Micros {
        let last = self.context.congestion;
        let last = last.filter(|(at, _)| now.since(*at) < CONGESTION_MS.micros());
        last.map_or(Micros::ZERO, |(_, delay)| delay)
    }

    /// Share of new requests that is admitted, in thousandths.
    pub fn admitted_permille(&self) -> u32 {
        self.context.admitted_permille
    }

    /// Whether a request is admitted; `draw` is a uniform random number in [0, 1). A stream that
    /// has begun always is.
    pub fn admits(&self, has_begun: bool, draw: f64) -> bool {
        has_begun || draw * f64::from(WHOLE_PERMILLE) < f64::from(self.context.admitted_permille)
    }

    /// Whether a request can't be answered before its deadline: it has passed, or a thread that
    /// sheds load takes longer. For a stream that has begun, that is no reason to end it.
    pub fn is_hopeless(&self, now: MonoTime, deadline: MonoTime, has_begun: bool) -> bool {
        let needed = match self.state() {
            TrafficLoadState::Shedding if !has_begun => {
                self.context.lateness.get() * TURNS_PER_REQUEST
            }
            _ => 0,
        };
        now + Micros::new(needed) >= deadline
    }
}

/// Lateness from which a response would miss its target.
fn late_from(goal_ms: Option<Millis>) -> Micros {
    let goal = goal_ms.unwrap_or(DEFAULT_GOAL_MS).micros();
    let share = Micros::new(goal.get() / TURNS_PER_REQUEST);
    share.max(MIN_LATE_TURN_MS.micros())
}

impl std::fmt::Debug for TrafficLoad {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("TrafficLoad")
            .field("state", &self.state())
            .field("admitted_permille", &self.admitted_permille())
            .finish_non_exhaustive()
    }
}
