//! Client for the key-value store.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, StatusCode};
use parsleylatch_http::{Client, HttpError, HttpErrorKind, Reply, Step};
use parsleylatch_types::{EraReading, Millis, Revision};
use parsleylatch_wire::platform::{KeyValue, ListReply, WriteReply};

use crate::{
    codec::{ConditionalWrite, Guard, ListPage, ReplyError, StoreCodec, StoreRequest},
    error::{StoreError, StoreStep},
};

/// Default timeout of calls; a watch has its wait time in addition.
const CALL_TIMEOUT_MS: Millis = Millis::new(2_000);

/// Largest reply that holds no value.
const MAX_PLAIN_REPLY_BYTES: usize = 64 << 10;
/// Largest reply with the values of a few keys, each of up to 1 MiB, Base64-encoded.
const MAX_ENTRY_REPLY_BYTES: usize = 4 << 20;
/// Largest page of a listing and largest reply to a watch; a page holds about 1 MB, and a
/// reply to a watch may hold several versions of a large value.
const MAX_PAGE_BYTES: usize = 8 << 20;
/// Largest listing, by the keys and values of all pages.
const MAX_LISTING_BYTES: usize = 16 << 20;
/// Size that each page and each entry of a listing counts beside its keys and values.
const LISTING_OVERHEAD_BYTES: usize = 64;

/// Lease id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub u64);

/// Condition on a key for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The key does not exist.
    Absent,
    /// The key is at this revision.
    At(Revision),
}

impl Condition {
    /// Expected revision of the key; zero if the key must not exist.
    pub fn expected(self) -> Revision {
        match self {
            Self::Absent => Revision::ZERO,
            Self::At(revision) => revision,
        }
    }
}

/// Result of a call, with the era of the store that gave it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dated<Output> {
    /// Era that the response states.
    pub era: EraReading,
    /// Result.
    pub reply: Output,
}

/// Client for the store at one address.
#[derive(Clone)]
pub struct StoreClient {
    http: Client,
    address: SocketAddr,
    codec: StoreCodec,
    call_timeout_ms: Millis,
}

impl StoreClient {
    /// Creates a client for the project's own store API, without open connections.
    pub fn new(address: SocketAddr) -> Self {
        Self::with_codec(address, StoreCodec::own(), CALL_TIMEOUT_MS)
    }

    /// Creates a client without open connections. `call_timeout_ms` applies to every call;
    /// for a watch, its wait time is added.
    pub fn with_codec(address: SocketAddr, codec: StoreCodec, call_timeout_ms: Millis) -> Self {
        Self {
            http: Client::new(),
            address,
            codec,
            call_timeout_ms,
        }
    }

    /// Reads one key.
    ///
    /// # Errors
    /// Returns the failed call and the HTTP error.
    pub async fn read(&self, key: &str) -> Result<Dated<Option<KeyValue>>, StoreError> {
        let step = StoreStep::Read;
        let request = (self.codec.read_request)(key);
        let reply = self.send(step, request, self.call_timeout_ms).await?;
        let decoded = (self.codec.read_reply)(reply.status, &reply.body);
        let entry = decoded.map(|it| it.entry);
        self.dated(step, &reply, entry)
    }

