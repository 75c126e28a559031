//! Keeps a copy of a run's KV cache on another engine while the run continues.
//!
//! The engine replicates its KV cache to the backup named in the request. If that
//! backup fails, or could fail together with the engine, a copy is requested elsewhere.
//! It has to be requested again while the run continues, because a requested copy does
//! not grow and is kept for a few seconds only.

use std::{rc::Rc, sync::Arc};

use parsleylatch_decide::relay::{CopySource, EndpointEntry, MemoryCopy};
use parsleylatch_types::{ExchangeId, Millis, MonoTime};
use tokio::sync::oneshot;

use super::{
    engine,
    state::{Traffic, connection_key},
};

/// Interval between checks of the copy's holder.
const CHECK_INTERVAL_MS: Millis = Millis::new(250);
/// Age at which a requested copy is renewed; engines keep one for four seconds, and
/// tokens newer than the copy have to be prefilled again.
const REFRESH_AFTER_MS: Millis = Millis::new(1_500);

/// Tracks when the copy of one exchange was checked and requested, and for which engine.
#[derive(Default)]
pub(crate) struct CopyMonitor {
    checked_at: MonoTime,
    requested_at: MonoTime,
    target: Option<Arc<EndpointEntry>>,
    pending_copy: Option<oneshot::Receiver<Option<MemoryCopy>>>,
}

impl CopyMonitor {
    /// Requests a new copy of the run on `running` if the current one is lost, old or in
    /// the same failure domain.
    pub(crate) fn refresh_if_due(
        &mut self,
        now: MonoTime,
        traffic: &Rc<Traffic>,
        id: &ExchangeId,
        running: &EndpointEntry,
        copy: &MemoryCopy,
    ) {
        let is_due = now.since(self.checked_at) >= CHECK_INTERVAL_MS.micros();
        if !is_due || self.pending_copy.is_some() {
            return;
        }
        self.checked_at = now;
        // Brings the endpoint table up to date with the registry.
        traffic.snapshot();
        let is_lost = !is_holder_usable(now, traffic, copy);
        let is_outdated = matches!(copy.source, CopySource::Ordered { .. })
            && now.since(self.requested_at) >= REFRESH_AFTER_MS.micros();
        if is_lost {
            self.target = choose_target(now, traffic, running, copy);
        } else if shares_failure_domain(traffic, running, copy) {
            let target = choose_target(now, traffic, running, copy);
            let separate = target.filter(|it| it.failure_domain != running.failure_domain);
            if separate.is_none() && !is_outdated {
                return;
            }
            self.target = separate.or(self.target.take());
        } else if !is_outdated {
            return;
        }
        if let Some(target) = &self.target {
            self.requested_at = now;
            let key = connection_key(running);
            let pending_copy =
                engine::request_copy(Rc::clone(traffic), key, id.clone(), Arc::clone(target));
            self.pending_copy = Some(pending_copy);
        }
    }

    /// Waits for the result of the pending request; forever if there is none.
    pub(crate) async fn next(&mut self) -> Option<MemoryCopy> {
        let Some(pending_copy) = &mut self.pending_copy else {
            return std::future::pending().await;
        };
        let copy = pending_copy.await.unwrap_or_default();
        self.pending_copy = None;
        copy
    }
}

/// Whether the holder of a copy is presumed alive.
fn is_holder_usable(now: MonoTime, traffic: &Traffic, copy: &MemoryCopy) -> bool {
    let table = traffic.endpoint_table.borrow();
    table.is_usable(&copy.holder) && !table.is_suspended(now, &copy.holder)
}

/// Whether the holder of a copy is in the failure domain of the run.
fn shares_failure_domain(traffic: &Traffic, running: &EndpointEntry, copy: &MemoryCopy) -> bool {
    let table = traffic.endpoint_table.borrow();
    let holder = table.entry(&copy.holder);
    holder.is_some_and(|it| it.failure_domain == running.failure_domain)
}

fn choose_target(
    now: MonoTime,
    traffic: &Traffic,
    running: &EndpointEntry,
    copy: &MemoryCopy,
) -> Option<Arc<EndpointEntry>> {
    let excluded = [running.key.clone(), copy.holder.clone()];
    let table = traffic.endpoint_table.borrow();
    traffic
        .selector()
        .select_backup(now, &table, running, &excluded)
}
