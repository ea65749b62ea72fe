//! The time that a simulated destination takes to answer a call.

use hatchline::Micros;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Part of the mean by which an answer comes earlier or later.
const MAX_RELATIVE_DEVIATION: f64 = 0.2;

/// A service time, evenly spread around its mean.
pub fn random_service_time(random: &mut ChaCha8Rng, mean: Micros) -> Micros {
    let factor = random.random_range(1.0 - MAX_RELATIVE_DEVIATION..=1.0 + MAX_RELATIVE_DEVIATION);
    (mean as f64 * factor) as Micros
}
