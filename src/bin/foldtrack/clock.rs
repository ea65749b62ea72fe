//! The time that the module and the journal see.

use hatchline::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Monotonic microseconds for the module, and their relation to Unix time for the journal.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
    base: Micros,
    unix_start: Micros,
}

impl Clock {
    /// The count starts here, so that times before the start can be named too.
    const BASE: Micros = 1 << 40;

    pub fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), base: Self::BASE, unix_start: unix.as_micros() as Micros }
    }

    /// Goes on with another process's clock, of which this was the time at this time of day.
    pub fn resume(now: Micros, unix: Micros) -> Clock {
        let fresh = Clock::new();
        Clock { base: now + fresh.unix_start.saturating_sub(unix), ..fresh }
    }

    pub fn now(&self) -> Micros {
        self.base + self.start.elapsed().as_micros() as Micros
    }

    pub fn instant_at(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.base))
    }

    pub fn micros_at(&self, at: Instant) -> Micros {
        self.base + at.saturating_duration_since(self.start).as_micros() as Micros
    }

    pub fn unix_micros_at(&self, at: Micros) -> Micros {
        (self.unix_start + at).saturating_sub(self.base)
    }

    pub fn micros_at_unix(&self, unix: Micros) -> Micros {
        (self.base + unix).saturating_sub(self.unix_start)
    }
}
