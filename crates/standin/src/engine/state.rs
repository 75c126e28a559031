//! What an engine knows: places, queue, cache, faults and counters.

use std::{
    collections::{BTreeMap, BinaryHeap, VecDeque},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use parsleylatch_types::RequestCount;
use parsleylatch_types::{AttemptNumber, ByteCount, FencingNumber, Millis, Priority, RequestId};
use parsleylatch_wire::engine::LoadReport;
use serde::Serialize;
use tokio::sync::{oneshot, watch};

use super::{EngineSettings, cache::PrefixCache};
use crate::control::{EngineFault, FaultSpec};

/// Counters of an engine.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct EngineCounters {
    pub(crate) generated_tokens: u64,
    pub(crate) streams_opened: u64,
    pub(crate) streams_cancelled: u64,
    pub(crate) cached_bytes: u64,
    pub(crate) prefilled_bytes: u64,
}

/// A stream that waits for a place; larger priorities first, then older ones.
struct Waiting {
    priority: Priority,
    order: u64,
    start: oneshot::Sender<()>,
}

impl PartialEq for Waiting {
    fn eq(&self, other: &Self) -> bool {
        (self.priority, self.order) == (other.priority, other.order)
    }
}

impl Eq for Waiting {}

impl PartialOrd for Waiting {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Waiting {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.priority
            .cmp(&other.priority)
            .then(other.order.cmp(&self.order))
    }
}

struct Inner {
    running: usize,
    waiting: BinaryHeap<Waiting>,
    next_order: u64,
    cache: PrefixCache,
    loads: VecDeque<(Instant, LoadReport)>,
    cancels: BTreeMap<(RequestId, AttemptNumber), watch::Sender<bool>>,
    counters: EngineCounters,
    fencing: FencingNumber,
    leaving: bool,
    deployed: Vec<String>,
}

/// State that an engine's tasks share.
pub(crate) struct EngineState {
    pub(crate) settings: EngineSettings,
    inner: Mutex<Inner>,
    fault: watch::Sender<FaultSpec<EngineFault>>,
}

impl std::fmt::Debug for EngineState {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("EngineState")
            .field("settings", &self.settings)
            .finish()
    }
}

