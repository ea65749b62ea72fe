//! Memory and CPU time of another process, as reported by the kernel.

use procfs::process::Process;
use procfs::{ProcError, ProcResult};
use std::time::Duration;

const BYTES_PER_KIBIBYTE: u64 = 1_024;

/// Returns the resident memory of a process in bytes: VmRSS in its `status`. It may be off by some dozens of pages
/// per CPU.
pub fn resident_bytes(process_id: u32) -> ProcResult<u64> {
    let resident = open_process(process_id)?.status()?.vmrss;
    let kibibytes = resident.ok_or_else(|| ProcError::Other("status has no VmRSS".to_owned()))?;
    Ok(kibibytes * BYTES_PER_KIBIBYTE)
}

/// Returns the CPU time that the live threads of a process have used, in user and kernel mode together.
///
/// `stat` reports the same sum as utime and stime, in ticks of 10 ms. An idle process uses less than a tick per
/// second, so the time is read from `schedstat`, in nanoseconds. Threads that have exited are not counted.
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