    /// Lists the keys with a prefix, page by page. The pages do not form a consistent
    /// snapshot; the returned revision is that of the first page.
    ///
    /// # Errors
    /// Returns the failed call and the HTTP error.
    pub async fn list(&self, prefix: &str) -> Result<Dated<ListReply>, StoreError> {
        let first = self.list_page(prefix, None).await?;
        let mut era = first.era;
        let (mut listing, mut next_after) = (first.reply.reply, first.reply.next_after);
        let mut listed_bytes = page_bytes(&listing);
        while let Some(after) = next_after {
            let dated = self.list_page(prefix, Some(&after)).await?;
            match (&era, dated.era) {
                (EraReading::Read(stated), EraReading::Read(other)) if *stated != other => {
                    let reason = format!("a page after key `{after}` is of another era");
                    return Err(self.listing_error(reason, EraReading::Read(other)));
                }
                (EraReading::Unreadable(_), readable @ EraReading::Read(_)) => era = readable,
                _ => {}
            }
            let page = dated.reply;
            if page.next_after.as_ref() == Some(&after) {
                let reason = format!("a page after key `{after}` ends with it");
                return Err(self.listing_error(reason, era));
            }
            listed_bytes += page_bytes(&page.reply);
            if listed_bytes > MAX_LISTING_BYTES {
                let reason = format!("a listing of more than {MAX_LISTING_BYTES} bytes");
                return Err(self.listing_error(reason, era));
            }
            listing.entries.extend(page.reply.entries);
            next_after = page.next_after;
        }
        let reply = listing;
        Ok(Dated { era, reply })
    }

    async fn list_page(
        &self,
        prefix: &str,
        after: Option<&str>,
    ) -> Result<Dated<ListPage>, StoreError> {
        let step = StoreStep::List;
        let request = (self.codec.list_request)(prefix, after);
        let reply = self.send(step, request, self.call_timeout_ms).await?;
        let decoded = (self.codec.list_reply)(reply.status, &reply.body);
        self.dated(step, &reply, decoded)
    }

