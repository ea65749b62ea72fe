//! `scale instance`: memory, startup time and CPU time of forwarder processes, by listed destinations, held messages
//! and concurrent processes.
//!
//! The forwarders are real processes on the real clock. This process simulates discovery, destinations and clients on
//! loopback, with ports that the system chooses.

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

/// Runs the experiment.
pub fn run(arguments: &InstanceArguments) -> Result<(), ScaleError> {
    experiment::run(arguments)
}
