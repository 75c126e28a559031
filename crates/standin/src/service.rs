//! Simulated service that counts the runs of each request id.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use parsleylatch_types::ServiceName;
use serde_json::{Value, json};
use tokio::sync::watch;
use viz::{
    IntoResponse, Request, RequestExt, RequestLimitsExt, Response, Result, Router, StatusCode,
    types::State,
};

use crate::{
    control::{self, FaultSpec, ServiceFault},
    serve::ServerHandle,
};

/// Maximum size of a call body.
const MAX_CALL_BODY_BYTES: u64 = 1 << 20;

/// Settings of a simulated service.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Address to serve the protocol on.
    pub address: SocketAddr,
    /// Address to accept fault injection requests on.
    pub control: SocketAddr,
    /// Name of the service.
    pub service: ServiceName,
}

struct ServiceState {
    service: ServiceName,
    runs: Mutex<BTreeMap<String, u64>>,
    fault: watch::Sender<FaultSpec<ServiceFault>>,
}

impl ServiceState {
    fn runs(&self) -> MutexGuard<'_, BTreeMap<String, u64>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a run of a request and returns how often it has run.
    fn run(&self, request_id: &str) -> u64 {
        let mut runs = self.runs();
        let count = runs.entry(request_id.to_owned()).or_default();
        *count += 1;
        *count
    }
}

/// A running simulated service.
pub struct Service {
    /// Listeners; stop when dropped.
    pub server: ServerHandle,
    state: Arc<ServiceState>,
}

impl Service {
    /// Starts a service on the current Tokio runtime.
    ///
    /// # Errors
    /// Fails if an address can't be bound.
    pub fn start(settings: ServiceSettings) -> io::Result<Self> {
        let no_fault = FaultSpec::immediate(ServiceFault::None);
        let state = Arc::new(ServiceState {
            service: settings.service,
            runs: Mutex::default(),
            fault: watch::Sender::new(no_fault),
        });
        let protocol_router = Router::new()
            .post("/v1/operations/:operation", call)
            .with(State::new(Arc::clone(&state)));
        let control_router = Router::new()
            .post("/fault", inject_fault)
            .get("/runs", runs)
            .with(State::new(Arc::clone(&state)));
        let server = ServerHandle::start(
            settings.address,
            settings.control,
            protocol_router,
            control_router,
        )?;
        Ok(Self { server, state })
    }

    /// Returns the number of runs by request id.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.state.runs().clone()
    }
}

async fn call(mut request: Request) -> Result<Response> {
    let state = control::state::<ServiceState>(&request)?;
    let operation: String = request.param("operation")?;
    let Some(request_id) = control::header(&request, "request-id") else {
        return Ok((StatusCode::BAD_REQUEST, "no request-id").into_response());
    };
    let body = request.bytes_with(None, MAX_CALL_BODY_BYTES).await?;
    let echo: Value = serde_json::from_slice(&body)
        .map_err(|error| (StatusCode::BAD_REQUEST, error.to_string()).into_error())?;
    let fault_spec = state.fault.borrow().clone();
    if fault_spec.fault == ServiceFault::FailBefore {
        return Ok(aborted_response());
    }
    let run = state.run(&request_id);
    if fault_spec.fault == ServiceFault::FailAfter {
        return Ok(aborted_response());
    }
    if fault_spec.fault == ServiceFault::InvalidStatus {
        return Ok(invalid_response());
    }
    if let (ServiceFault::Slow, Some(delay_ms)) = (fault_spec.fault, fault_spec.delay_ms) {
        tokio::time::sleep(delay_ms.duration()).await;
    }
    control::json(&json!({
        "service": state.service, "operation": operation,
        "request_id": request_id, "run": run, "echo": echo,
    }))
}

/// Response whose body fails at once, so that the caller sees a lost connection.
fn aborted_response() -> Response {
    let error = io::Error::other("connection aborted by an injected fault");
    let chunks = futures::stream::iter([Err::<bytes::Bytes, _>(error)]);
    http::Response::new(viz::Body::from_stream(chunks))
}

/// Response with a status that HTTP does not define.
fn invalid_response() -> Response {
    let response = http::Response::builder().status(600);
    let body = http_body_util::Full::from("{}");
    response.body(body.into()).unwrap_or_default()
}

async fn inject_fault(mut request: Request) -> Result<Response> {
    let state = control::state::<ServiceState>(&request)?;
    let fault_spec = control::read_json(&mut request).await?;
    state.fault.send_replace(fault_spec);
    Ok(StatusCode::NO_CONTENT.into_response())
}

async fn runs(request: Request) -> Result<Response> {
    control::json(&*control::state::<ServiceState>(&request)?.runs())
}
