//! `scale all`: the full set of every experiment, one after the other.

use crate::cli::{Arguments, Command};
use clap::{Args, Parser};
use std::ffi::OsString;
use std::path::PathBuf;

/// The experiments, in the order in which they run.
const EXPERIMENTS: [&str; 3] = ["policy", "discovery", "fleet"];

/// Arguments of `scale all`.
#[derive(Debug, Args)]
pub struct FullSetArguments {
    /// Take the scenarios from this folder, each named like its experiment (policy.toml), in place of the built-in ones.
    #[arg(long, value_name = "FOLDER")]
    scenarios: Option<PathBuf>,
    /// Write the results to this folder too, each file named like its experiment (policy.jsonl).
    #[arg(long, value_name = "FOLDER")]
    json: Option<PathBuf>,
}

impl FullSetArguments {
    /// The commands of all experiments.
    pub fn commands(&self) -> impl Iterator<Item = Command> + '_ {
        EXPERIMENTS.iter().map(|experiment| self.command(experiment))
    }

    fn command(&self, experiment: &str) -> Command {
        let mut words: Vec<OsString> = vec!["scale".into(), experiment.into()];
        if let Some(folder) = &self.scenarios {
            words.push("--scenario".into());
            words.push(folder.join(experiment).with_extension("toml").into());
        }
        if let Some(folder) = &self.json {
            words.push("--json".into());
            words.push(folder.join(experiment).with_extension("jsonl").into());
        }
        Arguments::parse_from(words).into_command()
    }
}
