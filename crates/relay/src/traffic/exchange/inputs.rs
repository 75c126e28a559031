//! Passes the events of attempts to their exchange.

use bytes::Bytes;
use http::StatusCode;
use parsleylatch_decide::relay::{
    EngineReport, ExchangeEffect, ExchangeInput, ExchangeState, LeaveReason, NextStep, Outcome,
    ProbeFailure, ProbeFinding, ResponseClass, RetryKind,
};
use parsleylatch_http::RawEvent;
use parsleylatch_types::{MonoTime, StreamEventId};

use super::{
    CallerState, ExchangeDriver, ForwardedResponse, TIMER_PAUSE_THRESHOLD_MS,
    placement::PlaceRefusal,
};
use crate::{
    telemetry::RelayCounter,
    traffic::{
        attempt::{AttemptEvent, EndpointResponse, ResponseHead},
        body::StreamPart,
        engine::PROBE_TIMEOUT_MS,
        responses,
    },
};

/// Comments that are kept until the first event.
const HELD_COMMENTS: usize = 16;
/// Size up to which a comment is kept.
const HELD_COMMENT_BYTES: usize = 1 << 10;

impl ExchangeDriver {
    pub(super) fn handle_probe(
        &mut self,
        report: Option<&Result<EngineReport, String>>,
    ) -> Vec<ExchangeEffect> {
        let now = self.traffic.now();
        if let (Some(sent), Some(Ok(report))) = (&self.sent, report) {
            let mut table = self.traffic.endpoint_table.borrow_mut();
            table.record_report(now, &sent.key, report);
        }
        // The request has made progress since, or its probe has timed out.
        if !self.is_probing() {
            return Vec::new();
        }
        let answering_for = self.exchange.answering_for(now);
        let finding = report.map(|report| match report {
            Ok(report) => report.find_request(
                self.job.metadata.id.as_str(),
                self.last_event,
                answering_for,
            ),
            // The engine is alive, and its report tells nothing about the request.
            Err(_) => ProbeFinding::Present,
        });
        let failure = match finding {
            Some(ProbeFinding::Present) => {
                self.leave_candidate();
                return self.exchange.handle(now, ExchangeInput::ProbeAnswered);
            }
            Some(ProbeFinding::TooEarly) => {
                self.leave_candidate();
                return self.exchange.handle(now, ExchangeInput::ProbeUnclear);
            }
            // Undelivered events may still arrive, unless the connection is dead.
            Some(ProbeFinding::Undelivered) => ProbeFailure::Undelivered,
            Some(ProbeFinding::Missing) => ProbeFailure::Missing,
            None if self.was_paused_while_probing(now) => {
                return self.exchange.expire(now, true, NextStep::Stay);
            }
            None => ProbeFailure::Silent,
        };
        let reason = LeaveReason::from(failure);
        let planned = match self.exchange.allows_retry(true) {
            true => self.plan_move(reason),
            false => Err(PlaceRefusal::AttemptsUsedUp),
        };
        match &planned {
            Ok(_) => self.record_failure(Outcome::Broken, reason.into()),
            Err(refusal) => self.record_stay(reason, refusal),
        }
        let next = planned.unwrap_or(NextStep::Stay);
        self.log_next(&next);
        let input = ExchangeInput::ProbeFailed { failure, next };
        let effects = self.exchange.handle(now, input);
        if self.exchange.is_over() {
            self.record_failure(Outcome::Broken, reason.into());
        }
        effects
    }

    /// Drops the next endpoint because that of the attempt answers probes, unless its response
    /// is overdue all the same.
    fn leave_candidate(&mut self) {
        let candidate = self.candidate.take();
        self.candidate = candidate.filter(|it| it.reason == LeaveReason::Overdue);
    }

    /// Whether the timeout of a probe passed while the process stood still, which is no sign of
    /// the endpoint's silence.
    fn was_paused_while_probing(&self, now: MonoTime) -> bool {
        let limit = PROBE_TIMEOUT_MS.saturating_add(TIMER_PAUSE_THRESHOLD_MS);
        now.since(self.probed_at) > limit.micros()
    }

