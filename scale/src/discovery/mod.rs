//! `scale discovery`: calls and bytes between a fleet and discovery, and the time until changes of the list are in
//! force, by the number of instances.
//!
//! Each simulated instance runs the forwarder's discovery client, [`hatchline::discovery::Client`], over an in-memory
//! transport against a stand-in for discovery. All run on tokio's paused clock in one thread, so that the same seed
//! gives the same figures. Times have that clock's step of a millisecond.

mod arguments;
mod endpoint_list;
mod experiment;
mod fleet;
mod meter;
mod plan;
mod propagation;
mod results;
mod run;
mod server;
mod settings;

pub use arguments::DiscoveryArguments;

use crate::error::ScaleError;

/// Runs the experiment.
pub fn run(arguments: &DiscoveryArguments) -> Result<(), ScaleError> {
    experiment::run(arguments)
}
