//! Client for the platform's VM list.

use std::net::SocketAddr;

use parsleylatch_http::Client;
use parsleylatch_types::Millis;
use parsleylatch_wire::platform::VmListReply;

use crate::error::{StoreError, StoreStep};

/// Timeout of a read of the list.
const CALL_TIMEOUT_MS: Millis = Millis::new(2_000);

/// Client for the VM list at one address.
#[derive(Clone)]
pub struct VmListClient {
    http: Client,
    address: SocketAddr,
}

impl VmListClient {
    /// Creates a client without open connections.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            http: Client::new(),
            address,
        }
    }

    /// Reads the VM list.
    ///
    /// # Errors
    /// Returns the failed call and the HTTP error.
    pub async fn list(&self) -> Result<VmListReply, StoreError> {
        let reply = self
            .http
            .get_json(self.address, "/v1/vms", CALL_TIMEOUT_MS.duration())
            .await;
        reply.map_err(|source| StoreError {
            step: StoreStep::ListVms,
            source,
            era: None,
        })
    }
}
