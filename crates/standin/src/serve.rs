//! HTTP listeners of the stand-ins and their shutdown.

use std::{io, net::SocketAddr};

use parsleylatch_http::{NodelayListener, bind_group, shutdown_signal};
use tokio::task::JoinHandle;
use viz::Router;

/// Addresses of a running stand-in.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Address of the protocol.
    pub address: SocketAddr,
    /// Address for control requests.
    pub control: SocketAddr,
}

/// Serves the protocol and control addresses of a stand-in until dropped.
#[derive(Debug)]
pub struct ServerHandle {
    /// Bound addresses.
    pub addresses: Addresses,
    tasks: Vec<JoinHandle<()>>,
}

impl ServerHandle {
    pub(crate) fn start(
        address: SocketAddr,
        control: SocketAddr,
        protocol_router: Router,
        control_router: Router,
    ) -> io::Result<Self> {
        let (address, protocol_task) = serve(address, protocol_router)?;
        let (control, control_task) = serve(control, control_router)?;
        Ok(Self {
            addresses: Addresses { address, control },
            tasks: vec![protocol_task, control_task],
        })
    }

    /// Waits until the process receives a shutdown signal, then stops serving.
    ///
    /// # Errors
    /// Fails if the signal handlers can't be installed.
    pub async fn wait_for_shutdown(self) -> io::Result<()> {
        shutdown_signal().await
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

pub(crate) fn serve(
    address: SocketAddr,
    router: Router,
) -> io::Result<(SocketAddr, JoinHandle<()>)> {
    let (bound, listeners) = bind_group(address, 1)?;
    let mut tasks = Vec::new();
    for listener in listeners {
        let listener = NodelayListener::from_std(listener)?;
        let server = parsleylatch_http::serve(listener, router.clone());
        tasks.push(tokio::spawn(async move {
            if let Err(error) = server.await {
                log::error!("HTTP listener failed: {error}");
            }
        }));
    }
    let task = tasks.pop().ok_or_else(|| io::Error::other("no listener"))?;
    Ok((bound, task))
}
