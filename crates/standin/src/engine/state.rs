//! Shared state of an engine: batch slots, queue, prefix cache, fault and counters.

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

/// Counters reported by `GET /counters`.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct EngineCounters {
    pub(crate) generated_tokens: u64,
    pub(crate) streams_opened: u64,
    pub(crate) streams_cancelled: u64,
    pub(crate) cached_bytes: u64,
    pub(crate) prefilled_bytes: u64,
}

/// A stream that waits for a batch slot; ordered by priority, then by age.
struct QueuedStream {
    priority: Priority,
    sequence: u64,
    slot_ready: oneshot::Sender<()>,
}

impl PartialEq for QueuedStream {
    fn eq(&self, other: &Self) -> bool {
        (self.priority, self.sequence) == (other.priority, other.sequence)
    }
}

impl Eq for QueuedStream {}

impl PartialOrd for QueuedStream {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedStream {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.priority
            .cmp(&other.priority)
            .then(other.sequence.cmp(&self.sequence))
    }
}

struct MutableState {
    running: usize,
    waiting: BinaryHeap<QueuedStream>,
    next_sequence: u64,
    cache: PrefixCache,
    load_history: VecDeque<(Instant, LoadReport)>,
    cancel_senders: BTreeMap<(RequestId, AttemptNumber), watch::Sender<bool>>,
    counters: EngineCounters,
    fencing: FencingNumber,
    leaving: bool,
    deployed: Vec<String>,
}

/// State that is shared by the tasks of an engine.
pub(crate) struct EngineState {
    pub(crate) settings: EngineSettings,
    inner: Mutex<MutableState>,
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
        let inner = MutableState {
            running: 0,
            waiting: BinaryHeap::new(),
            next_sequence: 0,
            cache: PrefixCache::new(settings.cache_capacity_blocks),
            load_history: VecDeque::new(),
            cancel_senders: BTreeMap::new(),
            counters: EngineCounters::default(),
            fencing: FencingNumber::ZERO,
            leaving: false,
            deployed: Vec::new(),
        };
        let no_fault = FaultSpec::immediate(EngineFault::None);
        Self {
            settings,
            inner: Mutex::new(inner),
            fault: watch::Sender::new(no_fault),
        }
    }

    fn lock(&self) -> MutexGuard<'_, MutableState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn inject_fault(&self, fault_spec: FaultSpec<EngineFault>) {
        self.fault.send_replace(fault_spec);
    }

    pub(crate) fn subscribe_faults(&self) -> watch::Receiver<FaultSpec<EngineFault>> {
        self.fault.subscribe()
    }

    pub(crate) fn counters(&self) -> EngineCounters {
        self.lock().counters
    }

    pub(crate) fn count(&self, update: impl FnOnce(&mut EngineCounters)) {
        update(&mut self.lock().counters);
    }

    /// Adds a prompt to the prefix cache; returns how much of it must be prefilled.
    pub(crate) fn prefill(&self, prompt: &str) -> ByteCount {
        let mut inner = self.lock();
        let uncached = inner.cache.insert(prompt);
        inner.counters.prefilled_bytes += uncached.get();
        inner.counters.cached_bytes += prompt.len() as u64 - uncached.get();
        uncached
    }

    pub(crate) fn cached_blocks(&self) -> Vec<u64> {
        self.lock().cache.blocks()
    }

    /// Waits for a batch slot.
    pub(crate) async fn acquire_slot(&self, priority: Priority) -> BatchSlot<'_> {
        let slot_ready = {
            let mut inner = self.lock();
            if inner.running < self.settings.capacity {
                inner.running += 1;
                None
            } else {
                let (sender, receiver) = oneshot::channel();
                let sequence = inner.next_sequence;
                inner.next_sequence += 1;
                inner.waiting.push(QueuedStream {
                    priority,
                    sequence,
                    slot_ready: sender,
                });
                Some(receiver)
            }
        };
        if let Some(slot_ready) = slot_ready {
            // Can't fail: the sender stays in the queue until it is used.
            let _ = slot_ready.await;
        }
        BatchSlot { state: self }
    }

    /// Passes a released slot to the first queued stream that still waits, if any.
    fn release_slot(&self) {
        let mut inner = self.lock();
        while let Some(next) = inner.waiting.pop() {
            if next.slot_ready.send(()).is_ok() {
                return;
            }
        }
        inner.running -= 1;
    }

    /// Returns whether at least half of the batch slots are in use.
    pub(crate) fn is_half_full(&self) -> bool {
        2 * self.lock().running >= self.settings.capacity
    }

    /// Returns the load with the configured delay; `leaving` is always current.
    pub(crate) fn load(&self) -> LoadReport {
        let mut inner = self.lock();
        let now = Instant::now();
        let current = LoadReport {
            running: RequestCount::new(inner.running as u64),
            waiting: RequestCount::new(inner.waiting.len() as u64),
            capacity: RequestCount::new(self.settings.capacity as u64),
            leaving: inner.leaving,
        };
        inner.load_history.push_back((now, current));
        let lag = self.settings.load_lag_ms.duration();
        while inner.load_history.len() > 1 && now.duration_since(inner.load_history[1].0) >= lag {
            inner.load_history.pop_front();
        }
        let oldest = inner
            .load_history
            .front()
            .map_or(current, |(_, load)| *load);
        LoadReport {
            leaving: current.leaving,
            ..oldest
        }
    }

    pub(crate) fn set_leaving(&self, leaving: bool) {
        self.lock().leaving = leaving;
    }

    /// Registers a stream for cancellation; cancels an older one of the same attempt.
    pub(crate) fn register(
        &self,
        request_id: RequestId,
        attempt: AttemptNumber,
    ) -> watch::Receiver<bool> {
        let (sender, receiver) = watch::channel(false);
        let mut inner = self.lock();
        inner.counters.streams_opened += 1;
        if let Some(previous) = inner.cancel_senders.insert((request_id, attempt), sender) {
            previous.send_replace(true);
        }
        receiver
    }

    pub(crate) fn unregister(&self, request_id: RequestId, attempt: AttemptNumber) {
        self.lock().cancel_senders.remove(&(request_id, attempt));
    }

    /// Cancels a stream; returns whether it was running.
    pub(crate) fn cancel(&self, request_id: RequestId, attempt: AttemptNumber) -> bool {
        let mut inner = self.lock();
        let sender = inner.cancel_senders.remove(&(request_id, attempt));
        if let Some(sender) = &sender {
            sender.send_replace(true);
            inner.counters.streams_cancelled += 1;
        }
        sender.is_some()
    }

    /// Applies a deployment; returns `false` if fencing is checked and its number is
    /// outdated.
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

    /// Returns the duration of a prefill.
    pub(crate) fn prefill_time(uncached: ByteCount) -> Millis {
        const PREFILL_BYTES_PER_MS: u64 = 512;
        Millis::new(uncached.get() / PREFILL_BYTES_PER_MS)
    }
}

/// A slot in the batch; released when dropped.
pub(crate) struct BatchSlot<'a> {
    state: &'a EngineState,
}

impl Drop for BatchSlot<'_> {
    fn drop(&mut self) {
        self.state.release_slot();
    }
}