impl EngineState {
    pub(crate) fn new(settings: EngineSettings) -> Self {
        let inner = Inner {
            running: 0,
            waiting: BinaryHeap::new(),
            next_order: 0,
            cache: PrefixCache::new(settings.cache_capacity_blocks),
            loads: VecDeque::new(),
            cancels: BTreeMap::new(),
            counters: EngineCounters::default(),
            fencing: FencingNumber::ZERO,
            leaving: false,
            deployed: Vec::new(),
        };
        let none = FaultSpec::immediate(EngineFault::None);
        Self {
            settings,
            inner: Mutex::new(inner),
            fault: watch::Sender::new(none),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn inject_fault(&self, order: FaultSpec<EngineFault>) {
        self.fault.send_replace(order);
    }

    pub(crate) fn faults(&self) -> watch::Receiver<FaultSpec<EngineFault>> {
        self.fault.subscribe()
    }

    pub(crate) fn counters(&self) -> EngineCounters {
        self.lock().counters
    }

    pub(crate) fn count(&self, update: impl FnOnce(&mut EngineCounters)) {
        update(&mut self.lock().counters);
    }

    /// Keeps a prompt in the prefix cache; returns what has to be prefilled.
    pub(crate) fn prefill(&self, prompt: &str) -> ByteCount {
        let mut inner = self.lock();
        let missing = inner.cache.admit(prompt);
        inner.counters.prefilled_bytes += missing.get();
        inner.counters.cached_bytes += prompt.len() as u64 - missing.get();
        missing
    }

    pub(crate) fn cached_blocks(&self) -> Vec<u64> {
        self.lock().cache.blocks()
    }

    /// Waits for a place in the batch.
    pub(crate) async fn take_place(&self, priority: Priority) -> Place<'_> {
        let start = {
            let mut inner = self.lock();
            if inner.running < self.settings.capacity {
                inner.running += 1;
                None
            } else {
                let (sender, receiver) = oneshot::channel();
                let order = inner.next_order;
                inner.next_order += 1;
                inner.waiting.push(Waiting {
                    priority,
                    order,
                    start: sender,
                });
                Some(receiver)
            }
        };
        if let Some(start) = start {
            // The sender stays in the queue until it is used.
            let _ = start.await;
        }
        Place { state: self }
    }

    /// Gives a free place to the first stream that still waits.
    fn free_place(&self) {
        let mut inner = self.lock();
        while let Some(next) = inner.waiting.pop() {
            if next.start.send(()).is_ok() {
                return;
            }
        }
        inner.running -= 1;
    }

    /// Whether half of the places or more are taken.
    pub(crate) fn is_half_full(&self) -> bool {
        2 * self.lock().running >= self.settings.capacity
    }

    /// Load as of the reporting lag ago.
    pub(crate) fn load(&self) -> LoadReport {
        let mut inner = self.lock();
        let now = Instant::now();
        let current = LoadReport {
            running: RequestCount::new(inner.running as u64),
            waiting: RequestCount::new(inner.waiting.len() as u64),
            capacity: RequestCount::new(self.settings.capacity as u64),
            leaving: inner.leaving,
        };
        inner.loads.push_back((now, current));
        let lag = self.settings.load_lag_ms.duration();
        while inner.loads.len() > 1 && now.duration_since(inner.loads[1].0) >= lag {
            inner.loads.pop_front();
        }
        let oldest = inner.loads.front().map_or(current, |(_, load)| *load);
        LoadReport {
            leaving: current.leaving,
            ..oldest
        }
    }

    pub(crate) fn set_leaving(&self, leaving: bool) {
        self.lock().leaving = leaving;
    }

    /// Registers a stream for cancels; an older one of the same attempt ends.
    pub(crate) fn register(
        &self,
        request_id: RequestId,
        attempt: AttemptNumber,
    ) -> watch::Receiver<bool> {
        let (sender, receiver) = watch::channel(false);
        let mut inner = self.lock();
        inner.counters.streams_opened += 1;
        if let Some(earlier) = inner.cancels.insert((request_id, attempt), sender) {
            earlier.send_replace(true);
        }
        receiver
    }

    pub(crate) fn unregister(&self, request_id: RequestId, attempt: AttemptNumber) {
        self.lock().cancels.remove(&(request_id, attempt));
    }

    /// Cancels a stream; returns whether it was running.
    pub(crate) fn cancel(&self, request_id: RequestId, attempt: AttemptNumber) -> bool {
        let mut inner = self.lock();
        let sender = inner.cancels.remove(&(request_id, attempt));
        if let Some(sender) = &sender {
            sender.send_replace(true);
            inner.counters.streams_cancelled += 1;
        }
        sender.is_some()
    }

    /// Carries out a deployment order unless its fencing number is old.
    pub(crate) fn deploy(&self, fencing: FencingNumber, wanted: Vec<String>) -> bool {
        let mut inner = self.lock();
        if self.settings.checks_fencing && fencing < inner.fencing {
            return false;
        }
        inner.fencing = inner.fencing.max(fencing);
        inner.deployed = wanted;
        true
    }

    pub(crate) fn deployed(&self) -> Vec<String> {
        self.lock().deployed.clone()
    }

    pub(crate) fn fencing_number(&self) -> FencingNumber {
        self.lock().fencing
    }

    /// Time that a prefill takes.
    pub(crate) fn prefill_time(missing: ByteCount) -> Millis {
        /// Prompt that is read in a millisecond.
        const PREFILL_BYTES_PER_MS: u64 = 512;
        Millis::new(missing.get() / PREFILL_BYTES_PER_MS)
    }
}

/// A place in the batch; free again when dropped.
pub(crate) struct Place<'a> {
    state: &'a EngineState,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.state.free_place();
    }
}
