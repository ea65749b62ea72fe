//! Service times of simulated destinations.

use hatchline::Micros;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Maximum deviation of a service time from the mean, relative to the mean.
const MAX_RELATIVE_DEVIATION: f64 = 0.2;

/// Draws a service time from a uniform distribution around the mean.
pub fn random_service_time(random: &mut ChaCha8Rng, mean: Micros) -> Micros {
    let factor = random.random_range(1.0 - MAX_RELATIVE_DEVIATION..=1.0 + MAX_RELATIVE_DEVIATION);
    (mean as f64 * factor) as Micros
}
