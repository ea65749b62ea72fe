//! `scale policy`: CPU time and memory of the delivery policy by destinations and held messages.
//!
//! The policy is driven through its public interface on a virtual clock, so that the same seed gives the same
//! decisions; only their CPU time differs between runs. Each run has a process of its own.

mod arguments;
mod experiment;
mod plan;
mod results;
mod run;
mod run_process;
mod settings;
mod simulation;

pub use arguments::PolicyArguments;
pub use run_process::RUN_SUBCOMMAND;

use crate::error::ScaleError;

/// Runs the whole experiment.
pub fn run(arguments: &PolicyArguments) -> Result<(), ScaleError> {
    experiment::run(arguments)
}

/// Makes the single run whose plan is on standard input, and writes its measurement to standard output.
pub fn run_once() -> Result<(), ScaleError> {
    run_process::run_from_stdin()
}
