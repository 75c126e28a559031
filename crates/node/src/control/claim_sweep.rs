//! Rate-limited deletion of expired claims.

use std::sync::Arc;

use parsleylatch_decide::call::{self, ClaimBucket, ClaimSweep};
use parsleylatch_runtime::Clock;
use parsleylatch_store::StoreError;
use parsleylatch_types::{Millis, NodeId};
use tokio::time::sleep;

use crate::{
    claims::{self, ClaimStore},
    shared::Shared,
    telemetry::Counter,
};

/// Interval at which the next due bucket is swept.
const BUCKET_INTERVAL_MS: Millis = Millis::new(1_000);
/// Interval between deletes.
const DELETE_INTERVAL_MS: Millis = Millis::new(100);
/// Delay after a failed store call.
const RETRY_DELAY_MS: Millis = Millis::new(5_000);

/// Sweeps the claim buckets that this node owns when they are due.
pub(super) async fn run(shared: Arc<Shared>) {
    let store = ClaimStore::new(&shared);
    let mut sweep = ClaimSweep::new(shared.settings.node_id.clone());
    loop {
        sleep(BUCKET_INTERVAL_MS.duration()).await;
        let peers: Vec<NodeId> = shared
            .snapshot
            .load()
            .peers
            .iter()
            .map(|peer| peer.id.clone())
            .collect();
        let Some(bucket) = sweep.next_due(Clock::unix_now(), &peers) else {
            continue;
        };
        match delete_expired(&shared, &store, bucket).await {
            Ok(()) => sweep.mark_swept(bucket),
            Err(error) => {
                log::debug!("{error}");
                sleep(RETRY_DELAY_MS.duration()).await;
            }
        }
    }
}

async fn delete_expired(
    shared: &Shared,
    store: &ClaimStore,
    bucket: ClaimBucket,
) -> Result<(), StoreError> {
    for entry in store.list(bucket).await? {
        let id = claims::parse_claim_key(&entry.key);
        if id.is_some_and(|id| call::may_delete(id, Clock::unix_now())) {
            store.delete(&entry).await?;
            shared.counters.increment(Counter::ClaimsDeleted);
            sleep(DELETE_INTERVAL_MS.duration()).await;
        }
    }
    Ok(())
}
