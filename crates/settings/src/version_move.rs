//! Template section that requests a move to another endpoint version.

use std::time::Duration;

use parsleylatch_types::{EndpointVersion, Millis, Percent, Share};
use serde::{Deserialize, Serialize};
use serde_with::{DurationSeconds, serde_as};

use crate::{document::Document, error::SettingsError};

/// Minimum deadline of a move.
const MIN_DEADLINE: Duration = Duration::from_secs(5);
/// Maximum deadline of a move.
const MAX_DEADLINE: Duration = Duration::from_secs(30 * 24 * 3_600);
/// Maximum traffic share of a new version before it has passed its trials.
const MAX_CANARY_SHARE: Share = Share::new(200_000);
/// Maximum failure rate that may be configured as grounds for rejection.
const MAX_REJECTED_FAILURES: Share = Share::new(500_000);
/// Minimum time between tokens that counts as slow, relative to the old version.
const MIN_SLOW_PACE: Percent = Percent::new(110);

/// Move of a workspace's generations to another endpoint version.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionMoveTemplate {
    /// Version that replaces the current ones.
    pub to: EndpointVersion,
    /// Time limit after which the move has completed or been rolled back.
    #[serde_as(as = "DurationSeconds<u64>")]
    pub deadline_s: Duration,
    /// Minimum traffic share of the new version before it has passed its trials.
    #[serde(default = "default_canary_share")]
    pub canary_share_ppm: Share,
    /// Rate of failed or slow attempts that is acceptable for a good version.
    #[serde(default = "default_tolerated_failures")]
    pub tolerated_failures_ppm: Share,
    /// Rate of failed or slow attempts at which a version is rejected.
    #[serde(default = "default_rejected_failures")]
    pub rejected_failures_ppm: Share,
    /// Time between tokens that counts as slow, in percent of the old version's.
    #[serde(default = "default_slow_pace")]
    pub slow_pace_percent: Percent,
}

fn default_canary_share() -> Share {
    Share::new(5_000)
}

fn default_tolerated_failures() -> Share {
    Share::new(10_000)
}

fn default_rejected_failures() -> Share {
    Share::new(100_000)
}

fn default_slow_pace() -> Percent {
    Percent::new(200)
}

impl VersionMoveTemplate {
    /// Time limit after which the move has completed or been rolled back.
    pub fn deadline_ms(&self) -> Millis {
        Millis::new(self.deadline_s.as_millis() as u64)
    }

    pub(crate) fn check(
        &self,
        current_versions: &[EndpointVersion],
        document: &Document,
    ) -> Result<(), SettingsError> {
        if current_versions.contains(&self.to) {
            let reason = format!("{} is among the endpoint versions in use", self.to);
            return Err(document.value_error("move.to", reason));
        }
        if !(MIN_DEADLINE..=MAX_DEADLINE).contains(&self.deadline_s) {
            let (min, max) = (MIN_DEADLINE.as_secs(), MAX_DEADLINE.as_secs());
            let reason = format!("the deadline is not in {min} to {max} seconds");
            return Err(document.value_error("move.deadline_s", reason));
        }
        if !(Share::new(1)..=MAX_CANARY_SHARE).contains(&self.canary_share_ppm) {
            let reason = format!("the share is not in 1ppm to {MAX_CANARY_SHARE}");
            return Err(document.value_error("move.canary_share_ppm", reason));
        }
        self.check_rates(document)
    }

    fn check_rates(&self, document: &Document) -> Result<(), SettingsError> {
        let tolerated = self.tolerated_failures_ppm;
        let rejected = self.rejected_failures_ppm;
        if tolerated == Share::ZERO || tolerated >= rejected {
            let reason = format!("the rate is not above 0ppm and below {rejected}");
            return Err(document.value_error("move.tolerated_failures_ppm", reason));
        }
        if rejected > MAX_REJECTED_FAILURES {
            let reason = format!("the rate is above {MAX_REJECTED_FAILURES}");
            return Err(document.value_error("move.rejected_failures_ppm", reason));
        }
        if self.slow_pace_percent < MIN_SLOW_PACE {
            let reason = format!("a pace below {MIN_SLOW_PACE} of the old one is not slow");
            return Err(document.value_error("move.slow_pace_percent", reason));
        }
        Ok(())
    }
}
