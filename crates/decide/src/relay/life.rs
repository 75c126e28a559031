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
/// Time before the end of the process at which the listeners begin to be closed.
const CLOSING_RESERVE_MS: Millis = Millis::new(750);
/// Time before responses are due from which no connections are accepted, so that the requests
/// of those accepted last can arrive and be refused.
const LAST_REQUEST_MS: Millis = Millis::new(250);
/// Time without a new connection after which a relay without requests closes its listeners.
const QUIET_MS: Millis = Millis::new(1_000);
/// Time that the traffic threads get to send what is due when the process should end.
const LAST_TURN_MS: Millis = Millis::new(100);
/// Time before the platform's kill that the exit of the process takes.
const EXIT_MS: Millis = Millis::new(50);
/// Time that the last lines of the log get at most when the process exits.
const LOG_FLUSH_MS: Millis = Millis::new(100);
/// The same at least, as a log that is read takes them at once.
const MIN_LOG_FLUSH_MS: Millis = Millis::new(10);
/// Time before the platform's kill by which they are written; less than [`EXIT_MS`].
const LOG_WRITTEN_MS: Millis = Millis::new(20);
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
        /// Finishes the requests in flight, and those of connections that still arrive.
        Draining,
        /// Has no requests in flight, but somebody connected a moment ago.
        Lingering,
        /// Accepts no more connections, and takes over those that were accepted last.
        Closing,
        /// Finishes the requests of the connections that were accepted last.
        Finishing,
        /// Sends what is due, after the time at which the process should have ended.
        Ending,
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
    /// Accept the connections that wait in the listeners' queues, and close the listeners.
    StopAccepting,
    /// Exit the process.
    Stop,
}

/// What the traffic threads do, as far as a planned stop depends on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallerActivity {
    /// Requests in flight and, during a stop, open connections.
    pub in_flight: usize,
    /// Requests whose response is not decided, and streams that have not ended.
    pub unanswered: usize,
    /// When a response was last decided, or a stream last ended; zero if none was.
    pub answered_at: MonoTime,
    /// When a caller's connection was last accepted; zero if none was.
    pub accepted_at: MonoTime,
}

struct LifecycleContext {
    /// Maximum duration of a stop that begins.
    stop_ms: Millis,
    now: MonoTime,
    activity: CallerActivity,
    /// Latest end of the process.
    stops_at: MonoTime,
    /// Time until which streams are accepted.
    accepts_streams_until: MonoTime,
    effects: Vec<RelayEffect>,
}

impl LifecycleContext {
    /// Time until `due`, rounded up so that `due` has passed after it; zero if it has passed now.
    fn until(&self, due: MonoTime) -> Millis {
        Millis::new(due.since(self.now).get().div_ceil(1_000))
    }

    /// Time at which the listeners begin to be closed.
    fn closes_at(&self) -> MonoTime {
        before(self.stops_at, CLOSING_RESERVE_MS)
    }

    /// Time from which the platform's kill could come before the process has exited.
    fn exits_at(&self) -> MonoTime {
        self.stops_at + KILL_MARGIN_MS.saturating_sub(EXIT_MS)
    }

    /// Time from which nobody has connected for long enough.
    fn quiet_at(&self) -> MonoTime {
        self.activity.accepted_at + QUIET_MS
    }

    /// Whether the listeners are closed: nobody has a request or is expected, or it is due.
    fn may_close(&self) -> bool {
        let is_quiet = self.activity.in_flight == 0 && self.now >= self.quiet_at();
        is_quiet || self.now >= self.closes_at()
    }

    /// Whether responses may not have been passed to the kernel yet, other than those that their
    /// callers don't read.
    fn has_unsent(&self) -> bool {
        let answered_at = self.activity.answered_at;
        let is_recent = answered_at > MonoTime::ZERO && self.now < answered_at + LAST_TURN_MS;
        self.activity.unanswered > 0 || is_recent && self.activity.in_flight > 0
    }

    /// End of the time in which the traffic threads send what is due.
    fn last_turn_ends_at(&self) -> MonoTime {
        self.exits_at().min(self.now + LAST_TURN_MS)
    }
}

fn before(time: MonoTime, margin: Millis) -> MonoTime {
    MonoTime::new(time.get().saturating_sub(margin.micros().get()))
}

static MACHINE: LazyMachine<RelayState, RelayEvent, LifecycleContext> = LazyMachine::new(|| {
    let bindings = Bindings::<LifecycleContext>::new()
        .guard("may_close", LifecycleContext::may_close)
        .guard("has_unsent", LifecycleContext::has_unsent)
        .duration("balancer_detection", |it| {
            BALANCER_DETECTION_MS.min(it.until(it.closes_at()))
        })
        .duration("closing_due", |it| it.until(it.closes_at()))
        .duration("quiet_due", |it| {
            it.until(it.quiet_at().min(it.closes_at()))
        })
        .duration("exit_due", |it| it.until(it.exits_at()))
        .duration("end_due", |it| {
            it.until(it.stops_at.max(it.last_turn_ends_at()))
        })
        .duration("last_turn", |it| it.until(it.last_turn_ends_at()))
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

/// Whether a traffic thread closes its listener after a look into its queue. As long as callers
/// connect, or can't be accepted, it looks again, until `accepts_until`.
pub fn may_close_listener(now: MonoTime, was_empty: bool, accepts_until: MonoTime) -> bool {
    was_empty || now >= accepts_until
}

/// Time that the last lines of the log get when the process exits, so that a log that nobody reads
/// does not delay it beyond the platform's kill. They are due at `written_by`, which is the maximum
/// outside a planned stop.
pub fn log_flush_time(now: MonoTime, written_by: MonoTime) -> Millis {
    let left = written_by.since(now).millis();
    left.clamp(MIN_LOG_FLUSH_MS, LOG_FLUSH_MS)
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
            activity: CallerActivity::default(),
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

    /// Sets the maximum duration of a planned stop. One that has begun keeps its times, which
    /// callers and the platform's kill rely on.
    pub fn set_stop_limit(&mut self, stop_ms: Millis) {
        self.context.stop_ms = stop_ms;
    }

    /// Sets what the traffic threads do.
    pub fn set_activity(&mut self, activity: CallerActivity) {
        self.context.activity = activity;
    }

    /// Latest end of a planned stop that starts at `now`.
    fn stop_deadline(&self, now: MonoTime) -> MonoTime {
        now + self.context.stop_ms.saturating_sub(KILL_MARGIN_MS)
    }

    /// Time by which all requests have to have a response; `None` before a stop.
    pub fn response_deadline(&self) -> Option<MonoTime> {
        let stops_at = self.context.stops_at;
        (stops_at < MonoTime::MAX).then(|| before(stops_at, RESPONSE_MARGIN_MS))
    }

    /// Time by which the last lines of the log are written; `None` before a stop.
    pub fn log_written_by(&self) -> Option<MonoTime> {
        let stops_at = self.context.stops_at;
        let margin = KILL_MARGIN_MS.saturating_sub(LOG_WRITTEN_MS);
        (stops_at < MonoTime::MAX).then(|| stops_at + margin)
    }

    /// Time until which connections are accepted; `None` before a stop.
    pub fn accepts_until(&self) -> Option<MonoTime> {
        let due = self.response_deadline();
        due.map(|due| before(due, LAST_REQUEST_MS))
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
