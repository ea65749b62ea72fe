//! Tests of what is read of the system's account of a process.

use super::*;

#[test]
fn resident_and_peak_memory_are_read_in_bytes() {
    let status = "Name:\tfoldtrack\nVmPeak:\t  9000 kB\nVmHWM:\t    2048 kB\nVmRSS:\t    1024 kB\n";
    assert_eq!(MemoryUsage::parse(status), MemoryUsage { resident: 1 << 20, peak: 2 << 20 });
    assert_eq!(MemoryUsage::parse("Name:\tfoldtrack\nVmRSS:\tmany kB\n"), MemoryUsage::default());
    let usage = MemoryUsage::read();
    assert!(0 < usage.resident && usage.resident <= usage.peak, "{usage:?}");
}
