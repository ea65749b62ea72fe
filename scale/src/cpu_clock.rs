//! Processor time of the present thread, which other processes disturb less than the time of day.

use rustix::time::{clock_gettime, ClockId};
use std::time::Duration;

/// Pairs of readings from which the cost of a reading is taken.
const CALIBRATION_READINGS: usize = 1001;

/// A clock of the thread's processor time. It takes off what reading it costs.
#[derive(Clone, Copy, Debug)]
pub struct ThreadCpuClock {
    reading_cost: Duration,
}

impl ThreadCpuClock {
    /// A clock that knows its own cost: the median of many readings.
    pub fn calibrated() -> ThreadCpuClock {
        let uncorrected = ThreadCpuClock { reading_cost: Duration::ZERO };
        let mut readings: Vec<Duration> =
            (0..CALIBRATION_READINGS).map(|_| uncorrected.time(|| ())).collect();
        readings.sort_unstable();
        ThreadCpuClock { reading_cost: readings[CALIBRATION_READINGS / 2] }
    }

    /// Processor time that the work takes.
    pub fn time(&self, work: impl FnOnce()) -> Duration {
        let start = thread_cpu_time();
        work();
        let elapsed = thread_cpu_time().saturating_sub(start);
        elapsed.saturating_sub(self.reading_cost)
    }
}

/// Processor time that the thread has taken so far.
pub fn thread_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}
