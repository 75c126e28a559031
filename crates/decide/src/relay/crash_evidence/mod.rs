//! Evidence that a prompt part crashes the endpoints that begin an answer on it.
//!
//! A crash is recorded per incarnation of an endpoint, with the prompts of the requests
//! that it had not begun to answer. An answer that gets under way clears the parts of its
//! prompt from earlier crashes. Nodes exchange their records; merging is a union, so all
//! nodes arrive at the same decisions without coordination. Records and the quarantines
//! that rest on them end some time after the last crash or refused request.

mod blame;
mod part;
mod prompt_chain;
mod quarantine;
mod record;

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::{Hash, Hasher},
    sync::Arc,
};

use parsleylatch_types::{Micros, Millis, MonoTime, PromptPartId};
use xxhash_rust::xxh3::Xxh3;

use super::endpoint_table::EndpointKey;
use blame::Blame;
use part::{PartFacts, SuspectedPart};
use record::CrashRecord;

pub use part::PromptPartState;
pub(crate) use part::verify_chart;
pub use prompt_chain::PromptChain;
pub use quarantine::{NodeTurn, PartAdmission, PartTrial, PartTrials, Quarantine};
pub use record::ReportedCrash;

/// Time after the last crash or refused request after which a crash is forgotten.
const RETENTION_MS: Millis = Millis::new(600_000);
/// Time after which a crash is forgotten although requests with its parts are refused,
/// because a sound part that was blamed could not be cleared otherwise.
const MAX_RETENTION_MS: Millis = Millis::new(3_600_000);
/// Maximum number of crashes; the ones that are idle the longest yield.
const RECORD_LIMIT: usize = 512;
/// Maximum number of parts under suspicion.
const PART_LIMIT: usize = 2_048;
/// Difference from which another node's later activity is adopted; above the inaccuracy
/// of ages that are sent between nodes.
const ACTIVITY_TOLERANCE_MS: Millis = Millis::new(5_000);
/// Time for which a changed record is sent with each query to another node.
const SPREAD_MS: Millis = Millis::new(3_000);
/// Minimum interval between two reviews; after the loss of many endpoints, crashes are
/// reported in quick succession.
const REVIEW_INTERVAL_MS: Millis = Millis::new(50);
/// Added to all times, because crashes may be older than this process.
const TIME_OFFSET_MS: Millis = Millis::new(86_400_000);

/// Prompt parts under suspicion and in quarantine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartVerdicts {
    /// Parts on which an answer that gets under way is to be reported.
    pub suspected: BTreeSet<PromptPartId>,
    /// Parts whose requests are refused or are trials.
    pub quarantined: BTreeMap<PromptPartId, Quarantine>,
}

/// A decision on a prompt part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartDecision {
    /// The part.
    pub part: PromptPartId,
    /// Its new state.
    pub state: PromptPartState,
    /// Crashes that speak against it.
    pub crashes: usize,
    /// Separate incidents among these.
    pub incidents: usize,
    /// Requests that they hit.
    pub requests: usize,
    /// Parts that explain the crashes as well.
    pub companions: Vec<PromptPartId>,
    /// Time since the first of the crashes.
    pub first_crash_age: Micros,
    /// Time since the last of the crashes.
    pub last_crash_age: Micros,
}

/// Crashes known to a node, and its decisions on the prompt parts involved.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    records: BTreeMap<EndpointKey, CrashRecord>,
    parts: BTreeMap<PromptPartId, SuspectedPart>,
    /// Quarantines of the blamed parts, of those that are in quarantine the last known ones.
    quarantines: BTreeMap<PromptPartId, Quarantine>,
    verdicts: Arc<PartVerdicts>,
    reviewed_at: MonoTime,
    /// Whether anything has changed since the last review.
    is_changed: bool,
}

impl CrashEvidence {
    /// Records that an endpoint crashed before it had begun to answer a request.
    pub fn record_crash(
        &mut self,
        now: MonoTime,
        endpoint: &EndpointKey,
        request: &PromptChain,
    ) -> Vec<PartDecision> {
        let now = now + TIME_OFFSET_MS;
        let record = self.record_of(now, now, endpoint);
        if record.is_recurrence(now, request) {
            record.restart(now, now);
        }
        record.add_request(now, request);
        record.active_at = now;
        self.review_soon(now)
    }

    /// Records that an endpoint has begun an answer at `began_at`, and got on with it.
    pub fn record_answer(
        &mut self,
        now: MonoTime,
        began_at: MonoTime,
        parts: &[PromptPartId],
    ) -> Vec<PartDecision> {
        let (now, began_at) = (now + TIME_OFFSET_MS, began_at + TIME_OFFSET_MS);
        for record in self.records.values_mut().filter(|it| it.at <= began_at) {
            for part in parts {
                if record.accuses(part) {
                    record.clear_part(now, part);
                }
            }
        }
        self.review_soon(now)
    }

