//! Command line of the tool: arguments, logging and exit status.

use crate::all_experiments;
use crate::discovery;
use crate::error::ScaleError;
use crate::fleet;
use crate::instance;
use crate::policy;
use clap::{Parser, Subcommand};
use std::process::ExitCode;
use tracing_subscriber::filter::LevelFilter;

/// Experiments that measure what the delivery policy and the discovery client cost as a deployment grows.
#[derive(Debug, Parser)]
#[command(name = "scale", version)]
pub struct Arguments {
    /// Log events up to this level, as JSON lines on standard error.
    #[arg(long, global = true, value_name = "LEVEL", default_value = "warn")]
    log_level: LevelFilter,
    #[command(subcommand)]
    command: Command,
}

impl Arguments {
    /// Returns the subcommand, without the global options.
    pub fn into_command(self) -> Command {
        self.command
    }
}

/// Subcommands of the tool: one per experiment, and one that runs them all.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// CPU time and memory of the delivery policy by destinations and held messages.
    Policy(policy::PolicyArguments),
    /// Load of discovery, and time until changes of the endpoint list are in force, by instances.
    Discovery(discovery::DiscoveryArguments),
    /// Responses learned, load after an outage and deliveries, by the size of the fleet that shares the destinations.
    Fleet(fleet::FleetArguments),
    /// Run all experiments, one after the other.
    All(all_experiments::AllExperimentsArguments),
    /// Memory, time until ready and CPU time of forwarder processes, by destinations, held messages and processes.
    Instance(instance::InstanceArguments),
    /// A single run of `policy` in a process of its own. Reads its plan from standard input.
    #[command(hide = true, name = policy::RUN_SUBCOMMAND)]
    PolicyRun,
}

/// Parses the command line, runs the experiment and maps its result to an exit status.
pub fn main() -> ExitCode {
    let arguments = Arguments::parse();
    init_logging(arguments.log_level);
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
        Command::Discovery(arguments) => discovery::run(&arguments),
        Command::Fleet(arguments) => fleet::run(&arguments),
        Command::All(arguments) => arguments.commands().into_iter().try_for_each(run),
        Command::Instance(arguments) => instance::run(&arguments),
        Command::PolicyRun => policy::run_once(),
    }
}

fn init_logging(level: LevelFilter) {
    tracing_subscriber::fmt().json().with_max_level(level).with_writer(std::io::stderr).init();
}
