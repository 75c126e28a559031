//! Which endpoint versions a new generation may run on while a version moves.
//!
//! The choice depends on the request id alone, so a repeat of a request at
//! another node comes to the same version as long as the share is the same, and
//! a growing share only adds requests to the new version.

use parsleylatch_types::{EndpointVersion, RequestId, Share};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{generation::PlacementConstraints, moves::FULL_SHARE};

/// Version that gets a share of the new generations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CandidateVersion {
    /// Version.
    pub version: EndpointVersion,
    /// Its share.
    pub share: Share,
}

/// Versions for the new generations of one workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionPlan {
    /// Versions in use.
    pub in_use: Vec<EndpointVersion>,
    /// Version that is being moved to.
    pub candidate: Option<CandidateVersion>,
}

impl VersionPlan {
    /// Order for an attempt of a generation that has no token yet.
    ///
    /// The first attempt goes to the candidate if the request falls into its
    /// share; a retry goes to a version in use.
    pub fn constraints_for(
        &self,
        request_id: RequestId,
        constraints: &PlacementConstraints,
    ) -> PlacementConstraints {
        let is_first = constraints.failed_endpoints.is_empty();
        let chosen = self.candidate.as_ref().filter(|candidate| {
            is_first && is_in_share(request_id, &candidate.version, candidate.share)
        });
        PlacementConstraints {
            endpoint_versions: match chosen {
                Some(candidate) => vec![candidate.version.clone()],
                None => self.in_use.clone(),
            },
            failed_endpoints: constraints.failed_endpoints.clone(),
        }
    }

    /// The same order on the versions in use only.
    pub fn fallback(&self, constraints: &PlacementConstraints) -> PlacementConstraints {
        PlacementConstraints {
            endpoint_versions: self.in_use.clone(),
            failed_endpoints: constraints.failed_endpoints.clone(),
        }
    }
}

/// Whether a request falls into a version's share.
fn is_in_share(request_id: RequestId, version: &EndpointVersion, share: Share) -> bool {
    let hash = xxh3_64_with_seed(version.as_str().as_bytes(), request_id.stable_hash());
    hash % u64::from(FULL_SHARE.get()) < u64::from(share.get())
}
