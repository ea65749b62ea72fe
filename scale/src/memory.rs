//! Memory of this process and of the machine, as reported by the kernel.

use procfs::process::Process;
use procfs::{Current, Meminfo, ProcError, ProcResult};

/// Key of anonymous memory in `smaps_rollup`.
const ANONYMOUS_MEMORY_KEY: &str = "Anonymous";

/// Returns the resident anonymous memory of this process in bytes, most of which is its heap.
///
/// The sum over the memory map is exact. The counter in `statm` may be off by some dozens of pages per CPU.
pub fn anonymous_bytes() -> ProcResult<u64> {
    let rollup = Process::myself()?.smaps_rollup()?;
    let bytes = rollup.memory_map_rollup.iter().find_map(|map| map.extension.map.get(ANONYMOUS_MEMORY_KEY));
    bytes.copied().ok_or_else(|| ProcError::Other(format!("smaps_rollup has no line {ANONYMOUS_MEMORY_KEY}")))
}

/// Returns the memory of the machine in bytes.
pub fn machine_bytes() -> ProcResult<u64> {
    Ok(Meminfo::current()?.mem_total)
}
