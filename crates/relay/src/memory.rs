//! Budget of the bytes that a process holds of requests and responses.
//!
//! Large bodies leave a part of the budget to small ones, so that a few callers can't use it
//! up for all.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;
use parsleylatch_types::ByteCount;

/// What bytes are taken for. Those who hold much already leave room for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Claim {
    /// A body or an event of ordinary size.
    Small,
    /// Part of a large body, or of a large event.
    Large,
    /// What is read ahead of a caller, and could also wait at the endpoint.
    Optional,
}

/// Size from which a body is large.
const LARGE_BODY_BYTES: usize = 64 << 10;

impl Claim {
    /// Claim of a body of this size.
    pub(crate) fn of_body(bytes: usize) -> Self {
        match bytes > LARGE_BODY_BYTES {
            true => Self::Large,
            false => Self::Small,
        }
    }

    /// Share of the budget up to which bytes are granted, in percent.
    fn budget_percent(self) -> usize {
        match self {
            Self::Small => 100,
            Self::Large => 75,
            Self::Optional => 50,
        }
    }
}

/// Share of the budget for what is taken as [`Claim::Optional`], in percent.
const OPTIONAL_PERCENT: usize = 15;

/// Bytes held by all threads, and their limit.
#[derive(Debug)]
pub(crate) struct MemoryBudget {
    limit: AtomicUsize,
    held: AtomicUsize,
    /// Part of `held` that was taken as [`Claim::Optional`].
    optional: AtomicUsize,
}

impl MemoryBudget {
    pub(crate) fn new(limit: ByteCount) -> Self {
        let budget = Self {
            limit: AtomicUsize::new(0),
            held: AtomicUsize::new(0),
            optional: AtomicUsize::new(0),
        };
        budget.set_limit(limit);
        budget
    }

    /// Replaces the limit. What is held beyond a lower limit stays until it is released.
    pub(crate) fn set_limit(&self, limit: ByteCount) {
        let limit = usize::try_from(limit.get()).unwrap_or(usize::MAX);
        self.limit.store(limit, Ordering::Relaxed);
    }

    /// Bytes held.
    pub(crate) fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    fn limit(&self, claim: Claim) -> usize {
        self.share(claim.budget_percent())
    }

    fn share(&self, percent: usize) -> usize {
        self.limit.load(Ordering::Relaxed) / 100 * percent
    }

    fn try_take(&self, claim: Claim, bytes: usize) -> bool {
        let is_optional = claim == Claim::Optional;
        if is_optional && !try_add(&self.optional, bytes, self.share(OPTIONAL_PERCENT)) {
            return false;
        }
        let is_taken = try_add(&self.held, bytes, self.limit(claim));
        if is_optional && !is_taken {
            self.optional.fetch_sub(bytes, Ordering::Relaxed);
        }
        is_taken
    }
}

/// Adds to a counter unless the sum exceeds the limit.
fn try_add(counter: &AtomicUsize, bytes: usize, limit: usize) -> bool {
    let add = |held: usize| held.checked_add(bytes).filter(|sum| *sum <= limit);
    counter
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
        .is_ok()
}

/// Bytes taken from a budget, returned when dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: Arc<MemoryBudget>,
    bytes: usize,
    /// Part of `bytes` that was taken as [`Claim::Optional`].
    optional_bytes: usize,
}

impl Reservation {
    /// Takes nothing yet.
    pub(crate) fn empty(budget: &Arc<MemoryBudget>) -> Self {
        Self {
            budget: Arc::clone(budget),
            bytes: 0,
            optional_bytes: 0,
        }
    }

    /// Whether the budget has these bytes at present.
    pub(crate) fn has_room(&self, claim: Claim, bytes: usize) -> bool {
        let sum = self.budget.held().checked_add(bytes);
        sum.is_some_and(|sum| sum <= self.budget.limit(claim))
    }

    /// Takes more bytes for a purpose; returns `false`, and takes none, if the budget lacks
    /// them.
    #[must_use]
    pub(crate) fn try_grow_as(&mut self, claim: Claim, bytes: usize) -> bool {
        let is_taken = self.budget.try_take(claim, bytes);
        if is_taken {
            self.bytes += bytes;
            if claim == Claim::Optional {
                self.optional_bytes += bytes;
            }
        }
        is_taken
    }

    /// Takes or returns bytes until it holds `bytes`; returns `false`, and changes nothing,
    /// if the budget lacks them.
    #[must_use]
    pub(crate) fn try_resize_as(&mut self, claim: Claim, bytes: usize) -> bool {
        match bytes.checked_sub(self.bytes) {
            Some(missing) => self.try_grow_as(claim, missing),
            None => {
                self.shrink(self.bytes - bytes);
                true
            }
        }
    }

    /// Attaches the reservation to `bytes`: it is returned when their last copy is dropped.
    pub(crate) fn attach(self, bytes: Bytes) -> Bytes {
        hold_with(bytes, self)
    }

    /// Returns some of the bytes to the budget.
    pub(crate) fn shrink(&mut self, bytes: usize) {
        let returned = bytes.min(self.bytes);
        self.bytes -= returned;
        self.budget.held.fetch_sub(returned, Ordering::Relaxed);
        let optional = self.optional_bytes.saturating_sub(self.bytes);
        self.optional_bytes -= optional;
        self.budget.optional.fetch_sub(optional, Ordering::Relaxed);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink(self.bytes);
    }
}

/// Returns `bytes`; `held` is dropped with their last copy.
pub(crate) fn hold_with<Held>(bytes: Bytes, held: Held) -> Bytes
where
    Held: Send + 'static,
{
    Bytes::from_owner(HeldBytes { bytes, _held: held })
}

struct HeldBytes<Held> {
    bytes: Bytes,
    _held: Held,
}

impl<Held> AsRef<[u8]> for HeldBytes<Held> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
