//! Arguments of `scale discovery`.

use crate::arguments::CommonArguments;
use crate::discovery::plan::Case;
use crate::discovery::settings::ReplicaCount;
use clap::Args;

/// Arguments of `scale discovery`.
#[derive(Debug, Args)]
pub struct DiscoveryArguments {
    #[command(flatten)]
    pub(super) common: CommonArguments,
    /// Cases to run; defaults to all.
    #[arg(long, value_delimiter = ',', value_enum)]
    pub(super) cases: Vec<Case>,
    /// Numbers of forwarder instances to simulate, instead of those of the scenario.
    #[arg(long = "instances", value_delimiter = ',', value_name = "COUNT")]
    pub(super) replicas: Vec<ReplicaCount>,
}
