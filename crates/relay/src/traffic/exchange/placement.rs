//! Choice of the endpoint for the next attempt.
//!
//! A request whose attempt has ended needs a place, and is queued or refused if there is none.
//! One that could leave a silent endpoint looks for a place first, by the same rules, and leaves
//! only once it has one that answers.

use std::rc::Rc;

use parsleylatch_decide::relay::{
    Choice, EndpointKey, ExchangeEffect, ExchangeInput, LeaveReason, MemoryCopy, NextStep, Outcome,
    RefusalReason, Room, SelectionCriteria, VersionLimit, is_hopeless, return_delay,
};
use parsleylatch_types::{Micros, MonoTime, PromptPartId};
use strum::Display;

use super::{Candidate, ExchangeDriver};
use crate::{
    shared::Snapshot,
    telemetry::RelayCounter,
    traffic::{
        engine::{self, ProbeResult},
        locality,
        state::connection_key,
    },
};

/// Why a request has no place for its next attempt.
#[derive(Clone, Debug, Display)]
#[strum(serialize_all = "snake_case")]
pub(super) enum PlaceRefusal {
    /// A part of its prompt is in quarantine.
    Quarantined(PromptPartId),
    /// A trial of a part of its prompt has no outcome yet.
    TrialPending,
    /// The process stops before the attempt could be completed.
    Stopping,
    /// No endpoint is eligible.
    NoEndpoint,
    /// No engine can read the prompt before the deadline.
    Hopeless,
    /// The engines are full.
    Full,
    /// Every endpoint has just rejected a call.
    EndpointsFull,
    /// The service is crowded; the caller may return after the time.
    Crowded(Micros),
    /// No endpoint is predicted to answer the call, which takes the time, before the deadline.
    Unanswerable(Micros),
    /// The endpoint has failed a short time ago.
    Suspended,
    /// The endpoint has not shown yet that it answers.
    Unconfirmed,
    /// The request may not run once more.
    AttemptsUsedUp,
    /// The retry budget is used up.
    NoRetry,
}

impl ExchangeDriver {
    /// Finds an endpoint that takes the request now.
    fn find_place(
        &self,
        excluded: &[EndpointKey],
        copy: Option<&MemoryCopy>,
    ) -> Result<Choice, PlaceRefusal> {
        let choice = self.find_endpoint(excluded, copy)?;
        match self.room(&choice) {
            Room::Free => Ok(choice),
            Room::Unknown | Room::Taken => Err(PlaceRefusal::Full),
        }
    }

    /// What is known about the room of an endpoint for this request.
    fn room(&self, choice: &Choice) -> Room {
        let service = &self.job.spec.service;
        let is_rolled_out = self.traffic.snapshot().versions.contains_key(service);
        if is_rolled_out || self.bypasses_queue || !self.is_queueable(choice.copy.is_some()) {
            return Room::Free;
        }
        self.traffic
            .room(service, &choice.endpoint.key, self.room_claim())
    }

    /// Finds an endpoint for the request, which may have to wait for room there.
    fn find_endpoint(
        &self,
        excluded: &[EndpointKey],
        copy: Option<&MemoryCopy>,
    ) -> Result<Choice, PlaceRefusal> {
        self.admit_prompt()?;
        if self.outlasts_process(copy.is_some()) {
            return Err(PlaceRefusal::Stopping);
        }
        let traffic = &self.traffic;
        let snapshot = traffic.snapshot();
        let now = traffic.now();
        let spec = &self.job.spec;
        let version = self.version_limit(&snapshot, excluded);
        let may_copy = self.job.has_backups
            && spec.repeat.is_stream()
            && !traffic.are_copies_unaffordable(&spec.service, self.stream_size());
        if excluded.is_empty() {
            let goal_at = self.started_at + spec.goal_ms;
            locality::record_demand(traffic, &spec.service, goal_at.since(now));
        }
        let criteria = SelectionCriteria {
            service: &spec.service,
            excluded,
            copy,
            prompt_holder: self.job.prompt_holder.as_ref(),
            prompt: spec.prompt,
            with_backup: may_copy,
            version: version.as_ref(),
        };
        if self.is_limited_call()
            && let Some(choice) = self.plan_call(&criteria)?
        {
            return Ok(choice);
        }
        let choice = traffic
            .selector()
            .select(now, &traffic.endpoint_table.borrow(), &criteria);
        locality::report_changes(traffic);
        let choice = choice.ok_or(PlaceRefusal::NoEndpoint)?;
        if version.is_some() || !self.is_queueable(choice.copy.is_some()) {
            return Ok(choice);
        }
        if is_hopeless(now, spec.deadline, spec.prompt) {
            return Err(PlaceRefusal::Hopeless);
        }
        Ok(choice)
    }

