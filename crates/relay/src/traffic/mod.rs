//! Traffic threads of a relay. Each owns the callers' connections that it accepted.

mod attempt;
mod body;
mod byte_window;
mod call_queue;
mod caller_connection;
mod connection_activity;
mod connection_timer;
mod copy_monitor;
mod engine;
mod exchange;
mod flush_observer;
mod holder_query;
mod job;
mod locality;
mod placement_queue;
mod prompts;
mod request_handler;
mod response_reader;
mod responses;
mod state;
mod turns;

use std::{convert::Infallible, io, net::TcpListener, pin::pin, rc::Rc, sync::Arc, time::Duration};

use parsleylatch_decide::relay::{Admission, may_close_listener};
use parsleylatch_endpoint::lacks_descriptors;
use parsleylatch_http::NodelayListener;
use parsleylatch_types::{Millis, MonoTime};
use tokio::{net::TcpStream, runtime::Runtime, task::LocalSet, time};
use viz::Listener;

pub(crate) use request_handler::limits as caller_limits;

use crate::{
    caller_places::CallerPlace,
    shared::{AwaitedRequest, LifecyclePhase, Shared},
    telemetry::RelayCounter,
};
use caller_connection::LAST_READ_DELAY;
use state::Traffic;

/// Delay after a failed accept, such as when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time between two looks for connections before a listener is closed.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the first request of a connection that is refused, and for its response.
const REFUSAL_TIME: Duration = Duration::from_secs(1);
/// Minimum time between two log lines on failures to accept.
const FAILURE_LOG_INTERVAL_MS: Millis = Millis::new(1_000);

/// Serves callers until the relay has stopped.
pub(crate) fn run(runtime: &Runtime, shared: Arc<Shared>, listener: TcpListener, seed: u64) {
    let local = LocalSet::new();
    local.block_on(runtime, async move {
        let listener = match NodelayListener::from_std(listener) {
            Ok(listener) => listener,
            Err(error) => {
                log::error!(error:% = error; "registering the caller listener failed");
                shared.wait_for_phase(LifecyclePhase::Closing).await;
                shared.report_listener_closed().await;
                return;
            }
        };
        accept(Rc::new(Traffic::new(shared, seed)), listener).await;
    });
}

async fn accept(traffic: Rc<Traffic>, listener: NodelayListener) {
    let mut failures = AcceptFailures::default();
    tokio::task::spawn_local(placement_queue::reject_at_stop(Rc::clone(&traffic)));
    tokio::task::spawn_local(turns::measure(Rc::clone(&traffic)));
    loop {
        traffic.shared.caller_places.wait_for_places().await;
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = traffic.shared.wait_for_phase(LifecyclePhase::Closing) => break,
        };
        match accepted {
            Ok((stream, _)) => serve(&traffic, stream),
            Err(error) => {
                failures.record(&traffic.shared, &error);
                if is_of_one_connection(&error) {
                    continue;
                }
                if lacks_descriptors(&error) {
                    // The process may do without connections that rest.
                    let has_closed = traffic.shared.caller_places.close_longest(&traffic.shared);
                    if !has_closed {
                        traffic.connections.close_older_idle();
                    }
                }
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    close_listener(&traffic, listener).await;
    traffic.shared.report_listener_closed().await;
    traffic.shared.wait_for_phase(LifecyclePhase::Stopped).await;
}

/// Closes a listener after a look into its queue that finds nobody, or when no more connections
/// may be accepted: one that the kernel accepts between the last look and the close is reset.
async fn close_listener(traffic: &Rc<Traffic>, listener: NodelayListener) {
    let shared = &traffic.shared;
    let mut last_accepted = 0;
    loop {
        let (waiting, failure) = listener.accept_waiting();
        let was_empty = waiting.is_empty() && failure.is_none();
        if may_close_listener(shared.now(), was_empty, shared.accepts_until()) {
            drop(listener);
            last_accepted += serve_waiting(traffic, waiting, failure);
            log::info!(waiting = last_accepted; "caller listener closed");
            return;
        }
        last_accepted += serve_waiting(traffic, waiting, failure);
        time::sleep(LOOK_INTERVAL).await;
    }
}

/// Serves connections that waited in a listener's queue; returns their number.
fn serve_waiting(
    traffic: &Rc<Traffic>,
    waiting: Vec<TcpStream>,
    failure: Option<io::Error>,
) -> usize {
    if let Some(error) = failure {
        log::warn!(error:% = error; "accepting the last caller connections failed");
    }
    let count = waiting.len();
    for stream in waiting {
        serve(traffic, stream);
    }
    count
}

/// Whether a connection failed that its caller has given up, and the next one may be accepted.
fn is_of_one_connection(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionAborted
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::InvalidInput
            | io::ErrorKind::Interrupted
    )
}

/// Failures to accept of one thread, for the log.
#[derive(Default)]
struct AcceptFailures {
    logged_at: Option<MonoTime>,
    /// Failures that no line was written for.
    unlogged: u64,
}

impl AcceptFailures {
    fn record(&mut self, shared: &Shared, error: &io::Error) {
        shared.metrics.increment(RelayCounter::AcceptFailures);
        self.unlogged += 1;
        let now = shared.now();
        let is_recent = |at: MonoTime| now.since(at) < FAILURE_LOG_INTERVAL_MS.micros();
        if self.logged_at.is_some_and(is_recent) {
            return;
        }
        log::warn!(
            error:% = error, failures = self.unlogged;
            "accepting a caller connection failed"
        );
        self.logged_at = Some(now);
        self.unlogged = 0;
    }
}

fn serve(traffic: &Rc<Traffic>, stream: TcpStream) {
    let shared = &traffic.shared;
    if shared.caller_places.needs_idle_descriptors(shared) {
        traffic.connections.close_older_idle();
    }
    let place = CallerPlace::take(shared);
    let awaited = shared.await_request();
    let traffic = Rc::clone(traffic);
    tokio::task::spawn_local(async move {
        let shared = Arc::clone(&traffic.shared);
        tokio::select! {
            () = serve_place(traffic, stream, awaited, place) => {}
            never = count_while_stopping(&shared) => match never {},
        }
    });
}

/// Serves a connection that has a place, and refuses another one in bounded time.
async fn serve_place(
    traffic: Rc<Traffic>,
    stream: TcpStream,
    awaited: AwaitedRequest,
    mut place: CallerPlace,
) {
    place.wait_for_room().await;
    if place.admission() == Admission::Serve {
        caller_connection::serve(traffic, stream, awaited, place).await;
        return;
    }
    let dropped = place.wait_for_drop(REFUSAL_TIME);
    let mut serving = pin!(caller_connection::serve(traffic, stream, awaited, place));
    tokio::select! {
        biased;
        () = &mut serving => return,
        () = dropped => {}
    }
    // A request that has arrived is answered, and unread bytes would reset the connection.
    tokio::select! {
        biased;
        () = serving => {}
        () = time::sleep(LAST_READ_DELAY) => {}
    }
}

/// Counts a connection as in flight while the relay stops, so that the process ends only
/// after its response has been written.
async fn count_while_stopping(shared: &Arc<Shared>) -> Infallible {
    shared.wait_for_phase(LifecyclePhase::NotReady).await;
    let _open = shared.track_request();
    std::future::pending().await
}
