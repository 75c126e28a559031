//! Claims of once-only calls, stored as JSON documents.

use std::{str::FromStr, sync::Arc};

use parsleylatch_decide::call::{
    CallAnswer, CallDigest, Claim, ClaimBucket, ClaimCondition, ClaimNonce, ClaimOutcome,
    StoredClaim,
};
use parsleylatch_http::check_response_status;
use parsleylatch_store::{Condition, Dated, StoreClient, StoreError};
use parsleylatch_types::{
    EraReading, Millis, NodeId, RequestId, Revision, UnixMillis, WorkspaceId,
};
use parsleylatch_wire::platform::KeyValue;
use serde::{Deserialize, Serialize};

use crate::{
    shared::Shared,
    telemetry::{Counter, Counters},
};

/// Prefix of the keys of claims.
const CLAIM_PREFIX: &str = "claims/";
/// Long-poll timeout of one claim watch; longer than any caller waits.
const CLAIM_WATCH_MS: Millis = Millis::new(10_000);

/// Returns the store key of a request's claim.
fn claim_key(id: RequestId) -> String {
    format!("{CLAIM_PREFIX}{id}")
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
enum OutcomeDocument {
    Pending,
    Answered { status: u16, body: String },
    Unknown,
    Released,
}

/// Stored value of a claim.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct ClaimDocument {
    workspace: WorkspaceId,
    node_id: NodeId,
    nonce: String,
    digest: String,
    claimed_at_unix_ms: UnixMillis,
    #[serde(flatten)]
    outcome: OutcomeDocument,
}

impl ClaimDocument {
    fn from_claim(claim: &Claim) -> Self {
        let outcome = match &claim.outcome {
            ClaimOutcome::Pending => OutcomeDocument::Pending,
            ClaimOutcome::Unknown => OutcomeDocument::Unknown,
            ClaimOutcome::Released => OutcomeDocument::Released,
            ClaimOutcome::Answered(answer) => OutcomeDocument::Answered {
                status: answer.status,
                body: String::from_utf8_lossy(&answer.body).into_owned(),
            },
        };
        Self {
            workspace: claim.workspace.clone(),
            node_id: claim.node.clone(),
            nonce: claim.nonce.to_string(),
            digest: claim.digest.to_string(),
            claimed_at_unix_ms: claim.claimed_at_unix_ms,
            outcome,
        }
    }

    fn into_claim(self) -> Option<Claim> {
        let outcome = match self.outcome {
            OutcomeDocument::Pending => ClaimOutcome::Pending,
            OutcomeDocument::Unknown => ClaimOutcome::Unknown,
            OutcomeDocument::Released => ClaimOutcome::Released,
            // An earlier version recorded such answers, which count as failed attempts.
            OutcomeDocument::Answered { status, .. } if check_response_status(status).is_err() => {
                ClaimOutcome::Unknown
            }
            OutcomeDocument::Answered { status, body } => ClaimOutcome::Answered(CallAnswer {
                status,
                body: body.into_bytes().into(),
            }),
        };
        Some(Claim {
            workspace: self.workspace,
            node: self.node_id,
            nonce: ClaimNonce::from_str(&self.nonce).ok()?,
            digest: CallDigest::from_str(&self.digest).ok()?,
            claimed_at_unix_ms: self.claimed_at_unix_ms,
            outcome,
        })
    }
}

/// Parses the request id from the key of a claim.
pub(crate) fn parse_claim_key(key: &str) -> Option<RequestId> {
    key.strip_prefix(CLAIM_PREFIX)?.parse().ok()
}

/// Result of a store operation on a claim.
pub(crate) enum ClaimReply {
    /// The claim was written at this revision.
    Written(Revision),
    /// The key already has a claim.
    Found(StoredClaim),
    /// The key has no claim.
    Absent,
    /// The key has no other claim, but the store was restored since the id was made, so an
    /// earlier claim may be missing. Has the revision if this claim was written.
    Lost(Option<Revision>),
    /// The write may or may not have taken effect.
    Unclear,
    /// A read or watch gave no result, or a write failed without taking effect.
    Failed,
}

/// Store client for claims.
#[derive(Clone)]
pub(crate) struct ClaimStore {
    store: StoreClient,
    shared: Arc<Shared>,
}

impl ClaimStore {
    pub(crate) fn new(shared: &Arc<Shared>) -> Self {
        Self {
            store: StoreClient::new(shared.settings.store_address),
            shared: Arc::clone(shared),
        }
    }

    /// Writes a claim if the condition holds.
    pub(crate) async fn write(
        &self,
        id: RequestId,
        claim: &Claim,
        condition: ClaimCondition,
    ) -> ClaimReply {
        let condition = match condition {
            ClaimCondition::Absent => Condition::Absent,
            ClaimCondition::At(revision) => Condition::At(revision),
        };
        let Ok(value) = serde_json::to_string(&ClaimDocument::from_claim(claim)) else {
            return ClaimReply::Failed;
        };
        self.counters().increment(Counter::StoreCalls);
        match self
            .store
            .write(&claim_key(id), value, condition, None)
            .await
        {
            Ok(dated) if self.is_late(&dated.era) => ClaimReply::Unclear,
            Ok(Dated { reply, .. }) => match reply.entry {
                Some(entry) if reply.written => self.judge(id, Some(entry.revision)),
                Some(entry) => self.judge_found(id, stored_claim(&entry, claim), claim),
                None => self.judge(id, None),
            },
            Err(error) if error.is_outcome_unknown() => {
                self.record_failure(&error, ClaimReply::Unclear)
            }
            Err(error) => self.record_failure(&error, ClaimReply::Failed),
        }
    }

