//! End-to-end tests of the forwarder process beside peers that take all that they can get: its memory stays within the
//! limit of its settings, and other clients are served. They run one at a time, since a crowd
//! takes much of the machine.

mod beside;
mod client_flood;
mod client_memory;
mod crowd;
#[path = "../harness/mod.rs"]
mod harness;
mod shutdown;
mod soak;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Lets one test run at a time.
fn lock() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::new(());
    // A test that failed leaves nothing behind.
    LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}
