//! Interrupts by the user: the experiment finishes up in place of ending at once.

use crate::error::ScaleError;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Whether the user has interrupted the experiment, by Ctrl-C, SIGTERM or SIGHUP.
#[derive(Clone, Debug, Default)]
pub struct Interrupt {
    received: Arc<AtomicBool>,
}

impl Interrupt {
    /// Notes interrupts of this process from now on.
    pub fn install() -> Result<Interrupt, ScaleError> {
        let interrupt = Interrupt::default();
        let received = Arc::clone(&interrupt.received);
        ctrlc::set_handler(move || received.store(true, Ordering::Relaxed))?;
        Ok(interrupt)
    }

    /// Whether one has come.
    pub fn is_received(&self) -> bool {
        self.received.load(Ordering::Relaxed)
    }
}