    /// Reads a claim; if the document can't be parsed, the result is based on `own_claim`.
    pub(crate) async fn read(&self, id: RequestId, own_claim: &Claim) -> ClaimReply {
        self.counters().increment(Counter::StoreCalls);
        match self.store.read(&claim_key(id)).await {
            Ok(dated) if self.is_late(&dated.era) => ClaimReply::Failed,
            Ok(dated) => match dated.reply {
                Some(entry) => self.judge_found(id, stored_claim(&entry, own_claim), own_claim),
                None => self.judge(id, None),
            },
            Err(error) => self.record_failure(&error, ClaimReply::Failed),
        }
    }

    /// Result for a key that holds no claim, or only the one just written.
    fn judge(&self, id: RequestId, written: Option<Revision>) -> ClaimReply {
        match (self.shared.may_lack_claim(id), written) {
            (true, written) => ClaimReply::Lost(written),
            (false, Some(revision)) => ClaimReply::Written(revision),
            (false, None) => ClaimReply::Absent,
        }
    }

    /// Result for a key that holds a claim. One that was just written shows no more than
    /// that there was no other.
    fn judge_found(&self, id: RequestId, found: StoredClaim, own_claim: &Claim) -> ClaimReply {
        let is_own = found.claim.nonce == own_claim.nonce;
        match is_own && found.claim.outcome == ClaimOutcome::Pending {
            true => match self.judge(id, Some(found.revision)) {
                ClaimReply::Written(_) => ClaimReply::Found(found),
                lost => lost,
            },
            false => ClaimReply::Found(found),
        }
    }

    /// Records the era of a response; returns whether it is of an era that has ended.
    fn is_late(&self, era: &EraReading) -> bool {
        !self.shared.observe_era(era).is_usable()
    }

    /// Waits until a claim changes after a revision, or until the watch times out.
    pub(crate) async fn watch(
        &self,
        id: RequestId,
        after: Revision,
        own_claim: &Claim,
    ) -> ClaimReply {
        self.counters().increment(Counter::StoreCalls);
        let key = claim_key(id);
        match self.store.watch(&key, after, CLAIM_WATCH_MS).await {
            Ok(dated) if self.is_late(&dated.era) => ClaimReply::Failed,
            Ok(Dated { reply, .. }) => match reply.entries.first() {
                Some(entry) => ClaimReply::Found(stored_claim(entry, own_claim)),
                None if reply.deleted.contains(&key) => self.judge(id, None),
                None => ClaimReply::Failed,
            },
            Err(error) => self.record_failure(&error, ClaimReply::Failed),
        }
    }

    /// Lists the claims of a bucket.
    pub(crate) async fn list(&self, bucket: ClaimBucket) -> Result<Vec<KeyValue>, StoreError> {
        self.counters().increment(Counter::StoreCalls);
        let dated = self.store.list(&format!("{CLAIM_PREFIX}{bucket}")).await?;
        Ok(dated.reply.entries)
    }

    /// Deletes a claim if it is still at the listed revision.
    pub(crate) async fn delete(&self, entry: &KeyValue) -> Result<(), StoreError> {
        self.counters().increment(Counter::StoreCalls);
        self.store.delete(&entry.key, entry.revision).await?;
        Ok(())
    }

    /// Reads the stored entry of a claim without parsing it, for the administration API.
    pub(crate) async fn read_raw(&self, id: RequestId) -> Result<Option<KeyValue>, StoreError> {
        self.counters().increment(Counter::StoreCalls);
        let dated = self.store.read(&claim_key(id)).await?;
        Ok(dated.reply)
    }

    fn counters(&self) -> &Counters {
        &self.shared.counters
    }

    fn record_failure(&self, error: &StoreError, reply: ClaimReply) -> ClaimReply {
        self.counters().increment(Counter::StoreCallsFailed);
        if let Some(era) = &error.era {
            self.shared.observe_era(era);
        }
        log::debug!("{error}");
        reply
    }
}

/// Parses the claim of an entry. An unparsable claim counts as a call that may
/// have run, so it is never repeated.
fn stored_claim(entry: &KeyValue, own_claim: &Claim) -> StoredClaim {
    let document = serde_json::from_str(&entry.value).ok();
    let claim = document.and_then(ClaimDocument::into_claim);
    StoredClaim {
        claim: claim.unwrap_or_else(|| unreadable_claim(own_claim)),
        revision: entry.revision,
    }
}

fn unreadable_claim(own_claim: &Claim) -> Claim {
    Claim {
        nonce: ClaimNonce::UNREADABLE,
        ..own_claim.with_outcome(ClaimOutcome::Unknown)
    }
}
