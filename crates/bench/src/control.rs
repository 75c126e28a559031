//! Client of the control addresses of stand-ins and the administration addresses of nodes.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use eyre::{Result, ensure};
use http::Request;
use parsleylatch_http::Client;
use parsleylatch_standin::{EngineFault, FaultSpec};
use serde::{Deserialize, de::DeserializeOwned};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Counters of an engine that the bench reads.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct EngineCounts {
    /// Tokens generated.
    pub generated_tokens: u64,
    /// Streams opened.
    pub streams_opened: u64,
}

/// Counters of the store that the bench reads.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct StoreCounts {
    /// Reads, lists and watches.
    pub reads: u64,
    /// Writes and deletes.
    pub writes: u64,
    /// Lease calls.
    pub leases: u64,
}

impl StoreCounts {
    /// Total number of calls.
    pub fn calls(&self) -> u64 {
        self.reads + self.writes + self.leases
    }
}

/// Client of control and administration addresses.
#[derive(Clone)]
pub struct Control {
    http: Client,
    admin_key: String,
}

impl Control {
    /// Creates a client with an administration key.
    pub fn new(admin_key: &str) -> Self {
        Self {
            http: Client::new(),
            admin_key: admin_key.to_owned(),
        }
    }

    /// Reads a JSON document.
    ///
    /// # Errors
    /// Returns an error if the peer does not respond with a valid document.
    pub async fn get<Document>(&self, peer: SocketAddr, path: &str) -> Result<Document>
    where
        Document: DeserializeOwned,
    {
        let bearer = format!("Bearer {}", self.admin_key);
        let request = Request::get(path).header("authorization", bearer);
        let reply = self
            .http
            .call(peer, request, Bytes::new(), CALL_TIMEOUT)
            .await?;
        ensure!(
            reply.status.is_success(),
            "{path} at {peer}: {}",
            reply.status
        );
        Ok(reply.json(peer)?)
    }

    /// Reads the counters of an engine.
    ///
    /// # Errors
    /// Returns an error if the engine does not respond with its counters.
    pub async fn engine_counts(&self, control: SocketAddr) -> Result<EngineCounts> {
        self.get(control, "/counters").await
    }

    /// Reads the counters of the store.
    ///
    /// # Errors
    /// Returns an error if the store does not respond with its counters.
    pub async fn store_counts(&self, control: SocketAddr) -> Result<StoreCounts> {
        self.get(control, "/counters").await
    }

    /// Reads the counters of a node, by name.
    ///
    /// # Errors
    /// Returns an error if the node does not respond with its counters.
    pub async fn node_counters(&self, admin: SocketAddr) -> Result<BTreeMap<String, u64>> {
        self.get(admin, "/admin/v1/counters").await
    }

    /// Injects a fault into an engine.
    ///
    /// # Errors
    /// Returns an error if the engine does not accept the fault.
    pub async fn inject_fault(&self, control: SocketAddr, fault: EngineFault) -> Result<()> {
        let spec = FaultSpec {
            fault,
            at_index: None,
            delay_ms: None,
        };
        let body = Bytes::from(serde_json::to_vec(&spec)?);
        let request = Request::post("/fault");
        let reply = self.http.call(control, request, body, CALL_TIMEOUT).await?;
        ensure!(
            reply.status.is_success(),
            "/fault at {control}: {}",
            reply.status
        );
        Ok(())
    }
}
