//! `scale discovery`: traffic between a fleet and discovery, and the time until list changes are in force, by the
//! number of replicas.
//!
//! Each simulated replica runs the forwarder's discovery client, [`hatchline::discovery::Client`], over an in-memory
//! transport to a simulated discovery service. All run on tokio's paused clock in one thread, so the same seed gives
//! the same results. The clock has a resolution of one millisecond.

mod arguments;
mod endpoint_list;
mod experiment;
mod fleet;
mod plan;
mod propagation;
mod results;
mod run;
mod server;
mod settings;
mod traffic_meter;

pub use arguments::DiscoveryArguments;

use crate::error::ScaleError;

/// Runs the experiment.
pub fn run(arguments: &DiscoveryArguments) -> Result<(), ScaleError> {
    experiment::run(arguments)
}
