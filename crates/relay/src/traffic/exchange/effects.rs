//! Executes the effects of an exchange.

use std::rc::Rc;

use http::{Response, StatusCode};
use parsleylatch_decide::relay::{
    Choice, EndpointKey, ExchangeEffect, ExchangeInput, MemoryCopy, Outcome, RefusalReason,
    SelectionCriteria, VersionLimit, return_delay,
};
use parsleylatch_types::{Millis, MonoTime};

use super::{CallerState, ExchangeDriver, SentAttempt};
use crate::{
    shared::Snapshot,
    telemetry::{RelayCounter, RelayLatency},
    traffic::{
        attempt::Attempt,
        body::{RelayBody, StreamPart},
        copy_monitor::CopyMonitor,
        engine, responses,
        state::connection_key,
    },
};

impl ExchangeDriver {
    pub(super) fn select_endpoint(
        &mut self,
        excluded: &[EndpointKey],
        copy: Option<&MemoryCopy>,
    ) -> Vec<ExchangeEffect> {
        self.end_attempt(Outcome::Abandoned);
        if let Some(effects) = self.refuse_if_quarantined() {
            return effects;
        }
        if let Some(effects) = self.refuse_if_outlasting(copy.is_some()) {
            return effects;
        }
        let traffic = Rc::clone(&self.traffic);
        let snapshot = traffic.snapshot();
        let now = traffic.now();
        let spec = &self.job.spec;
        let version = self.version_limit(&snapshot, excluded);
        let may_copy = self.job.has_backups
            && spec.repeat.is_stream()
            && !traffic.are_copies_unaffordable(&spec.service, self.stream_size());
        let criteria = SelectionCriteria {
            service: &spec.service,
            excluded,
            copy,
            prompt_holder: self.job.prompt_holder.as_ref(),
            prompt: spec.prompt,
            with_backup: may_copy,
            version: version.as_ref(),
        };
        let choice = traffic
            .selector()
            .select(now, &traffic.endpoint_table.borrow(), &criteria);
        let Some(choice) = choice else {
            return self.handle_no_endpoint(now);
        };
        if version.is_none()
            && let Some(effects) = self.queue_if_full(&choice)
        {
            return effects;
        }
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
            registry_revision = snapshot.registry_revision.get(),
            knowledge_age_ms = traffic.shared.confirmed_age().millis().get();
            "attempt placed"
        );
        self.exchange
            .handle(now, ExchangeInput::Placed(Box::new(choice)))
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

