//! Command-line arguments that the experiments have in common.

use clap::Args;
use std::path::PathBuf;

/// Arguments that select the scenario, the seed and the results file of an experiment.
#[derive(Debug, Args)]
pub struct CommonArguments {
    /// Scenario file; defaults to the built-in scenario.
    #[arg(long, value_name = "FILE")]
    pub scenario: Option<PathBuf>,
    /// Also write the results to this file, as one JSON object per line.
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// Seed of all pseudo-random choices; overrides the scenario's seed.
    #[arg(long)]
    pub seed: Option<u64>,
}
