//! Updates of the endpoint table, the metrics and the log by an exchange.

use bytes::Bytes;
use parsleylatch_decide::relay::{LeaveReason, Outcome, VersionTrial};
use parsleylatch_types::{ByteCount, Micros, MonoTime};

use super::{ExchangeDriver, placement::PlaceRefusal};
use crate::{
    codec::ResponseMetadata,
    input::ControlInput,
    telemetry::{RelayCounter, RelayLatency},
    traffic::{
        attempt::AttemptEvent,
        locality::{self, DepartureCause},
        placement_queue,
    },
};

impl ExchangeDriver {
    pub(super) fn record_load(&mut self, metadata: &ResponseMetadata) {
        if let Some(sent) = &self.sent {
            self.traffic.record_notices(&sent.key, metadata);
            self.traffic.record_load(&sent.key, metadata);
        }
    }

    /// Records whether the attempt that was just sent, or the copy that it asks for, crosses a
    /// border.
    pub(super) fn record_departure(&mut self) {
        let Some(sent) = &mut self.sent else {
            return;
        };
        let service = &self.job.spec.service;
        let choice = &sent.choice;
        if let Some(backup) = &choice.backup {
            locality::record_copy(&self.traffic, service, &choice.endpoint, backup);
        }
        let has_prompt =
            choice.copy.is_some() || self.job.prompt_holder.as_ref() == Some(&choice.endpoint.key);
        let cause = if has_prompt {
            DepartureCause::Prompt
        } else if self.exchange.runs() > 0 || !self.exchange.excluded_endpoints().is_empty() {
            DepartureCause::Repeated
        } else if self.queued_at > self.started_at {
            DepartureCause::Queued
        } else {
            DepartureCause::Share
        };
        sent.border = locality::record_departure(
            &self.traffic,
            service,
            &choice.endpoint,
            self.job.metadata.id.as_str(),
            cause,
        );
    }

    /// Counts the bytes of a part of the response.
    pub(super) fn count_bytes(&mut self, event: &AttemptEvent) {
        let Some(sent) = &mut self.sent else {
            return;
        };
        let bytes = match event {
            AttemptEvent::Response(response) => response.body.iter().map(Bytes::len).sum(),
            AttemptEvent::BodyPart(part) => part.len(),
            AttemptEvent::Events(events) => events.iter().map(|it| it.bytes.len()).sum(),
            _ => 0,
        };
        let bytes = ByteCount::new(bytes as u64);
        sent.transferred = sent.transferred.saturating_add(bytes);
    }

    /// Records that the endpoint has responded, at `arrived_at`.
    pub(super) fn record_first_response(&mut self, arrived_at: MonoTime) {
        if let Some(sent) = self.sent.as_mut().filter(|it| !it.has_responded) {
            sent.has_responded = true;
            let mut table = self.traffic.endpoint_table.borrow_mut();
            table.record_prompt_read(&sent.key, self.job.spec.prompt);
            let now = self.traffic.now();
            let latency = arrived_at.since(sent.at);
            table.record_outcome(now, &sent.key, Outcome::Answered { latency });
            table.record_first_event(now, &sent.key, sent.at);
            drop(table);
            self.report_trial(Some(latency));
        }
    }

    /// Reports the start of an attempt on a service under rollout, so that one without a
    /// response counts as soon as it is late.
    pub(super) fn report_trial_start(&mut self) {
        let Some(trial) = self.version_trial(None) else {
            return;
        };
        let number = self.traffic.shared.next_trial_number();
        if self.send_trial_input(ControlInput::TrialStarted(number, Box::new(trial)))
            && let Some(sent) = &mut self.sent
        {
            sent.trial = Some(number);
        }
    }

    /// Reports that a started attempt ends without a result.
    pub(super) fn report_trial_abandoned(&mut self) {
        if let Some(number) = self.sent.as_mut().and_then(|sent| sent.trial.take()) {
            self.send_trial_input(ControlInput::TrialAbandoned(number));
        }
    }

    /// Reports the result of an attempt on a version under rollout to the control thread.
    fn report_trial(&mut self, latency: Option<Micros>) {
        let number = self.sent.as_mut().and_then(|sent| sent.trial.take());
        let input = match number {
            Some(number) => Some(ControlInput::TrialEnded(number, latency)),
            None => self
                .version_trial(latency)
                .map(|trial| ControlInput::Trial(Box::new(trial))),
        };
        if let Some(input) = input {
            self.send_trial_input(input);
        }
    }

