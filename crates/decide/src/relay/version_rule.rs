//! Which versions of a service run its new requests.

use std::{collections::BTreeSet, sync::Arc};

use parsleylatch_types::{EndpointVersion, Share};

use crate::moves::FULL_SHARE;

/// Split of a service's new requests between versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionRule {
    /// Target version of the roll-out.
    pub target: EndpointVersion,
    /// Share of the requests for the target version.
    pub share: Share,
    /// Versions that get no requests.
    pub rejected: Arc<BTreeSet<EndpointVersion>>,
}

/// Restricts the versions on which one attempt may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionLimit {
    /// Versions among those that are not rejected.
    pub choice: VersionChoice,
    /// Versions on which no attempt may run.
    pub rejected: Arc<BTreeSet<EndpointVersion>>,
}

/// Versions on which one attempt may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionChoice {
    /// This version, if one of its endpoints can take the attempt.
    Preferred(EndpointVersion),
    /// Any version except this one.
    Other(EndpointVersion),
    /// Any version.
    Any,
}

impl VersionLimit {
    /// Whether an attempt may run on a version.
    pub fn allows(&self, version: &EndpointVersion) -> bool {
        let is_chosen = match &self.choice {
            VersionChoice::Preferred(preferred) => preferred == version,
            VersionChoice::Other(other) => other != version,
            VersionChoice::Any => true,
        };
        is_chosen && !self.rejected.contains(version)
    }

    /// The limit for an attempt that finds no endpoint of the preferred version; `None` if no
    /// version is preferred.
    pub(crate) fn without_preference(&self) -> Option<Self> {
        let is_preference = matches!(self.choice, VersionChoice::Preferred(_));
        is_preference.then(|| Self {
            choice: VersionChoice::Any,
            rejected: Arc::clone(&self.rejected),
        })
    }
}

impl VersionRule {
    /// Limit for an attempt; `random` is uniform below the full share. A retry does
    /// not run on a version on trial.
    pub fn limit(&self, random: u32, is_retry: bool) -> VersionLimit {
        let is_full = self.share == FULL_SHARE;
        let is_in_share = random < self.share.get() && !is_retry;
        let choice = match is_full || is_in_share {
            true => VersionChoice::Preferred(self.target.clone()),
            false => VersionChoice::Other(self.target.clone()),
        };
        VersionLimit {
            choice,
            rejected: Arc::clone(&self.rejected),
        }
    }
}
