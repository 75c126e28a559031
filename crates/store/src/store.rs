//! Client of the key-value store.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use parsleylatch_http::{Client, HttpError, HttpErrorKind, Reply, Step};
use parsleylatch_types::{Millis, Revision};
use parsleylatch_wire::platform::{
    KeyValue, LeaseAsk, LeaseReply, ListReply, ReadReply, WriteReply,
};
use serde::de::DeserializeOwned;

use crate::error::{StoreError, StoreStep};

/// Longest wait for an answer other than a watch's.
const CALL_TIMEOUT_MS: Millis = Millis::new(2_000);

/// Id of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub u64);

/// What a key has to be for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// There is no such key.
    Absent,
    /// The key has this revision.
    At(Revision),
}

impl Condition {
    fn expected(self) -> Revision {
        match self {
            Self::Absent => Revision::ZERO,
            Self::At(revision) => revision,
        }
    }
}

/// Client of the store at one address.
#[derive(Clone)]
pub struct StoreClient {
    http: Client,
    address: SocketAddr,
}

impl StoreClient {
    /// Client without connections.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            http: Client::new(),
            address,
        }
    }

    /// Reads one key.
    ///
    /// # Errors
    /// The call's step and peer.
    pub async fn read(&self, key: &str) -> Result<Option<KeyValue>, StoreError> {
        let path = format!("/v1/kv?key={key}");
        let reply: ReadReply = self
            .call(
                StoreStep::Read,
                Method::GET,
                &path,
                Bytes::new(),
                CALL_TIMEOUT_MS,
            )
            .await?;
        Ok(reply.entry)
    }

    /// Lists the keys with a prefix.
    ///
    /// # Errors
    /// The call's step and peer.
    pub async fn list(&self, prefix: &str) -> Result<ListReply, StoreError> {
        let path = format!("/v1/list?prefix={prefix}");
        self.call(
            StoreStep::List,
            Method::GET,
            &path,
            Bytes::new(),
            CALL_TIMEOUT_MS,
        )
        .await
    }

    /// Waits for changes of a prefix after a revision; an empty answer says that
    /// there were none in time.
    ///
    /// # Errors
    /// The call's step and peer.
    pub async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait_ms: Millis,
    ) -> Result<ListReply, StoreError> {
        let path = format!(
            "/v1/watch?prefix={prefix}&after={after}&wait_ms={}",
            wait_ms.get()
        );
        let timeout_ms = wait_ms.saturating_add(CALL_TIMEOUT_MS);
        self.call(
            StoreStep::Watch,
            Method::GET,
            &path,
            Bytes::new(),
            timeout_ms,
        )
        .await
    }

    /// Writes a key if the condition holds.
    ///
    /// # Errors
    /// The call's step and peer; the write may have taken effect if
    /// [`StoreError::is_unclear`] says so.
    pub async fn write(
        &self,
        key: &str,
        value: String,
        condition: Condition,
        lease: Option<LeaseId>,
    ) -> Result<WriteReply, StoreError> {
        let mut path = format!("/v1/kv?key={key}&expected={}", condition.expected());
        if let Some(LeaseId(lease)) = lease {
            path = format!("{path}&lease={lease}");
        }
        self.call(
            StoreStep::Write,
            Method::PUT,
            &path,
            Bytes::from(value),
            CALL_TIMEOUT_MS,
        )
        .await
    }

    /// Deletes a key if it has the revision.
    ///
    /// # Errors
    /// As [`StoreClient::write`].
    pub async fn delete(&self, key: &str, at: Revision) -> Result<WriteReply, StoreError> {
        let path = format!("/v1/kv?key={key}&expected={at}");
        self.call(
            StoreStep::Write,
            Method::DELETE,
            &path,
            Bytes::new(),
            CALL_TIMEOUT_MS,
        )
        .await
    }

    /// Asks for a lease.
    ///
    /// # Errors
    /// The call's step and peer.
    pub async fn grant(&self, ttl_ms: Millis) -> Result<LeaseId, StoreError> {
        let body = serde_json::to_vec(&LeaseAsk { ttl_ms }).unwrap_or_default();
        let body = Bytes::from(body);
        let reply: LeaseReply = self
            .call(
                StoreStep::Grant,
                Method::POST,
                "/v1/leases",
                body,
                CALL_TIMEOUT_MS,
            )
            .await?;
        Ok(LeaseId(reply.lease_id))
    }

    /// Renews a lease; `false` if it has lapsed.
    ///
    /// # Errors
    /// The call's step and peer.
    pub async fn renew(&self, lease: LeaseId) -> Result<bool, StoreError> {
        let path = format!("/v1/leases/{}", lease.0);
        let reply = self
            .exchange(
                StoreStep::Renew,
                Method::PUT,
                &path,
                Bytes::new(),
                CALL_TIMEOUT_MS,
            )
            .await?;
        match reply.status {
            StatusCode::NOT_FOUND => Ok(false),
            status if status.is_success() => Ok(true),
            status => Err(self.status_error(StoreStep::Renew, status)),
        }
    }

    /// Gives a lease back; its keys go with it.
    ///
    /// # Errors
    /// The call's step and peer.
    pub async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        let path = format!("/v1/leases/{}", lease.0);
        let step = StoreStep::Revoke;
        self.exchange(step, Method::DELETE, &path, Bytes::new(), CALL_TIMEOUT_MS)
            .await?;
        Ok(())
    }

    async fn call<Answer>(
        &self,
        step: StoreStep,
        method: Method,
        path: &str,
        body: Bytes,
        timeout_ms: Millis,
    ) -> Result<Answer, StoreError>
    where
        Answer: DeserializeOwned,
    {
        let reply = self.exchange(step, method, path, body, timeout_ms).await?;
        if !reply.status.is_success() {
            return Err(self.status_error(step, reply.status));
        }
        reply
            .json(self.address)
            .map_err(|source| StoreError { step, source })
    }

    async fn exchange(
        &self,
        step: StoreStep,
        method: Method,
        path: &str,
        body: Bytes,
        timeout_ms: Millis,
    ) -> Result<Reply, StoreError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("content-type", "application/json");
        let reply = self
            .http
            .call(self.address, request, body, timeout_ms.duration())
            .await;
        reply.map_err(|source| StoreError { step, source })
    }

    fn status_error(&self, step: StoreStep, status: StatusCode) -> StoreError {
        let kind = HttpErrorKind::Status(status);
        let source = HttpError {
            step: Step::Receive,
            peer: self.address,
            kind,
        };
        StoreError { step, source }
    }
}
