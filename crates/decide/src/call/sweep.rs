//! Deletion of claims whose ids every node refuses as expired.
//!
//! Ids begin with their creation time, so the claims of about one minute share a
//! prefix. Each such bucket is assigned to one node by rendezvous hashing. At its
//! start a node sweeps the buckets of the last day, then each new bucket when it
//! is due. Sweeping a bucket twice is harmless.

use std::{fmt, num::ParseIntError, str::FromStr};

use parsleylatch_types::{NodeId, RequestId, UnixMillis};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::claim;

/// Low time bits that are dropped in a bucket number; a bucket spans 65.536 s.
const BUCKET_SHIFT_BITS: u32 = 16;
/// Number of buckets that a node sweeps when it starts; one day.
const LOOK_BACK_BUCKETS: u32 = 1_320;
/// Radix of the text representation.
const HEX_RADIX: u32 = 16;

/// Request ids that share their first eight hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimBucket(u32);

impl ClaimBucket {
    /// Bucket of the ids created at `time`.
    pub const fn of_time(time: UnixMillis) -> Self {
        Self((time.get() >> BUCKET_SHIFT_BITS) as u32)
    }

    /// Bucket of an id.
    pub fn of_id(id: RequestId) -> Self {
        Self::of_time(id.created_at())
    }

    /// Exclusive end time of the bucket.
    const fn end(self) -> UnixMillis {
        UnixMillis::new((self.0 as u64 + 1) << BUCKET_SHIFT_BITS)
    }

    fn owner<'a>(self, nodes: impl Iterator<Item = &'a NodeId>) -> Option<&'a NodeId> {
        nodes.max_by_key(|node| xxh3_64_with_seed(node.as_str().as_bytes(), u64::from(self.0)))
    }
}

impl fmt::Display for ClaimBucket {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:08x}", self.0)
    }
}

impl FromStr for ClaimBucket {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u32::from_str_radix(text, HEX_RADIX).map(Self)
    }
}

/// Sweep progress of one node.
#[derive(Clone, Debug)]
pub struct ClaimSweep {
    node: NodeId,
    next: Option<ClaimBucket>,
}

impl ClaimSweep {
    /// Creates the sweep of a node that has just started.
    pub fn new(node: NodeId) -> Self {
        Self { node, next: None }
    }

    /// Next bucket that is due and assigned to this node.
    pub fn next_due(&mut self, now: UnixMillis, peers: &[NodeId]) -> Option<ClaimBucket> {
        let newest = claim::deletion_cutoff(now);
        let newest = ClaimBucket::of_time(newest);
        let start = ClaimBucket(newest.0.saturating_sub(LOOK_BACK_BUCKETS));
        let mut bucket = self.next.unwrap_or(start).max(start);
        while bucket.end() <= claim::deletion_cutoff(now) {
            let nodes = peers.iter().chain(std::iter::once(&self.node));
            if bucket.owner(nodes) == Some(&self.node) {
                self.next = Some(bucket);
                return self.next;
            }
            bucket.0 += 1;
        }
        self.next = Some(bucket);
        None
    }

    /// Marks a bucket as swept.
    pub fn mark_swept(&mut self, bucket: ClaimBucket) {
        self.next = Some(ClaimBucket(bucket.0 + 1));
    }
}
