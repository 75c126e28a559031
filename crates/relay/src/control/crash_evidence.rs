//! Crashes of endpoints: feeds the decisions on prompt parts, and exchanges the evidence
//! with other nodes.

use std::sync::Arc;

use parsleylatch_decide::relay::{
    CrashEvidence, EndpointKey, PartDecision, PartVerdicts, PromptChain, PromptPartState,
    ReportedCrash,
};
use parsleylatch_types::{Incarnation, Millis, MonoTime, PromptPartId};
use parsleylatch_wire::relay::{CrashedRequest, EndpointCrash, RelayQuery, RelayState};

use crate::{shared::Shared, telemetry::RelayCounter};

/// Time for which a starting node waits for another node's evidence before it is ready.
const FIRST_EVIDENCE_WAIT_MS: Millis = Millis::new(400);
/// Time for which a starting node queries others, as these may be starting as well.
const START_POLL_MS: Millis = Millis::new(2_000);
/// Without news, one round of queries in this many compares the evidence.
const COMPARISON_RATIO: u32 = 20;
/// Maximum number of parts in a log line.
const LOGGED_PARTS_LIMIT: usize = 8;

/// Crashes of endpoints, and the decisions on prompt parts.
pub(crate) struct CrashController {
    shared: Arc<Shared>,
    evidence: CrashEvidence,
    /// When this node learned of other nodes; it then waits for their evidence.
    awaits_peers_since: Option<MonoTime>,
    has_peer_evidence: bool,
}

impl CrashController {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            evidence: CrashEvidence::default(),
            awaits_peers_since: None,
            has_peer_evidence: false,
        }
    }

    pub(crate) fn verdicts(&self) -> &Arc<PartVerdicts> {
        self.evidence.verdicts()
    }

    /// Whether other nodes have to be queried in this round.
    pub(crate) fn needs_peers(&self) -> bool {
        let now = self.shared.now();
        let is_starting = |since: MonoTime| now.since(since) < START_POLL_MS.micros();
        let compares = self.evidence.is_open() && rand::random_ratio(1, COMPARISON_RATIO);
        let has_news = self.evidence.has_news(now);
        has_news || compares || self.awaits_peers_since.is_some_and(is_starting)
    }

    /// Starts to wait for other nodes' evidence, unless it is known or awaited already;
    /// returns whether the wait starts.
    pub(crate) fn start_wait(&mut self) -> bool {
        let starts = !self.has_peer_evidence && self.awaits_peers_since.is_none();
        if starts {
            self.awaits_peers_since = Some(self.shared.now());
        }
        starts
    }

    /// Whether this node knows other nodes' evidence, or has waited long enough for it.
    pub(crate) fn is_informed(&mut self) -> bool {
        let now = self.shared.now();
        let limit = FIRST_EVIDENCE_WAIT_MS.micros();
        let since = self.awaits_peers_since;
        self.has_peer_evidence |= since.is_some_and(|it| now.since(it) >= limit);
        self.has_peer_evidence
    }

    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        let wait = self.awaits_peers_since.filter(|_| !self.has_peer_evidence);
        let wait = wait.map(|since| since + FIRST_EVIDENCE_WAIT_MS);
        self.evidence.next_deadline().into_iter().chain(wait).min()
    }

    pub(crate) fn record_crash(&mut self, endpoint: &EndpointKey, prompt: &PromptChain) {
        self.shared.metrics.increment(RelayCounter::CrashesObserved);
        let now = self.shared.now();
        let decisions = self.evidence.record_crash(now, endpoint, prompt);
        let verdicts = self.evidence.verdicts();
        let parts = prompt.parts().map(PromptPartId::as_str);
        let parts: Vec<&str> = parts.take(LOGGED_PARTS_LIMIT).collect();
        log::info!(
            endpoint:% = endpoint.id,
            incarnation = endpoint.incarnation.get(),
            parts = parts.join(",").as_str(),
            suspected = verdicts.suspected.len(),
            quarantined = verdicts.quarantined.len();
            "crash recorded"
        );
        self.announce(&decisions);
    }

    pub(crate) fn record_answer(&mut self, began_at: MonoTime, parts: &[PromptPartId]) {
        let now = self.shared.now();
        let decisions = self.evidence.record_answer(now, began_at, parts);
        self.announce(&decisions);
    }

    pub(crate) fn record_refusal(&mut self, part: &PromptPartId) {
        let now = self.shared.now();
        self.evidence.record_refusal(now, part);
    }

    pub(crate) fn expire(&mut self) {
        let now = self.shared.now();
        let decisions = self.evidence.expire(now);
        self.announce(&decisions);
    }

    /// Adds this node's evidence to a query.
    pub(crate) fn add_to_query(&self, query: &mut RelayQuery) {
        let crashes = self.evidence.recent_crashes(self.shared.now());
        query.crashes = crashes.iter().map(to_message).collect();
        query.crash_digest = self.evidence.digest();
    }

    /// Adds the evidence that the sender of a query lacks to the response.
    pub(crate) fn add_to_state(&self, query: &RelayQuery, state: &mut RelayState) {
        if query.crash_digest != self.evidence.digest() {
            let crashes = self.evidence.crashes(self.shared.now());
            state.crashes = crashes.iter().map(to_message).collect();
        }
    }

    /// Merges the evidence in another node's response.
    pub(crate) fn merge_response(&mut self, crashes: &[EndpointCrash]) {
        self.has_peer_evidence = true;
        self.merge(crashes);
    }

    /// Merges the evidence of another node.
    pub(crate) fn merge(&mut self, crashes: &[EndpointCrash]) {
        let read = crashes.iter().filter_map(|message| {
            let crash = read_crash(message);
            if crash.is_none() {
                let endpoint = message.endpoint_id.as_str();
                log::warn!(endpoint = endpoint; "crash evidence can't be parsed");
            }
            crash
        });
        let read: Vec<ReportedCrash> = read.collect();
        let decisions = self.evidence.merge(self.shared.now(), &read);
        self.announce(&decisions);
    }

    fn announce(&self, decisions: &[PartDecision]) {
        for decision in decisions {
            let companions = decision.companions.iter().map(PromptPartId::as_str);
            let companions: Vec<&str> = companions.take(LOGGED_PARTS_LIMIT).collect();
            if decision.state == PromptPartState::Quarantined {
                let metrics = &self.shared.metrics;
                metrics.increment(RelayCounter::PromptPartsQuarantined);
            }
            log::info!(
                part:% = decision.part,
                state:% = decision.state,
                crashes = decision.crashes,
                incidents = decision.incidents,
                requests = decision.requests,
                companions = companions.join(",").as_str(),
                first_crash_age_ms = decision.first_crash_age.millis().get(),
                last_crash_age_ms = decision.last_crash_age.millis().get();
                "prompt part changed"
            );
        }
    }
}

