//! Divides the memory that the configuration allows the process among all that grows with what its peers do. The rest is
//! for the program itself and the policy.

/// Share of the memory for client connections.
const CLIENT_CONNECTION_SHARE: f64 = 1.0 / 3.0;
/// Memory of a client connection: the buffers for the longest head and for its response, and the task.
const CLIENT_CONNECTION_BYTES: f64 = 28.0 * 1024.0;
/// Share of the memory for request bodies that are being received.
const BODY_SHARE: f64 = 1.0 / 16.0;
/// Share of the memory for idle connections to endpoints.
const IDLE_CONNECTION_SHARE: f64 = 1.0 / 10.0;
/// Memory of an idle connection to an endpoint: its buffers and its task.
const IDLE_CONNECTION_BYTES: f64 = 20.0 * 1024.0;
/// Largest write-ahead log, as a share of the memory. Half of it may be live: accepted messages, which are in memory as
/// messages, as frames of the log, and once more during a compaction.
const WRITE_AHEAD_LOG_SHARE: f64 = 1.0 / 8.0;
/// Longest endpoint list, as a share of the memory: while it replaces the one before, it takes many times its bytes.
const LIST_SHARE: f64 = 1.0 / 32.0;
/// Longest endpoint list where there is memory for more.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Upper bounds that follow from the memory of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MemoryPlan {
    pub client_connections: usize,
    /// Bytes of request bodies that are being received.
    pub body_bytes: usize,
    pub idle_connections: usize,
    pub write_ahead_log_bytes: u64,
    /// Longest endpoint list in bytes.
    pub list_bytes: usize,
}

impl MemoryPlan {
    pub fn new(memory_bytes: u64) -> MemoryPlan {
        let memory = memory_bytes as f64;
        MemoryPlan {
            client_connections: (memory * CLIENT_CONNECTION_SHARE / CLIENT_CONNECTION_BYTES) as usize,
            body_bytes: (memory * BODY_SHARE) as usize,
            idle_connections: (memory * IDLE_CONNECTION_SHARE / IDLE_CONNECTION_BYTES) as usize,
            write_ahead_log_bytes: (memory * WRITE_AHEAD_LOG_SHARE) as u64,
            list_bytes: ((memory * LIST_SHARE) as usize).min(MAX_LIST_BYTES),
        }
    }
}

#[cfg(test)]
#[path = "memory_plan_tests.rs"]
mod tests;