    /// Finds a place for a request without an attempt, or queues or refuses it.
    pub(super) fn select_endpoint(
        &mut self,
        excluded: &[EndpointKey],
        copy: Option<&MemoryCopy>,
    ) -> Vec<ExchangeEffect> {
        self.end_attempt(Outcome::Abandoned);
        let now = self.traffic.now();
        match self.find_place(excluded, copy) {
            Ok(choice) => {
                self.log_placed(&choice);
                self.exchange
                    .handle(now, ExchangeInput::Placed(Box::new(choice)))
            }
            Err(PlaceRefusal::Quarantined(part)) => self.refuse_quarantined(&part),
            Err(PlaceRefusal::TrialPending) => {
                self.exchange.handle(now, ExchangeInput::PlacementFailed)
            }
            Err(PlaceRefusal::Stopping) => self.refuse_stopping(),
            Err(PlaceRefusal::Hopeless) => self.refuse_hopeless(),
            Err(PlaceRefusal::Full) => self.enter_queue(),
            Err(PlaceRefusal::EndpointsFull) => self.enter_call_queue(),
            Err(PlaceRefusal::Crowded(wait)) => self.refuse_crowded(wait),
            Err(PlaceRefusal::Unanswerable(wait)) => self.refuse_unanswerable(wait),
            Err(
                PlaceRefusal::NoEndpoint
                | PlaceRefusal::Suspended
                | PlaceRefusal::Unconfirmed
                | PlaceRefusal::AttemptsUsedUp
                | PlaceRefusal::NoRetry,
            ) => self.handle_no_endpoint(now),
        }
    }

    /// Decides whether the request leaves the endpoint of its running attempt for `reason`.
    ///
    /// While the endpoint may still answer, a stream leaves only for one that has just shown
    /// that it answers; that one is asked first. Once the endpoint is given up, the request
    /// also leaves for one that may reject it, and for the queue.
    pub(super) fn plan_move(&mut self, reason: LeaveReason) -> Result<NextStep, PlaceRefusal> {
        let is_given_up = self.is_probing() && self.exchange.is_given_up(self.traffic.now());
        let may_ask = !is_given_up && self.job.spec.repeat.is_stream();
        let mut found = self.find_next_place(may_ask);
        if matches!(found, Err(PlaceRefusal::NoEndpoint)) && !self.unconfirmed.is_empty() {
            // All others have been asked, and may answer by now.
            self.unconfirmed.clear();
            found = self.find_next_place(may_ask);
        }
        let next = match found {
            Ok(choice) if may_ask => {
                self.ask_candidate(reason, choice);
                return Err(PlaceRefusal::Unconfirmed);
            }
            Ok(choice) => NextStep::Move(Box::new(choice)),
            // The endpoint has the request, and only the connection gives no sign of life.
            Err(PlaceRefusal::NoEndpoint) if reason == LeaveReason::Undelivered => {
                NextStep::Move(Box::new(self.find_place_again()?))
            }
            Err(PlaceRefusal::Full | PlaceRefusal::Suspended) if is_given_up => NextStep::Retry,
            Err(refusal) => return Err(refusal),
        };
        match self.take_retry() {
            true => Ok(next),
            false => Err(PlaceRefusal::NoRetry),
        }
    }

    /// Asks the next endpoint for its state, unless one has been asked already.
    fn ask_candidate(&mut self, reason: LeaveReason, choice: Choice) {
        if self.candidate.is_some() {
            return;
        }
        self.traffic.shared.metrics.increment(RelayCounter::Probes);
        let key = connection_key(&choice.endpoint);
        self.candidate = Some(Candidate {
            reason,
            choice: Box::new(choice),
            probe: engine::start_probe(Rc::clone(&self.traffic), key),
        });
    }

    /// Handles the answer of the next endpoint that was asked for its state.
    pub(super) fn handle_candidate(&mut self, report: ProbeResult) -> Vec<ExchangeEffect> {
        let Some(Candidate { reason, choice, .. }) = self.candidate.take() else {
            return Vec::new();
        };
        if let Err(refusal) = self.confirm_candidate(&choice, report) {
            self.unconfirmed.push(choice.endpoint.key.clone());
            self.record_stay(reason, &refusal);
            return Vec::new();
        }
        self.record_failure(Outcome::Broken, reason.into());
        self.log_placed(&choice);
        let input = ExchangeInput::PlaceConfirmed { reason, choice };
        self.exchange.handle(self.traffic.now(), input)
    }