fn to_message(crash: &ReportedCrash) -> EndpointCrash {
    let requests = crash.requests.iter().map(|prompt| CrashedRequest {
        shared_parts: prompt.shared().iter().map(ToString::to_string).collect(),
        last_part: prompt.last().map(ToString::to_string),
    });
    EndpointCrash {
        endpoint_id: crash.endpoint.id.to_string(),
        incarnation: crash.endpoint.incarnation.get(),
        age_ms: crash.age.millis().get(),
        idle_ms: crash.idle.millis().get(),
        requests: requests.collect(),
        cleared_parts: crash.cleared.iter().map(ToString::to_string).collect(),
    }
}

fn read_crash(message: &EndpointCrash) -> Option<ReportedCrash> {
    let parse = |text: &String| text.parse::<PromptPartId>().ok();
    let requests = message.requests.iter().map(|it| {
        let shared: Option<Vec<PromptPartId>> = it.shared_parts.iter().map(parse).collect();
        let last = match &it.last_part {
            Some(text) => Some(parse(text)?),
            None => None,
        };
        Some(PromptChain::new(shared?, last))
    });
    let requests: Option<Vec<PromptChain>> = requests.collect();
    let cleared: Option<Vec<PromptPartId>> = message.cleared_parts.iter().map(parse).collect();
    Some(ReportedCrash {
        endpoint: EndpointKey {
            id: message.endpoint_id.parse().ok()?,
            incarnation: Incarnation::new(message.incarnation),
        },
        age: Millis::new(message.age_ms).micros(),
        idle: Millis::new(message.idle_ms).micros(),
        requests: requests?,
        cleared: cleared?,
    })
}
