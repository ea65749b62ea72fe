//! Arguments of `scale discovery`.

use crate::arguments::CommonArguments;
use crate::discovery::plan::Case;
use crate::discovery::settings::InstanceCount;
use clap::Args;

/// Arguments of `scale discovery`.
#[derive(Debug, Args)]
pub struct DiscoveryArguments {
    #[command(flatten)]
    pub(super) common: CommonArguments,
    /// Play only these cases.
    #[arg(long, value_delimiter = ',', value_enum)]
    pub(super) cases: Vec<Case>,
    /// Points by instances, in place of the scenario's.
    #[arg(long, value_delimiter = ',', value_name = "COUNT")]
    pub(super) instances: Vec<InstanceCount>,
}
