//! Selection of the endpoint version for a new generation during a version move.
//!
//! The choice depends only on the request id. A retry at another node therefore
//! gets the same version as long as the share is the same, and a growing share only
//! adds requests to the new version.

use parsleylatch_types::{EndpointVersion, RequestId, Share};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{generation::PlacementConstraints, moves::FULL_SHARE};

/// Version that receives a share of the new generations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CandidateVersion {
    /// Candidate version.
    pub version: EndpointVersion,
    /// Share of the new generations that it receives.
    pub share: Share,
}

/// Versions that the new generations of one workspace may run on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionPlan {
    /// Versions in use.
    pub in_use: Vec<EndpointVersion>,
    /// Target version of the move in progress.
    pub candidate: Option<CandidateVersion>,
}

impl VersionPlan {
    /// Constraints for an attempt of a generation without tokens.
    ///
    /// The first attempt goes to the candidate if the request falls into the
    /// candidate's share. Retries go to the versions in use.
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

    /// The same constraints, limited to the versions in use.
    pub fn fallback(&self, constraints: &PlacementConstraints) -> PlacementConstraints {
        PlacementConstraints {
            endpoint_versions: self.in_use.clone(),
            failed_endpoints: constraints.failed_endpoints.clone(),
        }
    }
}

/// Whether a request falls into the share of a version.
fn is_in_share(request_id: RequestId, version: &EndpointVersion, share: Share) -> bool {
    let hash = xxh3_64_with_seed(version.as_str().as_bytes(), request_id.stable_hash());
    hash % u64::from(FULL_SHARE.get()) < u64::from(share.get())
}
