//! Control thread of a run: starts, signals and restarts the relay processes and injects the
//! faults of the plan.

use std::{fs, sync::Arc};

use eyre::{Result, WrapErr, eyre};
use parsleylatch_bench::process::{Signal, resident_memory, send_signal};
use parsleylatch_runtime::Clock;
use parsleylatch_standin::{FaultSpec, RelayedFault, RelayedNotice, Silence, StoreFault};
use parsleylatch_types::{Millis, MonoTime};
use tokio::sync::{mpsc, watch};

use crate::{
    callers::Phase,
    disturbances::{SETTLE_MS, Scope},
    environment::Environment,
    invariants::{Invariant, MAX_DRAIN_DELAY_MS, MEMORY_LIMIT_BYTES},
    lifecycle::{ProcessEffect, ProcessEvent, ProcessLifecycle, ProcessState},
    link::{Link, LinkMode},
    plan::{Fault, PlannedFault},
    process::{ProcessChange, ProcessUpdate, RelayProgram},
};

/// Capacity of the channel for process notifications.
const UPDATE_BUFFER: usize = 256;
/// Time limit for all relays to run, at the start and after the load.
const ALL_RUNNING_TIMEOUT_MS: Millis = Millis::new(20_000);
/// Time beyond [`MAX_DRAIN_DELAY_MS`] after which a draining endpoint is replaced.
const REPLACEMENT_SLACK_MS: Millis = Millis::new(1_500);
/// Times for which a relay on a part of a core is stopped and runs, in turn.
const PART_CORE_STOPPED_MS: Millis = Millis::new(88);
const PART_CORE_RUNNING_MS: Millis = Millis::new(12);
const MEMORY_CHECK_INTERVAL_MS: Millis = Millis::new(500);

/// Action that runs later, such as ending a fault.
type ScheduledAction = Box<dyn FnOnce(&mut Controller) + Send>;

struct ManagedRelay {
    lifecycle: ProcessLifecycle,
    pid: Option<u32>,
    revision: u64,
    /// Number of the ongoing unplanned outage in the disturbance log.
    outage: Option<usize>,
}

