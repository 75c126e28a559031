//! Bound on what is read of a response before its caller takes it.
//!
//! A small window is always open. While the process has memory to spare, a response is read
//! further ahead, so that its endpoint is free early and a caller that reads slowly or late
//! gets all of it.

use std::{cell::Cell, sync::Arc};

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::memory::{Claim, MemoryBudget, Reservation, hold_with};

/// Bytes that may always wait for a caller. One larger part may wait alone.
const WINDOW_BYTES: usize = 64 << 10;
/// Further bytes that may wait while the process has memory to spare.
const READ_AHEAD_BYTES: usize = 4 << 20;
/// Memory that each part takes beside its bytes.
const PART_OVERHEAD_BYTES: usize = 256;
/// Bytes of an endpoint that wait unread while its response waits for the caller: the
/// receive buffer of the kernel, a read buffer of the HTTP library and a frame in its queue.
const UNREAD_BYTES: usize =
    2 * parsleylatch_endpoint::RECEIVE_BUFFER_BYTES + 2 * parsleylatch_endpoint::READ_BUFFER_BYTES;

/// The process has no memory left for a response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MemoryUsedUp;

/// Bytes of one exchange that wait for its caller, in all its attempts.
pub(crate) struct ByteWindow {
    window: Arc<Semaphore>,
    read_ahead: Arc<Semaphore>,
    budget: Arc<MemoryBudget>,
    /// Whether an attempt waits until the caller takes bytes.
    is_full: Cell<bool>,
}

impl ByteWindow {
    pub(crate) fn new(budget: &Arc<MemoryBudget>) -> Self {
        Self {
            window: Arc::new(Semaphore::new(WINDOW_BYTES)),
            read_ahead: Arc::new(Semaphore::new(READ_AHEAD_BYTES)),
            budget: Arc::clone(budget),
            is_full: Cell::new(false),
        }
    }

    pub(crate) fn budget(&self) -> &Arc<MemoryBudget> {
        &self.budget
    }

    /// Whether an attempt waits until the caller takes bytes.
    pub(crate) fn is_full(&self) -> bool {
        self.is_full.get()
    }

    /// Records that the attempt that may have waited is gone.
    pub(crate) fn forget_wait(&self) {
        self.is_full.set(false);
    }

    /// Waits for room, and returns bytes that take it until they are dropped. Small ones are
    /// copied, so that they keep no larger buffer alive.
    pub(crate) async fn admit(&self, bytes: Bytes) -> Result<Bytes, MemoryUsedUp> {
        let copy = match bytes.len() > WINDOW_BYTES {
            true => bytes,
            false => Bytes::copy_from_slice(&bytes),
        };
        let size = copy.len() + PART_OVERHEAD_BYTES;
        if let Some(permit) = take(&self.window, size.min(WINDOW_BYTES)) {
            let memory = self.reserve(size)?;
            return Ok(hold_with(copy, (memory, permit)));
        }
        if let Some(permit) = take(&self.read_ahead, size) {
            let mut memory = Reservation::empty(&self.budget);
            if memory.try_grow_as(Claim::Optional, size) {
                return Ok(hold_with(copy, (memory, permit)));
            }
        }
        let memory = self.reserve(size)?;
        let permit = self.wait(size.min(WINDOW_BYTES)).await?;
        Ok(hold_with(copy, (memory, permit)))
    }

    fn reserve(&self, size: usize) -> Result<Reservation, MemoryUsedUp> {
        let claim = match size <= WINDOW_BYTES {
            true => Claim::Small,
            false => Claim::Large,
        };
        let mut memory = Reservation::empty(&self.budget);
        match memory.try_grow_as(claim, size) {
            true => Ok(memory),
            false => Err(MemoryUsedUp),
        }
    }

    /// Waits until the caller has taken enough.
    async fn wait(&self, size: usize) -> Result<OwnedSemaphorePermit, MemoryUsedUp> {
        let mut unread = Reservation::empty(&self.budget);
        if !unread.try_grow_as(Claim::Large, UNREAD_BYTES) {
            return Err(MemoryUsedUp);
        }
        self.is_full.set(true);
        let permits = Arc::clone(&self.window);
        let permit = permits.acquire_many_owned(permit_count(size)).await;
        self.is_full.set(false);
        Ok(permit.expect("the semaphore is never closed"))
    }
}

fn take(permits: &Arc<Semaphore>, size: usize) -> Option<OwnedSemaphorePermit> {
    let permits = Arc::clone(permits);
    permits.try_acquire_many_owned(permit_count(size)).ok()
}

fn permit_count(size: usize) -> u32 {
    u32::try_from(size).unwrap_or(u32::MAX)
}
