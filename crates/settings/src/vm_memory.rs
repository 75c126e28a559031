//! Memory of the VM, as the kernel reports it.

use std::fs;

use parsleylatch_types::ByteCount;

/// File in which the kernel reports the memory of the VM.
const MEMORY_FILE: &str = "/proc/meminfo";
const BYTES_PER_KB: u64 = 1 << 10;

/// Memory of this VM; `None` if the kernel does not report it.
pub(crate) fn vm_memory() -> Option<ByteCount> {
    parse_total_memory(&fs::read_to_string(MEMORY_FILE).ok()?)
}

/// Reads the total memory from the text of `/proc/meminfo`; `None` if it has none.
pub fn parse_total_memory(text: &str) -> Option<ByteCount> {
    let total = text
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kilobytes: u64 = total.trim().strip_suffix("kB")?.trim_end().parse().ok()?;
    Some(ByteCount::new(kilobytes.saturating_mul(BYTES_PER_KB)))
}
