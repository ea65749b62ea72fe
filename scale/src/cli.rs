//! The command line: its arguments, its logs and its exit status.

use crate::error::ScaleError;
use crate::instance;
use crate::policy;
use clap::{Parser, Subcommand};
use std::process::ExitCode;
use tracing_subscriber::filter::LevelFilter;

/// Experiments that measure what the delivery policy costs as a deployment grows.
#[derive(Debug, Parser)]
#[command(name = "scale", version)]
pub struct Arguments {
    /// Log events up to this level, as JSON lines on standard error.
    #[arg(long, global = true, value_name = "LEVEL", default_value = "warn")]
    log_level: LevelFilter,
    #[command(subcommand)]
    command: Command,
}

/// The experiments.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Processor time and memory of the delivery policy by destinations and held messages.
    Policy(policy::PolicyArguments),
    /// Memory, time until ready and processor time of forwarder processes, by destinations, held messages and processes.
    Instance(instance::InstanceArguments),
    /// One run of `policy`, in a process of its own. Reads its plan from standard input.
    #[command(hide = true, name = policy::RUN_SUBCOMMAND)]
    PolicyRun,
}

/// Parses the command line, runs the experiment and reports how it ended.
pub fn main() -> ExitCode {
    let arguments = Arguments::parse();
    start_logging(arguments.log_level);
    match run(arguments.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("scale: {error}");
            ExitCode::from(error.exit_status())
        }
    }
}

fn run(command: Command) -> Result<(), ScaleError> {
    match command {
        Command::Policy(arguments) => policy::run(&arguments),
        Command::Instance(arguments) => instance::run(&arguments),
        Command::PolicyRun => policy::run_once(),
    }
}

fn start_logging(level: LevelFilter) {
    tracing_subscriber::fmt().json().with_max_level(level).with_writer(std::io::stderr).init();
}
