//! What crosses the borders of failure domains and regions, by service.
//!
//! Nothing is exported before something was counted, so a relay that doesn't decide when
//! requests leave exports the same metrics as before.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    sync::{Mutex, PoisonError},
};

use parsleylatch_decide::relay::Border;
use parsleylatch_types::{ServiceName, Share};
use strum::{EnumCount, EnumIter, IntoEnumIterator, IntoStaticStr};

/// Services that are counted; those of a configuration are far fewer.
const SERVICE_LIMIT: usize = 1_000;

/// What is counted at a border.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum CrossingCounter {
    /// Requests sent over the border, including repeated ones.
    Requests,
    /// Bytes of their bodies and of their responses.
    Bytes,
    /// Copies of the memory of runs, from engine to engine.
    Copies,
}

/// Counts and the share in force of one service at one border.
#[derive(Default)]
struct Crossing {
    counts: [u64; CrossingCounter::COUNT],
    share: Share,
}

/// Counts by service and border.
#[derive(Default)]
pub(super) struct Crossings(Mutex<BTreeMap<(ServiceName, Border), Crossing>>);

impl Crossings {
    pub(super) fn add(
        &self,
        service: &ServiceName,
        border: Border,
        counter: CrossingCounter,
        count: u64,
    ) {
        self.update(service, border, |it| {
            let counted = &mut it.counts[counter as usize];
            *counted = counted.saturating_add(count);
        });
    }

    pub(super) fn set_share(&self, service: &ServiceName, border: Border, share: Share) {
        self.update(service, border, |it| it.share = share);
    }

    fn update<Change>(&self, service: &ServiceName, border: Border, change: Change)
    where
        Change: FnOnce(&mut Crossing),
    {
        let mut crossings = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let key = (service.clone(), border);
        if crossings.len() < SERVICE_LIMIT || crossings.contains_key(&key) {
            change(crossings.entry(key).or_default());
        }
    }

    /// Renders the counts in the Prometheus text exposition format.
    pub(super) fn render(&self, text: &mut String) {
        let crossings = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if crossings.is_empty() {
            return;
        }
        for counter in CrossingCounter::iter() {
            let name: &str = counter.into();
            let _ = writeln!(text, "# TYPE parsleylatch_crossing_{name}_total counter");
            for ((service, border), crossing) in crossings.iter() {
                let count = crossing.counts[counter as usize];
                let _ = writeln!(
                    text,
                    "parsleylatch_crossing_{name}_total\
                     {{service=\"{service}\",border=\"{border}\"}} {count}"
                );
            }
        }
        let _ = writeln!(text, "# TYPE parsleylatch_crossing_share_ppm gauge");
        for ((service, border), crossing) in crossings.iter() {
            let share = crossing.share.get();
            let _ = writeln!(
                text,
                "parsleylatch_crossing_share_ppm\
                 {{service=\"{service}\",border=\"{border}\"}} {share}"
            );
        }
    }
}
