//! Prompt parts that crash endpoints: what an exchange reports, its trial and its refusal.

use std::sync::PoisonError;

use parsleylatch_decide::relay::{
    ExchangeEffect, ExchangeInput, NodeTurn, PartAdmission, PartTrial, RefusalReason, retry_delay,
};
use parsleylatch_types::{Micros, Millis, MonoTime, PromptPartId};

use super::{ExchangeDriver, placement::PlaceRefusal};
use crate::{input::ControlInput, telemetry::RelayCounter};

/// Time after its first event from which an answer is under way; an endpoint that crashes
/// at an answer may have sent its beginning.
const UNDER_WAY_MS: Millis = Millis::new(300);
/// Shortest `Retry-After` of a refused request. A quarantine lasts for minutes.
const MIN_RETRY_AFTER_MS: Millis = Millis::new(60_000);

/// What an exchange knows of the trials of its prompt's parts.
#[derive(Default)]
pub(super) struct PartTrialState {
    running: Option<PartTrial>,
    /// Whether an endpoint has crashed at a trial of this exchange.
    has_crashed: bool,
}

impl ExchangeDriver {
    /// Decides whether the parts of the prompt allow an attempt, which may be a trial.
    pub(super) fn admit_prompt(&self) -> Result<(), PlaceRefusal> {
        match self.judge_prompt(true) {
            PartAdmission::Unrestricted => Ok(()),
            PartAdmission::Refused(part) => Err(PlaceRefusal::Quarantined(part)),
            PartAdmission::Pending(_) => Err(PlaceRefusal::TrialPending),
            PartAdmission::Trial(trial) => {
                let metrics = &self.traffic.shared.metrics;
                metrics.increment(RelayCounter::PartTrials);
                let parts: Vec<&str> = trial.parts.iter().map(PromptPartId::as_str).collect();
                log::info!(
                    id:% = self.job.metadata.id,
                    route:% = self.job.route.name,
                    parts = parts.join(",").as_str();
                    "prompt part on trial"
                );
                self.part_trial.borrow_mut().running = Some(trial);
                Ok(())
            }
        }
    }

    /// Returns the quarantined part because of which no further attempt may be made, and
    /// logs it.
    pub(super) fn check_quarantine(&self) -> Option<PromptPartId> {
        let PartAdmission::Refused(part) = self.judge_prompt(false) else {
            return None;
        };
        self.record_quarantined(&part);
        Some(part)
    }

    /// Decides on an attempt at the prompt; `starts_trial` tells whether it follows at once.
    fn judge_prompt(&self, starts_trial: bool) -> PartAdmission {
        let shared = &self.traffic.shared;
        let snapshot = shared.snapshot.load();
        let verdicts = &snapshot.prompt_parts;
        let prompt = &self.job.metadata.prompt;
        let quarantined = prompt
            .parts()
            .find(|it| verdicts.quarantined.contains_key(*it));
        let Some(part) = quarantined else {
            return PartAdmission::Unrestricted;
        };
        let now = self.traffic.now();
        let state = self.part_trial.borrow();
        if state.has_crashed {
            return PartAdmission::Refused(part.clone());
        }
        if state.running.as_ref().is_some_and(|it| now < it.ends_at) {
            return PartAdmission::Unrestricted;
        }
        let turn = NodeTurn::of(&shared.settings.load().node_id, &snapshot.nodes);
        let mut trials = shared
            .part_trials
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match starts_trial {
            true => trials.admit(now, verdicts, prompt, turn),
            false => trials.judge(now, verdicts, prompt, turn),
        }
    }

    /// Ends the trial of this exchange, if there is one, without a crash.
    pub(super) fn end_part_trial(&self) {
        if let Some(trial) = self.part_trial.borrow_mut().running.take() {
            let trials = self.traffic.shared.part_trials.lock();
            trials.unwrap_or_else(PoisonError::into_inner).end(&trial);
        }
    }

    fn record_part_trial_crash(&self) {
        let mut state = self.part_trial.borrow_mut();
        if state.running.take().is_some() {
            state.has_crashed = true;
            let metrics = &self.traffic.shared.metrics;
            metrics.increment(RelayCounter::PartTrialsCrashed);
        }
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
        self.record_part_trial_crash();
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
        self.end_part_trial();
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