    /// Waits for changes of a prefix after a revision; the reply is empty if there were none
    /// within `wait_ms`.
    ///
    /// # Errors
    /// Returns the failed call and the HTTP error.
    pub async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait_ms: Millis,
    ) -> Result<Dated<ListReply>, StoreError> {
        let step = StoreStep::Watch;
        let request = (self.codec.watch_request)(prefix, after, wait_ms);
        let timeout_ms = wait_ms.saturating_add(self.call_timeout_ms);
        let reply = self.send(step, request, timeout_ms).await?;
        let decoded = (self.codec.watch_reply)(reply.status, &reply.body);
        self.dated(step, &reply, decoded)
    }

    /// Writes a key if the condition is met.
    ///
    /// # Errors
    /// Returns the failed call and the HTTP error; the write may have taken effect if
    /// [`StoreError::is_outcome_unknown`] is true.
    pub async fn write(
        &self,
        key: &str,
        value: String,
        condition: Condition,
        lease: Option<LeaseId>,
    ) -> Result<Dated<WriteReply>, StoreError> {
        let value = Some(value.as_str());
        self.send_write(&ConditionalWrite {
            key,
            value,
            condition,
            guard: None,
            lease,
        })
        .await
    }

    /// Writes a key if the condition is met and the guard's key is at its revision.
    ///
    /// # Errors
    /// Same as [`StoreClient::write`].
    pub async fn write_guarded(
        &self,
        key: &str,
        value: &str,
        condition: Condition,
        guard: Guard<'_>,
    ) -> Result<Dated<WriteReply>, StoreError> {
        self.send_write(&ConditionalWrite {
            key,
            value: Some(value),
            condition,
            guard: Some(guard),
            lease: None,
        })
        .await
    }

    /// Deletes a key if it is at the revision.
    ///
    /// # Errors
    /// Same as [`StoreClient::write`].
    pub async fn delete(
        &self,
        key: &str,
        revision: Revision,
    ) -> Result<Dated<WriteReply>, StoreError> {
        self.send_write(&ConditionalWrite {
            key,
            value: None,
            condition: Condition::At(revision),
            guard: None,
            lease: None,
        })
        .await
    }

    /// Requests a lease.
    ///
    /// # Errors
    /// Returns the failed call and the HTTP error.
    pub async fn grant(&self, ttl_ms: Millis) -> Result<Dated<LeaseId>, StoreError> {
        let step = StoreStep::Grant;
        let request = (self.codec.grant_request)(ttl_ms);
        let reply = self.send(step, request, self.call_timeout_ms).await?;
        let decoded = (self.codec.grant_reply)(reply.status, &reply.body);
        self.dated(step, &reply, decoded)
    }

    /// Renews a lease; returns `false` if it has expired.
    ///
    /// # Errors
    /// Returns the failed call and the HTTP error.
    pub async fn renew(&self, lease: LeaseId) -> Result<Dated<bool>, StoreError> {
        let step = StoreStep::Renew;
        let request = (self.codec.renew_request)(lease);
        let reply = self.send(step, request, self.call_timeout_ms).await?;
        let renewed = match reply.status {
            StatusCode::NOT_FOUND => Ok(false),
            status if status.is_success() => Ok(true),
            status => Err(ReplyError::Status(status)),
        };
        self.dated(step, &reply, renewed)
    }

    /// Revokes a lease, which deletes its keys.
    ///
    /// # Errors
    /// Returns the failed call and the HTTP error.
    pub async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        let request = (self.codec.revoke_request)(lease);
        self.send(StoreStep::Revoke, request, self.call_timeout_ms)
            .await?;
        Ok(())
    }

    async fn send_write(
        &self,
        write: &ConditionalWrite<'_>,
    ) -> Result<Dated<WriteReply>, StoreError> {
        let step = StoreStep::Write;
        let request = (self.codec.write_request)(write);
        let reply = self.send(step, request, self.call_timeout_ms).await?;
        let decoded = (self.codec.write_reply)(write, reply.status, &reply.body);
        self.dated(step, &reply, decoded)
    }

    async fn send(
        &self,
        step: StoreStep,
        request: StoreRequest,
        timeout_ms: Millis,
    ) -> Result<Reply, StoreError> {
        let builder = Request::builder()
            .method(request.method)
            .uri(request.path)
            .header("content-type", "application/json");
        let body = Bytes::from(request.body);
        let timeout = timeout_ms.duration();
        let limit_bytes = reply_limit(step);
        let reply = self
            .http
            .call_limited(self.address, builder, body, timeout, limit_bytes)
            .await;
        reply.map_err(|source| StoreError {
            step,
            source,
            era: None,
        })
    }

    /// Adds the era that a response states to its decoded result.
    fn dated<Output>(
        &self,
        step: StoreStep,
        reply: &Reply,
        decoded: Result<Output, ReplyError>,
    ) -> Result<Dated<Output>, StoreError> {
        let era = (self.codec.read_era)(&reply.headers);
        match decoded {
            Ok(reply) => Ok(Dated { era, reply }),
            Err(error) => Err(self.reply_error(step, error, Some(era))),
        }
    }

    fn listing_error(&self, reason: String, era: EraReading) -> StoreError {
        self.reply_error(StoreStep::List, ReplyError::Malformed(reason), Some(era))
    }

    fn reply_error(
        &self,
        step: StoreStep,
        error: ReplyError,
        era: Option<EraReading>,
    ) -> StoreError {
        let (http_step, kind) = match error {
            ReplyError::Status(status) => (Step::Receive, HttpErrorKind::Status(status)),
            ReplyError::Malformed(reason) => (Step::Decode, HttpErrorKind::Malformed(reason)),
        };
        let source = HttpError {
            step: http_step,
            peer: self.address,
            kind,
        };
        StoreError { step, source, era }
    }
}

/// Largest reply to a kind of call.
fn reply_limit(step: StoreStep) -> usize {
    match step {
        StoreStep::Grant | StoreStep::Renew | StoreStep::Revoke => MAX_PLAIN_REPLY_BYTES,
        StoreStep::Read | StoreStep::Write => MAX_ENTRY_REPLY_BYTES,
        StoreStep::List | StoreStep::Watch | StoreStep::ListVms => MAX_PAGE_BYTES,
    }
}

fn page_bytes(page: &ListReply) -> usize {
    let entries = page.entries.iter();
    let entries: usize = entries
        .map(|it| it.key.len() + it.value.len() + LISTING_OVERHEAD_BYTES)
        .sum();
    entries + LISTING_OVERHEAD_BYTES
}
