//! `scale all`: runs every experiment, one after the other.

use crate::cli::{Arguments, Command};
use clap::{Args, Parser, ValueEnum};
use std::ffi::OsString;
use std::path::PathBuf;

/// The experiments, in the order in which they run.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Experiment {
    Policy,
    Discovery,
    Fleet,
    Instance,
}

impl Experiment {
    /// Name of the subcommand, which is also the base name of the experiment's files.
    fn name(self) -> &'static str {
        match self {
            Experiment::Policy => "policy",
            Experiment::Discovery => "discovery",
            Experiment::Fleet => "fleet",
            Experiment::Instance => "instance",
        }
    }
}

/// Arguments of `scale all`.
#[derive(Debug, Args)]
pub struct AllExperimentsArguments {
    /// Read the scenarios from this directory, each named after its experiment (policy.toml), instead of the built-in
    /// ones.
    #[arg(long, value_name = "FOLDER")]
    scenarios: Option<PathBuf>,
    /// Also write the results to this directory, each file named after its experiment (policy.jsonl).
    #[arg(long, value_name = "FOLDER")]
    json: Option<PathBuf>,
    /// Run only these experiments.
    #[arg(long, value_delimiter = ',', value_enum)]
    only: Vec<Experiment>,
}

impl AllExperimentsArguments {
    /// Returns the commands of the selected experiments.
    pub fn commands(&self) -> Vec<Command> {
        let experiments = if self.only.is_empty() { Experiment::value_variants() } else { &self.only };
        experiments.iter().map(|experiment| self.command(experiment.name())).collect()
    }

    fn command(&self, experiment: &str) -> Command {
        let mut arguments: Vec<OsString> = vec!["scale".into(), experiment.into()];
        if let Some(directory) = &self.scenarios {
            arguments.push("--scenario".into());
            arguments.push(directory.join(experiment).with_extension("toml").into());
        }
        if let Some(directory) = &self.json {
            arguments.push("--json".into());
            arguments.push(directory.join(experiment).with_extension("jsonl").into());
        }
        Arguments::parse_from(arguments).into_command()
    }
}
