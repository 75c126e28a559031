//! Traffic threads; each one serves the caller connections that it accepted.

mod admissions;
mod body;
mod caller;
mod generation;
mod idempotent;
mod journal;
mod once_only;
mod output;
mod peers;
mod problem;
mod resume;
mod service;
mod settlement;

use std::{
    net::TcpListener,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use parsleylatch_decide::{
    call::{FreeClaimLimiter, RetryBudgets},
    placement::Placer,
};
use parsleylatch_endpoint::{EngineClient, ServiceClient};
use parsleylatch_http::{Client, NodelayListener, ServerBounds, serve_bounded};
use parsleylatch_runtime::Connections;
use tokio::{sync::oneshot, time};
use viz::{Response, Router, types::State};

use crate::{claims::ClaimStore, shared::Shared};
use admissions::Admissions;

/// Time for which a stopped node writes the rest of its responses.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// State of one traffic thread.
pub(crate) struct Traffic {
    pub(crate) shared: Arc<Shared>,
    pub(crate) engines: EngineClient,
    pub(crate) services: ServiceClient,
    pub(crate) claims: ClaimStore,
    pub(crate) peers: Client,
    pub(crate) admissions: Arc<Admissions>,
    /// Locked by this thread only; the mutex makes the state `Sync`, as handlers
    /// require.
    placer: Mutex<Placer>,
    retry_budgets: Mutex<RetryBudgets>,
    free_claims: Mutex<FreeClaimLimiter>,
}

fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Traffic {
    fn new(shared: Arc<Shared>) -> Self {
        let placer = Mutex::new(Placer::new(shared.settings.region.clone()));
        let admissions = Arc::new(Admissions::new(Arc::clone(&shared)));
        let (engines, services) = (EngineClient::new(), ServiceClient::new());
        Self {
            claims: ClaimStore::new(&shared),
            shared,
            peers: Client::new(),
            engines,
            services,
            admissions,
            placer,
            retry_budgets: Mutex::default(),
            free_claims: Mutex::default(),
        }
    }

    pub(crate) fn placer(&self) -> MutexGuard<'_, Placer> {
        lock(&self.placer)
    }

    /// Takes one claim from the free tier's rate limit; `false` if this thread's
    /// share of it is used up.
    pub(crate) fn take_free_claim(&self) -> bool {
        let nodes = self.shared.snapshot.load().peers.len() + 1;
        let threads = nodes * self.shared.settings.traffic_threads;
        lock(&self.free_claims).take(self.shared.clock.now(), threads)
    }

    pub(crate) fn retry_budgets(&self) -> MutexGuard<'_, RetryBudgets> {
        lock(&self.retry_budgets)
    }
}

/// Response to a caller for whose connection the node has no place.
fn refuse() -> Response {
    problem::response_of(&caller::overloaded())
}

/// Serves callers until the node stops.
pub(crate) async fn run(
    shared: Arc<Shared>,
    listener: TcpListener,
    connections: Arc<Connections>,
    stopped: oneshot::Receiver<()>,
) {
    let traffic = Arc::new(Traffic::new(shared));
    tokio::spawn(Arc::clone(&traffic.admissions).run());
    let router = Router::new()
        .post("/v1/generations", caller::start_generation)
        .get("/v1/generations/:request", resume::resume_generation)
        .post("/v1/generations/:request", resume::rebuild_generation)
        .post("/v1/services/:service/:operation", caller::call_service)
        .get("/v1/calls/:id", caller::get_call)
        .with(State::new(traffic));
    match NodelayListener::from_std(listener) {
        Ok(listener) => {
            // The control thread drops the sender when it ends. What is in flight has been
            // answered then, but the connections may not have written all of it.
            let (closing, is_closing) = oneshot::channel::<()>();
            let bounds = ServerBounds {
                connections,
                refusal: refuse,
            };
            let server = tokio::spawn(serve_bounded(listener, router, bounds, is_closing));
            let _ = stopped.await;
            drop(closing);
            match time::timeout(WRITE_TIMEOUT, server).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => log::error!("the caller listener failed: {error}"),
                Err(_) => log::warn!(
                    "closing callers' connections that are busy {WRITE_TIMEOUT:?} after the stop"
                ),
            }
        }
        Err(error) => log::error!("failed to register the caller listener: {error}"),
    }
}
