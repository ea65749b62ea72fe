//! Provenance of results: the commit of the build and the command line.

use serde::Serialize;

/// The commit that the tool was built from, or "unknown". The suffix "-dirty" says that tracked files differed from
/// it.
pub const COMMIT: &str = env!("SCALE_COMMIT");

/// Provenance of a record.
#[derive(Clone, Debug, Serialize)]
pub struct Provenance {
    /// Seed of all pseudo-random choices.
    pub seed: u64,
    /// See [`COMMIT`].
    pub commit: &'static str,
    /// The command and its arguments.
    pub command_line: Vec<String>,
}

impl Provenance {
    /// Provenance of the results of this process.
    pub fn of_this_process(seed: u64) -> Provenance {
        Provenance { seed, commit: COMMIT, command_line: std::env::args().collect() }
    }
}
