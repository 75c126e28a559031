//! Control thread of a run: starts, signals and restarts the relay processes and injects the
//! faults of the plan.

use std::{fs, sync::Arc};

use eyre::{Result, WrapErr, eyre};
use parsleylatch_bench::process::{Signal, open_descriptors, resident_memory, send_signal};
use parsleylatch_runtime::Clock;
use parsleylatch_types::{Micros, Millis, MonoTime};
use tokio::sync::{mpsc, watch};

use crate::{
    callers::Phase,
    disturbances::{SETTLE_MS, Scope},
    environment::Environment,
    invariants::{Invariant, MEMORY_LIMIT_BYTES},
    lifecycle::{ProcessEffect, ProcessEvent, ProcessLifecycle, ProcessState},
    plan::PlannedFault,
    process::{ProcessChange, ProcessUpdate, RelayProgram},
};

/// Capacity of the channel for process notifications.
const UPDATE_BUFFER: usize = 256;
/// Time limit for all relays to run, at the start and after the load.
const ALL_RUNNING_TIMEOUT_MS: Millis = Millis::new(20_000);
const MEMORY_CHECK_INTERVAL_MS: Millis = Millis::new(500);
/// Lateness of an action beyond which it belongs to the timelines.
const MAX_HOLD_UP_MS: Millis = Millis::new(200);

/// Action that runs later, such as ending a fault.
pub(crate) type ScheduledAction = Box<dyn FnOnce(&mut Controller) + Send>;

pub(crate) struct ManagedRelay {
    pub(crate) lifecycle: ProcessLifecycle,
    pub(crate) pid: Option<u32>,
    pub(crate) revision: u64,
    /// Number of the ongoing unplanned outage in the disturbance log.
    outage: Option<usize>,
}

/// State of the control thread.
pub(crate) struct Controller {
    pub(crate) environment: Arc<Environment>,
    pub(crate) clock: Clock,
    pub(crate) program: RelayProgram,
    pub(crate) relays: Vec<ManagedRelay>,
    updates: mpsc::Receiver<ProcessUpdate>,
    pub(crate) update_sender: mpsc::Sender<ProcessUpdate>,
    pub(crate) scheduled_actions: Vec<(MonoTime, ScheduledAction)>,
    phase: watch::Sender<Phase>,
    pub(crate) newest_version: watch::Sender<u64>,
    next_memory_check_at: MonoTime,
}

impl Controller {
    /// Writes the settings of the relays and starts them.
    ///
    /// # Errors
    /// A file can't be written or a relay can't be started.
    pub(crate) fn start(
        environment: Arc<Environment>,
        program: RelayProgram,
        phase: watch::Sender<Phase>,
        newest_version: watch::Sender<u64>,
    ) -> Result<Self> {
        fs::create_dir_all(&program.directory).wrap_err("creating the directory for logs")?;
        let (update_sender, updates) = mpsc::channel(UPDATE_BUFFER);
        let clock = environment.clock;
        let mut controller = Self {
            clock,
            program,
            relays: Vec::new(),
            updates,
            update_sender,
            scheduled_actions: Vec::new(),
            phase,
            newest_version,
            next_memory_check_at: clock.now(),
            environment,
        };
        for relay in 0..controller.environment.caller_links.len() {
            let store = controller.environment.store_links[relay].address;
            controller.program.write_settings(relay, store, 0)?;
            let (lifecycle, effects) = ProcessLifecycle::start(clock.now());
            controller.relays.push(ManagedRelay {
                lifecycle,
                pid: None,
                revision: 0,
                outage: None,
            });
            controller.apply_effects(relay, effects)?;
        }
        Ok(controller)
    }

    /// Injects the faults of the plan while callers send, then waits until all faults have
    /// ended and all relays run again.
    ///
    /// # Errors
    /// A relay doesn't start in time, or a file can't be written.
    pub(crate) async fn run_plan(&mut self, plan: &[PlannedFault], load_ms: Millis) -> Result<()> {
        self.wait_until_running().await?;
        self.phase.send_replace(Phase::Load);
        let start = self.clock.now();
        for planned in plan {
            self.run_until(start + planned.at).await?;
            self.inject_planned_fault(planned.fault)?;
        }
        self.run_until(start + load_ms).await?;
        while !self.scheduled_actions.is_empty() {
            let next = self.clock.now() + SETTLE_MS;
            self.run_until(next).await?;
        }
        self.wait_until_running().await?;
        if self.environment.broken_invariant == Some(Invariant::Recovery) {
            (0..self.environment.endpoints.len()).for_each(|index| self.environment.remove(index));
        }
        let settled = self.clock.now() + SETTLE_MS;
        self.run_until(settled).await?;
        self.phase.send_replace(Phase::Done);
        Ok(())
    }

