//! Tests of the division of memory.

use super::*;

/// Least memory and most descriptors that a deployment gives a forwarder, and the most memory.
const LEAST_MEMORY: u64 = 32_000_000;
const MOST_MEMORY: u64 = 192_000_000;
const MOST_DESCRIPTORS: usize = 1024;
/// Most endpoints of a deployment, and bytes of one in the list.
const MOST_ENDPOINTS: usize = 3200;
const LIST_ENTRY_BYTES: usize = 200;
/// Longest body of a request.
const BODY_BYTES: usize = 64 * 1024;

#[test]
fn clients_may_hold_a_third_of_the_descriptors_with_the_least_memory() {
    let plan = MemoryPlan::new(LEAST_MEMORY);
    assert!(plan.client_connections >= MOST_DESCRIPTORS / 3, "{plan:?}");
    assert!(plan.body_bytes >= 16 * BODY_BYTES, "{plan:?}");
    assert!(plan.list_bytes >= MOST_ENDPOINTS * LIST_ENTRY_BYTES, "{plan:?}");
    let plan = MemoryPlan::new(MOST_MEMORY);
    assert!(plan.client_connections >= MOST_DESCRIPTORS, "{plan:?}");
}

#[test]
fn shares_leave_memory_for_the_program() {
    /// The live half of the log in three copies.
    const LOG_COPIES: f64 = 1.5;
    let shares =
        CLIENT_CONNECTION_SHARE + BODY_SHARE + IDLE_CONNECTION_SHARE + LOG_COPIES * WRITE_AHEAD_LOG_SHARE;
    assert!(shares < 0.75, "{shares}");
}
