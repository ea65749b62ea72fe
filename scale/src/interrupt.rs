//! Interrupts by the user: an interrupted experiment still reports what it has measured.

use crate::error::ScaleError;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};

/// The interrupt flag of this process. The signal handler is installed once, however many experiments run.
static INSTALLED: OnceLock<Interrupt> = OnceLock::new();

/// Tells whether the user has interrupted the experiment by SIGINT (Ctrl-C), SIGTERM or SIGHUP.
#[derive(Clone, Debug, Default)]
pub struct Interrupt {
    received: Arc<AtomicBool>,
}

impl Interrupt {
    /// Installs the signal handler, or returns the flag of the handler already installed.
    pub fn install() -> Result<Interrupt, ScaleError> {
        if let Some(installed) = INSTALLED.get() {
            return Ok(installed.clone());
        }
        let interrupt = Interrupt::default();
        let received = Arc::clone(&interrupt.received);
        ctrlc::set_handler(move || received.store(true, Ordering::Relaxed))?;
        Ok(INSTALLED.get_or_init(|| interrupt).clone())
    }

    /// Returns whether an interrupt has been received.
    pub fn is_received(&self) -> bool {
        self.received.load(Ordering::Relaxed)
    }
}
