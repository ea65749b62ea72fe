//! `scale instance`: memory, time until ready and processor time of forwarder processes, by destinations listed, messages
//! held and processes side by side.
//!
//! The forwarders are real processes on the real clock. Discovery, destinations and clients are stand-ins within this
//! process, on loopback, with ports that the system chooses.

mod arguments;
mod client;
mod configuration;
mod destination_server;
mod discovery_server;
mod error;
mod experiment;
mod forwarder;
mod http_server;
mod load;
mod plan;
mod results;
mod run;
mod settings;

pub use arguments::InstanceArguments;
pub use error::InstanceError;

use crate::error::ScaleError;

/// Runs the whole experiment.
pub fn run(arguments: &InstanceArguments) -> Result<(), ScaleError> {
    experiment::run(arguments)
}
