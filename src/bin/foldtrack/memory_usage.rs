//! Memory of this process, as the system counts it.

use std::fs;

const BYTES_PER_KIB: u64 = 1024;

/// Resident memory of a process in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct MemoryUsage {
    pub resident: u64,
    /// The most that has been resident at any time.
    pub peak: u64,
}

impl MemoryUsage {
    /// Reads the usage of this process; zero where the system does not tell it.
    pub fn read() -> MemoryUsage {
        fs::read_to_string("/proc/self/status").map(|status| MemoryUsage::parse(&status)).unwrap_or_default()
    }

    fn parse(status: &str) -> MemoryUsage {
        let bytes = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name))?;
            let kib: u64 = line.split_whitespace().next()?.parse().ok()?;
            Some(kib * BYTES_PER_KIB)
        };
        MemoryUsage {
            resident: bytes("VmRSS:").unwrap_or_default(),
            peak: bytes("VmHWM:").unwrap_or_default(),
        }
    }
}

#[cfg(test)]
#[path = "memory_usage_tests.rs"]
mod tests;
