//! Traffic threads: each owns the requests that it accepted.

mod body;
mod caller;
mod generation;
mod journal;
mod output;
mod problem;
mod resume;
mod service;

use std::{
    future::IntoFuture,
    net::TcpListener,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use parsleylatch_decide::placement::Placer;
use parsleylatch_endpoint::{EngineClient, ServiceClient};
use parsleylatch_http::NodelayListener;
use tokio::sync::oneshot;
use viz::{Router, types::State};

use crate::shared::Shared;

/// State of one traffic thread.
pub(crate) struct Traffic {
    pub(crate) shared: Arc<Shared>,
    pub(crate) engines: EngineClient,
    pub(crate) services: ServiceClient,
    /// Only this thread takes the lock; handlers have to be `Sync`.
    placer: Mutex<Placer>,
}

impl Traffic {
    fn new(shared: Arc<Shared>) -> Self {
        let placer = Mutex::new(Placer::new(shared.settings.region.clone()));
        Self {
            shared,
            engines: EngineClient::new(),
            services: ServiceClient::new(),
            placer,
        }
    }

    pub(crate) fn placer(&self) -> MutexGuard<'_, Placer> {
        self.placer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serves callers until the node stops.
pub(crate) async fn run(
    shared: Arc<Shared>,
    listener: TcpListener,
    stopped: oneshot::Receiver<()>,
) {
    let traffic = Arc::new(Traffic::new(shared));
    let router = Router::new()
        .post("/v1/generations", caller::start_generation)
        .get("/v1/generations/:request", resume::resume_generation)
        .post("/v1/generations/:request", resume::rebuild_generation)
        .post("/v1/services/:service/:operation", caller::call_service)
        .with(State::new(traffic));
    match NodelayListener::from_std(listener) {
        Ok(listener) => {
            let server = tokio::spawn(parsleylatch_http::serve(listener, router).into_future());
            // The sender is dropped when the control thread has ended.
            let _ = stopped.await;
            server.abort();
        }
        Err(error) => log::error!("caller listener can't be registered: {error}"),
    }
}
