//! The clock of the policy and of the write-ahead log.

use hatchline::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Monotonic microseconds for the policy, and their relation to Unix time for the write-ahead log.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
    start_micros: Micros,
    start_unix: Micros,
}

impl Clock {
    /// The clock starts at this value, so that times before the start can be represented.
    const START_MICROS: Micros = 1 << 40;

    pub fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock {
            start: Instant::now(),
            start_micros: Self::START_MICROS,
            start_unix: unix.as_micros() as Micros,
        }
    }

    /// Continues the clock of another process, which read `now` at Unix time `unix`.
    pub fn resume(now: Micros, unix: Micros) -> Clock {
        let fresh = Clock::new();
        Clock { start_micros: now + fresh.start_unix.saturating_sub(unix), ..fresh }
    }

    pub fn now(&self) -> Micros {
        self.start_micros + self.start.elapsed().as_micros() as Micros
    }

    /// Converts a time of this clock to an instant.
    pub fn instant_at(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.start_micros))
    }

    /// Converts an instant to this clock.
    pub fn micros_at(&self, at: Instant) -> Micros {
        self.start_micros + at.saturating_duration_since(self.start).as_micros() as Micros
    }

    /// Converts a time of this clock to Unix time.
    pub fn unix_micros_at(&self, at: Micros) -> Micros {
        (self.start_unix + at).saturating_sub(self.start_micros)
    }

    /// Converts a Unix time to this clock.
    pub fn micros_at_unix(&self, unix: Micros) -> Micros {
        (self.start_micros + unix).saturating_sub(self.start_unix)
    }
}
