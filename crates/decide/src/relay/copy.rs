//! Copies of a run's memory at other endpoints.
//!
//! The memory is what an engine keeps for a run: its processed prompt and the
//! tokens generated so far. An endpoint with a copy can resume the run without
//! processing the prompt again.

use std::net::SocketAddr;

use super::endpoint_table::EndpointKey;

/// How an endpoint identifies a copy of a run's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopySource {
    /// Copy kept up to date during the run, found by the request's id.
    Backup,
    /// Copy made once, on an order to the running endpoint.
    Ordered {
        /// Endpoint that ran the request.
        source: SocketAddr,
        /// Handle that this endpoint gave the copy.
        handle: Box<str>,
    },
}

/// A copy of a run's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemoryCopy {
    /// Endpoint that stores it.
    pub holder: EndpointKey,
    /// How that endpoint identifies it.
    pub source: CopySource,
}
