//! Background tasks of the control thread: store and VM list watches, load polling
//! and metrics.

use std::{net::SocketAddr, sync::Arc};

use futures::{StreamExt, stream::FuturesUnordered};
use parsleylatch_decide::{
    store_eras::EraFinding,
    store_session::{DocumentCall, DocumentReader, SessionState, WatchMode},
};
use parsleylatch_endpoint::EngineClient;
use parsleylatch_runtime::Clock;
use parsleylatch_store::{Dated, StoreClient, StoreError, VmListClient};
use parsleylatch_types::{EndpointId, Micros, Millis, Seed};
use parsleylatch_wire::platform::ListReply;
use tokio::{
    sync::watch,
    time::{Instant, sleep, sleep_until},
};

use super::{ControlInput, move_records::MOVE_PREFIX};
use crate::{
    shared::Shared,
    telemetry::{Counter, StatsdReporter},
};

/// Prefix of the keys of accepted templates.
pub(crate) const TEMPLATE_PREFIX: &str = "templates/";
/// Long-poll timeout of one watch call.
const WATCH_WAIT_MS: Millis = Millis::new(30_000);
/// Delay after a failed read of the VM list.
const LIST_RETRY_DELAY_MS: Millis = Millis::new(500);
/// Minimum interval of polling rounds.
const MIN_LOAD_INTERVAL_MS: Millis = Millis::new(500);
/// Limit of the rate of load requests of this node.
const MAX_LOAD_REQUESTS_PER_SECOND: u64 = 12;
/// Interval at which the counters are sent.
const COUNTERS_INTERVAL_MS: Millis = Millis::new(1_000);

/// An engine whose load this node polls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct WatchedEndpoint {
    pub(crate) id: EndpointId,
    pub(crate) address: SocketAddr,
    /// Whether this node is the engine's first watcher; the others poll half as often.
    pub(crate) is_first: bool,
}

/// Engines whose load this node polls.
pub(crate) type WatchedEndpoints = Vec<WatchedEndpoint>;

/// A kind of documents in the store.
pub(crate) struct DocumentKind {
    prefix: &'static str,
    input: fn(ListReply) -> ControlInput,
    /// Counter of the calls for this kind, in addition to the counter of all calls.
    calls: Option<Counter>,
}

/// Accepted templates.
pub(crate) const TEMPLATES: DocumentKind = DocumentKind {
    prefix: TEMPLATE_PREFIX,
    input: ControlInput::Templates,
    calls: Some(Counter::TemplateCalls),
};

/// Records of opened and ended version moves.
pub(crate) const MOVE_RECORDS: DocumentKind = DocumentKind {
    prefix: MOVE_PREFIX,
    input: ControlInput::MoveRecords,
    calls: None,
};

/// Lists the documents, then follows their changes in the node's watch mode.
pub(crate) async fn watch_documents(
    shared: Arc<Shared>,
    kind: DocumentKind,
    mut mode: watch::Receiver<WatchMode>,
) {
    let store = StoreClient::new(shared.settings.store_address);
    let seed = Seed::new(shared.identity.incarnation.get());
    let mut reader = DocumentReader::new(shared.clock.now(), seed);
    let mut era = None;
    loop {
        let current = *mode.borrow_and_update();
        let (at, call) = reader.next_call(current);
        tokio::select! {
            () = shared.clock.sleep_until(Some(at)) => {}
            Ok(()) = mode.changed() => continue,
        }
        reader.call_started(shared.clock.now());
        shared.counters.increment(Counter::StoreCalls);
        if let Some(calls) = kind.calls {
            shared.counters.increment(calls);
        }
        let reply = match call {
            DocumentCall::List => store.list(kind.prefix).await,
            DocumentCall::Changes(after) => store.watch(kind.prefix, after, Millis::ZERO).await,
            DocumentCall::Watch(after) => store.watch(kind.prefix, after, WATCH_WAIT_MS).await,
        };
        let finding = observe_era(&shared, &reply);
        let known = shared.store_era();
        if finding.is_some() && era.replace(known).is_some_and(|earlier| earlier < known) {
            // Changes since a revision of an earlier era are incomplete.
            reader.restart();
            if !matches!(call, DocumentCall::List) {
                continue;
            }
        }
        let reply = reply.map(|dated| dated.reply);
        record_reply(&shared, kind.prefix, &mut reader, &reply);
        if finding == Some(EraFinding::Late) {
            log::debug!("late reply for {} ignored", kind.prefix);
            reader.call_ended(shared.clock.now(), None);
            continue;
        }
        if let Ok(reply) = reply
            && shared.control.send((kind.input)(reply)).await.is_err()
        {
            return;
        }
    }
}

