//! Attempts on the versions of a roll-out that have not responded yet.
//!
//! An attempt that takes longer than a good version would is counted as soon as that is
//! certain. Its result, which may come after the decision, is not counted again.

use std::collections::BTreeMap;

use parsleylatch_types::{MonoTime, TrialNumber};

use super::VersionTrial;

struct OpenTrial {
    started_at: MonoTime,
    trial: VersionTrial,
    is_counted: bool,
}

/// Started attempts by their number.
#[derive(Default)]
pub(crate) struct OpenTrials {
    trials: BTreeMap<TrialNumber, OpenTrial>,
}

impl OpenTrials {
    pub(crate) fn start(&mut self, now: MonoTime, number: TrialNumber, trial: VersionTrial) {
        let open = OpenTrial {
            started_at: now,
            trial,
            is_counted: false,
        };
        self.trials.insert(number, open);
    }

    /// Removes an attempt; returns it unless it has been counted.
    pub(crate) fn end(&mut self, number: TrialNumber) -> Option<VersionTrial> {
        let open = self.trials.remove(&number)?;
        (!open.is_counted).then_some(open.trial)
    }

    /// Marks the attempts whose time so far is late as counted and returns them with it.
    pub(crate) fn take_late<IsLate>(&mut self, now: MonoTime, is_late: IsLate) -> Vec<VersionTrial>
    where
        IsLate: Fn(&VersionTrial) -> bool,
    {
        let uncounted = self.trials.values_mut().filter(|open| !open.is_counted);
        let late = uncounted.filter_map(|open| {
            let so_far = VersionTrial {
                latency: Some(now.since(open.started_at)),
                ..open.trial.clone()
            };
            open.is_counted = is_late(&so_far);
            open.is_counted.then_some(so_far)
        });
        late.collect()
    }
}
