//! Counters: added to by any thread, sent by the control thread.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, UdpSocket},
    sync::atomic::{AtomicU64, Ordering},
};

use cadence::{Counted, StatsdClient, UdpMetricSink};
use strum::{EnumCount, EnumIter, IntoEnumIterator, IntoStaticStr};

/// What is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Counter {
    /// Generations that were accepted.
    GenerationsAccepted,
    /// Generations that ended with a whole answer.
    GenerationsDone,
    /// Generations that ended with an error.
    GenerationsFailed,
    /// Generations whose caller went away or stopped reading.
    GenerationsCancelled,
    /// Generations that were handed to other nodes.
    GenerationsMoved,
    /// Generations that other nodes took over.
    GenerationsSuperseded,
    /// Attempts that were started.
    AttemptsStarted,
    /// Attempts that were lost.
    AttemptsLost,
    /// Tokens that were written to callers.
    TokensReleased,
    /// Tokens that were dropped because they were not next.
    TokensDropped,
    /// Tokens that were released although no journal peer held them.
    ReleasesUnheld,
    /// Tokens that were sent to journal peers.
    JournalTokensSent,
    /// Bytes of journals and their answers that were sent to other nodes.
    JournalBytesSent,
    /// Frames of journals that were sent to other nodes.
    JournalFramesSent,
    /// Records of journals that found the peer thread's channel or a link full.
    JournalRecordsDropped,
    /// Journals that this node refused because it has no room or stops.
    JournalsRefused,
    /// Journal peers that were lost or did not answer.
    JournalPeersLost,
    /// Journal peers that became usable.
    JournalPeersUp,
    /// Generations that this node gave to another owner.
    TakeOversGranted,
    /// Generations that this node took over.
    GenerationsResumed,
    /// Requests that were refused.
    Refusals,
    /// Calls of services.
    ServiceCalls,
    /// Calls of services that failed.
    ServiceCallsFailed,
    /// Tries of idempotent calls beyond the first.
    ServiceCallsRetried,
    /// Claims that were written to send a call once.
    ClaimsMade,
    /// Claims whose call was never sent, and that others may make anew.
    ClaimsReleased,
    /// Expired claims that were deleted.
    ClaimsDeleted,
    /// Answers that were given from the store's record.
    RecordedAnswers,
    /// Calls of which is not known whether they ran.
    OutcomesUnknown,
    /// Reports that found the control thread's channel full.
    ReportsDropped,
    /// Gossip that found the control thread's channel full.
    GossipDropped,
    /// Messages of gossip that were sent.
    GossipSent,
    /// Snapshots that were published to the traffic threads.
    SnapshotsPublished,
    /// Calls to the store for templates.
    TemplateCalls,
    /// Reads of the list of VMs.
    VmListCalls,
    /// Calls to the store.
    StoreCalls,
    /// Calls to the store that failed.
    StoreCallsFailed,
    /// Templates that can't be read.
    TemplatesUnreadable,
    /// Templates that came into force.
    TemplatesApplied,
}

/// Every counter of a node.
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

    /// Values by name.
    pub(crate) fn snapshot(&self) -> BTreeMap<&'static str, u64> {
        Counter::iter()
            .map(|counter| (counter.into(), self.get(counter)))
            .collect()
    }

    fn get(&self, counter: Counter) -> u64 {
        self.values[counter as usize].load(Ordering::Relaxed)
    }
}

/// Sends what was added since the last time to a StatsD address.
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
                // A lost metric is no reason to disturb the node.
                let _ = self.client.count(name, added);
            }
        }
    }
}
