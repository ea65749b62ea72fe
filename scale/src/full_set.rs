//! `scale all`: the full set of every experiment, one after the other.

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
    /// Its subcommand, which names its files too.
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
pub struct FullSetArguments {
    /// Take the scenarios from this folder, each named like its experiment (policy.toml), in place of the built-in ones.
    #[arg(long, value_name = "FOLDER")]
    scenarios: Option<PathBuf>,
    /// Write the results to this folder too, each file named like its experiment (policy.jsonl).
    #[arg(long, value_name = "FOLDER")]
    json: Option<PathBuf>,
    /// Run only these experiments.
    #[arg(long, value_delimiter = ',', value_enum)]
    only: Vec<Experiment>,
}

impl FullSetArguments {
    /// The commands of the experiments.
    pub fn commands(&self) -> Vec<Command> {
        let experiments = if self.only.is_empty() { Experiment::value_variants() } else { &self.only };
        experiments.iter().map(|experiment| self.command(experiment.name())).collect()
    }

    fn command(&self, experiment: &str) -> Command {
        let mut arguments: Vec<OsString> = vec!["scale".into(), experiment.into()];
        if let Some(folder) = &self.scenarios {
            arguments.push("--scenario".into());
            arguments.push(folder.join(experiment).with_extension("toml").into());
        }
        if let Some(folder) = &self.json {
            arguments.push("--json".into());
            arguments.push(folder.join(experiment).with_extension("jsonl").into());
        }
        Arguments::parse_from(arguments).into_command()
    }
}
