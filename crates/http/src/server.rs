//! HTTP server with a bounded number of connections.
//!
//! At the limit, the connection that has rested longest is closed for a new one. If all are in
//! use, the new one is accepted and its request is refused, so that its client learns at once.
//! At a stop, the connections that wait in the kernel's queue are refused the same way.

use std::{
    convert::Infallible,
    future::{Future, pending},
    io,
    pin::pin,
    sync::Arc,
    time::Duration,
};

use http_body_util::BodyExt;
use hyper::{
    body::{Body as _, Incoming},
    service::{Service, service_fn},
};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto::Builder, graceful::GracefulShutdown},
};
use parsleylatch_runtime::{AcceptedStream, ConnectionEvent, Connections};
use tokio::{net::TcpStream, task::JoinSet, time};
use viz::{Body, Listener, Request, Responder, Response, Router, StatusCode, Tree};

use crate::{
    counted_body::CountedBody,
    listener::{NodelayListener, WRITE_BUFFER_BYTES},
};

/// Maximum time for refusing the request of a connection.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time for refusing the request of a connection that waited at the stop.
const LAST_REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time for which the listener of a stopped server still accepts connections, and the
/// time between two looks into its queue.
const LAST_ACCEPT_TIMEOUT: Duration = Duration::from_millis(500);
const LOOK_INTERVAL: Duration = Duration::from_millis(5);
/// One connection for so many places may be refused at the same time; the one that has sent no
/// request for longest is closed for a further one.
const REFUSAL_RATIO: usize = 4;
/// Minimum and maximum number of connections that are refused at the same time.
const MIN_REFUSALS: usize = 4;
const MAX_REFUSALS: usize = 64;
/// Bytes of a refused request's body that are read, so that closing doesn't discard the
/// response.
const REFUSED_BODY_BYTES: usize = 64 << 10;
/// Time within which a client of [`serve_status`] has to send the head of its first or next
/// request.
const STATUS_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of connections of [`serve_status`].
const STATUS_CONNECTIONS: usize = 64;
/// Time for which a stopped server waits for its connections.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Bounds of a server, and what it answers at them.
#[derive(Clone, Debug)]
pub struct ServerBounds {
    /// Places for connections.
    pub connections: Arc<Connections>,
    /// Response to the requests of connections that get no place.
    pub refusal: fn() -> Response,
}

/// Serves a router on a listener until `stopped` is ready, with a bounded buffer for each
/// connection.
pub async fn serve_bounded<Stopped>(
    listener: NodelayListener,
    router: Router,
    bounds: ServerBounds,
    stopped: Stopped,
) where
    Stopped: Future + Send,
{
    let mut builder = Builder::new(TokioExecutor::new());
    builder.http1().max_buf_size(WRITE_BUFFER_BYTES);
    run(listener, router, bounds, builder, stopped).await;
}

/// Serves the pages of a process about itself. Their number of connections is limited, and
/// those without a request are closed after a while.
pub async fn serve_status<Observe>(
    listener: NodelayListener,
    router: Router,
    name: &'static str,
    observe: Observe,
) where
    Observe: Fn(ConnectionEvent) + Send + Sync + 'static,
{
    let mut builder = Builder::new(TokioExecutor::new()).http1_only();
    builder
        .http1()
        .max_buf_size(WRITE_BUFFER_BYTES)
        .timer(TokioTimer::new())
        .header_read_timeout(STATUS_HEAD_TIMEOUT);
    let bounds = ServerBounds {
        connections: Connections::new(name, STATUS_CONNECTIONS, observe),
        refusal: unavailable,
    };
    run(listener, router, bounds, builder, pending::<()>()).await;
}

/// Response of a server that has no place for a connection.
pub fn unavailable() -> Response {
    let response = http::Response::builder()
        .status(StatusCode::SERVICE_UNAVAILABLE)
        .header(http::header::RETRY_AFTER, "1");
    response.body(Body::empty()).unwrap_or_default()
}

