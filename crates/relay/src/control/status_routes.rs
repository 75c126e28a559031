//! HTTP routes for readiness checks and metrics.

use std::sync::Arc;

use http::StatusCode;
use viz::{IntoResponse, Request, Response, Result, Router, types::State};

use crate::shared::{LifecyclePhase, Shared};

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Routes for the load balancer's readiness check: 200 while callers are accepted.
pub(crate) fn ready_router(shared: &Arc<Shared>) -> Router {
    let path = shared.codec.ready_path;
    Router::new()
        .get(path, serve_ready)
        .with(State::new(Arc::clone(shared)))
}

/// Routes for metrics.
pub(crate) fn metrics_router(shared: &Arc<Shared>) -> Router {
    Router::new()
        .get(METRICS_PATH, serve_metrics)
        .with(State::new(Arc::clone(shared)))
}

async fn serve_ready(request: Request) -> Result<Response> {
    let status = match shared(&request)?.phase() {
        LifecyclePhase::Serving => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    Ok(status.into_response())
}

async fn serve_metrics(request: Request) -> Result<Response> {
    let shared = shared(&request)?;
    let occupancy = shared.caller_places.occupancy(&shared);
    let endpoints = shared.snapshot.load().endpoints.len();
    let text = shared.metrics.render(
        &shared.body_memory,
        &occupancy,
        endpoints,
        shared.store_era(),
    );
    Ok(text.into_response())
}

fn shared(request: &Request) -> Result<Arc<Shared>> {
    use viz::{IntoResponse as _, RequestExt as _};
    request
        .state::<Arc<Shared>>()
        .ok_or_else(|| StatusCode::INTERNAL_SERVER_ERROR.into_error())
}