/// Records the era that a reply or an error response states.
fn observe_era(
    shared: &Shared,
    reply: &Result<Dated<ListReply>, StoreError>,
) -> Option<EraFinding> {
    let stated = match reply {
        Ok(dated) => Some(&dated.era),
        Err(error) => error.era.as_ref(),
    };
    stated.map(|era| shared.observe_era(era))
}

fn record_reply(
    shared: &Shared,
    prefix: &str,
    reader: &mut DocumentReader,
    reply: &Result<ListReply, StoreError>,
) {
    if let Err(error) = reply {
        shared.counters.increment(Counter::StoreCallsFailed);
        log::debug!("{error}");
    }
    let revision = reply.as_ref().ok().map(|reply| reply.revision);
    match reader.call_ended(shared.clock.now(), revision) {
        Some(SessionState::Out) => log::warn!("the store is out, as {prefix} shows"),
        Some(state) => log::info!("store session of {prefix}: {state}"),
        None => {}
    }
}

/// Reads the VM list at the assigned interval.
pub(crate) async fn watch_vms(shared: Arc<Shared>, mut interval: watch::Receiver<Micros>) {
    let client = VmListClient::new(shared.settings.vm_list_address);
    loop {
        let started = Instant::now();
        let read_at = Clock::unix_now();
        shared.counters.increment(Counter::VmListCalls);
        match client.list().await {
            Ok(reply) => {
                let input = ControlInput::Vms(reply, read_at);
                if shared.control.send(input).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                log::debug!("{error}");
                sleep(LIST_RETRY_DELAY_MS.duration()).await;
            }
        }
        loop {
            let pause = interval.borrow_and_update().duration();
            tokio::select! {
                () = sleep_until(started + pause) => break,
                Ok(()) = interval.changed() => {}
            }
        }
    }
}

/// Polls the load of the watched engines in rounds.
pub(crate) async fn watch_loads(
    shared: Arc<Shared>,
    mut endpoints: watch::Receiver<WatchedEndpoints>,
) {
    let client = EngineClient::new();
    let mut is_even_round = true;
    loop {
        let started = Instant::now();
        let watched = endpoints.borrow_and_update().clone();
        let interval = load_interval(&watched);
        let due = watched
            .into_iter()
            .filter(|endpoint| endpoint.is_first || is_even_round);
        let mut reports: FuturesUnordered<_> = due
            .map(|endpoint| {
                let client = &client;
                async move {
                    let report = client.load(endpoint.address).await.ok();
                    ControlInput::Load(endpoint.id, report)
                }
            })
            .collect();
        while let Some(report) = reports.next().await {
            if shared.control.send(report).await.is_err() {
                return;
            }
        }
        is_even_round = !is_even_round;
        tokio::select! {
            () = sleep_until(started + interval.duration()) => {}
            // Polls newly assigned endpoints at once.
            Ok(()) = endpoints.changed() => is_even_round = true,
        }
    }
}

/// Returns the interval of rounds that keeps load requests within their rate limit.
fn load_interval(watched: &[WatchedEndpoint]) -> Millis {
    let first = watched.iter().filter(|endpoint| endpoint.is_first).count();
    let requests_per_two_rounds = (watched.len() + first) as u64;
    let required_interval = requests_per_two_rounds * 1_000 / (2 * MAX_LOAD_REQUESTS_PER_SECOND);
    MIN_LOAD_INTERVAL_MS.max(Millis::new(required_interval))
}

/// Sends the counters to the StatsD address, if one is configured.
pub(crate) async fn report_counters(shared: Arc<Shared>) {
    let Some(address) = shared.settings.statsd_address else {
        return;
    };
    let mut reporter = match StatsdReporter::connect(address) {
        Ok(reporter) => reporter,
        Err(error) => {
            log::error!("not sending metrics to StatsD at {address}: {error}");
            return;
        }
    };
    loop {
        sleep(COUNTERS_INTERVAL_MS.duration()).await;
        reporter.report(&shared.counters);
    }
}
