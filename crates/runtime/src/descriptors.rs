//! File descriptors of the process.

use parsleylatch_types::DescriptorCount;
use rustix::process::{Resource, getrlimit};

/// Returns how many file descriptors the process may open.
pub fn descriptor_limit() -> DescriptorCount {
    let limit = getrlimit(Resource::Nofile).current;
    limit.map_or(DescriptorCount::MAX, DescriptorCount::new)
}