    /// Waits until every relay runs.
    async fn wait_until_running(&mut self) -> Result<()> {
        let limit = self.clock.now() + ALL_RUNNING_TIMEOUT_MS;
        while self.clock.now() < limit {
            let mut states = self.relays.iter().map(|relay| relay.lifecycle.state());
            if states.all(|state| state == ProcessState::Running) {
                return Ok(());
            }
            let step = self.clock.now() + Millis::new(50);
            self.run_until(step).await?;
        }
        Err(eyre!(
            "not all relays were running within {ALL_RUNNING_TIMEOUT_MS}"
        ))
    }

    /// Handles deadlines, scheduled actions and process notifications until a time.
    pub(crate) async fn run_until(&mut self, until: MonoTime) -> Result<()> {
        loop {
            self.expire()?;
            let now = self.clock.now();
            if now >= until {
                return Ok(());
            }
            let lifecycle_deadlines = self
                .relays
                .iter()
                .filter_map(|it| it.lifecycle.next_deadline());
            let action_times = self.scheduled_actions.iter().map(|(at, _)| *at);
            let next = lifecycle_deadlines
                .chain(action_times)
                .chain([self.next_memory_check_at, until])
                .min();
            tokio::select! {
                () = self.clock.sleep_until(next) => {}
                update = self.updates.recv() => {
                    if let Some(update) = update {
                        self.handle_update(update)?;
                    }
                }
            }
        }
    }

    fn expire(&mut self) -> Result<()> {
        let now = self.clock.now();
        let (due, pending) = std::mem::take(&mut self.scheduled_actions)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.scheduled_actions = pending;
        self.log_hold_up(now, due.iter().map(|(at, _)| *at).min());
        for (_, action) in due {
            action(self);
        }
        for relay in 0..self.relays.len() {
            let lifecycle = &mut self.relays[relay].lifecycle;
            if lifecycle.next_deadline().is_some_and(|at| at <= now) {
                let effects = lifecycle.expire(now);
                self.apply_effects(relay, effects)?;
            }
        }
        if self.next_memory_check_at <= now {
            self.next_memory_check_at = now + MEMORY_CHECK_INTERVAL_MS;
            self.check_memory(now);
            self.log_open_connections();
        }
        Ok(())
    }

    /// Adds to the timelines that this thread came late to its next action, such as when other
    /// work of the machine held it up.
    fn log_hold_up(&self, now: MonoTime, due_at: Option<MonoTime>) {
        let late_us = due_at.map_or(Micros::ZERO, |at| now.since(at));
        if late_us > MAX_HOLD_UP_MS.micros() {
            let what = format!("control thread was held up for {}", late_us.millis());
            self.log_event(None, what);
        }
    }

    fn check_memory(&mut self, now: MonoTime) {
        for (relay, pid) in self.pids() {
            // A process that is exiting may have no memory left to report.
            let Ok(memory) = resident_memory(&pid.to_string()) else {
                continue;
            };
            if memory.get() > MEMORY_LIMIT_BYTES {
                let reason = format!(
                    "relay {relay} uses {memory} of memory; the limit is {MEMORY_LIMIT_BYTES} bytes"
                );
                self.environment
                    .checker()
                    .report(Invariant::MemoryLimit, now, reason);
            }
        }
    }

    /// Adds what each relay holds open to the timelines.
    fn log_open_connections(&self) {
        for (relay, pid) in self.pids() {
            let open = self.environment.caller_links[relay].open_connections();
            // A process that is exiting has no descriptors left to list.
            let descriptors = open_descriptors(pid).unwrap_or_default();
            let what = format!("{open} connections of callers, {descriptors} descriptors in use");
            self.log_event(Some(relay), what);
        }
    }

    fn pids(&self) -> Vec<(usize, u32)> {
        let relays = self.relays.iter().enumerate();
        relays
            .filter_map(|(relay, managed)| Some((relay, managed.pid?)))
            .collect()
    }

    fn handle_update(&mut self, update: ProcessUpdate) -> Result<()> {
        let (relay, now) = (update.relay, self.clock.now());
        if self.relays[relay].pid != Some(update.pid) {
            return Ok(());
        }
        let effects = match update.change {
            ProcessChange::Started(address) => {
                self.environment.caller_links[relay].set_server_address(address);
                self.end_outage(relay);
                self.log_event(Some(relay), format!("accepts callers at {address}"));
                self.relays[relay]
                    .lifecycle
                    .handle(now, ProcessEvent::Started)
            }
            ProcessChange::SettingsWritten {
                result,
                with_signal,
            } => {
                result?;
                match with_signal {
                    true => self.relays[relay]
                        .lifecycle
                        .handle(now, ProcessEvent::HangUpRequested),
                    false => Vec::new(),
                }
            }
            ProcessChange::Exited(status) => {
                self.log_event(Some(relay), format!("process exited, {status}"));
                let managed = &mut self.relays[relay];
                managed.pid = None;
                let effects = managed.lifecycle.handle(now, ProcessEvent::Exited);
                if effects.contains(&ProcessEffect::CheckExitStatus) && !status.success() {
                    let reason = format!("relay {relay} exited with {status} after a planned stop");
                    self.environment
                        .checker()
                        .report(Invariant::ProcessExit, now, reason);
                }
                effects
            }
        };
        self.apply_effects(relay, effects)
    }

