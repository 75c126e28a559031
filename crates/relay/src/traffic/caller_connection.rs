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
use parsleylatch_http::{HeadInspection, InspectedHead, ReceivedBody, error_chain, inspect_heads};
use tokio::{
    io::{AsyncRead, AsyncReadExt},
    net::TcpStream,
    task::yield_now,
    time,
};

use super::{
    connection_activity::{ConnectionActivity, GuardedBody, RequestGuard},
    connection_timer::{ConnectionTimeout, ConnectionTimer},
    flush_observer::FlushObserver,
    request_handler, responses,
    state::Traffic,
};
use crate::{
    caller_places::CallerPlace,
    shared::{AwaitedRequest, InFlightGuard, LifecyclePhase, Shared},
    telemetry::RelayCounter,
};

/// Delay before an idle or slow connection is closed, in which the runtime notices data that
/// has arrived in time.
pub(super) const LAST_READ_DELAY: Duration = Duration::from_millis(1);

/// Time for which a stopping relay waits for the first request of a connection, or for one
/// whose head has begun to arrive. On a busy machine a request may reach it long after the
/// connection.
const REQUEST_WAIT: Duration = Duration::from_millis(1_500);

/// Time for which the rest of the body of a refused request is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Time without a byte of that body after which the connection is closed.
const DISCARD_SILENCE: Duration = Duration::from_secs(1);

/// Buffer for bytes that are discarded.
const DISCARD_BUFFER_BYTES: usize = 4 << 10;

/// Serves one connection until it is closed. `awaited` counts its first request as in
/// flight, so that a stopping relay does not end between accepting and reading it.
///
/// A connection without a place to be served gets its first request refused.
pub(crate) async fn serve(
    traffic: Rc<Traffic>,
    stream: TcpStream,
    awaited: AwaitedRequest,
    place: CallerPlace,
) {
    let limits = request_handler::limits(&traffic.snapshot());
    let mut builder = http1::Builder::new();
    // The connection's own timer replaces the timeout of the library.
    builder
        .header_read_timeout(None)
        .max_buf_size(MemoryPlan::head_limit(limits.head_bytes).get() as usize);
    let (limited, inspection, progress) = inspect_heads(stream);
    let activity = Rc::new(ConnectionActivity::new(Arc::clone(&traffic.shared), place));
    let connection_activity = Rc::clone(&activity);
    let mut timer = ConnectionTimer::new(Rc::clone(&activity), inspection.clone());
    let shared = Arc::clone(&traffic.shared);
    let accepted_at = shared.now();
    let received = inspection.clone();
    let awaited = Rc::new(Cell::new(Some(awaited)));
    let first_request = Rc::clone(&awaited);
    let service = service_fn(move |request: Request<Incoming>| {
        let traffic = Rc::clone(&traffic);
        let head = inspection.take_head();
        let has_next_head = inspection.has_next_head();
        let awaited = first_request.take().map(|it| it.in_flight);
        let guard = connection_activity.begin_request();
        let request = request.map(|body| ReceivedBody::new(body, Some(progress.clone())));
        async move {
            if has_next_head {
                // The library passes on requests that have arrived without a pause.
                yield_now().await;
            }
            let handled = handle_request(traffic, request, head, awaited, guard);
            Ok::<_, Infallible>(handled.await)
        }
    });
    let observed = FlushObserver::new(limited, Rc::clone(&activity));
    let mut connection = builder.serve_connection(TokioIo::new(observed), service);
    // A connection accepted while draining still gets one response.
    let is_late = shared.phase() >= LifecyclePhase::Draining;
    let ended = tokio::select! {
        biased;
        ended = run(Pin::new(&mut connection), &activity, &mut timer) => Some(ended),
        () = wait_until_draining(&shared) => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            // A graceful shutdown closes a connection without a request at once, although
            // one may be on its way.
            let awaits_request = is_late || is_present(&awaited) || received.has_partial_head();
            if !awaits_request {
                Pin::new(&mut connection).graceful_shutdown();
            }
            tokio::select! {
                biased;
                ended = run(Pin::new(&mut connection), &activity, &mut timer) => ended,
                () = wait_for_request(&shared) => {
                    if awaited.take().is_some() {
                        shared.record_closed_unread();
                        log::info!(
                            has_partial_head = received.has_partial_head(),
                            age_ms = shared.now().since(accepted_at).millis().get();
                            "caller connection closed without a request"
                        );
                    }
                    Pin::new(&mut connection).graceful_shutdown();
                    run(Pin::new(&mut connection), &activity, &mut timer).await
                }
            }
        }
    };
    if let Err(reason) = ended {
        activity.record_failure(reason);
    }
    let io = connection.into_parts().io.into_inner();
    tokio::select! {
        () = discard_body(io, &received) => {}
        () = activity.place().wait_for_close() => {
            log::debug!("body of a refused request cut off; its connection's place is needed");
        }
        () = time::sleep(DISCARD_TIMEOUT) => {
            log::debug!("body of a refused request still arriving");
        }
    }
}