    /// Records that a request was refused because of a part.
    pub fn record_refusal(&mut self, now: MonoTime, part: &PromptPartId) {
        let now = now + TIME_OFFSET_MS;
        for record in self.records.values_mut().filter(|it| it.accuses(part)) {
            record.active_at = now;
        }
    }

    /// Merges crashes known to another node.
    pub fn merge(&mut self, now: MonoTime, crashes: &[ReportedCrash]) -> Vec<PartDecision> {
        let now = now + TIME_OFFSET_MS;
        let before = |age: Micros| MonoTime::new(now.get().saturating_sub(age.get()));
        let recent = crashes
            .iter()
            .filter(|it| it.idle < RETENTION_MS.micros() && it.age < MAX_RETENTION_MS.micros());
        for crash in recent {
            let (at, active_at) = (before(crash.age), before(crash.idle));
            let record = self.record_of(now, at, &crash.endpoint);
            if active_at.since(record.active_at) > ACTIVITY_TOLERANCE_MS.micros() {
                record.active_at = active_at;
            }
            record.merge(now, at, crash);
        }
        match crashes.is_empty() {
            true => Vec::new(),
            false => self.review_soon(now),
        }
    }

    /// Removes crashes that are too long ago, and reviews the others.
    pub fn expire(&mut self, now: MonoTime) -> Vec<PartDecision> {
        if self.next_deadline().is_none_or(|deadline| deadline > now) {
            return Vec::new();
        }
        self.review(now + TIME_OFFSET_MS)
    }

