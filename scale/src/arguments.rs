//! Arguments that all experiments have.

use clap::Args;
use std::path::PathBuf;

/// Where an experiment takes its scenario and seed from, and where its records go.
#[derive(Debug, Args)]
pub struct CommonArguments {
    /// Scenario file; the built-in full set if absent.
    #[arg(long, value_name = "FILE")]
    pub scenario: Option<PathBuf>,
    /// Write the results to this file too, one JSON object a line.
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// Seed of all pseudo-random choices, in place of the scenario's.
    #[arg(long)]
    pub seed: Option<u64>,
}
