//! Evidence on a move: a join-semilattice of grow-only counters.
//!
//! Each observer, which is one incarnation of one node, is the only writer of its
//! counters. Two copies are merged by taking the larger value of each counter, so
//! merging is commutative, associative and idempotent: evidence may arrive late,
//! more than once and over any path.

use std::collections::BTreeMap;

use parsleylatch_types::{EndpointVersion, Incarnation, Micros, NodeId, RequestCount, RouteName};

/// One incarnation of one node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Observer {
    /// Id of the node.
    pub node: NodeId,
    /// Incarnation of the node; its counters start at zero.
    pub incarnation: Incarnation,
}

/// Key of a set of counters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EvidenceKey {
    /// Version that ran the attempts.
    pub version: EndpointVersion,
    /// Region of the node and region of the endpoint.
    pub route: RouteName,
    /// Observer that counted the attempts.
    pub observer: Observer,
}

/// Counts of finished attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrialCounts {
    /// Finished attempts.
    pub trials: RequestCount,
    /// Attempts that failed.
    pub failures: RequestCount,
    /// Attempts that were slow compared with the mean pace of the old versions.
    pub slow: RequestCount,
    /// Attempts whose pace is known.
    pub paced: RequestCount,
    /// Sum of the mean times between tokens of those attempts.
    pub pace_total_us: Micros,
}

impl TrialCounts {
    /// Attempts that failed or were slow.
    pub fn bad(&self) -> RequestCount {
        self.failures.saturating_add(self.slow)
    }

    /// Attempts that neither failed nor were slow.
    pub fn good(&self) -> RequestCount {
        self.trials.saturating_sub(self.bad())
    }

    /// Mean time between tokens.
    pub fn mean_pace_us(&self) -> Option<Micros> {
        let mean = self.pace_total_us.get().checked_div(self.paced.get());
        mean.map(Micros::new)
    }

    /// Returns the sum with the counts of another observer or route.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            trials: self.trials.saturating_add(other.trials),
            failures: self.failures.saturating_add(other.failures),
            slow: self.slow.saturating_add(other.slow),
            paced: self.paced.saturating_add(other.paced),
            pace_total_us: self.pace_total_us.saturating_add(other.pace_total_us),
        }
    }

    /// Returns what has been added since an earlier state of the same counts.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self {
            trials: self.trials.saturating_sub(earlier.trials),
            failures: self.failures.saturating_sub(earlier.failures),
            slow: self.slow.saturating_sub(earlier.slow),
            paced: self.paced.saturating_sub(earlier.paced),
            pace_total_us: self.pace_total_us.saturating_sub(earlier.pace_total_us),
        }
    }

    fn join(self, other: Self) -> Self {
        Self {
            trials: self.trials.max(other.trials),
            failures: self.failures.max(other.failures),
            slow: self.slow.max(other.slow),
            paced: self.paced.max(other.paced),
            pace_total_us: self.pace_total_us.max(other.pace_total_us),
        }
    }
}

/// Final decision against a version; of several, the smallest is kept.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Veto {
    /// Route on which the version was bad.
    pub route: RouteName,
    /// Observer that made the decision.
    pub observer: Observer,
}

/// Merged evidence on one move.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MoveEvidence {
    counts: BTreeMap<EvidenceKey, TrialCounts>,
    veto: Option<Veto>,
}

impl MoveEvidence {
    /// Builds evidence from counters and a veto, for use by decoders.
    pub fn from_parts<Counts>(counts: Counts, veto: Option<Veto>) -> Self
    where
        Counts: IntoIterator<Item = (EvidenceKey, TrialCounts)>,
    {
        let mut evidence = Self {
            counts: BTreeMap::new(),
            veto,
        };
        for (key, counts) in counts {
            evidence.join_counts(key, counts);
        }
        evidence
    }

    /// All counters with their keys.
    pub fn counts(&self) -> impl Iterator<Item = (&EvidenceKey, &TrialCounts)> {
        self.counts.iter()
    }

    /// Veto against the new version, if there is one.
    pub fn veto(&self) -> Option<&Veto> {
        self.veto.as_ref()
    }

    /// Merges other evidence into this.
    pub fn merge(&mut self, other: &Self) {
        for (key, counts) in &other.counts {
            self.join_counts(key.clone(), *counts);
        }
        if let Some(veto) = &other.veto {
            self.add_veto(veto.clone());
        }
    }

    /// Counts of a version by route, summed over all observers.
    pub fn by_route(&self, version: &EndpointVersion) -> BTreeMap<RouteName, TrialCounts> {
        self.by_route_where(|it| it == version)
    }

    /// Counts of the selected versions by route, summed over all observers.
    pub(crate) fn by_route_where<Selects>(
        &self,
        selects: Selects,
    ) -> BTreeMap<RouteName, TrialCounts>
    where
        Selects: Fn(&EndpointVersion) -> bool,
    {
        let mut routes = BTreeMap::<RouteName, TrialCounts>::new();
        let selected = self.counts.iter().filter(|(key, _)| selects(&key.version));
        for (key, counts) in selected {
            let total = routes.entry(key.route.clone()).or_default();
            *total = total.plus(*counts);
        }
        routes
    }

    /// Counts of a version, summed over all routes and observers.
    pub fn total(&self, version: &EndpointVersion) -> TrialCounts {
        self.total_where(|key| key.version == *version)
    }

    /// Sum of the selected counters.
    pub(crate) fn total_where<Selects>(&self, selects: Selects) -> TrialCounts
    where
        Selects: Fn(&EvidenceKey) -> bool,
    {
        let selected = self.counts.iter().filter(|(key, _)| selects(key));
        selected.fold(TrialCounts::default(), |sum, (_, counts)| sum.plus(*counts))
    }

    /// Adds to the counters of one observer; only that observer may do so.
    pub(crate) fn add(&mut self, key: EvidenceKey, added: TrialCounts) {
        let counts = self.counts.entry(key).or_default();
        *counts = counts.plus(added);
    }

    pub(crate) fn add_veto(&mut self, veto: Veto) {
        self.veto = match self.veto.take() {
            Some(known) => Some(known.min(veto)),
            None => Some(veto),
        };
    }

    fn join_counts(&mut self, key: EvidenceKey, counts: TrialCounts) {
        let known = self.counts.entry(key).or_default();
        *known = known.join(counts);
    }
}
