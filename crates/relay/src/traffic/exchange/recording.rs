//! Updates of the endpoint table, the metrics and the log by an exchange.

use parsleylatch_decide::relay::{Outcome, VersionTrial};
use parsleylatch_types::{Micros, MonoTime};

use super::ExchangeDriver;
use crate::{
    codec::ResponseMetadata,
    input::ControlInput,
    telemetry::{RelayCounter, RelayLatency},
};

impl ExchangeDriver {
    pub(super) fn record_load(&mut self, metadata: &ResponseMetadata) {
        if let (Some(sent), Some(load)) = (&self.sent, metadata.load) {
            let now = self.traffic.now();
            self.traffic
                .endpoint_table
                .borrow_mut()
                .record_load(now, &sent.key, load);
        }
    }

    pub(super) fn record_first_event(&mut self, now: MonoTime) {
        if let Some(sent) = self.sent.as_mut().filter(|it| !it.has_responded) {
            sent.has_responded = true;
            let mut table = self.traffic.endpoint_table.borrow_mut();
            table.record_prompt_read(&sent.key, self.job.spec.prompt);
            let latency = now.since(sent.at);
            table.record_outcome(now, &sent.key, Outcome::Answered { latency });
            table.record_first_event(now, &sent.key, sent.at);
            drop(table);
            self.report_trial(Some(latency));
        }
    }

    /// Reports the result of an attempt on a version under rollout to the control thread.
    fn report_trial(&self, latency: Option<Micros>) {
        let shared = &self.traffic.shared;
        let service = &self.job.spec.service;
        let Some(sent) = &self.sent else {
            return;
        };
        if !shared.snapshot.load().versions.contains_key(service) {
            return;
        }
        let endpoint = &sent.choice.endpoint;
        let trial = VersionTrial {
            service: service.clone(),
            version: endpoint.version.clone(),
            route: self.job.route.name.clone(),
            endpoint: endpoint.key.id.clone(),
            latency,
        };
        let input = ControlInput::Trial(Box::new(trial));
        if shared.control.try_send(input).is_err() {
            shared.metrics.increment(RelayCounter::TrialsDropped);
        }
    }

    /// Records the interval since the previous event.
    pub(super) fn record_gap(&mut self, now: MonoTime) {
        match self.last_event_at.replace(now) {
            Some(last) => self.longest_gap = self.longest_gap.max(now.since(last)),
            None => self.first_event_after = Some(now.since(self.started_at)),
        }
    }

    pub(super) fn record_success(&mut self) {
        self.record_first_event(self.traffic.now());
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
            last_event = self.last_event.unwrap_or_default().get();
            "attempt failed"
        );
        if matches!(outcome, Outcome::Errored | Outcome::Broken) {
            self.report_trial(None);
        }
    }

    /// Records that the endpoint gives no sign of life while the request stays there.
    pub(super) fn record_silence(&mut self) {
        let Some(sent) = &self.sent else {
            return;
        };
        if std::mem::replace(&mut self.is_endpoint_silent, true) {
            return;
        }
        let now = self.traffic.now();
        let mut table = self.traffic.endpoint_table.borrow_mut();
        table.record_outcome(now, &sent.key, Outcome::Broken);
        log::info!(
            id:% = self.job.metadata.id,
            route:% = self.job.route.name,
            endpoint:% = sent.key.id,
            after_ms = now.since(sent.at).millis().get(),
            last_event = self.last_event.unwrap_or_default().get();
            "endpoint is silent; the request stays there"
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