    /// Whether another endpoint than that of the running attempt can take the request.
    pub(super) fn has_alternative(&self) -> bool {
        let Some(sent) = &self.sent else {
            return false;
        };
        let snapshot = self.traffic.snapshot();
        let mut excluded = self.exchange.excluded_endpoints().to_vec();
        excluded.push(sent.key.clone());
        let version = self.version_limit(&snapshot, &excluded);
        let spec = &self.job.spec;
        let criteria = SelectionCriteria {
            service: &spec.service,
            excluded: &excluded,
            copy: None,
            prompt_holder: None,
            prompt: spec.prompt,
            with_backup: false,
            version: version.as_ref(),
        };
        let table = self.traffic.endpoint_table.borrow();
        self.traffic
            .selector()
            .is_any_eligible(self.traffic.now(), &table, &criteria)
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

    pub(super) fn start_attempt(&mut self, choice: Box<Choice>) {
        let now = self.traffic.now();
        let key = choice.endpoint.key.clone();
        self.traffic
            .shared
            .metrics
            .increment(RelayCounter::Attempts);
        self.traffic
            .endpoint_table
            .borrow_mut()
            .record_start(&key, self.job.spec.prompt);
        if self.job.spec.repeat.is_stream() {
            let size = self.stream_size();
            let mut table = self.traffic.endpoint_table.borrow_mut();
            table.record_placement(now, &key, size);
        }
        if let Some(backup) = &choice.backup {
            self.traffic
                .endpoint_table
                .borrow_mut()
                .record_copy(&backup.key);
        }
        self.pending.clear();
        self.attempt = Some(Attempt::start(
            &self.traffic,
            &self.job,
            &choice,
            self.last_event,
            &self.window,
        ));
        self.sent = Some(SentAttempt {
            key,
            choice,
            at: now,
            has_responded: false,
            trial: None,
            began_at: None,
            is_under_way: false,
        });
        self.report_trial_start();
    }

    pub(super) fn start_probe(&mut self) {
        if let Some(sent) = &self.sent {
            self.traffic.shared.metrics.increment(RelayCounter::Probes);
            let key = connection_key(&sent.choice.endpoint);
            let traffic = Rc::clone(&self.traffic);
            self.probe = Some(engine::start_probe(traffic, key));
        }
    }

    pub(super) fn forward_response(&mut self) {
        let Some(response) = self.response.take() else {
            return;
        };
        let kind = match self.job.spec.repeat.may_run_again() {
            true => RelayLatency::IdempotentCall,
            false => RelayLatency::OnceOnlyCall,
        };
        self.observe(kind);
        let (status, headers) = (response.status, &response.headers);
        let Some(rest) = response.rest else {
            self.record_answer(status);
            // An endpoint that did not run the request says so, and is not forwarded.
            let reply = match responses::promises_not_run(status) {
                true => responses::refused(RefusalReason::AnswerLost, false, None),
                false => responses::relayed(status, headers, RelayBody::whole(response.body)),
            };
            return self.reply(reply);
        };
        let (sender, body) = RelayBody::relayed(rest.length);
        self.reply(responses::relayed(status, headers, body));
        self.caller = CallerState::Receiving(sender);
        for part in response.body {
            self.deliver(StreamPart::Data(part));
        }
    }

    fn record_answer(&self, status: StatusCode) {
        self.log_outcome("answered", Some(status.as_u16()));
        self.traffic.shared.metrics.increment(RelayCounter::Answers);
    }

    pub(super) fn begin_stream(&mut self) {
        let Some(head) = self.stream_head.take() else {
            return;
        };
        self.observe(RelayLatency::FirstEvent);
        let (sender, body) = RelayBody::relayed(None);
        self.reply(responses::relayed(head.status, &head.headers, body));
        self.caller = CallerState::Receiving(sender);
        self.flush_events();
    }

    /// Ends the caller's stream or large response.
    pub(super) fn finish(&mut self) {
        self.flush_events();
        self.deliver(StreamPart::End);
        if let Some(forwarded) = &self.forwarded {
            self.record_answer(forwarded.status);
        } else {
            self.log_outcome("finished", None);
            self.traffic
                .shared
                .metrics
                .increment(RelayCounter::StreamsFinished);
        }
        self.caller = CallerState::Done;
    }

    /// Aborts the caller's stream or large response.
    pub(super) fn break_off(&mut self, reason: RefusalReason) {
        let now = self.traffic.now();
        let remaining_ms = self.job.spec.deadline.since(now).millis().get();
        let counter = if let Some(forwarded) = &self.forwarded {
            log::info!(
                id:% = self.job.metadata.id,
                route:% = self.job.route.name,
                reason:% = reason,
                status = forwarded.status.as_u16(),
                after_ms = now.since(forwarded.arrived_at).millis().get(),
                remaining_ms = remaining_ms,
                configuration_revision = self.job.configuration_revision.get();
                "response aborted"
            );
            RelayCounter::AnswersBrokenOff
        } else {
            let silence = self.last_event_at.map(|last| now.since(last));
            log::info!(
                id:% = self.job.metadata.id,
                route:% = self.job.route.name,
                reason:% = reason,
                silence_ms = silence.unwrap_or_default().millis().get(),
                remaining_ms = remaining_ms,
                configuration_revision = self.job.configuration_revision.get();
                "stream aborted"
            );
            RelayCounter::StreamsBrokenOff
        };
        self.log_outcome("broken_off", None);
        self.traffic.shared.metrics.increment(counter);
        self.caller = CallerState::Done;
    }

    /// Passes a part of a body to the caller's connection. What waits there takes room in
    /// the exchange's window.
    pub(super) fn deliver(&self, part: StreamPart) {
        if let CallerState::Receiving(sender) = &self.caller {
            // Fails if the caller has disconnected, which the next wait detects.
            let _ = sender.send(part);
        }
    }

    pub(super) fn refuse(
        &mut self,
        reason: RefusalReason,
        not_run: bool,
        retry_after_ms: Option<Millis>,
    ) {
        let traffic = Rc::clone(&self.traffic);
        let (taken, slots) = traffic
            .endpoint_table
            .borrow()
            .occupancy(traffic.now(), &self.job.spec.service);
        traffic.shared.metrics.increment(RelayCounter::Refusals);
        log::info!(
            id:% = self.job.metadata.id,
            route:% = self.job.route.name,
            reason:% = reason,
            not_run = not_run,
            runs = self.exchange.runs(),
            age_ms = self.exchange.age(traffic.now()).millis().get(),
            taken = taken,
            slots = slots,
            knowledge_age_ms = traffic.shared.confirmed_age().millis().get();
            "request refused"
        );
        self.reply(responses::refused(reason, not_run, retry_after_ms));
    }

    pub(super) fn reply(&mut self, response: Response<RelayBody>) {
        if let CallerState::Waiting(reply) = std::mem::replace(&mut self.caller, CallerState::Done)
        {
            // Fails if the caller has disconnected.
            let _ = reply.send(response);
        }
    }

    /// Cancels the current attempt and removes it from the endpoint table.
    pub(super) fn end_attempt(&mut self, outcome: Outcome) {
        self.attempt = None;
        self.probe = None;
        self.copy_monitor = CopyMonitor::default();
        self.is_endpoint_silent = false;
        self.report_trial_abandoned();
        if let Some(sent) = self.sent.take() {
            let mut table = self.traffic.endpoint_table.borrow_mut();
            if !sent.has_responded {
                table.record_prompt_read(&sent.key, self.job.spec.prompt);
                table.record_outcome(self.traffic.now(), &sent.key, outcome);
            }
            table.record_end(&sent.key);
            table.record_stream_end(&sent.key, sent.at);
            if let Some(backup) = &sent.choice.backup {
                table.record_copy_end(&backup.key);
            }
        }
    }
}
