//! Division of the memory that a process may take, which includes bytes that the kernel
//! has received for it.
//!
//! Each caller's connection has a fixed bound, so its part limits their number. Bodies of
//! requests and responses share one part; who asks for more than is left of it is refused.
//! The remainder is for the control state and for what the allocator can't use.

use parsleylatch_types::ByteCount;

/// Part of the memory for callers' connections, in percent.
const CONNECTIONS_PERCENT: u64 = 36;
/// Part of the memory for bodies of requests and responses, in percent.
const BODIES_PERCENT: u64 = 40;
/// Bound on the buffers of one caller's connection: 16 KiB to write, and 16 KiB that were
/// received.
const CONNECTION_BYTES: u64 = 32 << 10;

/// Limits on what a process holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Maximum number of callers' connections.
    pub connections: usize,
    /// Maximum size of all bodies together.
    pub bodies: ByteCount,
}

impl MemoryPlan {
    /// Divides the memory of a process.
    pub fn new(limit: ByteCount) -> Self {
        let part = |percent: u64| limit.get() / 100 * percent;
        let connections = part(CONNECTIONS_PERCENT) / CONNECTION_BYTES;
        Self {
            connections: usize::try_from(connections).unwrap_or(usize::MAX),
            bodies: ByteCount::new(part(BODIES_PERCENT)),
        }
    }
}
