//! Errors of the experiments and their exit statuses.

use crate::instance::InstanceError;
use crate::scenario::ScenarioError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Exit status where the experiment itself failed.
const EXIT_FAILURE: u8 = 1;
/// Exit status for a scenario file or argument that cannot be used; the same as the argument parser's.
const EXIT_BAD_INPUT: u8 = 2;
/// Exit status after an interrupt: 128 and the number of the signal.
const EXIT_INTERRUPTED: u8 = 130;

/// Why an experiment failed. Each is displayed on one line.
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
        /// What is wrong with it.
        reason: String,
    },
    /// The records cannot be written.
    #[error("{}: cannot be written: {source}", path.display())]
    WriteRecords {
        /// The file.
        path: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// The process of one run could not be started, or broke off.
    #[error("a run failed: {0}")]
    RunFailed(String),
    /// Runs with the same seed made different decisions.
    #[error("runs with the same seed differ: {first} and {other}")]
    NotReproducible {
        /// What the first run counted.
        first: String,
        /// What another run counted.
        other: String,
    },
    /// The policy did not hold as many messages as the point asks for.
    #[error("the policy holds {held} messages instead of the {requested} requested")]
    BacklogNotHeld {
        /// Messages that the point asks for.
        requested: u64,
        /// Messages held after the backlog was submitted.
        held: u64,
    },
    /// A run with forwarder processes failed.
    #[error("a run failed: {0}")]
    Instance(#[from] InstanceError),
    /// A figure of the operating system cannot be read.
    #[error("a figure of the system cannot be read: {0}")]
    System(#[from] procfs::ProcError),
    /// The handler of interrupts cannot be set.
    #[error("interrupts cannot be handled: {0}")]
    InterruptHandler(#[from] ctrlc::Error),
    /// Standard input or output failed.
    #[error("standard input or output: {0}")]
    StandardStreams(#[from] io::Error),
    /// A plan or result of a run is not valid JSON.
    #[error("a plan or result is not valid: {0}")]
    Json(#[from] serde_json::Error),
    /// The user interrupted the experiment.
    #[error("interrupted: {done} of {planned} runs done")]
    Interrupted {
        /// Runs made.
        done: u64,
        /// Runs planned.
        planned: u64,
    },
}

impl ScaleError {
    /// The exit status of the command.
    pub fn exit_status(&self) -> u8 {
        match self {
            ScaleError::Scenario(_) | ScaleError::Argument { .. } => EXIT_BAD_INPUT,
            ScaleError::Interrupted { .. } => EXIT_INTERRUPTED,
            _ => EXIT_FAILURE,
        }
    }
}
