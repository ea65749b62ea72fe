//! Arguments of `scale fleet`.

use crate::fleet::plan::Case;
use crate::fleet::settings::FleetSize;
use crate::range::Bounded;
use clap::Args;
use std::path::PathBuf;

/// Points that are simulated at the same time.
pub(super) type ThreadCount = Bounded<1, 4>;

/// Arguments of `scale fleet`.
#[derive(Debug, Args)]
pub struct FleetArguments {
    /// Scenario file; the built-in full set if absent.
    #[arg(long, value_name = "FILE")]
    pub(super) scenario: Option<PathBuf>,
    /// Write the results to this file too, one JSON object a line.
    #[arg(long, value_name = "FILE")]
    pub(super) json: Option<PathBuf>,
    /// Simulate only these outages.
    #[arg(long, value_delimiter = ',', value_enum)]
    pub(super) cases: Vec<Case>,
    /// Fleet sizes, in place of the scenario's.
    #[arg(long, value_delimiter = ',', value_name = "COUNT")]
    pub(super) sizes: Vec<FleetSize>,
    /// Seed of all pseudo-random choices, in place of the scenario's.
    #[arg(long)]
    pub(super) seed: Option<u64>,
    /// Points that are simulated at the same time. The figures do not depend on it.
    #[arg(long, default_value = "4")]
    pub(super) threads: ThreadCount,
}
