//! Prompt parts that crash endpoints: what an exchange reports, and its refusal.

use parsleylatch_decide::relay::{ExchangeEffect, ExchangeInput, RefusalReason, retry_delay};
use parsleylatch_types::{Micros, Millis, MonoTime, PromptPartId};

use super::ExchangeDriver;
use crate::{input::ControlInput, telemetry::RelayCounter};

/// Time after its first event from which an answer is under way; an endpoint that crashes
/// at an answer may have sent its beginning.
const UNDER_WAY_MS: Millis = Millis::new(300);
/// Shortest `Retry-After` of a refused request. A quarantine lasts for minutes.
const MIN_RETRY_AFTER_MS: Millis = Millis::new(60_000);

impl ExchangeDriver {
    /// Part of the prompt that is in quarantine.
    pub(super) fn quarantined_part(&self) -> Option<PromptPartId> {
        let snapshot = self.traffic.shared.snapshot.load();
        let quarantined = &snapshot.prompt_parts.quarantined;
        if quarantined.is_empty() {
            return None;
        }
        let mut parts = self.job.metadata.prompt.parts();
        parts.find(|part| quarantined.contains(*part)).cloned()
    }

    /// Returns the quarantined part because of which no further attempt may be made, and
    /// logs it.
    pub(super) fn check_quarantine(&self) -> Option<PromptPartId> {
        let part = self.quarantined_part()?;
        self.record_quarantined(&part);
        Some(part)
    }

    fn record_quarantined(&self, part: &PromptPartId) {
        let shared = &self.traffic.shared;
        shared.metrics.increment(RelayCounter::RequestsQuarantined);
        log::info!(
            id:% = self.job.metadata.id,
            route:% = self.job.route.name,
            part:% = part,
            runs = self.exchange.runs(),
            has_begun = self.exchange.has_begun();
            "prompt part in quarantine"
        );
        self.report(ControlInput::PartRefused(part.clone()));
    }

    /// Refuses the request because a part of its prompt is in quarantine.
    pub(super) fn refuse_quarantined(&mut self, part: &PromptPartId) -> Vec<ExchangeEffect> {
        self.record_quarantined(part);
        let now = self.traffic.now();
        let remaining = self.job.spec.deadline.since(now);
        let wait = MIN_RETRY_AFTER_MS.micros();
        let delay = retry_delay(wait, remaining, MIN_RETRY_AFTER_MS, rand::random());
        let input = ExchangeInput::Hopeless {
            reason: RefusalReason::Quarantined,
            retry_after_ms: Some(delay),
        };
        self.exchange.handle(now, input)
    }

    /// Reports that the connection of the running attempt has ended, unless its answer was
    /// under way. An endpoint that only falls silent may be cut off from this node.
    pub(super) fn report_crash(&self) {
        let Some(sent) = &self.sent else {
            return;
        };
        let prompt = &self.job.metadata.prompt;
        if is_under_way(sent.began_at, self.last_event_at) || prompt.parts().next().is_none() {
            return;
        }
        self.report(ControlInput::EndpointCrashed(
            sent.key.clone(),
            prompt.clone(),
        ));
    }

    /// Reports that the answer of the running attempt is under way or complete, if its
    /// prompt has parts under suspicion.
    pub(super) fn report_answer(&mut self, now: MonoTime, is_complete: bool) {
        let snapshot = self.traffic.shared.snapshot.load_full();
        let Some(sent) = self.sent.as_mut().filter(|it| !it.is_under_way) else {
            return;
        };
        let began_at = *sent.began_at.get_or_insert(now);
        if !is_complete && !is_under_way(Some(began_at), Some(now)) {
            return;
        }
        sent.is_under_way = true;
        let suspected = &snapshot.prompt_parts.suspected;
        if suspected.is_empty() {
            return;
        }
        let parts = self.job.metadata.prompt.parts();
        let parts = parts.filter(|it| suspected.contains(*it)).cloned();
        let parts: Vec<PromptPartId> = parts.collect();
        if !parts.is_empty() {
            self.report(ControlInput::AnswerUnderWay(began_at, parts));
        }
    }

    fn report(&self, input: ControlInput) {
        let shared = &self.traffic.shared;
        if shared.control.try_send(input).is_err() {
            shared.metrics.increment(RelayCounter::CrashEvidenceDropped);
        }
    }
}

/// Whether an answer has got on since its first event.
fn is_under_way(began_at: Option<MonoTime>, last_event_at: Option<MonoTime>) -> bool {
    let (Some(began_at), Some(last_event_at)) = (began_at, last_event_at) else {
        return false;
    };
    let progress: Micros = last_event_at.since(began_at);
    progress >= UNDER_WAY_MS.micros()
}
