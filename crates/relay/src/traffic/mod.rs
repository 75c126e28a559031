//! Traffic threads of a relay. Each owns the callers' connections that it accepted.

mod attempt;
mod body;
mod byte_window;
mod caller_connection;
mod connection_activity;
mod connection_timer;
mod copy_monitor;
mod engine;
mod exchange;
mod flush_observer;
mod holder_query;
mod job;
mod placement_queue;
mod prompts;
mod request_handler;
mod response_reader;
mod responses;
mod state;
mod turns;

use std::{
    cell::Cell, convert::Infallible, io, net::TcpListener, rc::Rc, sync::Arc, time::Duration,
};

use parsleylatch_decide::relay::{MemoryPlan, may_close_listener};
use parsleylatch_http::NodelayListener;
use tokio::{net::TcpStream, runtime::Runtime, task::LocalSet, time};
use viz::Listener;

use crate::shared::{LifecyclePhase, Shared};
use state::Traffic;

/// Delay after a failed accept, such as when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time between two looks for connections before a listener is closed.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of callers' connections of a process; the remainder of 4,100 file
/// descriptors is for connections to endpoints.
const CONNECTION_LIMIT: usize = 2_600;

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
    let open = Rc::new(Cell::new(0_usize));
    tokio::task::spawn_local(placement_queue::reject_at_stop(Rc::clone(&traffic)));
    tokio::task::spawn_local(turns::measure(Rc::clone(&traffic)));
    loop {
        let has_room = open.get() < connection_limit(&traffic.shared);
        let accepted = tokio::select! {
            accepted = listener.accept(), if has_room => accepted,
            () = time::sleep(ACCEPT_RETRY_DELAY), if !has_room => continue,
            () = traffic.shared.wait_for_phase(LifecyclePhase::Closing) => break,
        };
        match accepted {
            Ok((stream, _)) => serve(&traffic, &open, stream),
            Err(error) => {
                log::warn!(error:% = error; "accepting a caller connection failed");
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    close_listener(&traffic, &open, listener).await;
    traffic.shared.report_listener_closed().await;
    traffic.shared.wait_for_phase(LifecyclePhase::Stopped).await;
}

/// Closes a listener after a look into its queue that finds nobody, or when no more connections
/// may be accepted: one that the kernel accepts between the last look and the close is reset.
async fn close_listener(traffic: &Rc<Traffic>, open: &Rc<Cell<usize>>, listener: NodelayListener) {
    let shared = &traffic.shared;
    let mut last_accepted = 0;
    loop {
        let (waiting, failure) = listener.accept_waiting();
        let was_empty = waiting.is_empty() && failure.is_none();
        if may_close_listener(shared.now(), was_empty, shared.accepts_until()) {
            drop(listener);
            last_accepted += serve_waiting(traffic, open, waiting, failure);
            log::info!(waiting = last_accepted; "caller listener closed");
            return;
        }
        last_accepted += serve_waiting(traffic, open, waiting, failure);
        time::sleep(LOOK_INTERVAL).await;
    }
}

/// Serves connections that waited in a listener's queue; returns their number.
fn serve_waiting(
    traffic: &Rc<Traffic>,
    open: &Rc<Cell<usize>>,
    waiting: Vec<TcpStream>,
    failure: Option<io::Error>,
) -> usize {
    if let Some(error) = failure {
        log::warn!(error:% = error; "accepting the last caller connections failed");
    }
    let count = waiting.len();
    for stream in waiting {
        serve(traffic, open, stream);
    }
    count
}

/// Maximum number of callers' connections of one thread.
fn connection_limit(shared: &Shared) -> usize {
    let settings = shared.settings.load();
    let plan = MemoryPlan::new(settings.memory);
    let limits = request_handler::limits(&shared.snapshot.load());
    let limit = CONNECTION_LIMIT.min(plan.connection_limit(limits.head_bytes));
    (limit / settings.traffic_threads).max(1)
}

fn serve(traffic: &Rc<Traffic>, open: &Rc<Cell<usize>>, stream: TcpStream) {
    open.set(open.get() + 1);
    let (traffic, open) = (Rc::clone(traffic), Rc::clone(open));
    let awaited = traffic.shared.await_request();
    tokio::task::spawn_local(async move {
        let shared = Arc::clone(&traffic.shared);
        tokio::select! {
            () = caller_connection::serve(traffic, stream, awaited) => {}
            never = count_while_stopping(&shared) => match never {},
        }
        open.set(open.get() - 1);
    });
}

/// Counts a connection as in flight while the relay stops, so that the process ends only
/// after its response has been written.
async fn count_while_stopping(shared: &Arc<Shared>) -> Infallible {
    shared.wait_for_phase(LifecyclePhase::NotReady).await;
    let _open = shared.track_request();
    std::future::pending().await
}
