//! Starts and joins the threads of a node.

use std::{io, net::SocketAddr, sync::Arc, thread::JoinHandle};

use eyre::{Result, eyre};
use parsleylatch_decide::listener_places::caller_limit;
use parsleylatch_http::{bind_field, shutdown_signal};
use parsleylatch_runtime::{Connections, descriptor_limit, spawn};
use parsleylatch_settings::NodeSettings;
use tokio::sync::{mpsc, oneshot};

use crate::{
    control::{self, ControlInput},
    peering,
    shared::{Shared, connection_observer},
    telemetry, traffic,
};

/// Capacity of the control thread's input channel.
const CONTROL_BUFFER: usize = 4_096;
/// Capacity of the peer thread's input channel.
const PEERING_BUFFER: usize = 16_384;

/// Listening addresses of a running node.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address for other nodes.
    pub peer: SocketAddr,
}

/// A running node.
pub struct Node {
    addresses: Addresses,
    shared: Arc<Shared>,
    control: JoinHandle<()>,
    traffic: Vec<JoinHandle<()>>,
    stop_traffic: Vec<oneshot::Sender<()>>,
}

impl Node {
    /// Binds the addresses and starts the threads; returns once the node is ready.
    ///
    /// # Errors
    /// Names the step that failed, such as binding an address.
    pub fn start(settings: NodeSettings) -> Result<Self> {
        let threads = settings.traffic_threads;
        let (caller, caller_listeners) =
            bind_field("caller_address", settings.caller_address, threads)?;
        let (admin, admin_listeners) = bind_field("admin_address", settings.admin_address, 1)?;
        let (peer, peer_listeners) = bind_field("peer_address", settings.peer_address, 1)?;
        let addresses = Addresses {
            caller,
            admin,
            peer,
        };
        let (sender, inputs) = mpsc::channel(CONTROL_BUFFER);
        let (peering_sender, peering_inputs) = mpsc::channel(PEERING_BUFFER);
        let shared = Arc::new(Shared::new(settings, sender, peering_sender));
        let (ready_sender, ready_receiver) = oneshot::channel();
        let control = spawn("control", {
            let shared = Arc::clone(&shared);
            move |runtime| {
                let listeners = control::Listeners {
                    admin: admin_listeners,
                    addresses,
                };
                runtime.block_on(control::run(shared, inputs, listeners, ready_sender));
            }
        })?;
        let limit = caller_limit(descriptor_limit());
        // The kernel spreads connections unevenly, so the threads share the places.
        let connections = Connections::new("caller", limit, connection_observer(&shared));
        let mut traffic = Vec::new();
        let mut stop_traffic = Vec::new();
        for (index, listener) in caller_listeners.into_iter().enumerate() {
            let (stop, stopped) = oneshot::channel();
            stop_traffic.push(stop);
            let shared = Arc::clone(&shared);
            let connections = Arc::clone(&connections);
            traffic.push(spawn(&format!("traffic-{index}"), move |runtime| {
                runtime.block_on(traffic::run(shared, listener, connections, stopped));
            })?);
        }
        if let Some(listener) = peer_listeners.into_iter().next() {
            let (stop, stopped) = oneshot::channel();
            stop_traffic.push(stop);
            let shared = Arc::clone(&shared);
            traffic.push(spawn("peer", move |runtime| {
                runtime.block_on(peering::run(shared, listener, peering_inputs, stopped));
            })?);
        }
        ready_receiver
            .blocking_recv()
            .map_err(|_| eyre!("the control thread exited before the node was ready"))?;
        Ok(Self {
            addresses,
            shared,
            control,
            traffic,
            stop_traffic,
        })
    }

    /// Returns the addresses that the node listens on.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Requests a planned stop; requests in flight are finished or handed over.
    pub fn stop(&self) {
        let _ = self
            .shared
            .control
            .blocking_send(ControlInput::StopRequested);
    }

    /// Requests a planned stop when the process receives SIGTERM or SIGINT.
    ///
    /// # Errors
    /// Fails if the thread that waits for signals can't be started.
    pub fn stop_on_signal(&self) -> Result<()> {
        let control = self.shared.control.clone();
        spawn("signals", move |runtime| {
            let _ = runtime.block_on(async move {
                shutdown_signal().await?;
                let _ = control.send(ControlInput::StopRequested).await;
                io::Result::Ok(())
            });
        })?;
        Ok(())
    }

    /// Waits until the node has stopped.
    ///
    /// # Errors
    /// Fails if the control thread or a traffic thread panicked.
    pub fn join(self) -> Result<()> {
        self.control
            .join()
            .map_err(|_| eyre!("the control thread panicked"))?;
        drop(self.stop_traffic);
        for thread in self.traffic {
            thread
                .join()
                .map_err(|_| eyre!("a traffic thread panicked"))?;
        }
        telemetry::flush();
        Ok(())
    }
}
