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
    /// Run only these series.
    #[arg(long, value_delimiter = ',', value_enum)]
    pub(super) series: Vec<Series>,
    /// Points of the series by listed destinations; overrides the scenario's.
    #[arg(long, value_delimiter = ',', value_name = "COUNT")]
    pub(super) listed: Vec<ListedCount>,
    /// Points of the series by active destinations; overrides the scenario's.
    #[arg(long, value_delimiter = ',', value_name = "COUNT")]
    pub(super) active: Vec<ActiveCount>,
    /// Points of the series by held messages; overrides the scenario's.
    #[arg(long, value_delimiter = ',', value_name = "COUNT")]
    pub(super) backlog: Vec<HeldCount>,
    /// Runs per point; overrides the scenario's.
    #[arg(long)]
    pub(super) runs: Option<RunCount>,
}
