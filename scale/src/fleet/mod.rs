//! `scale fleet`: simulated instances, one policy each, that share destinations.
//!
//! At a fixed ratio of traffic to destinations, a destination gets the same traffic whatever the size of the fleet, and
//! one replica meets it the more seldom the larger the fleet is. The experiment measures what that does to the answers
//! that a replica learns, to the load on a destination that returns from an outage, and to deliveries.
//!
//! A sample of destinations is simulated with all replicas of the fleet, on a virtual clock: the same seed gives the
//! same figures.

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
