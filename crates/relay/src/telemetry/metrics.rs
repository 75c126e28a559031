//! Counters and latency histograms of a relay, in the Prometheus text format.

use std::{
    fmt::Write as _,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use hdrhistogram::Histogram;
use parsleylatch_decide::relay::{Border, Occupancy};
use parsleylatch_runtime::ConnectionEvent;
use parsleylatch_types::{Micros, ServiceName, Share, StoreEra};
use strum::{EnumCount, EnumIter, IntoEnumIterator, IntoStaticStr};

use super::crossings::{CrossingCounter, Crossings};
use crate::memory::MemoryBudget;

/// Largest latency that is recorded; larger ones are clamped.
const LATENCY_LIMIT_US: u64 = 60_000_000;
/// Significant digits of a latency; two keep a histogram within about 20 KB.
const LATENCY_DIGITS: u8 = 2;
/// Upper bounds of the exported buckets.
const BUCKETS_MS: [u64; 14] = [
    5, 10, 20, 50, 100, 150, 250, 500, 700, 1_000, 2_000, 4_500, 10_000, 25_000,
];

/// Counter of a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum RelayCounter {
    /// Connections of callers closed while they rested, as others needed their places.
    ConnectionsClosedForRoom,
    /// Connections of callers accepted only to be refused.
    ConnectionsRefused,
    /// Such connections closed before their request was answered, as others needed their
    /// places or as it did not arrive in time.
    ConnectionsDropped,
    /// Connections to endpoints that found no descriptor at once.
    DescriptorShortages,
    /// Failed calls to accept a connection of a caller.
    AcceptFailures,
    /// Requests received.
    Requests,
    /// Requests rejected before an endpoint was selected.
    RequestsDenied,
    /// Requests rejected because the memory for bodies was used up.
    MemoryRefusals,
    /// Requests rejected because the traffic thread sheds load.
    OverloadRefusals,
    /// Requests that failed because no endpoint responded.
    Refusals,
    /// Responses of endpoints forwarded to callers, other than streams.
    Answers,
    /// Large responses aborted before their end.
    AnswersBrokenOff,
    /// Attempts left because the process had no memory for their response.
    ResponsesOutOfMemory,
    /// Times at which a traffic thread began to refuse new requests.
    SheddingPeriods,
    /// Streams that had to wait for an engine with room.
    StreamsQueued,
    /// Streams rejected because too many waited already.
    StreamsRejected,
    /// Calls that had to wait because all endpoints of their service were full.
    CallsQueued,
    /// Calls refused because no endpoint could answer before their deadline.
    CallsHopeless,
    /// Calls refused because their service was crowded.
    CallsShed,
    /// Streams delivered completely.
    StreamsFinished,
    /// Streams aborted before their end.
    StreamsBrokenOff,
    /// Callers that disconnected before the response was complete.
    CallersGone,
    /// Requests whose connection ended before their response was complete.
    ResponsesCutOff,
    /// Attempts started.
    Attempts,
    /// Attempts that failed.
    AttemptsFailed,
    /// Attempts without progress at which a request stayed for lack of a next place.
    MovesDeclined,
    /// Endpoints that said that they leave.
    EndpointsLeaving,
    /// Pauses that endpoints asked for.
    EndpointsPaused,
    /// State and prompt queries to engines.
    Probes,
    /// Stream events forwarded to callers.
    EventsRelayed,
    /// Stream events dropped because the caller already had them.
    EventsDropped,
    /// Calls to the store.
    StoreCalls,
    /// Failed calls to the store.
    StoreCallsFailed,
    /// Queries sent to other nodes.
    PeerAsks,
    /// Queries to other nodes that got no response.
    PeerAsksFailed,
    /// Responses to other nodes' queries.
    PeerAnswers,
    /// Queries from other regions that were referred to nodes of that region.
    PeerReferrals,
    /// Resting connections to the ready, metrics and peer addresses closed for new ones.
    ListenerConnectionsGaveWay,
    /// Connections to the ready, metrics and peer addresses refused because all others were
    /// in use.
    ListenerConnectionsRefused,
    /// Failed accepts at the ready, metrics and peer addresses.
    ListenerAcceptsFailed,
    /// Configurations applied.
    ConfigurationsApplied,
    /// Documents in the store that can't be parsed.
    DocumentsUnreadable,
    /// Restores of the store from a copy that this node has seen.
    StoreRestores,
    /// Documents of a restored store that did not replace what is known, and endpoints kept
    /// although it does not list them.
    DocumentsHeld,
    /// Entries that a restored store lists of endpoints that have left.
    DocumentsDropped,
    /// Documents written again to a restored store.
    DocumentsRewritten,
    /// Attempts counted for a version under rollout.
    Trials,
    /// Attempts not counted because the control thread's queue was full.
    TrialsDropped,
    /// Crashes of endpoints before they had begun to answer a request.
    CrashesObserved,
    /// Crashes and answers not counted because the control thread's queue was full.
    CrashEvidenceDropped,
    /// Prompt parts put in quarantine.
    PromptPartsQuarantined,
    /// Requests refused because of a prompt part in quarantine.
    RequestsQuarantined,
    /// Attempts that test prompt parts in quarantine.
    PartTrials,
    /// Such attempts at which the endpoint crashed.
    PartTrialsCrashed,
}

