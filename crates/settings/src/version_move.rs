//! The part of a template that asks for a move to another endpoint version.

use std::time::Duration;

use parsleylatch_types::{EndpointVersion, Millis, Percent, Share};
use serde::{Deserialize, Serialize};
use serde_with::{DurationSeconds, serde_as};

use crate::{document::Document, error::SettingsError};

/// Shortest deadline of a move.
const DEADLINE_FLOOR: Duration = Duration::from_secs(5);
/// Longest deadline of a move.
const DEADLINE_CEILING: Duration = Duration::from_secs(30 * 24 * 3_600);
/// Largest share of traffic for a version that has not proved itself.
const CANARY_SHARE_CEILING: Share = Share::new(200_000);
/// Largest rate of failures that a version may be rejected for.
const REJECTED_FAILURES_CEILING: Share = Share::new(500_000);
/// Smallest factor on the old version's pace that counts as slow.
const SLOW_PACE_FLOOR: Percent = Percent::new(110);

/// Move of a workspace's generations to another version.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionMoveTemplate {
    /// Version that replaces those in use.
    pub to: EndpointVersion,
    /// Time after which the move is done or taken back.
    #[serde_as(as = "DurationSeconds<u64>")]
    pub deadline_s: Duration,
    /// Smallest share of the new version while it has not proved itself.
    #[serde(default = "default_canary_share")]
    pub canary_share_ppm: Share,
    /// Rate of failed or slow attempts that a good version may have.
    #[serde(default = "default_tolerated_failures")]
    pub tolerated_failures_ppm: Share,
    /// Rate of failed or slow attempts at which a version is bad.
    #[serde(default = "default_rejected_failures")]
    pub rejected_failures_ppm: Share,
    /// Time between tokens that counts as slow, relative to the old version.
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
    /// Time after which the move is done or taken back.
    pub fn deadline_ms(&self) -> Millis {
        Millis::new(self.deadline_s.as_millis() as u64)
    }

    pub(crate) fn check(
        &self,
        in_use: &[EndpointVersion],
        document: &Document,
    ) -> Result<(), SettingsError> {
        if in_use.contains(&self.to) {
            let reason = format!("{} is among the endpoint versions in use", self.to);
            return Err(document.value_error("move.to", reason));
        }
        if !(DEADLINE_FLOOR..=DEADLINE_CEILING).contains(&self.deadline_s) {
            let (floor, ceiling) = (DEADLINE_FLOOR.as_secs(), DEADLINE_CEILING.as_secs());
            let reason = format!("the deadline is not in {floor} to {ceiling} seconds");
            return Err(document.value_error("move.deadline_s", reason));
        }
        if !(Share::new(1)..=CANARY_SHARE_CEILING).contains(&self.canary_share_ppm) {
            let reason = format!("the share is not in 1ppm to {CANARY_SHARE_CEILING}");
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
        if rejected > REJECTED_FAILURES_CEILING {
            let reason = format!("the rate is above {REJECTED_FAILURES_CEILING}");
            return Err(document.value_error("move.rejected_failures_ppm", reason));
        }
        if self.slow_pace_percent < SLOW_PACE_FLOOR {
            let reason = format!("a pace below {SLOW_PACE_FLOOR} of the old one is not slow");
            return Err(document.value_error("move.slow_pace_percent", reason));
        }
        Ok(())
    }
}
