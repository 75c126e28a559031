//! Division of the memory that a process may take, which includes bytes that the kernel
//! has received for it.
//!
//! Each caller's connection has a fixed bound, so its part limits their number. Bodies of
//! requests and responses share one part; who asks for more than is left of it is refused.
//! The remainder is for the control state and for what the allocator can't use.

use parsleylatch_types::ByteCount;

/// Part of the memory for callers' connections, in percent.
const CONNECTIONS_PERCENT: u64 = 40;
/// Part of the memory for bodies of requests and responses, in percent.
const BODIES_PERCENT: u64 = 40;
/// Bytes of a caller's connection that the kernel has received and nobody has read yet.
const UNREAD_BYTES: u64 = 16 << 10;
/// Least buffer of the HTTP library.
const MIN_HEAD_BYTES: u64 = 8 << 10;
/// Largest head of a request that is accepted, whatever the configuration allows.
const MAX_HEAD_BYTES: u64 = 64 << 10;

/// Limits on what a process holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Maximum size of all callers' connections together.
    pub connections: ByteCount,
    /// Maximum size of all bodies together.
    pub bodies: ByteCount,
}

impl MemoryPlan {
    /// Divides the memory of a process.
    pub fn new(limit: ByteCount) -> Self {
        let part = |percent: u64| ByteCount::new(limit.get() / 100 * percent);
        Self {
            connections: part(CONNECTIONS_PERCENT),
            bodies: part(BODIES_PERCENT),
        }
    }

    /// Limit on heads in force for a configured one. It is also the size of the buffers to
    /// read from and to write to a caller's connection.
    pub fn head_limit(configured: ByteCount) -> ByteCount {
        ByteCount::new(configured.get().clamp(MIN_HEAD_BYTES, MAX_HEAD_BYTES))
    }

    /// Bound on the buffers of one caller's connection, of the process and of what the kernel
    /// has received.
    pub fn connection_size(configured_head: ByteCount) -> ByteCount {
        ByteCount::new(2 * Self::head_limit(configured_head).get() + UNREAD_BYTES)
    }

    /// Maximum number of callers' connections.
    pub fn connection_limit(&self, configured_head: ByteCount) -> usize {
        let count = self.connections.get() / Self::connection_size(configured_head).get();
        usize::try_from(count).unwrap_or(usize::MAX)
    }
}
