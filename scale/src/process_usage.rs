//! Memory and processor time of another process, as reported by the kernel.

use procfs::process::Process;
use procfs::{ProcError, ProcResult};
use std::time::Duration;

const BYTES_PER_KIBIBYTE: u64 = 1_024;

/// Bytes of memory of a process that are resident now: VmRSS of its `status`. It may be off by some dozens of pages for
/// each processor.
pub fn resident_bytes(process_id: u32) -> ProcResult<u64> {
    let resident = open_process(process_id)?.status()?.vmrss;
    let kibibytes = resident.ok_or_else(|| ProcError::Other("status has no VmRSS".to_owned()))?;
    Ok(kibibytes * BYTES_PER_KIBIBYTE)
}

/// Processor time that the threads of a process have taken so far, in user and kernel mode together.
///
/// It is the sum that `stat` gives as utime and stime in ticks of 10 ms. It is read from `schedstat`, in nanoseconds: an
/// idle process takes less than a tick a second. Threads that have ended are left out.
pub fn cpu_time(process_id: u32) -> ProcResult<Duration> {
    let mut total = Duration::ZERO;
    for task in open_process(process_id)?.tasks()? {
        let statistics = task?.schedstat()?;
        total += Duration::from_nanos(statistics.sum_exec_runtime);
    }
    Ok(total)
}

fn open_process(process_id: u32) -> ProcResult<Process> {
    let number = i32::try_from(process_id).map_err(|error| ProcError::Other(error.to_string()))?;
    Process::new(number)
}
