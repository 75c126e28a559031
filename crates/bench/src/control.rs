//! Reads and orders at the control addresses of stand-ins.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use eyre::{Result, ensure};
use http::Request;
use parsleylatch_http::Client;
use parsleylatch_standin::{EngineFault, FaultSpec};
use serde::{Deserialize, de::DeserializeOwned};

/// Longest wait for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Counters of an engine that the bench reads.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct EngineCounts {
    /// Tokens that were generated.
    pub generated_tokens: u64,
    /// Streams that were opened.
    pub streams_opened: u64,
}

/// Counters of the store that the bench reads.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct StoreCounts {
    /// Reads, listings and watches.
    pub reads: u64,
    /// Writes and deletes.
    pub writes: u64,
    /// Lease calls.
    pub leases: u64,
}

impl StoreCounts {
    /// Calls of every kind.
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
    /// Client with an administration key.
    pub fn new(admin_key: &str) -> Self {
        Self {
            http: Client::new(),
            admin_key: admin_key.to_owned(),
        }
    }

    /// Reads a JSON document.
    ///
    /// # Errors
    /// The step and the peer.
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

    /// Counters of an engine.
    ///
    /// # Errors
    /// The step and the engine.
    pub async fn engine_counts(&self, control: SocketAddr) -> Result<EngineCounts> {
        self.get(control, "/counters").await
    }

    /// Counters of the store.
    ///
    /// # Errors
    /// The step and the store.
    pub async fn store_counts(&self, control: SocketAddr) -> Result<StoreCounts> {
        self.get(control, "/counters").await
    }

    /// Counters of a node by name.
    ///
    /// # Errors
    /// The step and the node.
    pub async fn node_counters(&self, admin: SocketAddr) -> Result<BTreeMap<String, u64>> {
        self.get(admin, "/admin/v1/counters").await
    }

    /// Gives a fault order to an engine.
    ///
    /// # Errors
    /// The step and the engine.
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
