//! Arguments of `scale policy`.

use crate::policy::plan::Series;
use crate::policy::settings::{ActiveCount, HeldCount, ListedCount, RunCount};
use clap::Args;
use std::path::PathBuf;

/// Arguments of `scale policy`.
#[derive(Debug, Args)]
pub struct PolicyArguments {
    /// Scenario file; the built-in full set if absent.
    #[arg(long, value_name = "FILE")]
    pub(super) scenario: Option<PathBuf>,
    /// Write the results to this file too, one JSON object a line.
    #[arg(long, value_name = "FILE")]
    pub(super) json: Option<PathBuf>,
    /// Play only these series.
    #[arg(long, value_delimiter = ',', value_enum)]
    pub(super) series: Vec<Series>,
    /// Points of the series by destinations listed, in place of the scenario's.
    #[arg(long, value_delimiter = ',', value_name = "COUNT")]
    pub(super) listed: Vec<ListedCount>,
    /// Points of the series by destinations active, in place of the scenario's.
    #[arg(long, value_delimiter = ',', value_name = "COUNT")]
    pub(super) active: Vec<ActiveCount>,
    /// Points of the series by messages held, in place of the scenario's.
    #[arg(long, value_delimiter = ',', value_name = "COUNT")]
    pub(super) backlog: Vec<HeldCount>,
    /// Seed of all pseudo-random choices, in place of the scenario's.
    #[arg(long)]
    pub(super) seed: Option<u64>,
    /// Runs of each point, in place of the scenario's.
    #[arg(long)]
    pub(super) runs: Option<RunCount>,
}
