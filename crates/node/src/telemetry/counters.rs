//! Counters, incremented by any thread and sent by the control thread.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, UdpSocket},
    sync::atomic::{AtomicU64, Ordering},
};

use cadence::{Counted, StatsdClient, UdpMetricSink};
use parsleylatch_runtime::ConnectionEvent;
use strum::{EnumCount, EnumIter, IntoEnumIterator, IntoStaticStr};

/// A counter; its name in snake case is the metric's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Counter {
    /// Generations that were accepted.
    GenerationsAccepted,
    /// Generations that ended with a complete answer.
    GenerationsDone,
    /// Generations that ended with an error.
    GenerationsFailed,
    /// Generations whose caller disconnected or stopped reading.
    GenerationsCancelled,
    /// Generations that were handed over to other nodes.
    GenerationsMoved,
    /// Generations that other nodes took over.
    GenerationsSuperseded,
    /// Attempts that were started.
    AttemptsStarted,
    /// Attempts that were lost.
    AttemptsLost,
    /// Tokens that were written to callers.
    TokensReleased,
    /// Tokens that were dropped because they were out of order.
    TokensDropped,
    /// Tokens that were released although no journal peer held them.
    ReleasesUnheld,
    /// Tokens that were sent to journal peers.
    JournalTokensSent,
    /// Bytes of journals and of replies to them that were sent to other nodes.
    JournalBytesSent,
    /// Frames of journals that were sent to other nodes.
    JournalFramesSent,
    /// Journal records that were dropped because the peer thread's channel or a link
    /// was full.
    JournalRecordsDropped,
    /// Journals that this node refused because it is out of space or stopping.
    JournalsRefused,
    /// Journal peers that were lost or did not answer.
    JournalPeersLost,
    /// Journal peers that became usable.
    JournalPeersUp,
    /// Generations that this node passed to another owner.
    TakeOversGranted,
    /// Generations that this node took over.
    GenerationsResumed,
    /// Requests that were refused.
    Refusals,
    /// Service calls.
    ServiceCalls,
    /// Service calls that failed.
    ServiceCallsFailed,
    /// Retries of idempotent service calls.
    ServiceCallsRetried,
    /// Claims that were written for once-only calls.
    ClaimsMade,
    /// Claims released because their call was never sent; the call may be claimed again.
    ClaimsReleased,
    /// Claims that a restore of the store may have lost; their calls are not run.
    ClaimsLost,
    /// Restores of the store from a copy that this node has seen.
    StoreRestores,
    /// Expired claims that were deleted.
    ClaimsDeleted,
    /// Answers that were returned from the store's record.
    RecordedAnswers,
    /// Calls that may or may not have run.
    OutcomesUnknown,
    /// Attempt reports dropped because the control thread's channel was full.
    ReportsDropped,
    /// Gossip messages dropped because the control thread's channel was full.
    GossipDropped,
    /// Gossip messages that were sent.
    GossipSent,
    /// Snapshots that were published to the traffic threads.
    SnapshotsPublished,
    /// Store calls for templates.
    TemplateCalls,
    /// Reads of the VM list.
    VmListCalls,
    /// Store calls.
    StoreCalls,
    /// Store calls that failed.
    StoreCallsFailed,
    /// Templates that could not be parsed.
    TemplatesUnreadable,
    /// Templates that came into force.
    TemplatesApplied,
    /// Resting connections that were closed for new ones.
    ConnectionsGaveWay,
    /// Connections that were refused because all others were in use.
    ConnectionsRefused,
    /// Failed accepts.
    AcceptsFailed,
}

impl From<ConnectionEvent> for Counter {
    fn from(event: ConnectionEvent) -> Self {
        match event {
            ConnectionEvent::GaveWay => Self::ConnectionsGaveWay,
            ConnectionEvent::Refused => Self::ConnectionsRefused,
            ConnectionEvent::AcceptFailed => Self::AcceptsFailed,
        }
    }
}

/// The counters of a node.
#[derive(Debug)]
pub(crate) struct Counters {
    values: [AtomicU64; Counter::COUNT],
}

impl Counters {
    pub(crate) fn new() -> Self {
        Self {
            values: [const { AtomicU64::new(0) }; Counter::COUNT],
        }
    }

    pub(crate) fn add(&self, counter: Counter, amount: u64) {
        self.values[counter as usize].fetch_add(amount, Ordering::Relaxed);
    }

    pub(crate) fn increment(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Returns the values by metric name.
    pub(crate) fn snapshot(&self) -> BTreeMap<&'static str, u64> {
        Counter::iter()
            .map(|counter| (counter.into(), self.get(counter)))
            .collect()
    }

    fn get(&self, counter: Counter) -> u64 {
        self.values[counter as usize].load(Ordering::Relaxed)
    }
}

/// Sends the increments of the counters to a StatsD address.
pub(crate) struct StatsdReporter {
    client: StatsdClient,
    sent: [u64; Counter::COUNT],
}

impl StatsdReporter {
    pub(crate) fn connect(address: SocketAddr) -> Result<Self, cadence::MetricError> {
        let socket = UdpSocket::bind((std::net::Ipv4Addr::UNSPECIFIED, 0))?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket)?;
        let client = StatsdClient::from_sink("parsleylatch", sink);
        Ok(Self {
            client,
            sent: [0; Counter::COUNT],
        })
    }

    pub(crate) fn report(&mut self, counters: &Counters) {
        for counter in Counter::iter() {
            let value = counters.get(counter);
            let added = value - std::mem::replace(&mut self.sent[counter as usize], value);
            if added > 0 {
                let name: &str = counter.into();
                // Losing a metric must not affect the node.
                let _ = self.client.count(name, added);
            }
        }
    }
}