    /// Whether an endpoint that was asked for its state takes the request.
    fn confirm_candidate(&self, choice: &Choice, report: ProbeResult) -> Result<(), PlaceRefusal> {
        let now = self.traffic.now();
        let key = &choice.endpoint.key;
        let mut table = self.traffic.endpoint_table.borrow_mut();
        let has_slot = match report {
            Some(Ok(report)) => {
                table.record_report(now, key, &report);
                report.running.saturating_add(report.waiting) < choice.endpoint.slots.get()
            }
            // It answers, and its report tells nothing.
            Some(Err(_)) => true,
            None => return Err(PlaceRefusal::Unconfirmed),
        };
        let is_usable = table.is_usable(key);
        drop(table);
        if !is_usable {
            return Err(PlaceRefusal::NoEndpoint);
        }
        let has_room = has_slot && self.room(choice) == Room::Free;
        if !has_room && choice.copy.is_none() {
            return Err(PlaceRefusal::Full);
        }
        self.admit_prompt()?;
        if self.outlasts_process(choice.copy.is_some()) {
            return Err(PlaceRefusal::Stopping);
        }
        if !self.exchange.allows_retry(true) {
            return Err(PlaceRefusal::AttemptsUsedUp);
        }
        match self.take_retry() {
            true => Ok(()),
            false => Err(PlaceRefusal::NoRetry),
        }
    }

    /// Finds a place for a request that has an attempt; with `may_ask` also one whose room is
    /// not known, because its endpoint is asked before the request leaves.
    fn find_next_place(&self, may_ask: bool) -> Result<Choice, PlaceRefusal> {
        let Some(sent) = &self.sent else {
            return Err(PlaceRefusal::NoEndpoint);
        };
        let mut excluded = self.exchange.excluded_endpoints().to_vec();
        excluded.push(sent.key.clone());
        excluded.extend_from_slice(&self.unconfirmed);
        let choice = self.find_endpoint(&excluded, self.exchange.next_copy())?;
        match self.room(&choice) {
            Room::Free => {}
            Room::Unknown if may_ask => {}
            Room::Unknown | Room::Taken => return Err(PlaceRefusal::Full),
        }
        if choice.copy.is_none() && self.is_restart_hopeless() {
            return Err(PlaceRefusal::Hopeless);
        }
        // A call that is rejected goes on elsewhere at once.
        let table = self.traffic.endpoint_table.borrow();
        let is_suspended = self.job.spec.repeat.is_stream()
            && table.has_failed_recently(self.traffic.now(), &choice.endpoint.key);
        match is_suspended {
            true => Err(PlaceRefusal::Suspended),
            false => Ok(choice),
        }
    }

    /// Finds a place for a request that may run at its endpoint once more.
    fn find_place_again(&self) -> Result<Choice, PlaceRefusal> {
        let is_running = |key: &EndpointKey| self.sent.as_ref().is_some_and(|it| it.key == *key);
        let excluded = self.exchange.excluded_endpoints().iter();
        let excluded: Vec<_> = excluded.filter(|key| !is_running(key)).cloned().collect();
        self.find_place(&excluded, None)
    }

    pub(super) fn version_limit(
        &self,
        snapshot: &Snapshot,
        excluded: &[EndpointKey],
    ) -> Option<VersionLimit> {
        let rule = snapshot.versions.get(&self.job.spec.service)?;
        let is_retry = self.exchange.runs() > 0 || !excluded.is_empty();
        Some(rule.limit(self.version_draw, is_retry))
    }

    /// Logs the endpoint of the next attempt.
    pub(super) fn log_placed(&self, choice: &Choice) {
        let traffic = Rc::clone(&self.traffic);
        log::info!(
            id:% = self.job.metadata.id,
            route:% = self.job.route.name,
            endpoint:% = choice.endpoint.key.id,
            backup = choice.backup.as_ref().map_or("-", |it| it.key.id.as_str()),
            has_copy = choice.copy.is_some(),
            has_prompt = self.job.prompt_holder.as_ref() == Some(&choice.endpoint.key),
            candidates = choice.candidates,
            runs = self.exchange.runs(),
            last_event = self.last_event.unwrap_or_default().get(),
            configuration_revision = self.job.configuration_revision.get(),
            registry_revision = traffic.snapshot().registry_revision.get(),
            knowledge_age_ms = traffic.shared.confirmed_age().millis().get();
            "attempt placed"
        );
    }

    /// Handles a failed placement: a request whose endpoints are all paused for longer than it
    /// may wait is refused at once.
    fn handle_no_endpoint(&mut self, now: MonoTime) -> Vec<ExchangeEffect> {
        let spec = &self.job.spec;
        let pause_left = self
            .traffic
            .endpoint_table
            .borrow()
            .pause_left(now, &spec.service);
        let input = match pause_left {
            Some(wait) if !self.exchange.may_wait_for(now, wait) => ExchangeInput::Hopeless {
                reason: RefusalReason::EndpointsPaused,
                retry_after_ms: Some(return_delay(wait, spec.deadline.since(now), rand::random())),
            },
            _ => ExchangeInput::PlacementFailed,
        };
        self.exchange.handle(now, input)
    }
}
