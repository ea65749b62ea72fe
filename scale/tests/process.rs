//! Tests of the CPU time and memory read from another process.

use procfs::process::Process;
use scale::process_usage::{cpu_time, resident_bytes};
use std::process::{Child, Command};
use std::time::Duration;

/// Tolerance of several units of both sources. Both may lag: the kernel updates the CPU time of a running thread only
/// now and then.
const TOLERANCE: Duration = Duration::from_millis(40);
/// CPU time after which the comparison is meaningful.
const MIN_CPU_TIME: Duration = Duration::from_millis(200);

/// A process that uses CPU time continuously. It is killed on drop.
struct BusyProcess(Child);

impl BusyProcess {
    fn start() -> BusyProcess {
        BusyProcess(Command::new("/bin/sh").args(["-c", "while :; do :; done"]).spawn().unwrap())
    }

    /// CPU time as reported by `stat`.
    fn stat_cpu_time(&self) -> Duration {
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
fn cpu_time_matches_stat() {
    let process = BusyProcess::start();
    while process.stat_cpu_time() < MIN_CPU_TIME {
        std::thread::sleep(Duration::from_millis(10));
    }
    let before = process.stat_cpu_time();
    let measured = cpu_time(process.0.id()).unwrap();
    let after = process.stat_cpu_time();
    assert!(
        before <= measured + TOLERANCE && measured <= after + TOLERANCE,
        "{before:?} {measured:?} {after:?}"
    );
}

#[test]
fn resident_memory_is_at_least_4096_bytes() {
    let process = BusyProcess::start();
    while process.stat_cpu_time() < MIN_CPU_TIME {
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(resident_bytes(process.0.id()).unwrap() >= 4096);
}
