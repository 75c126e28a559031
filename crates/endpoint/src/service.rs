//! Client for services other than model engines.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, StatusCode};
use parsleylatch_http::{Client, HttpError};
use parsleylatch_types::{Millis, OperationName, RequestId};
use parsleylatch_wire::engine::REQUEST_ID_HEADER;

/// Response of a service, forwarded unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// JSON body.
    pub body: Bytes,
}

/// Client for services, for use on one runtime.
#[derive(Clone)]
pub struct ServiceClient {
    http: Client,
}

impl Default for ServiceClient {
    fn default() -> Self {
        Self::new()
    }
}

impl ServiceClient {
    /// Creates a client. Responses don't name their request, so each call has its own
    /// connection.
    pub fn new() -> Self {
        Self {
            http: Client::without_reuse(),
        }
    }

    /// Calls an operation without retries.
    ///
    /// # Errors
    /// Returns an error with the step that failed and the service's address. The operation
    /// may have run unless [`HttpError::is_unsent`] is true.
    pub async fn call(
        &self,
        peer: SocketAddr,
        operation: &OperationName,
        request_id: RequestId,
        traceparent: &str,
        body: Bytes,
        timeout_ms: Millis,
    ) -> Result<ServiceResponse, HttpError> {
        let request = Request::post(format!("/v1/operations/{operation}"))
            .header("content-type", "application/json")
            .header(REQUEST_ID_HEADER, request_id.to_string())
            .header("traceparent", traceparent);
        let reply = self
            .http
            .call(peer, request, body, timeout_ms.duration())
            .await?;
        Ok(ServiceResponse {
            status: reply.status,
            body: reply.body,
        })
    }
}
