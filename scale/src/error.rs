//! Errors of the experiments and their exit statuses.

use crate::instance::InstanceError;
use crate::scenario::ScenarioError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Exit status when an experiment fails.
const EXIT_FAILURE: u8 = 1;
/// Exit status for a scenario file or argument that cannot be used; the argument parser has the same.
const EXIT_BAD_INPUT: u8 = 2;
/// Exit status after an interrupt: 128 plus the number of SIGINT.
const EXIT_INTERRUPTED: u8 = 130;

/// Why an experiment failed. Every message fits on one line.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// The scenario file cannot be used.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    /// An argument does not fit the scenario.
    #[error("{argument}: {reason}")]
    Argument {
        /// The argument, as written on the command line.
        argument: &'static str,
        /// Why the argument is rejected.
        reason: String,
    },
    /// The records file cannot be written.
    #[error("{}: cannot be written: {source}", path.display())]
    WriteRecords {
        /// Path of the records file.
        path: PathBuf,
        /// Underlying I/O error.
        source: io::Error,
    },
    /// A run could not be started or did not complete.
    #[error("a run failed: {0}")]
    RunFailed(String),
    /// Two runs with the same seed made different decisions.
    #[error("runs with the same seed differ: {first} and {other}")]
    NotReproducible {
        /// Counts of the first run.
        first: String,
        /// Counts of the other run.
        other: String,
    },
    /// The policy held fewer messages than the point requires.
    #[error("the policy holds {held} messages instead of the {requested} requested")]
    BacklogNotHeld {
        /// Number of messages that the point requires.
        requested: u64,
        /// Number of messages held after the backlog was submitted.
        held: u64,
    },
    /// A run with forwarder processes failed.
    #[error("a run failed: {0}")]
    Instance(#[from] InstanceError),
    /// A statistic of the operating system cannot be read.
    #[error("cannot read a system statistic: {0}")]
    System(#[from] procfs::ProcError),
    /// The interrupt handler cannot be installed.
    #[error("cannot install the interrupt handler: {0}")]
    InterruptHandler(#[from] ctrlc::Error),
    /// Standard input or output failed.
    #[error("I/O error on standard input or output: {0}")]
    StandardStreams(#[from] io::Error),
    /// The plan or result of a run cannot be encoded or decoded.
    #[error("invalid plan or result of a run: {0}")]
    Json(#[from] serde_json::Error),
    /// The user interrupted the experiment.
    #[error("interrupted: {done} of {planned} runs done")]
    Interrupted {
        /// Number of runs completed.
        done: u64,
        /// Number of runs planned.
        planned: u64,
    },
}

impl ScaleError {
    /// Returns the exit status of the command.
    pub fn exit_status(&self) -> u8 {
        match self {
            ScaleError::Scenario(_) | ScaleError::Argument { .. } => EXIT_BAD_INPUT,
            ScaleError::Interrupted { .. } => EXIT_INTERRUPTED,
            _ => EXIT_FAILURE,
        }
    }
}