    pub(super) fn handle_event(&mut self, event: AttemptEvent) -> Vec<ExchangeEffect> {
        self.count_bytes(&event);
        match event {
            AttemptEvent::Unreachable(reason) => {
                self.record_failure(Outcome::Unreachable, &reason);
                self.handle_unsent()
            }
            AttemptEvent::Unanswered(reason) => {
                self.record_failure(Outcome::Unreachable, &reason);
                let may_retry = self.may_retry(false);
                self.exchange
                    .handle(self.traffic.now(), ExchangeInput::Unanswered { may_retry })
            }
            AttemptEvent::Unsent(reason) => {
                self.record_failure(Outcome::Abandoned, &reason);
                self.handle_unsent()
            }
            AttemptEvent::Lost(reason) => {
                self.report_crash();
                self.handle_lost(&reason)
            }
            AttemptEvent::Invalid(reason) => self.handle_lost(&reason),
            AttemptEvent::MemoryUsedUp => self.handle_memory_used_up(),
            AttemptEvent::Response(response) => self.handle_response(response),
            AttemptEvent::BodyPart(part) => {
                self.deliver(StreamPart::Data(part));
                Vec::new()
            }
            AttemptEvent::BodyEnd => self.handle_body_end(),
            AttemptEvent::Head(head) => self.handle_head(head),
            AttemptEvent::Events(events) => self.handle_events(events),
            AttemptEvent::Finished if self.exchange.has_begun() => {
                self.record_first_response(self.traffic.now());
                self.record_duration();
                // A resumed stream may have no further events, which shows nothing.
                let has_events = self.sent.as_ref().is_some_and(|it| it.began_at.is_some());
                self.report_answer(self.traffic.now(), has_events);
                self.exchange
                    .handle(self.traffic.now(), ExchangeInput::Finished)
            }
            AttemptEvent::Finished => {
                self.report_crash();
                self.handle_lost("stream ended without an event")
            }
        }
    }

    pub(super) fn handle_unsent(&mut self) -> Vec<ExchangeEffect> {
        let now = self.traffic.now();
        let may_retry = now < self.job.spec.deadline && self.may_retry(false);
        self.exchange
            .handle(now, ExchangeInput::Unsent { may_retry })
    }

    pub(super) fn handle_lost(&mut self, reason: &str) -> Vec<ExchangeEffect> {
        self.record_failure(Outcome::Broken, reason);
        let may_retry = self.may_retry(true);
        self.exchange
            .handle(self.traffic.now(), ExchangeInput::Lost { may_retry })
    }

    /// Leaves an attempt whose response the process has no memory for. That is no failure of
    /// its endpoint.
    fn handle_memory_used_up(&mut self) -> Vec<ExchangeEffect> {
        let reason = "memory for responses is used up";
        let metrics = &self.traffic.shared.metrics;
        metrics.increment(RelayCounter::ResponsesOutOfMemory);
        self.record_failure(Outcome::Abandoned, reason);
        // The events of another attempt would find as little room.
        let may_retry = !self.exchange.has_begun() && self.may_retry(true);
        self.exchange
            .handle(self.traffic.now(), ExchangeInput::Lost { may_retry })
    }

    fn handle_response(&mut self, mut response: Box<EndpointResponse>) -> Vec<ExchangeEffect> {
        let now = self.traffic.now();
        self.record_load(&response.metadata);
        let status = response.status;
        let is_not_run = response.metadata.is_not_run && !status.is_success()
            || response.metadata.is_misdirected;
        let class = if is_not_run {
            ResponseClass::NotRun
        } else if !response.metadata.has_digest && status.is_success() {
            return self.handle_lost("successful response without a digest");
        } else if status.is_server_error() || responses::promises_not_run(status) {
            ResponseClass::Failure
        } else {
            ResponseClass::Final
        };
        let class = self.exchange.classify(class);
        self.record_call_response(&response.metadata, class);
        if responses::promises_not_run(status) {
            // Its body is not forwarded.
            response.rest = None;
            response.body.clear();
        }
        let is_complete = response.rest.is_none();
        match class {
            ResponseClass::Final if is_complete => self.record_complete_response(status, now),
            // Whether it succeeds shows at the end of its body.
            ResponseClass::Final => {}
            ResponseClass::Failure => self.record_failure(Outcome::Errored, status.as_str()),
            ResponseClass::NotRun => {
                let outcome = match response.metadata.is_misdirected {
                    true => Outcome::Replaced,
                    false if self.has_copy() => Outcome::Abandoned,
                    false if self.is_full(&response.metadata) => Outcome::Abandoned,
                    false => Outcome::Rejected,
                };
                self.record_failure(outcome, status.as_str());
            }
        }
        let may_retry = match class {
            ResponseClass::Final => false,
            ResponseClass::Failure => self.may_retry(true),
            ResponseClass::NotRun => self.may_retry(false),
        };
        self.response = Some(response);
        let input = match is_complete {
            true => ExchangeInput::Answered { class, may_retry },
            false => ExchangeInput::AnswerBegun { class, may_retry },
        };
        let effects = self.exchange.handle(now, input);
        if self.exchange.state() == ExchangeState::Forwarding {
            self.forwarded = Some(ForwardedResponse {
                status,
                class,
                arrived_at: now,
            });
        } else if !is_complete {
            // Frees what was read of a response that is not forwarded.
            self.response = None;
        }
        effects
    }

    /// Records a complete response whose head arrived at `arrived_at`.
    fn record_complete_response(&mut self, status: StatusCode, arrived_at: MonoTime) {
        self.record_first_response(arrived_at);
        if status.is_success() {
            self.report_answer(self.traffic.now(), true);
        }
    }

    fn handle_body_end(&mut self) -> Vec<ExchangeEffect> {
        if let Some(forwarded) = &self.forwarded
            && forwarded.class == ResponseClass::Final
        {
            let (status, arrived_at) = (forwarded.status, forwarded.arrived_at);
            self.record_complete_response(status, arrived_at);
        }
        self.exchange
            .handle(self.traffic.now(), ExchangeInput::Finished)
    }

