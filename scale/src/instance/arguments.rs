//! Arguments of `scale instance`.

use crate::arguments::CommonArguments;
use crate::instance::plan::Series;
use crate::instance::settings::{HeldCount, ListedCount, ProcessCount, RunCount};
use clap::Args;
use std::path::PathBuf;

/// Arguments of `scale instance`.
#[derive(Debug, Args)]
pub struct InstanceArguments {
    /// Forwarder binary; defaults to `release/foldtrack` in the target directory of this tool.
    #[arg(long, value_name = "PATH")]
    pub(super) binary: Option<PathBuf>,
    #[command(flatten)]
    pub(super) common: CommonArguments,
    /// Series to run; defaults to all.
    #[arg(long, value_delimiter = ',', value_enum)]
    pub(super) series: Vec<Series>,
    /// Numbers of listed destinations to measure, instead of those of the scenario.
    #[arg(long, value_delimiter = ',', value_name = "COUNT")]
    pub(super) listed: Vec<ListedCount>,
    /// Numbers of held messages to measure, instead of those of the scenario.
    #[arg(long, value_delimiter = ',', value_name = "COUNT")]
    pub(super) held: Vec<HeldCount>,
    /// Numbers of concurrent processes to measure, instead of those of the scenario.
    #[arg(long, value_delimiter = ',', value_name = "COUNT")]
    pub(super) processes: Vec<ProcessCount>,
    /// Runs of each point, instead of the scenario's number.
    #[arg(long)]
    pub(super) runs: Option<RunCount>,
}
