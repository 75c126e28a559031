//! Connections of callers.

use std::{cell::Cell, convert::Infallible, pin::Pin, rc::Rc, sync::Arc, time::Duration};

use http::{Request, Response, header};
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::{HttpService, service_fn},
};
use hyper_util::rt::TokioIo;
use parsleylatch_decide::relay::MemoryPlan;
use parsleylatch_http::{InspectedHead, error_chain, inspect_heads};
use tokio::{net::TcpStream, time};

use super::{
    connection_activity::{ConnectionActivity, GuardedBody, RequestGuard},
    connection_timer::{ConnectionTimeout, ConnectionTimer},
    request_handler, responses,
    state::Traffic,
};
use crate::shared::{InFlightGuard, LifecyclePhase};

/// Delay after the idle timeout, in which the runtime notices data that has arrived.
const LAST_READ_DELAY: Duration = Duration::from_millis(1);

/// Time for which a stopping relay waits for the first request of a connection.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(500);

/// Serves one connection until it is closed. `awaited` counts its first request as in
/// flight, so that a stopping relay does not end between accepting and reading it.
pub(crate) async fn serve(traffic: Rc<Traffic>, stream: TcpStream, awaited: InFlightGuard) {
    let limits = request_handler::limits(&traffic.snapshot());
    let mut builder = http1::Builder::new();
    // The connection's own timer replaces the timeout of the library.
    builder
        .header_read_timeout(None)
        .max_buf_size(MemoryPlan::head_limit(limits.head_bytes).get() as usize);
    let (observed, inspection) = inspect_heads(stream);
    let activity = Rc::new(ConnectionActivity::new(Arc::clone(&traffic.shared)));
    let connection_activity = Rc::clone(&activity);
    let mut timer = ConnectionTimer::new(Rc::clone(&activity), inspection.clone());
    let shared = Arc::clone(&traffic.shared);
    let awaited = Rc::new(Cell::new(Some(awaited)));
    let first_request = Rc::clone(&awaited);
    let service = service_fn(move |request: Request<Incoming>| {
        let traffic = Rc::clone(&traffic);
        let head = inspection.take_head();
        let awaited = first_request.take();
        let guard = connection_activity.begin_request();
        async move {
            let handled = handle_request(traffic, request, head, awaited, guard);
            Ok::<_, Infallible>(handled.await)
        }
    });
    let connection = builder.serve_connection(TokioIo::new(observed), service);
    let mut connection = std::pin::pin!(connection);
    // A connection accepted while draining still gets one response.
    let is_late = shared.phase() >= LifecyclePhase::Draining;
    let ended = tokio::select! {
        ended = run(connection.as_mut(), &mut timer) => Some(ended),
        () = shared.wait_for_phase(LifecyclePhase::Draining) => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            // A graceful shutdown closes a connection without a request at once, although
            // its first request may be on its way.
            if !is_late && !is_present(&awaited) {
                connection.as_mut().graceful_shutdown();
            }
            tokio::select! {
                ended = run(connection.as_mut(), &mut timer) => ended,
                () = time::sleep(FIRST_REQUEST_WAIT) => {
                    if awaited.take().is_some() {
                        connection.as_mut().graceful_shutdown();
                    }
                    run(connection.as_mut(), &mut timer).await
                }
            }
        }
    };
    if let Err(reason) = ended {
        activity.record_failure(reason);
    }
}

/// Runs a connection until it ends or until one of its timeouts.
async fn run<Io, Handler>(
    mut connection: Pin<&mut http1::Connection<Io, Handler>>,
    timer: &mut ConnectionTimer,
) -> Result<(), String>
where
    Io: hyper::rt::Read + hyper::rt::Write + Unpin,
    Handler: HttpService<Incoming, ResBody = GuardedBody, Error = Infallible>,
{
    let mut is_closing = false;
    loop {
        let timeout = tokio::select! {
            biased;
            ended = connection.as_mut() => return ended.map_err(|it| error_chain(&it)),
            timeout = timer.expired() => timeout,
        };
        match timeout {
            ConnectionTimeout::Head => return Err("head not complete in time".to_owned()),
            ConnectionTimeout::Idle if is_closing => return Ok(()),
            ConnectionTimeout::Idle => {}
        }
        tokio::select! {
            biased;
            ended = connection.as_mut() => return ended.map_err(|it| error_chain(&it)),
            () = time::sleep(LAST_READ_DELAY) => {}
        }
        if timer.is_expired() {
            connection.as_mut().graceful_shutdown();
            is_closing = true;
        }
    }
}

/// Whether the cell holds a value, which stays there.
fn is_present<Value>(cell: &Cell<Option<Value>>) -> bool {
    let value = cell.take();
    let is_present = value.is_some();
    cell.set(value);
    is_present
}

async fn handle_request(
    traffic: Rc<Traffic>,
    request: Request<Incoming>,
    head: Option<InspectedHead>,
    awaited: Option<InFlightGuard>,
    guard: RequestGuard,
) -> Response<GuardedBody> {
    let is_chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let is_ambiguous = is_chunked && head.is_none_or(|it| it.is_ambiguous);
    let shared = Arc::clone(&traffic.shared);
    let _in_flight = awaited.unwrap_or_else(|| shared.track_request());
    let mut response = if is_ambiguous {
        request_handler::deny(
            &shared,
            None,
            responses::Denial::BadRequest,
            "ambiguous body framing",
        )
    } else {
        request_handler::relay(traffic, request, &guard).await
    };
    // Guards against request smuggling: data after a chunked body is never parsed as a
    // request.
    if is_chunked || shared.phase() > LifecyclePhase::Serving {
        responses::close_after(response.headers_mut());
    }
    response.map(|body| GuardedBody::new(body, guard))
}
