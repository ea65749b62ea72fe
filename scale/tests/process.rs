//! Figures of another process.

use procfs::process::Process;
use scale::process_usage::{cpu_time, resident_bytes};
use std::process::{Child, Command};
use std::time::Duration;

/// What both sources may lag behind, some of their units: the kernel adds up a running thread's time now and then.
const TOLERANCE: Duration = Duration::from_millis(40);
/// Processor time from which on the comparison means something.
const ENOUGH: Duration = Duration::from_millis(200);

/// A process that never rests. It is killed when this is dropped.
struct BusyProcess(Child);

impl BusyProcess {
    fn start() -> BusyProcess {
        BusyProcess(Command::new("/bin/sh").args(["-c", "while :; do :; done"]).spawn().unwrap())
    }

    /// Processor time as `stat` has it.
    fn ticks_time(&self) -> Duration {
        let stat = Process::new(self.0.id() as i32).unwrap().stat().unwrap();
        let ticks = (stat.utime + stat.stime) as f64;
        Duration::from_secs_f64(ticks / procfs::ticks_per_second() as f64)
    }
}

impl Drop for BusyProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn processor_time_is_that_of_stat() {
    let process = BusyProcess::start();
    while process.ticks_time() < ENOUGH {
        std::thread::sleep(Duration::from_millis(10));
    }
    let before = process.ticks_time();
    let time = cpu_time(process.0.id()).unwrap();
    let after = process.ticks_time();
    assert!(before <= time + TOLERANCE && time <= after + TOLERANCE, "{before:?} {time:?} {after:?}");
}

#[test]
fn resident_memory_is_some_pages_at_least() {
    let process = BusyProcess::start();
    while process.ticks_time() < ENOUGH {
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(resident_bytes(process.0.id()).unwrap() >= 4096);
}