/// Waits until connections are closed after their current response, and until the runtime
/// has noticed the requests that arrived before.
async fn wait_until_draining(shared: &Shared) {
    shared.wait_for_phase(LifecyclePhase::Draining).await;
    time::sleep(LAST_READ_DELAY).await;
}

/// Waits until a connection without a request is closed, and until the runtime has noticed a
/// request that arrived before.
async fn wait_for_request(shared: &Shared) {
    tokio::select! {
        () = time::sleep(REQUEST_WAIT) => {}
        () = shared.wait_for_response_deadline() => {}
    }
    time::sleep(LAST_READ_DELAY).await;
}

/// Reads the rest of a refused request's body.
///
/// Closing a socket with unread bytes resets it, and a reset discards a response that the
/// caller has not read.
async fn discard_body<Io>(mut io: Io, received: &HeadInspection)
where
    Io: AsyncRead + Unpin,
{
    let mut buffer = vec![0; DISCARD_BUFFER_BYTES];
    while received.has_partial_body() {
        let Ok(read) = time::timeout(DISCARD_SILENCE, io.read(&mut buffer)).await else {
            log::debug!("body of a refused request not complete");
            return;
        };
        match read {
            Ok(0) => return,
            Ok(_) => {}
            Err(error) => {
                log::debug!(error:% = error; "reading the body of a refused request failed");
                return;
            }
        }
    }
}

/// Runs a connection until it ends or until one of its timeouts.
async fn run<Io, Handler>(
    mut connection: Pin<&mut http1::Connection<Io, Handler>>,
    activity: &ConnectionActivity,
    timer: &mut ConnectionTimer,
) -> Result<(), String>
where
    Io: hyper::rt::Read + hyper::rt::Write + Unpin,
    Handler: HttpService<Incoming, ResBody = GuardedBody, Error = Infallible>,
{
    let mut is_closing = false;
    loop {
        tokio::select! {
            biased;
            ended = connection.as_mut() => return ended.map_err(|it| error_chain(&it)),
            () = timer.expired() => {}
            () = activity.place().wait_for_close() => {}
        }
        tokio::select! {
            biased;
            ended = connection.as_mut() => return ended.map_err(|it| error_chain(&it)),
            () = time::sleep(LAST_READ_DELAY) => {}
        }
        match timer.expired_now() {
            // A part of a head has arrived, so that the place is not given up.
            None if timer.has_partial_head() => activity.place().begin(),
            None => {}
            Some(ConnectionTimeout::Head) => return Err("head not complete in time".to_owned()),
            Some(ConnectionTimeout::Write) => return Err("response not read in time".to_owned()),
            Some(ConnectionTimeout::Idle) if is_closing => return Ok(()),
            Some(ConnectionTimeout::Idle) => {
                connection.as_mut().graceful_shutdown();
                is_closing = true;
            }
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
    request: Request<ReceivedBody>,
    head: Option<InspectedHead>,
    awaited: Option<InFlightGuard>,
    guard: RequestGuard,
) -> Response<GuardedBody> {
    let is_chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let is_ambiguous = is_chunked && head.is_none_or(|it| it.is_ambiguous);
    let shared = Arc::clone(&traffic.shared);
    let _in_flight = awaited.unwrap_or_else(|| shared.track_request());
    let mut response = if guard.is_refused() {
        shared.metrics.increment(RelayCounter::Requests);
        let metadata = (shared.codec.requests.read)(request.headers());
        let id = metadata.ok().map(|it| it.id);
        request_handler::deny(
            &shared,
            id.as_ref(),
            responses::Denial::NoPlace,
            "no place for the connection",
        )
    } else if is_ambiguous {
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
    let must_close = shared.phase() > LifecyclePhase::Serving || shared.caller_places.is_exceeded();
    if is_chunked || must_close {
        responses::close_after(response.headers_mut());
    }
    response.map(|body| GuardedBody::new(body, guard))
}
