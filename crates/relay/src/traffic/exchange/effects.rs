//! Executes the effects of an exchange.

use std::rc::Rc;

use http::{Response, StatusCode};
use parsleylatch_decide::relay::{Choice, LeaveReason, Outcome, RefusalReason};
use parsleylatch_types::{ByteCount, Millis};

use super::{CallerState, ExchangeDriver, SentAttempt};
use crate::{
    telemetry::{RelayCounter, RelayLatency},
    traffic::{
        attempt::Attempt,
        body::{RelayBody, StreamPart},
        call_queue,
        copy_monitor::CopyMonitor,
        engine, locality, responses,
        state::connection_key,
    },
};

impl ExchangeDriver {
    /// Sends the request to an endpoint, and closes its previous attempt.
    pub(super) fn start_attempt(&mut self, choice: Box<Choice>) {
        self.end_attempt(Outcome::Abandoned);
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
        call_queue::record_sent(&self.traffic, &self.job.spec.service, &key);
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
            border: None,
            transferred: ByteCount::new(self.job.body.len() as u64),
        });
        self.record_departure();
        self.report_trial_start();
    }

    pub(super) fn start_probe(&mut self) {
        if let Some(sent) = &self.sent {
            self.traffic.shared.metrics.increment(RelayCounter::Probes);
            let key = connection_key(&sent.choice.endpoint);
            let traffic = Rc::clone(&self.traffic);
            self.probed_at = self.traffic.now();
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
                left_for = self.left_for(),
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

    /// Why the request left its last endpoint, for the log.
    fn left_for(&self) -> &'static str {
        self.exchange.left_for().map_or("-", LeaveReason::into)
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
            left_for = self.left_for(),
            runs = self.exchange.runs(),
            age_ms = self.exchange.age(traffic.now()).millis().get(),
            taken = taken,
            slots = slots,
            knowledge_age_ms = traffic.shared.confirmed_age().millis().get();
            "request refused"
        );
        let retry_after_ms = self.spread_retry_after(reason, retry_after_ms);
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
        self.candidate = None;
        self.unconfirmed.clear();
        self.copy_monitor = CopyMonitor::default();
        self.is_endpoint_silent = false;
        self.report_trial_abandoned();
        if let Some(sent) = self.sent.take() {
            let service = &self.job.spec.service;
            locality::record_transfer(&self.traffic, service, sent.border, sent.transferred);
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