/// Latency histogram of a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum RelayLatency {
    /// From the arrival of a request to the first event of its stream.
    FirstEvent,
    /// From the arrival of an idempotent call to its response.
    IdempotentCall,
    /// From the arrival of a once-only call to its response.
    OnceOnlyCall,
    /// Wait of a stream for an engine with room.
    QueueWait,
    /// Wait of a call for an endpoint that is not full.
    CallQueueWait,
    /// Duration of a call to the store.
    StoreCall,
    /// How late a traffic thread comes to a periodic turn.
    TurnLateness,
}

impl From<ConnectionEvent> for RelayCounter {
    fn from(event: ConnectionEvent) -> Self {
        match event {
            ConnectionEvent::GaveWay => Self::ListenerConnectionsGaveWay,
            ConnectionEvent::Refused => Self::ListenerConnectionsRefused,
            ConnectionEvent::AcceptFailed => Self::ListenerAcceptsFailed,
        }
    }
}

/// Counters and histograms of one relay.
pub(crate) struct RelayMetrics {
    counters: [AtomicU64; RelayCounter::COUNT],
    latencies: [Mutex<Option<Histogram<u32>>>; RelayLatency::COUNT],
    crossings: Crossings,
}

impl RelayMetrics {
    pub(crate) fn new() -> Self {
        Self {
            counters: [const { AtomicU64::new(0) }; RelayCounter::COUNT],
            latencies: [const { Mutex::new(None) }; RelayLatency::COUNT],
            crossings: Crossings::default(),
        }
    }

    pub(crate) fn increment(&self, counter: RelayCounter) {
        self.counters[counter as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn add(&self, counter: RelayCounter, count: usize) {
        self.counters[counter as usize].fetch_add(count as u64, Ordering::Relaxed);
    }

    pub(crate) fn observe(&self, kind: RelayLatency, latency: Micros) {
        let slot = &self.latencies[kind as usize];
        let mut histogram = slot.lock().unwrap_or_else(PoisonError::into_inner);
        let histogram = histogram.get_or_insert_with(|| {
            Histogram::new_with_max(LATENCY_LIMIT_US, LATENCY_DIGITS).expect("the bounds are valid")
        });
        histogram.saturating_record(latency.get());
    }

    /// Adds to what requests of a service take over a border.
    pub(crate) fn add_crossing(
        &self,
        service: &ServiceName,
        border: Border,
        counter: CrossingCounter,
        count: u64,
    ) {
        self.crossings.add(service, border, counter, count);
    }

    /// Sets the share of a service's requests that crosses a border.
    pub(crate) fn set_crossing_share(&self, service: &ServiceName, border: Border, share: Share) {
        self.crossings.set_share(service, border, share);
    }

    /// Renders all metrics, the memory that bodies take, the callers' connections, the number of
    /// known endpoints and the known era of the store in the Prometheus text exposition format.
    pub(crate) fn render(
        &self,
        body_memory: &MemoryBudget,
        callers: &Occupancy,
        endpoints: usize,
        store_era: StoreEra,
    ) -> String {
        let mut text = String::new();
        let gauges = [
            ("body_memory_bytes", body_memory.held() as u64),
            ("caller_connections", callers.open.get()),
            ("caller_connections_resting", callers.resting.get()),
            ("caller_connections_limit", callers.limit.get()),
            ("endpoint_connections", callers.endpoint_connections.get()),
            ("descriptors_limit", callers.descriptors.get()),
            ("descriptors_used", callers.used_descriptors.get()),
            ("endpoints", endpoints as u64),
            ("store_era", store_era.get()),
        ];
        for (name, value) in gauges {
            let _ = writeln!(text, "# TYPE parsleylatch_{name} gauge");
            let _ = writeln!(text, "parsleylatch_{name} {value}");
        }
        for counter in RelayCounter::iter() {
            let name: &str = counter.into();
            let value = self.counters[counter as usize].load(Ordering::Relaxed);
            let _ = writeln!(text, "# TYPE parsleylatch_{name}_total counter");
            let _ = writeln!(text, "parsleylatch_{name}_total {value}");
        }
        for kind in RelayLatency::iter() {
            self.render_latency(kind, &mut text);
        }
        self.crossings.render(&mut text);
        text
    }

    fn render_latency(&self, kind: RelayLatency, text: &mut String) {
        let name: &str = kind.into();
        let slot = &self.latencies[kind as usize];
        let histogram = slot.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(histogram) = histogram.as_ref() else {
            return;
        };
        let _ = writeln!(text, "# TYPE parsleylatch_{name}_ms histogram");
        for edge in BUCKETS_MS {
            let count = histogram.count_between(0, edge * 1_000);
            let _ = writeln!(
                text,
                "parsleylatch_{name}_ms_bucket{{le=\"{edge}\"}} {count}"
            );
        }
        let total = histogram.len();
        let sum_ms = histogram.mean() * total as f64 / 1_000.0;
        let _ = writeln!(text, "parsleylatch_{name}_ms_bucket{{le=\"+Inf\"}} {total}");
        let _ = writeln!(text, "parsleylatch_{name}_ms_sum {sum_ms:.1}");
        let _ = writeln!(text, "parsleylatch_{name}_ms_count {total}");
    }
}
