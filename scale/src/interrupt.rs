//! Interrupts by the user: the experiment finishes up in place of ending at once.

use crate::error::ScaleError;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};

/// The interrupt of this process: it has one handler, however many experiments it runs.
static INSTALLED: OnceLock<Interrupt> = OnceLock::new();

/// Whether the user has interrupted the experiment, by Ctrl-C, SIGTERM or SIGHUP.
#[derive(Clone, Debug, Default)]
pub struct Interrupt {
    received: Arc<AtomicBool>,
}

impl Interrupt {
    /// Notes interrupts of this process from now on.
    pub fn install() -> Result<Interrupt, ScaleError> {
        if let Some(installed) = INSTALLED.get() {
            return Ok(installed.clone());
        }
        let interrupt = Interrupt::default();
        let received = Arc::clone(&interrupt.received);
        ctrlc::set_handler(move || received.store(true, Ordering::Relaxed))?;
        Ok(INSTALLED.get_or_init(|| interrupt).clone())
    }

    /// Whether one has come.
    pub fn is_received(&self) -> bool {
        self.received.load(Ordering::Relaxed)
    }
}
