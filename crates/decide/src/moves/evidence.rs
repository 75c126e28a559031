//! Evidence on a move: a join-semilattice of grow-only counters.
//!
//! Each observer, one start of one node, is the only writer of its counters.
//! Two copies merge by taking the larger value of each counter, so merging is
//! commutative, associative and idempotent, and evidence may arrive late, twice
//! or by any way.

use std::collections::BTreeMap;

use parsleylatch_types::{EndpointVersion, Incarnation, Micros, NodeId, RequestCount, RouteName};

/// One start of one node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Observer {
    /// Node.
    pub node: NodeId,
    /// Start of the node; its counters begin at zero.
    pub incarnation: Incarnation,
}

/// What a counter is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EvidenceKey {
    /// Version that was tried.
    pub version: EndpointVersion,
    /// Region of the node to region of the endpoint.
    pub route: RouteName,
    /// Who saw it.
    pub observer: Observer,
}

/// What was seen of attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrialCounts {
    /// Attempts that ended.
    pub trials: RequestCount,
    /// Attempts that were lost.
    pub failures: RequestCount,
    /// Attempts that were slow by the old version's mean pace.
    pub slow: RequestCount,
    /// Attempts whose pace is known.
    pub paced: RequestCount,
    /// Sum of their times between tokens.
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

    /// Adds the counts of another observer or route.
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

    /// What has been added since an earlier state of the same counts.
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

/// Final verdict against a version; the smallest of several is kept.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Veto {
    /// Route on which the version was bad.
    pub route: RouteName,
    /// Who saw it.
    pub observer: Observer,
}

/// Merged evidence on one move.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MoveEvidence {
    counts: BTreeMap<EvidenceKey, TrialCounts>,
    veto: Option<Veto>,
}

impl MoveEvidence {
    /// Evidence from its parts, for those who received it.
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

    /// Counters by what they are about.
    pub fn counts(&self) -> impl Iterator<Item = (&EvidenceKey, &TrialCounts)> {
        self.counts.iter()
    }

    /// Verdict against the new version, if there is one.
    pub fn veto(&self) -> Option<&Veto> {
        self.veto.as_ref()
    }

    /// Takes over what other evidence has and this has not.
    pub fn merge(&mut self, other: &Self) {
        for (key, counts) in &other.counts {
            self.join_counts(key.clone(), *counts);
        }
        if let Some(veto) = &other.veto {
            self.add_veto(veto.clone());
        }
    }

    /// Counts of a version by route, over all observers.
    pub fn by_route(&self, version: &EndpointVersion) -> BTreeMap<RouteName, TrialCounts> {
        let mut routes = BTreeMap::<RouteName, TrialCounts>::new();
        let of_version = self
            .counts
            .iter()
            .filter(|(key, _)| key.version == *version);
        for (key, counts) in of_version {
            let total = routes.entry(key.route.clone()).or_default();
            *total = total.plus(*counts);
        }
        routes
    }

    /// Counts of a version over all routes and observers.
    pub fn total(&self, version: &EndpointVersion) -> TrialCounts {
        let of_version = self
            .counts
            .iter()
            .filter(|(key, _)| key.version == *version);
        of_version.fold(TrialCounts::default(), |sum, (_, counts)| sum.plus(*counts))
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
