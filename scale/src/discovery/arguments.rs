//! Arguments of `scale discovery`.

use crate::discovery::plan::Case;
use crate::discovery::settings::InstanceCount;
use clap::Args;
use std::path::PathBuf;

/// Arguments of `scale discovery`.
#[derive(Debug, Args)]
pub struct DiscoveryArguments {
    /// Scenario file; the built-in full set if absent.
    #[arg(long, value_name = "FILE")]
    pub(super) scenario: Option<PathBuf>,
    /// Write the results to this file too, one JSON object a line.
    #[arg(long, value_name = "FILE")]
    pub(super) json: Option<PathBuf>,
    /// Play only these cases.
    #[arg(long, value_delimiter = ',', value_enum)]
    pub(super) cases: Vec<Case>,
    /// Points by instances, in place of the scenario's.
    #[arg(long, value_delimiter = ',', value_name = "COUNT")]
    pub(super) instances: Vec<InstanceCount>,
    /// Seed of all pseudo-random choices, in place of the scenario's.
    #[arg(long)]
    pub(super) seed: Option<u64>,
}
