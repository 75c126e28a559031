//! Injection of the planned faults and operations, and their ends.

use std::sync::Arc;

use eyre::Result;
use parsleylatch_bench::process::Signal;
use parsleylatch_standin::{FaultSpec, RelayedFault, RelayedNotice, Silence, StoreFault};
use parsleylatch_types::{Millis, MonoTime};

use crate::{
    controller::Controller,
    disturbances::Scope,
    invariants::{Invariant, MAX_DRAIN_DELAY_MS},
    lifecycle::ProcessEvent,
    link::{Link, LinkMode},
    plan::Fault,
};

/// Time beyond [`MAX_DRAIN_DELAY_MS`] after which a draining endpoint is replaced.
const REPLACEMENT_SLACK_MS: Millis = Millis::new(1_500);
/// Time in which requests may still wait for an endpoint that has been silent.
const SILENCE_SLACK_MS: Millis = Millis::new(100);
/// Times for which a relay on a part of a core is stopped and runs, in turn.
const PART_CORE_STOPPED_MS: Millis = Millis::new(88);
const PART_CORE_RUNNING_MS: Millis = Millis::new(12);

impl Controller {
    pub(crate) fn inject_planned_fault(&mut self, fault: Fault) -> Result<()> {
        let now = self.clock.now();
        let environment = Arc::clone(&self.environment);
        self.log_event(fault.relay(), format!("injected {fault:?}"));
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
                let revision = managed.revision;
                let store = environment.store_links[relay].address;
                // No process has this id; one that starts later reads the file by itself.
                let pid = managed.pid.unwrap_or_default();
                let updates = (pid, self.update_sender.clone());
                self.program.write_settings_in_background(
                    relay,
                    store,
                    revision,
                    with_signal,
                    updates,
                );
            }
            Fault::ChangeConfiguration => {
                let version = *self.newest_version.borrow() + 1;
                if environment.broken_invariant != Some(Invariant::ConfigurationDelay) {
                    environment.write_configuration(version);
                }
                let confirmed_at = self.clock.now();
                let mut checker = environment.checker();
                checker.record_configuration(now, confirmed_at, version);
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
                let id = environment.endpoints[index].id.clone();
                self.disturb_link(link, mode, duration_ms, Scope::Endpoint(id));
            }
            Fault::CrashEndpoint(index, duration_ms) => {
                let link = environment.endpoints[index].link.clone();
                let id = environment.endpoints[index].id.clone();
                self.disturb_link(link, LinkMode::Reset, duration_ms, Scope::Endpoint(id));
                self.schedule(duration_ms, move |it| it.environment.replace(index));
            }
            Fault::Endpoint {
                index,
                fault,
                delay_ms,
                duration_ms,
            } => {
                let inject = || environment.set_endpoint_fault(index, fault, delay_ms);
                let scope = Scope::Endpoint(environment.endpoints[index].id.clone());
                self.inject_for(duration_ms, scope, inject, move |controller| {
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
                environment
                    .checker()
                    .new_caller_check
                    .record_silence(now, now + duration_ms + SILENCE_SLACK_MS);
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
                self.inject_for(duration_ms, Scope::Store, inject, move |controller| {
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
        let unrecorded = [
            Invariant::EarlyFailure,
            Invariant::KeptConnectionLoss,
            Invariant::PlannedWorkLoss,
        ];
        let broken = self.environment.broken_invariant;
        let is_recorded = broken.is_none_or(|it| !unrecorded.contains(&it));
        let begun = scope.clone();
        let number =
            is_recorded.then(|| self.environment.checker().disturbance_log.begin(now, begun));
        inject();
        self.schedule(duration_ms, move |controller| {
            undo(controller);
            if let Some(number) = number {
                let now = controller.clock.now();
                let checker = &mut controller.environment.checker();
                checker.disturbance_log.end(now, &scope, number);
            }
        });
    }

    pub(crate) fn schedule<Action>(&mut self, after_ms: Millis, action: Action)
    where
        Action: FnOnce(&mut Controller) + Send + 'static,
    {
        let at = self.clock.now() + after_ms;
        self.scheduled_actions.push((at, Box::new(action)));
    }
}
