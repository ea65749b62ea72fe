//! Arguments of `scale policy`.

use crate::arguments::CommonArguments;
use crate::policy::plan::Series;
use crate::policy::settings::{ActiveCount, HeldCount, ListedCount, RunCount};
use clap::Args;

/// Arguments of `scale policy`.
#[derive(Debug, Args)]
pub struct PolicyArguments {
    #[command(flatten)]
    pub(super) common: CommonArguments,
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
    /// Runs of each point, in place of the scenario's.
    #[arg(long)]
    pub(super) runs: Option<RunCount>,
}
