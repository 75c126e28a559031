//! Keeps a copy of a run's memory at some engine while it runs.
//!
//! The engine sends its memory to the backup that the request named. When that
//! backup is lost, or could be lost together with the run, a copy elsewhere has to
//! be ordered, and ordered again while the run goes on, because an ordered copy does
//! not grow and is kept for a few seconds only.

use std::{rc::Rc, sync::Arc};

use parsleylatch_decide::relay::{CopySource, EndpointEntry, MemoryCopy};
use parsleylatch_types::{ExchangeId, Millis, MonoTime};
use tokio::sync::oneshot;

use super::{
    engine,
    state::{Traffic, connection_key},
};

/// Time between two looks at the copy's holder.
const CHECK_INTERVAL_MS: Millis = Millis::new(250);
/// Age of an ordered copy at which it is ordered again; engines keep one for
/// four seconds, and what is new since is read again.
const REFRESH_AFTER_MS: Millis = Millis::new(1_500);

/// Orders of copies for one exchange.
#[derive(Default)]
pub(crate) struct CopyMonitor {
    checked_at: MonoTime,
    ordered_at: MonoTime,
    target: Option<Arc<EndpointEntry>>,
    order: Option<oneshot::Receiver<Option<MemoryCopy>>>,
}

impl CopyMonitor {
    /// Orders a copy of what runs at `running` if the one there is lost or old.
    pub(crate) fn refresh_if_due(
        &mut self,
        now: MonoTime,
        traffic: &Rc<Traffic>,
        id: &ExchangeId,
        running: &EndpointEntry,
        copy: &MemoryCopy,
    ) {
        let is_due = now.since(self.checked_at) >= CHECK_INTERVAL_MS.micros();
        if !is_due || self.order.is_some() {
            return;
        }
        self.checked_at = now;
        // Brings the book up to what the registry lists.
        traffic.snapshot();
        let is_lost = !is_holder_usable(now, traffic, copy);
        let is_old = matches!(copy.source, CopySource::Ordered { .. })
            && now.since(self.ordered_at) >= REFRESH_AFTER_MS.micros();
        if is_lost {
            self.target = choose_target(now, traffic, running, copy);
        } else if shares_failure_domain(traffic, running, copy) {
            let target = choose_target(now, traffic, running, copy);
            let separate = target.filter(|it| it.failure_domain != running.failure_domain);
            if separate.is_none() && !is_old {
                return;
            }
            self.target = separate.or(self.target.take());
        } else if !is_old {
            return;
        }
        if let Some(target) = &self.target {
            self.ordered_at = now;
            let key = connection_key(running);
            let order =
                engine::request_copy(Rc::clone(traffic), key, id.clone(), Arc::clone(target));
            self.order = Some(order);
        }
    }

    /// Waits for the answer to an order.
    pub(crate) async fn next(&mut self) -> Option<MemoryCopy> {
        let Some(order) = &mut self.order else {
            return std::future::pending().await;
        };
        let copy = order.await.unwrap_or_default();
        self.order = None;
        copy
    }
}

/// Whether the holder of a copy is taken to live.
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
