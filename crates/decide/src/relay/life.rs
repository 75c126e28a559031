//! Life of a relay, from start to planned stop.

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::{Millis, MonoTime};

use crate::charts::{self, LazyMachine};

/// Time in which the balancer notices; it asks each second, and takes a node out
/// after two misses.
const BALANCER_DETECTION_MS: Millis = Millis::new(3_200);
/// Time before the platform kills the process in which it ends by itself.
const KILL_MARGIN_MS: Millis = Millis::new(250);

chart_names! {
    /// States of a relay.
    pub enum RelayState {
        /// Knows no configuration or no endpoints yet.
        Starting,
        /// Takes callers.
        Serving,
        /// Says that it is not ready, and still takes callers.
        NotReady,
        /// Finishes what it has.
        Draining,
        /// Has ended.
        Stopped,
    }
}

chart_names! {
    /// Events of a relay's life.
    pub enum RelayEvent {
        /// Configuration and endpoints are known.
        Initialized,
        /// The platform asked for a stop.
        StopRequested,
        /// No request is left.
        Idle,
        /// The state lasted its longest time.
        TimedOut,
    }
}

/// What a relay has to do on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayEffect {
    /// Say that the node is ready.
    AnnounceReady,
    /// Say that the node is not ready.
    AnnounceNotReady,
    /// Close connections that carry no request, and the others after their answer.
    CloseIdle,
    /// End the process.
    Stop,
}

struct LifecycleContext {
    stop_ms: Millis,
    effects: Vec<RelayEffect>,
}

static MACHINE: LazyMachine<RelayState, RelayEvent, LifecycleContext> = LazyMachine::new(|| {
    let bindings = Bindings::<LifecycleContext>::new()
        .duration("balancer_detection", |_| BALANCER_DETECTION_MS)
        .duration("drain_timeout", |it| {
            it.stop_ms
                .saturating_sub(BALANCER_DETECTION_MS)
                .saturating_sub(KILL_MARGIN_MS)
        })
        .action("announce_ready", |it| {
            it.effects.push(RelayEffect::AnnounceReady);
        })
        .action("announce_not_ready", |it| {
            it.effects.push(RelayEffect::AnnounceNotReady);
        })
        .action("close_idle", |it| it.effects.push(RelayEffect::CloseIdle))
        .action("stop_process", |it| it.effects.push(RelayEffect::Stop));
    charts::compile(charts::RELAY_LIFE, &bindings)
});

fn machine() -> &'static Machine<RelayState, RelayEvent, LifecycleContext> {
    charts::verified(&MACHINE)
}

pub(crate) fn verify_chart() -> Result<(), ChartError> {
    MACHINE.as_ref().map(|_| ()).map_err(Clone::clone)
}

/// Life of this relay.
pub struct RelayLifecycle {
    instance: Instance<RelayState>,
    context: LifecycleContext,
}

impl RelayLifecycle {
    /// Starts the life; a planned stop takes `stop_ms` at most.
    pub fn new(now: MonoTime, stop_ms: Millis) -> Self {
        let mut context = LifecycleContext {
            stop_ms,
            effects: Vec::new(),
        };
        let instance = machine().start(now, &mut context);
        Self { instance, context }
    }

    /// Current state.
    pub fn state(&self) -> RelayState {
        self.instance.state()
    }

    /// Takes a new limit on the length of a planned stop.
    pub fn set_stop_limit(&mut self, stop_ms: Millis) {
        self.context.stop_ms = stop_ms;
    }

    /// Time at which a planned stop that starts at `now` ends at the latest.
    pub fn stop_deadline(&self, now: MonoTime) -> MonoTime {
        now + self.context.stop_ms.saturating_sub(KILL_MARGIN_MS)
    }

    /// Time at which [`RelayLife::expire`] has to be called.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        self.instance.next_deadline()
    }

    /// Handles an event.
    pub fn handle(&mut self, now: MonoTime, event: RelayEvent) -> Vec<RelayEffect> {
        machine().step(&mut self.instance, now, event, &mut self.context);
        std::mem::take(&mut self.context.effects)
    }

    /// Handles a deadline that has passed.
    pub fn expire(&mut self, now: MonoTime) -> Vec<RelayEffect> {
        machine().expire(&mut self.instance, now, &mut self.context);
        std::mem::take(&mut self.context.effects)
    }
}
