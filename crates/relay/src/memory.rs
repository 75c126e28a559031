//! Budget of the bytes that a process holds of requests and responses.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use parsleylatch_types::ByteCount;

/// Bytes held by all threads, and their limit.
#[derive(Debug)]
pub(crate) struct MemoryBudget {
    limit: AtomicUsize,
    held: AtomicUsize,
}

impl MemoryBudget {
    pub(crate) fn new(limit: ByteCount) -> Self {
        let budget = Self {
            limit: AtomicUsize::new(0),
            held: AtomicUsize::new(0),
        };
        budget.set_limit(limit);
        budget
    }

    /// Replaces the limit. What is held beyond a lower limit stays until it is released.
    pub(crate) fn set_limit(&self, limit: ByteCount) {
        let limit = usize::try_from(limit.get()).unwrap_or(usize::MAX);
        self.limit.store(limit, Ordering::Relaxed);
    }

    fn try_take(&self, bytes: usize) -> bool {
        let limit = self.limit.load(Ordering::Relaxed);
        let add = |held: usize| held.checked_add(bytes).filter(|sum| *sum <= limit);
        self.held
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
            .is_ok()
    }
}

/// Bytes taken from a budget, returned when dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl Reservation {
    /// Takes nothing yet.
    pub(crate) fn empty(budget: &Arc<MemoryBudget>) -> Self {
        Self {
            budget: Arc::clone(budget),
            bytes: 0,
        }
    }

    /// Takes more bytes; returns `false`, and takes none, if the budget lacks them.
    #[must_use]
    pub(crate) fn try_grow(&mut self, bytes: usize) -> bool {
        let is_taken = self.budget.try_take(bytes);
        if is_taken {
            self.bytes += bytes;
        }
        is_taken
    }

    /// Returns some of the bytes to the budget.
    pub(crate) fn shrink(&mut self, bytes: usize) {
        let returned = bytes.min(self.bytes);
        self.bytes -= returned;
        self.budget.held.fetch_sub(returned, Ordering::Relaxed);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink(self.bytes);
    }
}
