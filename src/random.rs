//! A random number generator whose state is part of the policy's state: the same seed gives the same numbers,
//! also after a state transfer.

use serde::{Deserialize, Serialize};

/// A xorshift generator.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Random {
    state: u64,
}

impl Random {
    /// Mixes the seed, so that similar seeds give unrelated numbers from the first one on.
    pub fn new(seed: u64) -> Random {
        Random { state: fastrand::Rng::with_seed(seed).u64(1..) }
    }

    /// The next number, at least 0 and below 1.
    pub fn next(&mut self) -> f64 {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        (self.state >> 11) as f64 / (1u64 << 53) as f64
    }
}
