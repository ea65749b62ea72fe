//! Memory of the process and of the machine, as reported by the kernel.

use procfs::process::Process;
use procfs::{Current, Meminfo, ProcError, ProcResult};

/// The line of the process's memory map that is read.
const ANONYMOUS_MEMORY_KEY: &str = "Anonymous";

/// Bytes of anonymous memory of the process, its heap before all, that are resident now.
///
/// The sum over the memory map is exact. The counter of `statm` may be off by some dozens of pages for each processor.
pub fn anonymous_bytes() -> ProcResult<u64> {
    let rollup = Process::myself()?.smaps_rollup()?;
    let bytes = rollup.memory_map_rollup.iter().find_map(|map| map.extension.map.get(ANONYMOUS_MEMORY_KEY));
    bytes.copied().ok_or_else(|| ProcError::Other(format!("smaps_rollup has no line {ANONYMOUS_MEMORY_KEY}")))
}

/// Bytes of memory that the machine has.
pub fn machine_bytes() -> ProcResult<u64> {
    Ok(Meminfo::current()?.mem_total)
}
