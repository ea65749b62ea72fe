//! Random numbers that are the same for the same seed, also after a state transfer.

use serde::{Deserialize, Serialize};

/// A xorshift generator.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Random {
    state: u64,
}

impl Random {
    /// Seeds that lie near each other give numbers that do not, from the first on.
    pub fn new(seed: u64) -> Random {
        Random { state: fastrand::Rng::with_seed(seed).u64(1..) }
    }

    /// The next number, from 0 to below 1.
    pub fn next(&mut self) -> f64 {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        (self.state >> 11) as f64 / (1u64 << 53) as f64
    }
}
