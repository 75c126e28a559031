//! Lifecycle of a relay, from start to planned stop: the chart `relay_life`.

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::{Millis, MonoTime};

use crate::charts::{self, LazyMachine};

/// Time until the balancer has stopped sending requests: it checks readiness every
/// second and removes a node after two failed checks.
const BALANCER_DETECTION_MS: Millis = Millis::new(3_200);
/// Time before the platform's kill at which the process exits by itself.
const KILL_MARGIN_MS: Millis = Millis::new(250);
/// Time before the end of the process by which every request has a response, so that the
/// response can still be written.
const RESPONSE_MARGIN_MS: Millis = Millis::new(250);
/// Time before the end of the process by which the streams whose events arrive are aborted, so
/// that their callers are told.
const STREAM_MARGIN_MS: Millis = Millis::new(150);
/// Time before the end of the process from which it accepts no connections, so that the
/// requests of those accepted last can be finished.
const CLOSING_RESERVE_MS: Millis = Millis::new(1_500);
/// Time after the start of a stop until which streams are accepted. Those that are sent in the
/// first 3 s may still run when the process ends; a busy process notices the stop late.
const STREAM_ACCEPTANCE_MS: Millis = Millis::new(2_500);

chart_names! {
    /// States of a relay.
    pub enum RelayState {
        /// Has not loaded the configuration or the endpoints yet.
        Starting,
        /// Accepts requests.
        Serving,
        /// Reports that it is not ready, and still accepts requests.
        NotReady,
        /// Finishes the requests in flight.
        Draining,
        /// Accepts no more connections, and takes over those that were accepted last.
        Closing,
        /// Finishes the requests of the connections that were accepted last.
        Finishing,
        /// Has stopped.
        Stopped,
    }
}

chart_names! {
    /// Events of a relay's lifecycle.
    pub enum RelayEvent {
        /// Configuration and endpoints are loaded.
        Initialized,
        /// The platform requested a stop.
        StopRequested,
        /// All traffic threads have closed their listeners, and the connections that were
        /// accepted last are counted as in flight.
        ListenersClosed,
        /// No request is in flight.
        Idle,
        /// The timeout of the state expired.
        TimedOut,
    }
}

/// Effects that the relay process carries out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayEffect {
    /// Report that the node is ready.
    AnnounceReady,
    /// Report that the node is not ready.
    AnnounceNotReady,
    /// Close idle connections, and the others after their current response.
    CloseIdle,
    /// Accept the connections that wait in the socket's queue, and no more.
    StopAccepting,
    /// Exit the process.
    Stop,
}

struct LifecycleContext {
    stop_ms: Millis,
    now: MonoTime,
    /// Latest end of the process.
    stops_at: MonoTime,
    /// Time until which streams are accepted.
    accepts_streams_until: MonoTime,
    effects: Vec<RelayEffect>,
}

impl LifecycleContext {
    /// Time until the process has to end.
    fn rest(&self) -> Millis {
        self.stops_at.since(self.now).millis()
    }
}

static MACHINE: LazyMachine<RelayState, RelayEvent, LifecycleContext> = LazyMachine::new(|| {
    let bindings = Bindings::<LifecycleContext>::new()
        .duration("balancer_detection", |_| BALANCER_DETECTION_MS)
        .duration("drain_timeout", |it| {
            it.stop_ms
                .saturating_sub(BALANCER_DETECTION_MS)
                .saturating_sub(KILL_MARGIN_MS)
                .saturating_sub(CLOSING_RESERVE_MS)
        })
        .duration("finish_timeout", LifecycleContext::rest)
        .action("stop_accepting", |it| {
            it.effects.push(RelayEffect::StopAccepting);
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

/// Time until which a stream whose events arrive may go on, if responses are due at
/// `response_deadline`.
pub(super) fn stream_deadline(response_deadline: MonoTime) -> MonoTime {
    response_deadline + RESPONSE_MARGIN_MS.saturating_sub(STREAM_MARGIN_MS)
}

/// Lifecycle of this relay.
pub struct RelayLifecycle {
    instance: Instance<RelayState>,
    context: LifecycleContext,
}

impl RelayLifecycle {
    /// Starts the lifecycle; a planned stop takes at most `stop_ms`.
    pub fn new(now: MonoTime, stop_ms: Millis) -> Self {
        let mut context = LifecycleContext {
            stop_ms,
            now,
            stops_at: MonoTime::MAX,
            accepts_streams_until: MonoTime::MAX,
            effects: Vec::new(),
        };
        let instance = machine().start(now, &mut context);
        Self { instance, context }
    }

    /// Current state.
    pub fn state(&self) -> RelayState {
        self.instance.state()
    }

    /// Sets the maximum duration of a planned stop.
    pub fn set_stop_limit(&mut self, stop_ms: Millis) {
        self.context.stop_ms = stop_ms;
    }

    /// Latest end of a planned stop that starts at `now`.
    fn stop_deadline(&self, now: MonoTime) -> MonoTime {
        now + self.context.stop_ms.saturating_sub(KILL_MARGIN_MS)
    }

    /// Time by which all requests have to have a response; `None` before a stop.
    pub fn response_deadline(&self) -> Option<MonoTime> {
        let stops_at = self.context.stops_at;
        let margin = RESPONSE_MARGIN_MS.micros();
        (stops_at < MonoTime::MAX)
            .then(|| MonoTime::new(stops_at.get().saturating_sub(margin.get())))
    }

    /// Time until which streams are accepted; the maximum before a stop.
    pub fn accepts_streams_until(&self) -> MonoTime {
        self.context.accepts_streams_until
    }

    /// Time at which [`RelayLifecycle::expire`] has to be called.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        self.instance.next_deadline()
    }

    /// Handles an event.
    pub fn handle(&mut self, now: MonoTime, event: RelayEvent) -> Vec<RelayEffect> {
        self.context.now = now;
        let is_running = matches!(self.state(), RelayState::Starting | RelayState::Serving);
        if event == RelayEvent::StopRequested && is_running {
            self.context.stops_at = self.stop_deadline(now);
            self.context.accepts_streams_until = now + STREAM_ACCEPTANCE_MS;
        }
        machine().step(&mut self.instance, now, event, &mut self.context);
        std::mem::take(&mut self.context.effects)
    }

    /// Handles an expired deadline.
    pub fn expire(&mut self, now: MonoTime) -> Vec<RelayEffect> {
        self.context.now = now;
        machine().expire(&mut self.instance, now, &mut self.context);
        std::mem::take(&mut self.context.effects)
    }
}
