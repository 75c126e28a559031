//! Simulated model engine with continuous batching, a prefix cache, request
//! priorities, and streams that can be resumed and cancelled.

mod cache;
mod routes;
mod state;
mod stream;

use std::{io, net::SocketAddr, sync::Arc};

use parsleylatch_types::{EndpointVersion, FencingNumber, Millis, ModelId};

use crate::{
    control::{EngineFault, FaultSpec},
    serve::ServerHandle,
};
use state::EngineState;

/// Settings of a simulated engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Address to serve the protocol on.
    pub address: SocketAddr,
    /// Address to accept fault injection requests on.
    pub control: SocketAddr,
    /// Loaded model.
    pub model: ModelId,
    /// Version of the loaded model.
    pub endpoint_version: EndpointVersion,
    /// Interval between two tokens of a stream.
    pub pace_ms: Millis,
    /// Maximum number of concurrent streams (batch slots).
    pub capacity: usize,
    /// Capacity of the prefix cache, in blocks of prompt text.
    pub cache_capacity_blocks: usize,
    /// Whether deployments with an outdated fencing number are rejected.
    pub checks_fencing: bool,
    /// Delay of the load report.
    pub load_lag_ms: Millis,
    /// Whether the engine has a process of its own, which [`EngineFault::Die`] aborts.
    pub has_own_process: bool,
}

impl EngineSettings {
    /// Default settings for an embedded engine on free loopback ports.
    pub fn local(model: ModelId, endpoint_version: EndpointVersion) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            address: any_port,
            control: any_port,
            model,
            endpoint_version,
            pace_ms: Millis::new(27),
            capacity: 64,
            cache_capacity_blocks: 128,
            checks_fencing: true,
            load_lag_ms: Millis::new(500),
            has_own_process: false,
        }
    }
}

/// A running simulated engine.
#[derive(Debug)]
pub struct Engine {
    /// Listeners; stop when dropped.
    pub server: ServerHandle,
    state: Arc<EngineState>,
}

impl Engine {
    /// Starts an engine on the current Tokio runtime.
    ///
    /// # Errors
    /// Fails if an address can't be bound.
    pub fn start(settings: EngineSettings) -> io::Result<Self> {
        let (address, control) = (settings.address, settings.control);
        let state = Arc::new(EngineState::new(settings));
        let protocol_router = routes::protocol(Arc::clone(&state));
        let control_router = routes::control(Arc::clone(&state));
        Ok(Self {
            server: ServerHandle::start(address, control, protocol_router, control_router)?,
            state,
        })
    }

    /// Injects a fault, replacing the current one.
    pub fn inject_fault(&self, fault_spec: FaultSpec<EngineFault>) {
        self.state.inject_fault(fault_spec);
    }

    /// Returns the number of tokens that the engine has generated.
    pub fn generated_tokens(&self) -> u64 {
        self.state.counters().generated_tokens
    }

    /// Returns the largest fencing number that the engine has accepted.
    pub fn fencing_number(&self) -> FencingNumber {
        self.state.fencing_number()
    }
}