    pub(crate) fn apply_effects(
        &mut self,
        relay: usize,
        effects: Vec<ProcessEffect>,
    ) -> Result<()> {
        for effect in effects {
            let now = self.clock.now();
            let report = |reason: &str| {
                let reason = format!("relay {relay} {reason}");
                self.environment
                    .checker()
                    .report(Invariant::ProcessExit, now, reason);
            };
            match effect {
                ProcessEffect::Spawn => {
                    let pid = self.program.spawn(relay, self.update_sender.clone())?;
                    self.relays[relay].pid = Some(pid);
                    self.environment.checker().record_relay_start(now, relay);
                    self.log_event(Some(relay), format!("process {pid} started"));
                }
                ProcessEffect::SendStop => {
                    self.log_event(Some(relay), "SIGTERM sent");
                    self.environment.checker().record_stop(now, relay);
                    self.signal(relay, Signal::Term);
                }
                ProcessEffect::SendKill => {
                    self.log_event(Some(relay), "SIGKILL sent");
                    if self.environment.broken_invariant != Some(Invariant::RequestLoss) {
                        self.begin_outage(relay);
                    }
                    self.signal(relay, Signal::Kill);
                }
                ProcessEffect::SendPause => {
                    self.log_event(Some(relay), "paused");
                    let unrecorded = [Invariant::ResponseDeadline, Invariant::NewCallerSilence];
                    let broken = self.environment.broken_invariant;
                    if broken.is_none_or(|it| !unrecorded.contains(&it)) {
                        self.begin_outage(relay);
                    }
                    self.signal(relay, Signal::Stop);
                }
                ProcessEffect::SendContinue => {
                    self.signal(relay, Signal::Cont);
                    self.end_outage(relay);
                    self.log_event(Some(relay), "continued");
                }
                ProcessEffect::SendHangUp => {
                    self.environment.checker().record_hang_up(now, relay);
                    self.log_event(Some(relay), "SIGHUP sent");
                    self.signal(relay, Signal::Hup);
                }
                ProcessEffect::ReportUnexpectedExit => report("exited unexpectedly"),
                ProcessEffect::ReportStartTimeout => report("did not start in time"),
                ProcessEffect::ReportStopTimeout => report("did not exit within the stop timeout"),
                // `handle_update` checks the status, as only the exit notification has it.
                ProcessEffect::CheckExitStatus => {}
            }
        }
        Ok(())
    }

    fn begin_outage(&mut self, relay: usize) {
        let now = self.clock.now();
        let managed = &mut self.relays[relay];
        if managed.outage.is_none() {
            managed.outage = Some(
                self.environment
                    .checker()
                    .disturbance_log
                    .begin(now, Scope::Relay(relay)),
            );
        }
    }

    fn end_outage(&mut self, relay: usize) {
        if let Some(number) = self.relays[relay].outage.take() {
            let now = self.clock.now();
            let scope = Scope::Relay(relay);
            self.environment
                .checker()
                .disturbance_log
                .end(now, &scope, number);
        }
    }

    /// Adds an event to the timelines of requests.
    pub(crate) fn log_event(&self, relay: Option<usize>, what: impl Into<String>) {
        let now = self.clock.now();
        let mut checker = self.environment.checker();
        checker.event_log.record(now, relay, what.into());
    }

    /// Signals a relay process. A failure is only logged: if the process has just exited, its
    /// exit notification follows.
    pub(crate) fn signal(&self, relay: usize, signal: Signal) {
        if let Some(pid) = self.relays[relay].pid
            && let Err(error) = send_signal(pid, signal)
        {
            eprintln!("relay {relay}: {error:#}");
        }
    }

    /// Keeps handling events until all callers have finished.
    pub(crate) async fn run_until_callers_finish(&mut self) -> Result<()> {
        while self.phase.receiver_count() > 0 {
            let step = self.clock.now() + Millis::new(50);
            self.run_until(step).await?;
        }
        Ok(())
    }
}

impl Drop for Controller {
    /// Kills the relay processes; SIGKILL also ends paused ones.
    fn drop(&mut self) {
        for (relay, pid) in self.pids() {
            if let Err(error) = send_signal(pid, Signal::Kill) {
                eprintln!("relay {relay}: {error:#}");
            }
        }
    }
}
