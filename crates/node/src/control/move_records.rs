//! Records of version moves in the store: when each was opened and how it ended.

use std::sync::Arc;

use parsleylatch_decide::moves::{MoveEnd, MovePlan};
use parsleylatch_store::{Condition, StoreClient, StoreError};
use parsleylatch_types::{EndpointVersion, Millis, MoveId, Revision, UnixMillis, WorkspaceId};
use parsleylatch_wire::platform::{KeyValue, ListReply};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::ControlInput;
use crate::{shared::Shared, telemetry::Counter};

/// Prefix of the keys of move records.
pub(crate) const MOVE_PREFIX: &str = "moves/";
/// Delay after a failed store call.
const STORE_RETRY_DELAY_MS: Millis = Millis::new(500);

/// Stored form of a move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MoveRecord {
    pub(crate) workspace: WorkspaceId,
    pub(crate) from: Vec<EndpointVersion>,
    pub(crate) to: EndpointVersion,
    pub(crate) opened_at_unix_ms: UnixMillis,
    pub(crate) end: Option<MoveEnd>,
}

impl MoveRecord {
    pub(crate) fn new(plan: &MovePlan, opened_at_unix_ms: UnixMillis) -> Self {
        Self {
            workspace: plan.workspace.clone(),
            from: plan.from.named().to_vec(),
            to: plan.to.clone(),
            opened_at_unix_ms,
            end: None,
        }
    }
}

/// Parses a move's id and record from an entry.
pub(crate) fn read_entry(entry: &KeyValue) -> Option<(MoveId, MoveRecord)> {
    let id = entry.key.strip_prefix(MOVE_PREFIX)?.parse().ok()?;
    let record = serde_json::from_str(&entry.value).ok()?;
    Some((id, record))
}

/// Writes a record unless the stored one is already up to date. Retries until it
/// succeeds, however long the store is unavailable.
pub(crate) async fn write(shared: Arc<Shared>, id: MoveId, record: MoveRecord) {
    let store = StoreClient::new(shared.settings.store_address);
    let key = format!("{MOVE_PREFIX}{id}");
    loop {
        match try_write(&shared, &store, &key, &record).await {
            Ok(Some(entry)) => {
                let reply = ListReply {
                    revision: entry.revision,
                    entries: vec![entry],
                    deleted: Vec::new(),
                };
                // Fails only when the control thread has stopped.
                let _ = shared.control.send(ControlInput::MoveRecords(reply)).await;
                return;
            }
            Ok(None) => {}
            Err(error) => {
                shared.counters.increment(Counter::StoreCallsFailed);
                log::debug!("{key}: {error}");
                sleep(STORE_RETRY_DELAY_MS.duration()).await;
            }
        }
    }
}

/// Reads and, if needed, updates the record; `None` if a concurrent write won.
async fn try_write(
    shared: &Shared,
    store: &StoreClient,
    key: &str,
    record: &MoveRecord,
) -> Result<Option<KeyValue>, StoreError> {
    shared.counters.increment(Counter::StoreCalls);
    let entry = store.read(key).await?.reply;
    let stored = entry.as_ref().and_then(read_entry);
    let stored = stored.map(|(_, record)| record);
    let is_up_to_date = stored
        .as_ref()
        .is_some_and(|stored| stored.end.is_some() || record.end.is_none());
    if is_up_to_date {
        return Ok(entry);
    }
    let revision = entry.map_or(Revision::ZERO, |entry| entry.revision);
    let condition = match revision {
        Revision::ZERO => Condition::Absent,
        revision => Condition::At(revision),
    };
    let opened_at_unix_ms = stored.map_or(record.opened_at_unix_ms, |it| it.opened_at_unix_ms);
    let updated = MoveRecord {
        opened_at_unix_ms,
        ..record.clone()
    };
    let value = serde_json::to_string(&updated).unwrap_or_default();
    shared.counters.increment(Counter::StoreCalls);
    let reply = store.write(key, value, condition, None).await?.reply;
    Ok(reply.entry.filter(|_| reply.written))
}
