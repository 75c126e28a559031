//! Copies of a run's memory at other endpoints.

use std::net::SocketAddr;

use super::endpoint_table::EndpointKey;

/// Name under which an endpoint finds a copy of a run's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopySource {
    /// The copy that grew with the run, under the request's id.
    Backup,
    /// The copy that was ordered from the running endpoint.
    Ordered {
        /// Endpoint that ran the request.
        source: SocketAddr,
        /// Name that it gave the copy.
        handle: Box<str>,
    },
}

/// A copy of a run's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemoryCopy {
    /// Endpoint that has it.
    pub holder: EndpointKey,
    /// Its name there.
    pub source: CopySource,
}
