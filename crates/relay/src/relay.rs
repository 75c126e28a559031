//! Starts and stops the threads of a relay.

use std::{net::SocketAddr, net::TcpListener, path::PathBuf, sync::Arc, thread::JoinHandle};

use eyre::{Result, eyre};
use parsleylatch_http::bind_field;
use parsleylatch_runtime::spawn;
use parsleylatch_settings::RelaySettings;
use tokio::sync::mpsc;

use crate::{
    codec::RelayCodec,
    control::{self, Listeners},
    input::ControlInput,
    shared::Shared,
    telemetry, traffic,
};

/// Capacity of the control thread's input queue.
const CONTROL_QUEUE_CAPACITY: usize = 1_024;

/// Addresses of a running relay.
#[derive(Clone, Copy, Debug)]
pub struct RelayAddresses {
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for the load balancer's readiness checks.
    pub ready: SocketAddr,
    /// Address for other nodes.
    pub peer: SocketAddr,
    /// Address that serves metrics.
    pub metrics: SocketAddr,
}

/// A running relay.
pub struct Relay {
    shared: Arc<Shared>,
    addresses: RelayAddresses,
    control_inputs: mpsc::Sender<ControlInput>,
    control: JoinHandle<()>,
    traffic: Vec<JoinHandle<()>>,
}

impl Relay {
    /// Binds the addresses and starts the threads. If there is a settings file, it is
    /// reloaded when it changes.
    ///
    /// # Errors
    /// Fails if an address can't be bound or a thread can't be started.
    pub fn start(
        settings: RelaySettings,
        settings_file: Option<PathBuf>,
        codec: RelayCodec,
    ) -> Result<Self> {
        let threads = settings.traffic_threads;
        let (caller, caller_listeners) =
            bind_field("caller_address", settings.caller_address, threads)?;
        let (ready, ready_listener) = bind_single(settings.ready_address, "ready_address")?;
        let (peer, peer_listener) = bind_single(settings.peer_address, "peer_address")?;
        let (metrics, metrics_listener) = bind_single(settings.metrics_address, "metrics_address")?;
        let addresses = RelayAddresses {
            caller,
            ready,
            peer,
            metrics,
        };
        let listeners = Listeners {
            ready: ready_listener,
            peer: peer_listener,
            metrics: metrics_listener,
            peer_address: peer,
        };
        // The threads log as soon as they run.
        log::info!(
            version = env!("CARGO_PKG_VERSION"),
            memory_bytes = settings.memory.get(),
            caller:% = addresses.caller, ready:% = addresses.ready,
            peer:% = addresses.peer, metrics:% = addresses.metrics;
            "started"
        );
        let (control_inputs, inputs) = mpsc::channel(CONTROL_QUEUE_CAPACITY);
        let shared = Arc::new(Shared::new(settings, codec, control_inputs.clone()));
        let control = spawn("control", {
            let shared = Arc::clone(&shared);
            move |runtime| control::run(&runtime, shared, inputs, listeners, settings_file)
        })?;
        let mut traffic = Vec::new();
        for (index, listener) in caller_listeners.into_iter().enumerate() {
            let shared = Arc::clone(&shared);
            let seed = rand::random();
            traffic.push(spawn(&format!("traffic-{index}"), move |runtime| {
                traffic::run(&runtime, shared, listener, seed);
            })?);
        }
        Ok(Self {
            shared,
            addresses,
            control_inputs,
            control,
            traffic,
        })
    }

    /// Returns the addresses that the relay listens on.
    pub fn addresses(&self) -> RelayAddresses {
        self.addresses
    }

    /// Requests a graceful stop, which completes the requests in flight.
    pub fn stop(&self) {
        // Sending fails only if the control thread has already ended.
        let _ = self
            .control_inputs
            .blocking_send(ControlInput::StopRequested);
    }

    /// Waits until the relay has stopped.
    ///
    /// # Errors
    /// Fails if a thread panicked, and says which kind.
    pub fn join(self) -> Result<()> {
        self.control
            .join()
            .map_err(|_| eyre!("the control thread panicked"))?;
        for thread in self.traffic {
            thread
                .join()
                .map_err(|_| eyre!("a traffic thread panicked"))?;
        }
        telemetry::flush_log(self.shared.log_flush_time());
        Ok(())
    }
}

fn bind_single(address: SocketAddr, field: &str) -> Result<(SocketAddr, TcpListener)> {
    let (bound, listeners) = bind_field(field, address, 1)?;
    let listener = listeners.into_iter().next();
    let listener = listener.ok_or_else(|| eyre!("binding {field} {address}: no socket"))?;
    Ok((bound, listener))
}