/// State of the control thread.
pub(crate) struct Controller {
    environment: Arc<Environment>,
    clock: Clock,
    program: RelayProgram,
    relays: Vec<ManagedRelay>,
    updates: mpsc::Receiver<ProcessUpdate>,
    update_sender: mpsc::Sender<ProcessUpdate>,
    scheduled_actions: Vec<(MonoTime, ScheduledAction)>,
    phase: watch::Sender<Phase>,
    newest_version: watch::Sender<u64>,
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
        }
        Ok(())
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
                self.relays[relay]
                    .lifecycle
                    .handle(now, ProcessEvent::Started)
            }
            ProcessChange::Exited(status) => {
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

    fn apply_effects(&mut self, relay: usize, effects: Vec<ProcessEffect>) -> Result<()> {
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
                    self.environment.checker().record_relay_start(relay);
                }
                ProcessEffect::SendStop => {
                    self.environment.checker().record_stop(now, relay);
                    self.signal(relay, Signal::Term);
                }
                ProcessEffect::SendKill => {
                    if self.environment.broken_invariant != Some(Invariant::RequestLoss) {
                        self.begin_outage(relay);
                    }
                    self.signal(relay, Signal::Kill);
                }
                ProcessEffect::SendPause => {
                    if self.environment.broken_invariant != Some(Invariant::ResponseDeadline) {
                        self.begin_outage(relay);
                    }
                    self.signal(relay, Signal::Stop);
                }
                ProcessEffect::SendContinue => {
                    self.signal(relay, Signal::Cont);
                    self.end_outage(relay);
                }
                ProcessEffect::SendHangUp => self.signal(relay, Signal::Hup),
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
                .end(now, scope, number);
        }
    }

    /// Signals a relay process. A failure is only logged: if the process has just exited, its
    /// exit notification follows.
    fn signal(&self, relay: usize, signal: Signal) {
        if let Some(pid) = self.relays[relay].pid
            && let Err(error) = send_signal(pid, signal)
        {
            eprintln!("relay {relay}: {error:#}");
        }
    }

    fn inject_planned_fault(&mut self, fault: Fault) -> Result<()> {
        let now = self.clock.now();
        let environment = Arc::clone(&self.environment);
        match fault {
            Fault::StopRelay(relay) => return self.apply_event(relay, ProcessEvent::StopRequested),
            Fault::KillRelay(relay)
                if environment.broken_invariant == Some(Invariant::ProcessExit) =>
            {
                self.signal(relay, Signal::Kill);
            }
            Fault::KillRelay(relay) => return self.apply_event(relay, ProcessEvent::KillRequested),
            Fault::PauseRelay(relay, pause_ms) => {
                let effects = self.relays[relay].lifecycle.pause(now, pause_ms);
                return self.apply_effects(relay, effects);
            }
            Fault::ChangeSettings { relay, with_signal } => {
                let managed = &mut self.relays[relay];
                managed.revision += 1;
                let store = environment.store_links[relay].address;
                self.program
                    .write_settings(relay, store, managed.revision)?;
                if with_signal {
                    return self.apply_event(relay, ProcessEvent::HangUpRequested);
                }
            }
            Fault::ChangeConfiguration => {
                let version = *self.newest_version.borrow() + 1;
                if environment.broken_invariant != Some(Invariant::ConfigurationDelay) {
                    environment.write_configuration(version);
                }
                environment.checker().record_configuration(now, version);
                self.newest_version.send_replace(version);
            }
            Fault::DrainEndpoint(index) => self.drain_endpoint(index),
            Fault::Notice(index, notice) => self.announce(index, notice),
            Fault::CallerLink(relay, mode, duration_ms) => {
                let link = environment.caller_links[relay].clone();
                self.disturb_link(link, mode, duration_ms, Scope::Relay(relay));
            }
            Fault::StoreLink(relay, mode, duration_ms) => {
                let link = environment.store_links[relay].clone();
                self.disturb_link(link, mode, duration_ms, Scope::Relay(relay));
            }
            Fault::EndpointLink(index, mode, duration_ms) => {
                let link = environment.endpoints[index].link.clone();
                self.disturb_link(link, mode, duration_ms, Scope::Shared);
            }
            Fault::CrashEndpoint(index, duration_ms) => {
                let link = environment.endpoints[index].link.clone();
                self.disturb_link(link, LinkMode::Reset, duration_ms, Scope::Shared);
                self.schedule(duration_ms, move |it| it.environment.replace(index));
            }
            Fault::Endpoint {
                index,
                fault,
                delay_ms,
                duration_ms,
            } => {
                let inject = || environment.set_endpoint_fault(index, fault, delay_ms);
                self.inject_for(duration_ms, Scope::Shared, inject, move |controller| {
                    controller.environment.set_endpoint_fault(
                        index,
                        RelayedFault::None,
                        Millis::ZERO,
                    );
                });
            }
            Fault::Silence {
                index,
                duration_ms,
                answering_ms,
            } => {
                environment.set_silence(index, Silence::All);
                let end_ms = duration_ms.saturating_sub(answering_ms);
                self.schedule(end_ms, move |it| {
                    it.environment.set_silence(index, Silence::Work);
                    it.schedule(answering_ms, move |it| {
                        it.environment.set_silence(index, Silence::None);
                    });
                });
            }
            Fault::PartCore(relay, duration_ms) => self.run_on_part_core(relay, now + duration_ms),
            Fault::Store {
                fault,
                delay_ms,
                duration_ms,
            } => {
                let fault_spec = move |fault| FaultSpec {
                    fault,
                    at_index: None,
                    delay_ms: Some(delay_ms),
                };
                let inject = || environment.store.inject_fault(fault_spec(fault));
                self.inject_for(duration_ms, Scope::Shared, inject, move |controller| {
                    controller
                        .environment
                        .store
                        .inject_fault(fault_spec(StoreFault::None));
                });
            }
        }
        Ok(())
    }

    fn apply_event(&mut self, relay: usize, event: ProcessEvent) -> Result<()> {
        let now = self.clock.now();
        let effects = self.relays[relay].lifecycle.handle(now, event);
        self.apply_effects(relay, effects)
    }

    /// Marks an endpoint as leaving, and replaces it once no relay may use it any more. It stays
    /// if the relays are not told on purpose, so that requests arrive at it on a busy machine, too.
    fn drain_endpoint(&mut self, index: usize) {
        let environment = &self.environment;
        let id = environment.endpoints[index].id.clone();
        if environment.broken_invariant == Some(Invariant::Drain) {
            return environment.checker().record_draining(self.clock.now(), id);
        }
        environment.register(index, true);
        environment.checker().record_draining(self.clock.now(), id);
        let delay_ms = MAX_DRAIN_DELAY_MS.saturating_add(REPLACEMENT_SLACK_MS);
        self.schedule(delay_ms, move |it| it.environment.replace(index));
    }

    /// Makes an endpoint say that it leaves, until it is replaced, or that it pauses. One that
    /// leaves without saying so on purpose stays, as in [`Self::drain_endpoint`].
    fn announce(&mut self, index: usize, notice: RelayedNotice) {
        self.environment.set_notice(index, Some(notice));
        if self.environment.broken_invariant == Some(Invariant::LeavingNotice) {
            return;
        }
        let delay_ms = match notice {
            RelayedNotice::Leaving => MAX_DRAIN_DELAY_MS.saturating_add(REPLACEMENT_SLACK_MS),
            RelayedNotice::Pause(pause_ms) => pause_ms,
        };
        self.schedule(delay_ms, move |it| {
            it.environment.set_notice(index, None);
            if notice == RelayedNotice::Leaving {
                it.environment.replace(index);
            }
        });
    }

    fn disturb_link(&mut self, link: Link, mode: LinkMode, duration_ms: Millis, scope: Scope) {
        let target = link.clone();
        let inject = || target.set_mode(mode);
        self.inject_for(duration_ms, scope, inject, move |_| {
            link.set_mode(LinkMode::Pass);
        });
    }

    /// Stops and continues a relay in turn until a time. It is never left stopped: the loop ends
    /// after the relay has been continued, and a controller that is dropped kills the relays.
    fn run_on_part_core(&mut self, relay: usize, until: MonoTime) {
        if self.clock.now() >= until {
            return;
        }
        self.signal(relay, Signal::Stop);
        self.schedule(PART_CORE_STOPPED_MS, move |it| {
            it.signal(relay, Signal::Cont);
            it.schedule(PART_CORE_RUNNING_MS, move |it| {
                it.run_on_part_core(relay, until);
            });
        });
    }

    /// Records a disturbance, injects the fault and schedules its end. The disturbance is
    /// recorded first, as callers on another thread can observe the fault immediately.
    fn inject_for<Inject, Undo>(
        &mut self,
        duration_ms: Millis,
        scope: Scope,
        inject: Inject,
        undo: Undo,
    ) where
        Inject: FnOnce(),
        Undo: FnOnce(&mut Controller) + Send + 'static,
    {
        let now = self.clock.now();
        let is_recorded = self.environment.broken_invariant != Some(Invariant::EarlyFailure);
        let number =
            is_recorded.then(|| self.environment.checker().disturbance_log.begin(now, scope));
        inject();
        self.schedule(duration_ms, move |controller| {
            undo(controller);
            if let Some(number) = number {
                let now = controller.clock.now();
                let checker = &mut controller.environment.checker();
                checker.disturbance_log.end(now, scope, number);
            }
        });
    }

    fn schedule<Action>(&mut self, after_ms: Millis, action: Action)
    where
        Action: FnOnce(&mut Controller) + Send + 'static,
    {
        let at = self.clock.now() + after_ms;
        self.scheduled_actions.push((at, Box::new(action)));
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
