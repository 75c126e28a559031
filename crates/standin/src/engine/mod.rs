//! Stand-in of a model engine: batches continuously, keeps prompt prefixes,
//! honours priorities, resumes and cancels streams.

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

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Address of the protocol.
    pub address: SocketAddr,
    /// Address for fault orders.
    pub control: SocketAddr,
    /// Model it has loaded.
    pub model: ModelId,
    /// Version it runs.
    pub endpoint_version: EndpointVersion,
    /// Time between two tokens of a stream.
    pub pace_ms: Millis,
    /// Streams that run at once.
    pub capacity: usize,
    /// Prompt prefixes that it keeps.
    pub cache_capacity_blocks: usize,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Age of the load that it reports.
    pub load_lag_ms: Millis,
    /// Whether a fatal fault ends the process.
    pub is_process: bool,
}

impl EngineSettings {
    /// Engine on ports that the kernel chooses, with the default behaviour.
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
            is_process: false,
        }
    }
}

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    /// Addresses and tasks.
    pub server: ServerHandle,
    state: Arc<EngineState>,
}

impl Engine {
    /// Starts an engine on the current runtime.
    ///
    /// # Errors
    /// The system's reason if an address can't be bound.
    pub fn start(settings: EngineSettings) -> io::Result<Self> {
        let (address, control) = (settings.address, settings.control);
        let state = Arc::new(EngineState::new(settings));
        let protocol = routes::protocol(Arc::clone(&state));
        let orders = routes::control(Arc::clone(&state));
        Ok(Self {
            server: ServerHandle::start(address, control, protocol, orders)?,
            state,
        })
    }

    /// Gives a fault order.
    pub fn inject_fault(&self, fault_spec: FaultSpec<EngineFault>) {
        self.state.inject_fault(fault_spec);
    }

    /// Tokens that the engine has generated.
    pub fn generated_tokens(&self) -> u64 {
        self.state.counters().generated_tokens
    }

    /// Largest fencing number that the engine has accepted.
    pub fn fencing_number(&self) -> FencingNumber {
        self.state.fencing_number()
    }
}