    /// The current attempt as evidence; `None` if its service is not under rollout.
    fn version_trial(&self, latency: Option<Micros>) -> Option<VersionTrial> {
        let service = &self.job.spec.service;
        let endpoint = &self.sent.as_ref()?.choice.endpoint;
        let snapshot = self.traffic.shared.snapshot.load();
        snapshot
            .versions
            .contains_key(service)
            .then(|| VersionTrial {
                service: service.clone(),
                version: endpoint.version.clone(),
                route: self.job.route.name.clone(),
                endpoint: endpoint.key.id.clone(),
                latency,
            })
    }

    /// Returns whether the control thread receives the input.
    fn send_trial_input(&self, input: ControlInput) -> bool {
        let shared = &self.traffic.shared;
        let is_sent = shared.control.try_send(input).is_ok();
        if !is_sent {
            shared.metrics.increment(RelayCounter::TrialsDropped);
        }
        is_sent
    }

    /// Records the interval since the previous event.
    pub(super) fn record_gap(&mut self, now: MonoTime) {
        match self.last_event_at.replace(now) {
            Some(last) => self.longest_gap = self.longest_gap.max(now.since(last)),
            None => self.first_event_after = Some(now.since(self.started_at)),
        }
    }

    /// Records the duration of a stream that one attempt has run completely.
    pub(super) fn record_duration(&self) {
        if let Some(sent) = self.sent.as_ref().filter(|_| self.exchange.runs() == 0) {
            let duration = self.traffic.now().since(sent.at);
            let service = &self.job.spec.service;
            placement_queue::record_finished(&self.traffic, service, self.stream_size(), duration);
        }
    }

    /// Records and logs the failure of this attempt.
    pub(super) fn record_failure(&mut self, outcome: Outcome, reason: &str) {
        let Some(sent) = &self.sent else {
            return;
        };
        let now = self.traffic.now();
        let traffic = &self.traffic;
        traffic
            .endpoint_table
            .borrow_mut()
            .record_outcome(now, &sent.key, outcome);
        traffic
            .shared
            .metrics
            .increment(RelayCounter::AttemptsFailed);
        log::info!(
            id:% = self.job.metadata.id,
            route:% = self.job.route.name,
            endpoint:% = sent.key.id,
            reason = reason,
            after_ms = now.since(sent.at).millis().get(),
            answering_ms = self.exchange.answering_for(now).get(),
            last_event = self.last_event.unwrap_or_default().get();
            "attempt failed"
        );
        if matches!(outcome, Outcome::Errored | Outcome::Broken) {
            self.report_trial(None);
        }
    }

    /// Records that the request stays at an endpoint that shows no progress, because it has no
    /// next place.
    pub(super) fn record_stay(&mut self, reason: LeaveReason, refusal: &PlaceRefusal) {
        // The next endpoint has been asked, and may answer.
        if self.candidate.is_some() {
            return;
        }
        let Some(sent) = &self.sent else {
            return;
        };
        if std::mem::replace(&mut self.is_endpoint_silent, true) {
            return;
        }
        let now = self.traffic.now();
        let mut table = self.traffic.endpoint_table.borrow_mut();
        table.record_outcome(now, &sent.key, Outcome::Broken);
        self.traffic
            .shared
            .metrics
            .increment(RelayCounter::MovesDeclined);
        log::info!(
            id:% = self.job.metadata.id,
            route:% = self.job.route.name,
            endpoint:% = sent.key.id,
            reason:% = reason,
            next_place:% = refusal,
            answering_ms = self.exchange.answering_for(now).get(),
            after_ms = now.since(sent.at).millis().get(),
            last_event = self.last_event.unwrap_or_default().get();
            "no progress; the request stays at its endpoint"
        );
    }

    /// Records that a silent endpoint has sent an event.
    pub(super) fn record_silence_end(&mut self) {
        if std::mem::take(&mut self.is_endpoint_silent)
            && let Some(sent) = &self.sent
        {
            let mut table = self.traffic.endpoint_table.borrow_mut();
            table.record_sign_of_life(self.traffic.now(), &sent.key);
        }
    }

    pub(super) fn observe(&self, kind: RelayLatency) {
        let shared = &self.traffic.shared;
        let latency: Micros = shared.now().since(self.started_at);
        shared.metrics.observe(kind, latency);
    }

    pub(super) fn log_outcome(&self, outcome: &str, status: Option<u16>) {
        let endpoint = self.sent.as_ref().map_or("-", |it| it.key.id.as_str());
        log::info!(
            id:% = self.job.metadata.id,
            route:% = self.job.route.name,
            outcome = outcome,
            status = status.unwrap_or_default(),
            endpoint = endpoint,
            runs = self.exchange.runs(),
            last_event = self.last_event.unwrap_or_default().get(),
            first_event_ms = self.first_event_after.unwrap_or_default().millis().get(),
            longest_gap_ms = self.longest_gap.millis().get(),
            age_ms = self.exchange.age(self.traffic.now()).millis().get();
            "request ended"
        );
    }
}