    pub(super) fn handle_head(&mut self, head: Box<ResponseHead>) -> Vec<ExchangeEffect> {
        self.record_load(&head.metadata);
        if !head.metadata.has_digest {
            return self.handle_lost("stream without a digest");
        }
        if self.stream_head.is_none() {
            self.stream_head = Some(head);
        }
        Vec::new()
    }

    /// Forwards the events that the caller does not have yet.
    pub(super) fn handle_events(&mut self, events: Vec<RawEvent>) -> Vec<ExchangeEffect> {
        let now = self.traffic.now();
        let mut has_event = false;
        let mut is_foreign = false;
        for event in events {
            if !event.has_field {
                self.keep_comment(event);
                continue;
            }
            let id = event.id.map(StreamEventId::new);
            // Such as the text of an error. A caller could not resume after it either.
            is_foreign = id.is_none() && self.requires_event_ids();
            if is_foreign {
                break;
            }
            if id.is_some() && id <= self.last_event {
                self.traffic
                    .shared
                    .metrics
                    .increment(RelayCounter::EventsDropped);
                continue;
            }
            self.last_event = id.or(self.last_event);
            has_event = true;
            self.pending.push(event);
        }
        if !has_event {
            // Comments are forwarded, but are no progress.
            self.flush_events();
            return self.leave_foreign(is_foreign);
        }
        self.candidate = None;
        self.record_first_response(now);
        self.record_gap(now);
        self.record_silence_end();
        self.report_answer(now, false);
        let mut effects = self.exchange.handle(now, ExchangeInput::Event);
        if self.exchange.has_begun() && matches!(self.caller, CallerState::Receiving(_)) {
            self.flush_events();
        }
        self.check_copy(now);
        effects.extend(self.leave_foreign(is_foreign));
        effects
    }

    /// Whether an event without an id can't belong to the stream.
    fn requires_event_ids(&self) -> bool {
        let has_ids = self.last_event.is_some_and(|it| it.get() > 0);
        has_ids && self.job.spec.repeat.may_run_again()
    }

    /// Ends the attempt if an event of it can't belong to the stream.
    fn leave_foreign(&mut self, is_foreign: bool) -> Vec<ExchangeEffect> {
        match is_foreign {
            true => self.handle_lost("event without an id in a stream of numbered events"),
            false => Vec::new(),
        }
    }

    /// Keeps a comment until it is forwarded. Before the first event only a few are kept,
    /// so that an engine that sends nothing else takes no memory.
    fn keep_comment(&mut self, mut comment: RawEvent) {
        let is_streaming = matches!(self.caller, CallerState::Receiving(_));
        let is_small = comment.bytes.len() <= HELD_COMMENT_BYTES;
        if is_streaming {
            self.pending.push(comment);
        } else if is_small && self.pending.len() < HELD_COMMENTS {
            // Takes no room in the window, which the first event may need.
            comment.bytes = Bytes::copy_from_slice(&comment.bytes);
            self.pending.push(comment);
        }
    }

    /// Requests a new copy of the run's KV cache if needed.
    pub(super) fn check_copy(&mut self, now: MonoTime) {
        let (Some(sent), Some(copy)) = (&self.sent, self.exchange.live_copy()) else {
            return;
        };
        let service = &self.job.spec.service;
        if self
            .traffic
            .are_copies_unaffordable(service, self.stream_size())
        {
            return;
        }
        let id = &self.job.metadata.id;
        let running = &sent.choice.endpoint;
        self.copy_monitor
            .refresh_if_due(now, &self.traffic, id, running, copy);
    }

    /// Sends the pending events to the caller's connection.
    pub(super) fn flush_events(&mut self) {
        if !matches!(self.caller, CallerState::Receiving(_)) {
            return;
        }
        for event in std::mem::take(&mut self.pending) {
            self.traffic
                .shared
                .metrics
                .increment(RelayCounter::EventsRelayed);
            self.deliver(StreamPart::Data(event.bytes));
        }
    }

    pub(super) fn may_retry(&self, may_have_run: bool) -> bool {
        self.exchange.allows_retry(may_have_run) && self.take_retry()
    }

    pub(super) fn take_retry(&self) -> bool {
        if self.check_quarantine().is_some() {
            return false;
        }
        let kind = match self.exchange.has_begun() {
            true => RetryKind::Resumption,
            false => RetryKind::Plain,
        };
        let is_taken = self.traffic.take_retry(&self.job.spec.service, kind);
        if !is_taken {
            log::info!(
                id:% = self.job.metadata.id,
                route:% = self.job.route.name,
                has_begun = self.exchange.has_begun();
                "retry budget used up"
            );
        }
        is_taken
    }

    pub(super) fn has_copy(&self) -> bool {
        self.sent
            .as_ref()
            .is_some_and(|it| it.choice.copy.is_some())
    }
}
