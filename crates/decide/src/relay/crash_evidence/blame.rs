//! Which prompt parts explain the crashes of endpoints.
//!
//! A part is blamed if at least [`MIN_INCIDENTS`] incidents of different endpoints hit
//! different requests that had it. A loss of many endpoints at once is one incident.
//! Parts are blamed one after the other, the one with the most crashes first and the
//! deeper one among equals; the crashes that it explains don't count against other parts,
//! which its requests merely share. Parts that accompanied the blamed one in nearly all of
//! its requests are its companions: the crashes don't tell them apart.

use std::collections::{BTreeMap, BTreeSet};

use parsleylatch_types::{EndpointId, Millis, MonoTime, PromptPartId};

use super::{PromptChain, record::CrashRecord};
use crate::relay::endpoint_table::EndpointKey;

/// Number of separate incidents from which a part is blamed.
const MIN_INCIDENTS: usize = 3;
/// Number of endpoints that have to be involved, as one alone may be faulty.
const MIN_ENDPOINTS: usize = 2;
/// Number of requests that have to be involved, unless it is the request's own part.
const MIN_REQUESTS: usize = 2;
/// Crashes within this time of the first one count as one incident.
const INCIDENT_MS: Millis = Millis::new(300);
/// Time after the deciding incident in which requests may still clear a part that
/// several requests share: an engine reads a long prompt in a second.
const CONFIRMATION_MS: Millis = Millis::new(1_500);
/// A companion accompanies the blamed part in this many requests for each one without it,
/// which may have been lost for another reason.
const COMPANION_RATIO: usize = 4;
/// Time after the last crash until a request with all blamed parts is tried again.
const RETRIAL_MS: Millis = Millis::new(30_000);
/// Factor by which that time grows with each such trial that has crashed an endpoint.
const RETRIAL_GROWTH: u64 = 4;
/// Interval between two crashes from which the second one counts as that of a trial.
const TRIAL_CRASH_GAP_MS: Millis = Millis::new(25_000);
/// Maximum number of crashed trials that count.
const CRASHED_TRIALS_LIMIT: u32 = 6;

/// Evidence on which a part is blamed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Blame {
    /// When the quarantine takes effect.
    pub(super) confirmed_at: MonoTime,
    pub(super) first_at: MonoTime,
    pub(super) last_at: MonoTime,
    pub(super) crashes: usize,
    pub(super) incidents: usize,
    pub(super) requests: usize,
    /// Parts that explain the crashes as well.
    pub(super) companions: BTreeSet<PromptPartId>,
    /// When a request with the part and all companions may be tried again.
    pub(super) retrial_at: MonoTime,
}

type Record<'a> = (&'a EndpointKey, &'a CrashRecord);

/// Crashes that speak against one part, with the requests that they hit.
#[derive(Default)]
struct Charge<'a> {
    crashes: Vec<(Record<'a>, Vec<&'a PromptChain>)>,
    depth: usize,
}

/// Parts to blame for the crashes; parts that are blamed already come first.
pub(super) fn blame(
    records: &BTreeMap<EndpointKey, CrashRecord>,
    blamed_before: &BTreeSet<PromptPartId>,
) -> BTreeMap<PromptPartId, Blame> {
    let mut remaining: Vec<Record<'_>> = records.iter().collect();
    let mut blamed = own_part_blames(&remaining);
    loop {
        let charges = shared_part_charges(&remaining);
        let sufficient = charges.iter().filter_map(|(part, charge)| {
            let blame = charge.judge(MIN_REQUESTS, CONFIRMATION_MS)?;
            Some((*part, charge, blame))
        });
        let strongest = sufficient.max_by_key(|(part, charge, _)| {
            let was_blamed = blamed_before.contains(*part);
            (was_blamed, charge.crashes.len(), charge.depth, *part)
        });
        let Some((part, charge, mut blame)) = strongest else {
            return blamed;
        };
        blame.companions = charge.companions(part);
        let explained: BTreeSet<&EndpointKey> = charge.endpoints().collect();
        blamed.insert(part.clone(), blame);
        remaining.retain(|(endpoint, _)| !explained.contains(endpoint));
    }
}

