//! Limits on the callers' connections of a process, by its memory and its descriptors.

use parsleylatch_types::{ByteCount, ConnectionCount, DescriptorCount};

use super::memory_plan::MemoryPlan;

/// Maximum number of callers' connections of a process.
pub(super) const CONNECTION_LIMIT: u64 = 2_600;
/// One in so many places is kept back for connections that are refused, and as many for those
/// that close.
const RESERVE_RATIO: u64 = 16;
/// Maximum of each reserve.
const MAX_RESERVE: u64 = 64;
/// Descriptors of the process itself: listeners, log, store.
const OWN_DESCRIPTORS: u64 = 64;
/// Descriptors of the listener for other nodes: its connections, and those that give way.
const PEER_DESCRIPTORS: u64 = 64 + 16;
/// Descriptors of a listener for pages: its connections, those that give way, those that are
/// refused, and of the latter those that give way.
const PAGE_DESCRIPTORS: u64 = 64 + 16 + 16 + 4;
/// Descriptors that new connections leave, while others rest, for links to other nodes and for
/// the pages for readiness and metrics.
const STATUS_DESCRIPTORS: u64 = PEER_DESCRIPTORS + 2 * PAGE_DESCRIPTORS;
/// Maximum part of the descriptors that is kept for either, as a divisor.
const SMALL_PROCESS_PART: u64 = 4;

/// Limits in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlaceLimits {
    /// Memory for all callers' connections.
    pub memory: ByteCount,
    /// Memory of a connection that is accepted now.
    pub connection_size: ByteCount,
    /// Descriptors of the process.
    pub descriptors: DescriptorCount,
}

/// What bounds the number of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum PlaceBound {
    /// The memory of the process.
    Memory,
    /// The descriptors of the process.
    Descriptors,
    /// The maximum for any process.
    Maximum,
}

impl PlaceLimits {
    /// Limits of a process by its memory, the configured limit on heads and its descriptors.
    pub fn new(plan: &MemoryPlan, head: ByteCount, descriptors: DescriptorCount) -> Self {
        Self {
            memory: plan.connections,
            connection_size: MemoryPlan::connection_size(head),
            descriptors,
        }
    }

    /// Places that are kept back for refusals, and as many for connections that close.
    pub fn reserve(&self) -> ConnectionCount {
        let places = self.memory.get() / self.connection_size.get();
        let places = places
            .min(CONNECTION_LIMIT)
            .min(self.resting_descriptors().max(1));
        ConnectionCount::new((places / RESERVE_RATIO).clamp(1, MAX_RESERVE))
    }

    /// Memory for connections that are served.
    pub(super) fn served_bytes(&self) -> u64 {
        let reserved = 2 * self.reserve().get() * self.connection_size.get();
        self.memory.get().saturating_sub(reserved)
    }

    /// Memory for connections that are served or close.
    pub(super) fn open_bytes(&self) -> u64 {
        let reserved = self.reserve().get() * self.connection_size.get();
        self.memory.get().saturating_sub(reserved)
    }

    /// Descriptors for connections of callers and to endpoints.
    pub(super) fn usable_descriptors(&self) -> u64 {
        let all = self.descriptors.get();
        all - OWN_DESCRIPTORS.min(all / SMALL_PROCESS_PART)
    }

    /// Descriptors that may be used while connections rest that could make room.
    pub(super) fn resting_descriptors(&self) -> u64 {
        let all = self.descriptors.get();
        self.usable_descriptors() - STATUS_DESCRIPTORS.min(all / SMALL_PROCESS_PART)
    }

    /// Number of connections that may stay open, and what bounds it.
    pub fn limit(&self) -> (ConnectionCount, PlaceBound) {
        let bounds = [
            (
                self.served_bytes() / self.connection_size.get(),
                PlaceBound::Memory,
            ),
            (self.resting_descriptors(), PlaceBound::Descriptors),
            (CONNECTION_LIMIT, PlaceBound::Maximum),
        ];
        let (count, bound) = bounds
            .into_iter()
            .min_by_key(|(count, _)| *count)
            .unwrap_or((CONNECTION_LIMIT, PlaceBound::Maximum));
        (ConnectionCount::new(count), bound)
    }
}