async fn run<Stopped>(
    listener: NodelayListener,
    router: Router,
    bounds: ServerBounds,
    builder: Builder<TokioExecutor>,
    stopped: Stopped,
) where
    Stopped: Future + Send,
{
    let tree = Arc::new(Tree::from(router));
    let graceful = GracefulShutdown::new();
    let refusals = bounds.connections.limit() / REFUSAL_RATIO;
    let refusals = refusals.clamp(MIN_REFUSALS, MAX_REFUSALS);
    let mut refusals = Refusals {
        connections: Connections::for_refusals(refusals),
        response: bounds.refusal,
        tasks: JoinSet::new(),
    };
    let mut stopped = pin!(stopped);
    loop {
        let accepted = tokio::select! {
            biased;
            _ = &mut stopped => break,
            accepted = listener.accept() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) if is_connection_error(&error) => {
                log::debug!("a client left before its connection was accepted: {error}");
                continue;
            }
            Err(error) => {
                bounds.connections.recover_accept(error).await;
                continue;
            }
        };
        match bounds.connections.admit(stream).await {
            Ok(stream) => {
                let handle = stream.handle();
                let responder = Arc::new(Responder::new(Arc::clone(&tree), None::<()>));
                let service = service_fn(move |request: Request<Incoming>| {
                    let in_use = handle.begin_use();
                    let responder = Arc::clone(&responder);
                    async move {
                        let response = responder.call(request).await?;
                        Ok::<_, Infallible>(response.map(|body| CountedBody::new(body, in_use)))
                    }
                });
                let connection = builder.serve_connection(TokioIo::new(stream), service);
                let connection = graceful.watch(connection.into_owned());
                // The only errors are those of a client that has left.
                tokio::spawn(async move { drop(connection.await) });
            }
            Err(stream) => refusals.refuse(stream, REFUSAL_TIMEOUT).await,
        }
    }
    close_listener(listener, &bounds.connections, &mut refusals).await;
    let closing = async {
        graceful.shutdown().await;
        while refusals.tasks.join_next().await.is_some() {}
    };
    if time::timeout(STOP_TIMEOUT, closing).await.is_err() {
        log::warn!("closing connections that are busy {STOP_TIMEOUT:?} after the stop");
    }
}

/// Closes a listener after a look into its queue that finds nobody, or when no more connections
/// may be accepted: one that the kernel accepts between the last look and the close is reset.
/// Those that are found are refused.
async fn close_listener(
    listener: NodelayListener,
    connections: &Connections,
    refusals: &mut Refusals,
) {
    let deadline = time::Instant::now() + LAST_ACCEPT_TIMEOUT;
    let mut refused = 0;
    loop {
        let (waiting, failure) = listener.accept_waiting();
        if let Some(error) = &failure {
            log::warn!("accepting the last connections failed: {error}");
        }
        refused += waiting.len();
        let was_empty = waiting.is_empty() && failure.is_none();
        if was_empty || time::Instant::now() >= deadline {
            drop(listener);
            refusals
                .refuse_waiting(waiting, connections, deadline)
                .await;
            break;
        }
        refusals
            .refuse_waiting(waiting, connections, deadline)
            .await;
        time::sleep(LOOK_INTERVAL).await;
    }
    if refused > 0 {
        log::info!("{refused} connections that waited at the stop are refused");
    }
}

/// Connections whose first request is refused.
struct Refusals {
    connections: Arc<Connections>,
    response: fn() -> Response,
    tasks: JoinSet<()>,
}

impl Refusals {
    /// Refuses the first request of a connection that got no place.
    async fn refuse(&mut self, stream: TcpStream, timeout: Duration) {
        while self.tasks.try_join_next().is_some() {}
        // Without a place the connection is closed, which tells the client as well.
        if let Ok(stream) = self.connections.admit(stream).await {
            let refusal = time::timeout(timeout, refuse(stream, self.response));
            self.tasks.spawn(async move { drop(refusal.await) });
        }
    }

    /// Refuses connections that waited in the queue of the listener of `connections`. Until the
    /// deadline, they wait for the places of others that are refused.
    async fn refuse_waiting(
        &mut self,
        waiting: Vec<TcpStream>,
        connections: &Connections,
        deadline: time::Instant,
    ) {
        for stream in waiting {
            connections.record_refusal();
            if self.tasks.len() >= self.connections.limit() {
                // Whether one has ended or not, the place is asked for.
                drop(time::timeout_at(deadline, self.tasks.join_next()).await);
            }
            self.refuse(stream, LAST_REFUSAL_TIMEOUT).await;
        }
    }
}

/// Whether a client ended a connection before it was accepted.
fn is_connection_error(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionAborted | io::ErrorKind::ConnectionReset
    )
}

/// Responds to the first request of a connection with a refusal, and closes the connection.
async fn refuse(stream: AcceptedStream, refusal: fn() -> Response) {
    let handle = stream.handle();
    let service = service_fn(|request: Request<Incoming>| {
        let in_use = handle.begin_use();
        async move {
            discard(request.into_body()).await;
            Ok::<_, Infallible>(refusal().map(|body| CountedBody::new(body, in_use)))
        }
    });
    let mut builder = Builder::new(TokioExecutor::new()).http1_only();
    builder
        .http1()
        .max_buf_size(WRITE_BUFFER_BYTES)
        .keep_alive(false);
    // The only errors are those of a client that has left.
    let _ = builder
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Reads the start of a body.
async fn discard(mut body: Incoming) {
    let mut received = 0;
    while received < REFUSED_BODY_BYTES && !body.is_end_stream() {
        match body.frame().await {
            Some(Ok(frame)) => received += frame.data_ref().map_or(0, bytes::Bytes::len),
            Some(Err(_)) | None => return,
        }
    }
}
