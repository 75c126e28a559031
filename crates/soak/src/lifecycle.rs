//! Lifecycle of a relay process, as defined by the state chart `soak_process`.

use std::sync::LazyLock;

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::{Millis, MonoTime};

/// Time from the exit of a process to its restart.
const DOWN_PERIOD_MS: Millis = Millis::new(600);
/// Time limit of a planned stop; the relays' settings use the same value.
pub(crate) const STOP_TIMEOUT_MS: Millis = Millis::new(5_000);
/// Extra time to observe the exit on a busy machine.
const STOP_SLACK_MS: Millis = Millis::new(1_000);

/// State chart source.
const CHART: &str = include_str!("../../../charts/soak_process.jsonc");

chart_names! {
    /// State of a relay process.
    pub(crate) enum ProcessState {
        /// Spawned, but it has not logged its `started` event.
        Starting,
        /// Serving.
        Running,
        /// Paused by SIGSTOP.
        Paused,
        /// Asked to stop, and not yet exited.
        Stopping,
        /// Killed, and not yet exited.
        Killed,
        /// Exited, and to be restarted.
        Down,
    }
}

chart_names! {
    /// Event of a process, or a fault to inject into it.
    pub(crate) enum ProcessEvent {
        /// It logged that it accepts callers.
        Started,
        /// It exited.
        Exited,
        /// The plan asks for a graceful stop.
        StopRequested,
        /// The plan asks for a kill.
        KillRequested,
        /// The plan asks for a pause.
        PauseRequested,
        /// Its settings have changed and it is to reload them.
        HangUpRequested,
        /// The timeout of the state has expired.
        TimedOut,
    }
}

/// Action for the controller to take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessEffect {
    Spawn,
    SendStop,
    SendKill,
    SendPause,
    SendContinue,
    SendHangUp,
    ReportUnexpectedExit,
    ReportStartTimeout,
    ReportStopTimeout,
    CheckExitStatus,
}

#[derive(Default)]
struct LifecycleContext {
    pause_ms: Millis,
    effects: Vec<ProcessEffect>,
}

type LifecycleMachine = Machine<ProcessState, ProcessEvent, LifecycleContext>;

static MACHINE: LazyLock<Result<LifecycleMachine, ChartError>> = LazyLock::new(|| {
    let bindings = Bindings::<LifecycleContext>::new()
        .duration("pause_duration", |it| it.pause_ms)
        .duration("stop_timeout", |_| {
            STOP_TIMEOUT_MS.saturating_add(STOP_SLACK_MS)
        })
        .duration("down_period", |_| DOWN_PERIOD_MS)
        .action("spawn", |it| it.effects.push(ProcessEffect::Spawn))
        .action("send_stop", |it| it.effects.push(ProcessEffect::SendStop))
        .action("send_kill", |it| it.effects.push(ProcessEffect::SendKill))
        .action("send_pause", |it| it.effects.push(ProcessEffect::SendPause))
        .action("send_continue", |it| {
            it.effects.push(ProcessEffect::SendContinue);
        })
        .action("send_hang_up", |it| {
            it.effects.push(ProcessEffect::SendHangUp);
        })
        .action("report_unexpected_exit", |it| {
            it.effects.push(ProcessEffect::ReportUnexpectedExit);
        })
        .action("report_start_timeout", |it| {
            it.effects.push(ProcessEffect::ReportStartTimeout);
        })
        .action("report_stop_timeout", |it| {
            it.effects.push(ProcessEffect::ReportStopTimeout);
        })
        .action("check_exit_status", |it| {
            it.effects.push(ProcessEffect::CheckExitStatus);
        });
    Machine::compile("soak_process", CHART, &bindings)
});

fn machine() -> &'static LifecycleMachine {
    MACHINE.as_ref().unwrap_or_else(|error| panic!("{error}"))
}

/// State machine of one relay process and its restarts.
pub(crate) struct ProcessLifecycle {
    instance: Instance<ProcessState>,
    context: LifecycleContext,
}

impl ProcessLifecycle {
    /// Creates the state machine; its first effect spawns the process.
    pub(crate) fn start(now: MonoTime) -> (Self, Vec<ProcessEffect>) {
        let mut context = LifecycleContext::default();
        let instance = machine().start(now, &mut context);
        let effects = std::mem::take(&mut context.effects);
        (Self { instance, context }, effects)
    }

    pub(crate) fn state(&self) -> ProcessState {
        self.instance.state()
    }

    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        self.instance.next_deadline()
    }

    /// Requests a pause of the given length.
    pub(crate) fn pause(&mut self, now: MonoTime, pause_ms: Millis) -> Vec<ProcessEffect> {
        self.context.pause_ms = pause_ms;
        self.handle(now, ProcessEvent::PauseRequested)
    }

    pub(crate) fn handle(&mut self, now: MonoTime, event: ProcessEvent) -> Vec<ProcessEffect> {
        machine().step(&mut self.instance, now, event, &mut self.context);
        std::mem::take(&mut self.context.effects)
    }

    pub(crate) fn expire(&mut self, now: MonoTime) -> Vec<ProcessEffect> {
        machine().expire(&mut self.instance, now, &mut self.context);
        std::mem::take(&mut self.context.effects)
    }
}
