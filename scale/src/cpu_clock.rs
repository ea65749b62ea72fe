//! CPU time of the current thread. Other processes disturb it less than wall-clock time.

use rustix::time::{clock_gettime, ClockId};
use std::time::Duration;

/// Number of readings from which the cost of a reading is estimated.
const CALIBRATION_READINGS: usize = 1001;

/// Measures CPU time of the current thread, corrected for the cost of reading the clock.
#[derive(Clone, Copy, Debug)]
pub struct ThreadCpuClock {
    reading_cost: Duration,
}

impl ThreadCpuClock {
    /// Creates a clock that subtracts the cost of a reading, the median of many readings.
    pub fn calibrated() -> ThreadCpuClock {
        let uncorrected = ThreadCpuClock { reading_cost: Duration::ZERO };
        let mut readings: Vec<Duration> =
            (0..CALIBRATION_READINGS).map(|_| uncorrected.time(|| ())).collect();
        readings.sort_unstable();
        ThreadCpuClock { reading_cost: readings[CALIBRATION_READINGS / 2] }
    }

    /// Returns the CPU time that the work takes.
    pub fn time(&self, work: impl FnOnce()) -> Duration {
        let start = thread_cpu_time();
        work();
        let elapsed = thread_cpu_time().saturating_sub(start);
        elapsed.saturating_sub(self.reading_cost)
    }
}

/// Returns the CPU time that the current thread has used so far.
pub fn thread_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}
