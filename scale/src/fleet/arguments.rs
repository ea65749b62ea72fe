//! Arguments of `scale fleet`.

use crate::arguments::CommonArguments;
use crate::bounded_integer::BoundedInteger;
use crate::fleet::plan::OutageCase;
use crate::fleet::settings::FleetSize;
use clap::Args;

/// Points that are simulated at the same time.
pub(super) type ThreadCount = BoundedInteger<1, 4>;

/// Arguments of `scale fleet`.
#[derive(Debug, Args)]
pub struct FleetArguments {
    #[command(flatten)]
    pub(super) common: CommonArguments,
    /// Simulate only these outages.
    #[arg(long, value_delimiter = ',', value_enum)]
    pub(super) cases: Vec<OutageCase>,
    /// Fleet sizes, in place of the scenario's.
    #[arg(long, value_delimiter = ',', value_name = "COUNT")]
    pub(super) sizes: Vec<FleetSize>,
    /// Points that are simulated at the same time. The figures do not depend on it.
    #[arg(long, default_value = "4")]
    pub(super) threads: ThreadCount,
}