    /// Time at which [`CrashEvidence::expire`] has to be called.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        let confirmations = self.parts.values().filter_map(SuspectedPart::next_deadline);
        let ends = self.records.values().map(CrashRecord::ends_at);
        let review = self
            .is_changed
            .then(|| self.reviewed_at + REVIEW_INTERVAL_MS);
        let earliest = confirmations.chain(ends).chain(review).min()?;
        let offset = TIME_OFFSET_MS.micros().get();
        Some(MonoTime::new(earliest.get().saturating_sub(offset)))
    }

    /// Parts under suspicion and in quarantine.
    pub fn verdicts(&self) -> &Arc<PartVerdicts> {
        &self.verdicts
    }

    /// Whether any crash is known.
    pub fn is_open(&self) -> bool {
        !self.records.is_empty()
    }

    /// Whether anything changed a short time ago.
    pub fn has_news(&self, now: MonoTime) -> bool {
        let now = now + TIME_OFFSET_MS;
        let mut records = self.records.values();
        records.any(|record| now.since(record.changed_at) < SPREAD_MS.micros())
    }

    /// Crashes that changed a short time ago, for other nodes.
    pub fn recent_crashes(&self, now: MonoTime) -> Vec<ReportedCrash> {
        let shifted = now + TIME_OFFSET_MS;
        self.report(now, |record| {
            shifted.since(record.changed_at) < SPREAD_MS.micros()
        })
    }

    /// All crashes, for other nodes.
    pub fn crashes(&self, now: MonoTime) -> Vec<ReportedCrash> {
        self.report(now, |_| true)
    }

    /// Digest of all records apart from their times; zero if there are none.
    pub fn digest(&self) -> u64 {
        if self.records.is_empty() {
            return 0;
        }
        let mut hasher = Xxh3::new();
        for (endpoint, record) in &self.records {
            endpoint.hash(&mut hasher);
            record.requests.hash(&mut hasher);
            record.cleared.hash(&mut hasher);
        }
        hasher.finish()
    }

    fn report<Selects>(&self, now: MonoTime, selects: Selects) -> Vec<ReportedCrash>
    where
        Selects: Fn(&CrashRecord) -> bool,
    {
        let now = now + TIME_OFFSET_MS;
        let selected = self.records.iter().filter(|(_, record)| selects(record));
        let reported = selected.map(|(endpoint, record)| ReportedCrash {
            endpoint: endpoint.clone(),
            age: now.since(record.at),
            idle: now.since(record.active_at),
            requests: record.requests.iter().cloned().collect(),
            cleared: record.cleared.iter().cloned().collect(),
        });
        reported.collect()
    }

    /// Record of an endpoint's crash; the longest idle one yields if there are too many.
    fn record_of(
        &mut self,
        now: MonoTime,
        at: MonoTime,
        endpoint: &EndpointKey,
    ) -> &mut CrashRecord {
        let is_full = self.records.len() >= RECORD_LIMIT;
        if is_full && !self.records.contains_key(endpoint) {
            let idlest = self.records.iter().min_by_key(|(_, it)| it.active_at);
            let idlest = idlest.map(|(endpoint, _)| endpoint.clone());
            self.records.retain(|it, _| Some(it) != idlest.as_ref());
        }
        let record = self.records.entry(endpoint.clone());
        record.or_insert_with(|| CrashRecord::new(now, at))
    }

    /// Reviews now, or a short time after the last review.
    fn review_soon(&mut self, now: MonoTime) -> Vec<PartDecision> {
        self.is_changed = true;
        match now.since(self.reviewed_at) >= REVIEW_INTERVAL_MS.micros() {
            true => self.review(now),
            false => Vec::new(),
        }
    }

    /// Steps all suspected parts, and returns the decisions that are to be logged.
    fn review(&mut self, now: MonoTime) -> Vec<PartDecision> {
        (self.reviewed_at, self.is_changed) = (now, false);
        self.records.retain(|_, record| record.ends_at() > now);
        let blamed_before = self.parts.iter().filter(|(_, part)| {
            use PromptPartState::{Confirming, Quarantined};
            matches!(part.state(), Confirming | Quarantined)
        });
        let blamed_before = blamed_before.map(|(id, _)| id.clone()).collect();
        let blamed = blame::blame(&self.records, &blamed_before);
        let (accused, answered) = self.involved_parts();
        let mut decisions = Vec::new();
        for id in accused
            .iter()
            .chain(self.parts.keys())
            .cloned()
            .collect::<BTreeSet<_>>()
        {
            let facts = PartFacts {
                now,
                is_accused: accused.contains(&id),
                has_answer: answered.contains(&id),
                confirmed_at: blamed.get(&id).map(|it| it.confirmed_at),
            };
            decisions.extend(self.review_part(&id, facts, blamed.get(&id)));
        }
        self.refresh_quarantines(blamed);
        self.refresh_verdicts();
        decisions
    }

    /// Parts that crashes speak against, and parts that were cleared of one.
    fn involved_parts(&self) -> (BTreeSet<PromptPartId>, BTreeSet<PromptPartId>) {
        let mut accused = BTreeSet::new();
        let mut answered = BTreeSet::new();
        // The latest crashes first, as the number of parts is limited.
        let mut records: Vec<&CrashRecord> = self.records.values().collect();
        records.sort_by_key(|it| std::cmp::Reverse(it.active_at));
        for record in records {
            answered.extend(record.cleared.iter().cloned());
            let parts = record.requests.iter().flat_map(PromptChain::parts);
            let uncleared = parts.filter(|part| !record.cleared.contains(*part));
            for part in uncleared {
                if accused.len() < PART_LIMIT {
                    accused.insert(part.clone());
                }
            }
        }
        (accused, answered)
    }

    fn review_part(
        &mut self,
        id: &PromptPartId,
        facts: PartFacts,
        blame: Option<&Blame>,
    ) -> Option<PartDecision> {
        let known = self.parts.get(id).copied();
        let mut part = known.unwrap_or_else(|| SuspectedPart::start(facts));
        let earlier = part.state();
        part.review(facts);
        let state = part.state();
        match part.is_over() {
            true => self.parts.remove(id),
            false => self.parts.insert(id.clone(), part),
        };
        let is_notable = |state: PromptPartState| state == PromptPartState::Quarantined;
        if earlier == state || !is_notable(earlier) && !is_notable(state) {
            return None;
        }
        Some(PartDecision {
            part: id.clone(),
            state,
            crashes: blame.map_or(0, |it| it.crashes),
            incidents: blame.map_or(0, |it| it.incidents),
            requests: blame.map_or(0, |it| it.requests),
            companions: blame.map_or_else(Vec::new, |it| it.companions.iter().cloned().collect()),
            first_crash_age: blame.map_or(Micros::ZERO, |it| facts.now.since(it.first_at)),
            last_crash_age: blame.map_or(Micros::ZERO, |it| facts.now.since(it.last_at)),
        })
    }

    fn refresh_quarantines(&mut self, blamed: BTreeMap<PromptPartId, Blame>) {
        let parts = &self.parts;
        self.quarantines.retain(|id, _| parts.contains_key(id));
        let offset = TIME_OFFSET_MS.micros().get();
        for (id, blame) in blamed {
            let retrial_at = MonoTime::new(blame.retrial_at.get().saturating_sub(offset));
            let quarantine = Quarantine {
                companions: blame.companions,
                retrial_at,
            };
            self.quarantines.insert(id, quarantine);
        }
    }

    fn refresh_verdicts(&mut self) {
        let mut verdicts = PartVerdicts::default();
        for (id, part) in &self.parts {
            if part.state() == PromptPartState::Quarantined {
                let quarantine = self.quarantines.get(id).cloned();
                let quarantine = quarantine.unwrap_or_default();
                verdicts.quarantined.insert(id.clone(), quarantine);
            }
            verdicts.suspected.insert(id.clone());
        }
        if *self.verdicts != verdicts {
            self.verdicts = Arc::new(verdicts);
        }
    }
}