/// Blames the last parts of requests that crash one endpoint after the other.
fn own_part_blames(records: &[Record<'_>]) -> BTreeMap<PromptPartId, Blame> {
    let mut charges: BTreeMap<&PromptPartId, Charge<'_>> = BTreeMap::new();
    for (endpoint, record) in records {
        for request in &record.requests {
            let last = request.last().filter(|it| !record.cleared.contains(*it));
            if let Some(part) = last {
                let charge = charges.entry(part).or_default();
                charge.add((endpoint, record), request, usize::MAX);
            }
        }
    }
    let blamed = charges.into_iter().filter_map(|(part, charge)| {
        let blame = charge.judge(1, Millis::ZERO)?;
        Some((part.clone(), blame))
    });
    blamed.collect()
}

fn shared_part_charges<'a>(records: &[Record<'a>]) -> BTreeMap<&'a PromptPartId, Charge<'a>> {
    let mut charges: BTreeMap<&PromptPartId, Charge<'_>> = BTreeMap::new();
    for (endpoint, record) in records {
        for request in &record.requests {
            for (depth, part) in request.shared().iter().enumerate() {
                if !record.cleared.contains(part) {
                    let charge = charges.entry(part).or_default();
                    charge.add((endpoint, record), request, depth);
                }
            }
        }
    }
    charges
}

impl<'a> Charge<'a> {
    fn add(&mut self, record: Record<'a>, request: &'a PromptChain, depth: usize) {
        match self.crashes.last_mut() {
            Some((last, requests)) if last.0 == record.0 => requests.push(request),
            _ => self.crashes.push((record, vec![request])),
        }
        self.depth = self.depth.max(depth);
    }

    fn endpoints(&self) -> impl Iterator<Item = &'a EndpointKey> {
        self.crashes.iter().map(|(record, _)| record.0)
    }

    /// Parts that accompany `part` in nearly all requests, and have not been cleared.
    fn companions(&self, part: &PromptPartId) -> BTreeSet<PromptPartId> {
        let mut accompanied: BTreeMap<&PromptPartId, BTreeSet<&PromptChain>> = BTreeMap::new();
        let mut requests: BTreeSet<&PromptChain> = BTreeSet::new();
        for ((_, record), hit) in &self.crashes {
            requests.extend(hit);
            for request in hit {
                let others = request.shared().iter().filter(|it| *it != part);
                for other in others.filter(|it| !record.cleared.contains(*it)) {
                    accompanied.entry(other).or_default().insert(request);
                }
            }
        }
        let companions = accompanied.into_iter().filter(|(_, with)| {
            let without = requests.len() - with.len();
            without * COMPANION_RATIO <= with.len()
        });
        companions.map(|(other, _)| other.clone()).collect()
    }

    /// Goes through the crashes in order of time; the part is to blame from the first one
    /// with which the evidence suffices.
    fn judge(&self, min_requests: usize, confirmation_ms: Millis) -> Option<Blame> {
        let mut crashes: Vec<_> = self.crashes.iter().collect();
        crashes.sort_by_key(|((_, record), _)| record.at);
        let mut endpoints: BTreeSet<&EndpointId> = BTreeSet::new();
        let mut requests: BTreeSet<&PromptChain> = BTreeSet::new();
        let mut incidents: Vec<MonoTime> = Vec::new();
        let mut decided_at = None;
        for ((key, record), hit) in &crashes {
            endpoints.insert(&key.id);
            requests.extend(hit);
            let is_separate = |last: &MonoTime| record.at.since(*last) >= INCIDENT_MS.micros();
            if incidents.last().is_none_or(is_separate) {
                incidents.push(record.at);
            }
            let is_sufficient = incidents.len() >= MIN_INCIDENTS
                && endpoints.len() >= MIN_ENDPOINTS
                && requests.len() >= min_requests;
            if is_sufficient {
                decided_at.get_or_insert(record.at);
            }
        }
        let ((_, first), _) = crashes.first()?;
        let ((_, last), _) = crashes.last()?;
        let is_trial = |pair: &&[MonoTime]| pair[1].since(pair[0]) >= TRIAL_CRASH_GAP_MS.micros();
        let crashed_trials = incidents.windows(2).filter(is_trial).count() as u32;
        let growth = RETRIAL_GROWTH.pow(crashed_trials.min(CRASHED_TRIALS_LIMIT));
        Some(Blame {
            confirmed_at: decided_at? + confirmation_ms,
            first_at: first.at,
            last_at: last.at,
            crashes: crashes.len(),
            incidents: incidents.len(),
            requests: requests.len(),
            companions: BTreeSet::new(),
            retrial_at: last.at + Millis::new(RETRIAL_MS.get() * growth),
        })
    }
}
