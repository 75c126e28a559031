//! Wire format of the store's calls, as a plain struct of functions.
//!
//! Client, timeouts and errors are the same for every store; a codec only encodes
//! requests and decodes replies.

use http::{HeaderMap, Method, StatusCode};
use parsleylatch_types::{EraReading, Millis, Revision};
use parsleylatch_wire::platform::{
    KeyValue, LeaseReply, LeaseRequest, ListReply, ReadReply, WriteReply,
};
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::store::{Condition, LeaseId};

/// HTTP request to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
}

impl StoreRequest {
    /// Creates a request with an empty body.
    pub fn without_body(method: Method, path: String) -> Self {
        Self {
            method,
            path,
            body: Vec::new(),
        }
    }
}

/// Reason why a reply can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ReplyError {
    /// The status does not indicate success.
    #[error("status {0}")]
    Status(StatusCode),
    /// The body can't be parsed.
    #[error("unreadable reply: {0}")]
    Malformed(String),
}

/// Another key that has to be at a revision for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guard<'a> {
    /// Key, which the write leaves as it is.
    pub key: &'a str,
    /// Required revision.
    pub revision: Revision,
}

/// Write or delete that takes effect only if a condition is met.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConditionalWrite<'a> {
    /// Key.
    pub key: &'a str,
    /// New value; `None` deletes the key.
    pub value: Option<&'a str>,
    /// Required state of the key.
    pub condition: Condition,
    /// Required state of another key.
    pub guard: Option<Guard<'a>>,
    /// Lease whose end deletes the key.
    pub lease: Option<LeaseId>,
}

/// One page of a listing.
#[derive(Clone, Debug)]
pub struct ListPage {
    /// Entries of the page.
    pub reply: ListReply,
    /// Key after which the next page starts; `None` on the last page.
    pub next_after: Option<String>,
}

/// Header of all responses that states the era of the store.
const ERA_HEADER: &str = "store-era";

/// Decodes one kind of reply.
pub type ReadReplyFn<Output> = fn(StatusCode, &[u8]) -> Result<Output, ReplyError>;

/// Encoders of requests to a store, and decoders of its replies.
#[derive(Clone, Copy)]
pub struct StoreCodec {
    /// Reads the era of the store from the headers of a response.
    pub read_era: fn(&HeaderMap) -> EraReading,
    /// Encodes a read of one key.
    pub read_request: fn(key: &str) -> StoreRequest,
    /// Decodes the reply to a read.
    pub read_reply: ReadReplyFn<ReadReply>,
    /// Encodes a listing of a prefix; a page starts after the key `after`.
    pub list_request: fn(prefix: &str, after: Option<&str>) -> StoreRequest,
    /// Decodes a page of a listing.
    pub list_reply: ReadReplyFn<ListPage>,
    /// Encodes a watch for changes of a prefix after a revision.
    pub watch_request: fn(prefix: &str, after: Revision, wait_ms: Millis) -> StoreRequest,
    /// Decodes the reply to a watch.
    pub watch_reply: ReadReplyFn<ListReply>,
    /// Encodes a conditional write or delete.
    pub write_request: fn(write: &ConditionalWrite<'_>) -> StoreRequest,
    /// Decodes the reply to a write or delete.
    pub write_reply: fn(&ConditionalWrite<'_>, StatusCode, &[u8]) -> Result<WriteReply, ReplyError>,
    /// Encodes a lease request.
    pub grant_request: fn(ttl_ms: Millis) -> StoreRequest,
    /// Decodes the reply to a lease request.
    pub grant_reply: ReadReplyFn<LeaseId>,
    /// Encodes the renewal of a lease.
    pub renew_request: fn(lease: LeaseId) -> StoreRequest,
    /// Encodes the revocation of a lease.
    pub revoke_request: fn(lease: LeaseId) -> StoreRequest,
}

impl StoreCodec {
    /// Codec for the project's own store API.
    pub const fn own() -> Self {
        Self {
            read_era,
            read_request: |key| {
                StoreRequest::without_body(Method::GET, format!("/v1/kv?key={key}"))
            },
            read_reply: parse_success,
            list_request: |prefix, _| {
                StoreRequest::without_body(Method::GET, format!("/v1/list?prefix={prefix}"))
            },
            list_reply: |status, body| {
                parse_success(status, body).map(|reply| ListPage {
                    reply,
                    next_after: None,
                })
            },
            watch_request: |prefix, after, wait_ms| {
                let wait_ms = wait_ms.get();
                let path = format!("/v1/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
                StoreRequest::without_body(Method::GET, path)
            },
            watch_reply: parse_success,
            write_request: own_write_request,
            write_reply: |_, status, body| parse_success(status, body),
            grant_request: |ttl_ms| StoreRequest {
                method: Method::POST,
                path: "/v1/leases".to_owned(),
                body: serde_json::to_vec(&LeaseRequest { ttl_ms }).unwrap_or_default(),
            },
            grant_reply: |status, body| {
                parse_success(status, body).map(|reply: LeaseReply| LeaseId(reply.lease_id))
            },
            renew_request: |lease| {
                StoreRequest::without_body(Method::PUT, format!("/v1/leases/{}", lease.0))
            },
            revoke_request: |lease| {
                StoreRequest::without_body(Method::DELETE, format!("/v1/leases/{}", lease.0))
            },
        }
    }
}

/// Reads the header `Store-Era`. Several headers that differ are unreadable.
pub fn read_era(headers: &HeaderMap) -> EraReading {
    let mut stated = headers.get_all(ERA_HEADER).iter();
    let Some(first) = stated.next() else {
        return EraReading::parse(None);
    };
    let text = String::from_utf8_lossy(first.as_bytes());
    match stated.all(|it| it == first) {
        true => EraReading::parse(Some(&text)),
        false => EraReading::Unreadable("several headers".into()),
    }
}

fn own_write_request(write: &ConditionalWrite<'_>) -> StoreRequest {
    let expected = write.condition.expected();
    let mut path = format!("/v1/kv?key={}&expected={expected}", write.key);
    if let Some(LeaseId(lease)) = write.lease {
        path = format!("{path}&lease={lease}");
    }
    if let Some(Guard { key, revision }) = write.guard {
        path = format!("{path}&guard={key}&guard_revision={revision}");
    }
    match write.value {
        Some(value) => StoreRequest {
            method: Method::PUT,
            path,
            body: value.as_bytes().to_vec(),
        },
        None => StoreRequest::without_body(Method::DELETE, path),
    }
}

fn parse_success<Output>(status: StatusCode, body: &[u8]) -> Result<Output, ReplyError>
where
    Output: DeserializeOwned,
{
    if !status.is_success() {
        return Err(ReplyError::Status(status));
    }
    serde_json::from_slice(body).map_err(|error| ReplyError::Malformed(error.to_string()))
}

impl ConditionalWrite<'_> {
    /// Reply to this write after it took effect at a revision.
    pub fn written_reply(&self, revision: Revision) -> WriteReply {
        WriteReply {
            written: true,
            entry: self.value.map(|value| KeyValue {
                key: self.key.to_owned(),
                value: value.to_owned(),
                revision,
            }),
        }
    }
}
