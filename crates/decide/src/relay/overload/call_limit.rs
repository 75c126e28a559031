//! Share of the calls to one service that a traffic thread sends; it refuses the others at once.
//!
//! Load pattern: calls of many nodes add up to several times what a service can answer, while
//! each node has only a few of them in flight. A limit on calls in flight would have to be below
//! one per node and endpoint. The limit is therefore a share of the calls, which each thread
//! adapts to the response time that the endpoints' reports predict. The chart is `call_limit`.
//!
//! Two parts act together, as in a proportional-integral controller. The share falls while
//! responses are predicted to take longer than the target and rises while they are predicted to
//! take less, in proportion to the deviation and to the time since the last report. The
//! momentary excess lowers it further, which damps the oscillation that late reports cause.

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::{Micros, Millis, MonoTime, Share};

use crate::charts::{self, LazyMachine};

/// Part of the goal that the predicted response time is kept at, in percent. The rest covers the
/// network, endpoints that are briefly slower and the age of the reports: 45 leaves slots empty,
/// and 70 makes calls late.
const TARGET_PERCENT: u64 = 55;
/// Largest relative deviation from the target that counts.
const MAX_DEVIATION: f64 = 1.0;
/// Longest time for which one report changes the share.
const MAX_STEP_MS: Millis = Millis::new(250);
/// Part of the share taken off per second at the largest deviation.
const DECREASE_PER_S: f64 = 5.0;
/// Part of the share added per second at the largest deviation below the target.
const INCREASE_PER_S: f64 = 1.5;
/// Part of the share that the largest momentary excess takes off.
const DAMPING: f64 = 0.9;
/// Largest value of the share. Above 1, it has no effect: a service that is crowded now and then
/// has a reserve before calls are refused.
const MAX_SHARE: f64 = 1.5;
/// Smallest share, which shows whether the service can do more.
const MIN_SHARE: f64 = 0.02;
const FULL_SHARE_PPM: f64 = 1_000_000.0;

chart_names! {
    /// Limit on the calls to a service.
    pub enum CallLimitState {
        /// All calls are sent.
        Open,
        /// Responses have been predicted to take too long for a short time.
        Crowded,
        /// A share of the calls may be refused.
        Limiting,
    }
}

chart_names! {
    /// Events of the limit.
    pub(crate) enum CallLimitEvent {
        /// Responses are predicted to take longer than the target.
        Crowded,
        /// Responses are predicted to take less than the target.
        Clear,
        /// No response has arrived for a while.
        TimedOut,
    }
}

struct LimitContext {
    share: f64,
    /// Relative deviation of the predicted response time from the target.
    deviation: f64,
    /// Seconds since the share was last changed.
    step_s: f64,
}

impl LimitContext {
    fn begin_limit(&mut self) {
        self.share = 1.0;
    }

    fn lower_share(&mut self) {
        let decrease = DECREASE_PER_S * self.step_s * self.deviation;
        self.share = (self.share * (1.0 - decrease)).max(MIN_SHARE);
    }

    fn raise_share(&mut self) {
        let increase = INCREASE_PER_S * self.step_s * -self.deviation;
        self.share = (self.share * (1.0 + increase)).min(MAX_SHARE);
    }
}

static MACHINE: LazyMachine<CallLimitState, CallLimitEvent, LimitContext> =
    LazyMachine::new(|| {
        let bindings = Bindings::<LimitContext>::new()
            .guard("has_reserve", |it| it.share >= MAX_SHARE)
            .action("begin_limit", LimitContext::begin_limit)
            .action("lower_share", LimitContext::lower_share)
            .action("raise_share", LimitContext::raise_share);
        charts::compile(charts::CALL_LIMIT, &bindings)
    });

fn machine() -> &'static Machine<CallLimitState, CallLimitEvent, LimitContext> {
    charts::verified(&MACHINE)
}

pub(crate) fn verify_chart() -> Result<(), ChartError> {
    MACHINE.as_ref().map(|_| ()).map_err(Clone::clone)
}

/// Limit on the calls of one traffic thread to one service.
pub struct CallLimit {
    instance: Instance<CallLimitState>,
    context: LimitContext,
    changed_at: MonoTime,
}

impl CallLimit {
    /// Starts with a service that has room.
    pub fn start(now: MonoTime) -> Self {
        let mut context = LimitContext {
            share: MAX_SHARE,
            deviation: 0.0,
            step_s: 0.0,
        };
        let instance = machine().start(now, &mut context);
        Self {
            instance,
            context,
            changed_at: now,
        }
    }

    /// Records that a response is predicted to take `predicted`. Above `ceiling`, endpoints are
    /// about to reject calls.
    pub fn record(&mut self, now: MonoTime, predicted: Micros, goal: Millis, ceiling: Micros) {
        let target = goal.micros().get() * TARGET_PERCENT / 100;
        let target = target.min(ceiling.get()).max(1) as f64;
        let deviation = predicted.get() as f64 / target - 1.0;
        let deviation = deviation.clamp(-MAX_DEVIATION, MAX_DEVIATION);
        self.context.deviation = deviation;
        let event = match self.context.deviation > 0.0 {
            true => CallLimitEvent::Crowded,
            false => CallLimitEvent::Clear,
        };
        let step = now.since(self.changed_at).min(MAX_STEP_MS.micros());
        self.context.step_s = step.duration().as_secs_f64();
        self.changed_at = now;
        // A report without a crowd ends a run of others even if the run was long enough.
        machine().step(&mut self.instance, now, event, &mut self.context);
        if self.state() == CallLimitState::Crowded {
            machine().expire(&mut self.instance, now, &mut self.context);
        }
    }

    /// Applies the time that has passed without a response.
    pub fn pass_time(&mut self, now: MonoTime) {
        let is_due = self.instance.next_deadline().is_some_and(|at| at <= now);
        if is_due && self.state() == CallLimitState::Limiting {
            self.context.deviation = -MAX_DEVIATION;
            self.context.step_s = MAX_STEP_MS.micros().duration().as_secs_f64();
            self.changed_at = now;
            machine().expire(&mut self.instance, now, &mut self.context);
        }
    }

    /// Current state.
    pub fn state(&self) -> CallLimitState {
        self.instance.state()
    }

    /// Share of the calls that is sent.
    pub fn share(&self) -> Share {
        Share::new((self.admitted() * FULL_SHARE_PPM) as u32)
    }

    fn admitted(&self) -> f64 {
        if self.state() != CallLimitState::Limiting {
            return 1.0;
        }
        let excess = self.context.deviation.max(0.0);
        (self.context.share * (1.0 - DAMPING * excess)).clamp(MIN_SHARE, 1.0)
    }

    /// Whether a call is sent; `draw` is a uniform random number in [0, 1).
    pub fn admits(&self, draw: f64) -> bool {
        draw < self.admitted()
    }
}

impl std::fmt::Debug for CallLimit {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("CallLimit")
            .field("state", &self.state())
            .field("share", &self.share())
            .finish_non_exhaustive()
    }
}
