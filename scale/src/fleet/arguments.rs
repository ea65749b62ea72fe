//! Arguments of `scale fleet`.

use crate::arguments::CommonArguments;
use crate::bounded_integer::BoundedInteger;
use crate::fleet::plan::OutageCase;
use crate::fleet::settings::FleetSize;
use clap::Args;

/// Number of points that are simulated in parallel.
pub(super) type ThreadCount = BoundedInteger<1, 4>;

/// Arguments of `scale fleet`.
#[derive(Debug, Args)]
pub struct FleetArguments {
    #[command(flatten)]
    pub(super) common: CommonArguments,
    /// Simulate only these kinds of outage.
    #[arg(long, value_delimiter = ',', value_enum)]
    pub(super) cases: Vec<OutageCase>,
    /// Fleet sizes; overrides the scenario's.
    #[arg(long, value_delimiter = ',', value_name = "COUNT")]
    pub(super) sizes: Vec<FleetSize>,
    /// Number of points that are simulated in parallel. The results do not depend on it.
    #[arg(long, default_value = "4")]
    pub(super) threads: ThreadCount,
}
