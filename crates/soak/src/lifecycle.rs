//! Life of one relay process: the chart `soak_process`.

use std::sync::LazyLock;

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::{Millis, MonoTime};

/// Time that a stopped or killed process is away.
const DOWN_PERIOD_MS: Millis = Millis::new(600);
/// Time from the signal to the end of a planned stop, as in the relays' settings.
pub(crate) const STOP_TIMEOUT_MS: Millis = Millis::new(5_000);
/// Time beyond that in which a busy machine sees the end.
const STOP_SLACK_MS: Millis = Millis::new(1_000);

/// Text of the chart.
const CHART: &str = include_str!("../../../charts/soak_process.jsonc");

chart_names! {
    /// States of a process.
    pub(crate) enum ProcessState {
        /// It was started and has not said so.
        Starting,
        /// It runs.
        Running,
        /// It is frozen.
        Paused,
        /// It was asked to end.
        Stopping,
        /// It was killed.
        Killed,
        /// It is gone.
        Down,
    }
}

chart_names! {
    /// What happens to a process, and what it is ordered to suffer.
    pub(crate) enum ProcessEvent {
        /// It said that it listens.
        Started,
        /// It is gone.
        Exited,
        /// A planned stop is due.
        StopRequested,
        /// A kill is due.
        KillRequested,
        /// A freeze is due.
        PauseRequested,
        /// Its settings have changed.
        HangUpRequested,
        /// The state lasted its time.
        TimedOut,
    }
}

/// What is to be done to a process.
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

/// Life of one process.
pub(crate) struct ProcessLifecycle {
    instance: Instance<ProcessState>,
    context: LifecycleContext,
}

impl ProcessLifecycle {
    /// Starts a life; the first effect starts the process.
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

    /// Orders a freeze.
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
