//! Arguments of `scale instance`.

use crate::arguments::CommonArguments;
use crate::instance::plan::Series;
use crate::instance::settings::{HeldCount, ListedCount, ProcessCount, RunCount};
use clap::Args;
use std::path::PathBuf;

/// Arguments of `scale instance`.
#[derive(Debug, Args)]
pub struct InstanceArguments {
    /// The forwarder's binary; `release/foldtrack` in the target directory of this tool if absent.
    #[arg(long, value_name = "PATH")]
    pub(super) binary: Option<PathBuf>,
    #[command(flatten)]
    pub(super) common: CommonArguments,
    /// Run only these series.
    #[arg(long, value_delimiter = ',', value_enum)]
    pub(super) series: Vec<Series>,
    /// Points of the series by destinations listed, in place of the scenario's.
    #[arg(long, value_delimiter = ',', value_name = "COUNT")]
    pub(super) listed: Vec<ListedCount>,
    /// Points of the series by messages held, in place of the scenario's.
    #[arg(long, value_delimiter = ',', value_name = "COUNT")]
    pub(super) held: Vec<HeldCount>,
    /// Points of the series by processes side by side, in place of the scenario's.
    #[arg(long, value_delimiter = ',', value_name = "COUNT")]
    pub(super) processes: Vec<ProcessCount>,
    /// Runs of each point, in place of the scenario's.
    #[arg(long)]
    pub(super) runs: Option<RunCount>,
}
