//! `scale fleet`: simulated forwarders, each with its own policy, that share destinations.
//!
//! At a fixed ratio of traffic to destinations, a destination gets the same traffic at any fleet size, and each
//! replica sends to it less often the larger the fleet is. The experiment measures the effect on the responses that a
//! replica learns from, on the load on a destination that returns from an outage, and on deliveries.
//!
//! A sample of destinations is simulated with all replicas of the fleet on a virtual clock. The same seed gives the
//! same results.

mod arguments;
mod cold_load;
mod experiment;
mod metrics;
mod observations;
mod plan;
mod replica;
mod results;
mod run;
mod settings;
mod simulation;

pub use arguments::FleetArguments;

use crate::error::ScaleError;

/// Runs the experiment.
pub fn run(arguments: &FleetArguments) -> Result<(), ScaleError> {
    experiment::run(arguments)
}
