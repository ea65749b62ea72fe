//! Errors of runs with forwarder processes.

use procfs::ProcError;
use std::io;
use std::process::ExitStatus;
use std::time::Duration;
use thiserror::Error;

/// Why a run with forwarder processes failed. Each error is displayed on one line.
#[derive(Debug, Error)]
pub enum InstanceError {
    /// An operating system call failed.
    #[error("{what}: {source}")]
    System {
        /// What was being done.
        what: &'static str,
        /// The system's error.
        source: io::Error,
    },
    /// A forwarder exited without being told to.
    #[error("a forwarder ended with {status}: {log}")]
    Ended {
        /// Its exit status.
        status: ExitStatus,
        /// The last line that it logged.
        log: String,
    },
    /// A condition was not met in time.
    #[error("not within {patience:?}: {what}")]
    TimedOut {
        /// The condition.
        what: String,
        /// How long the run waited for it.
        patience: Duration,
    },
    /// A request to a forwarder failed.
    #[error("a call to a forwarder failed: {0}")]
    Call(#[from] hyper::Error),
    /// A forwarder responded with a status that the protocol does not allow.
    #[error("a forwarder answered {0}")]
    UnexpectedStatus(hyper::StatusCode),
    /// A forwarder kept refusing requests.
    #[error("{taken_on} of {total} requests were taken on")]
    RequestsNotTaken {
        /// Requests that the forwarders accepted.
        taken_on: u64,
        /// All requests of the run.
        total: u64,
    },
    /// A forwarder did not restore all messages that it had accepted.
    #[error("a forwarder holds {found} messages after its restart in place of {wanted}")]
    NotHeld {
        /// Messages accepted before the restart.
        wanted: u64,
        /// Messages held after the restart.
        found: u64,
    },
    /// The statistics of a process cannot be read.
    #[error("a figure of a process cannot be read: {0}")]
    Figure(#[from] ProcError),
    /// A task of this process panicked.
    #[error("a task failed: {0}")]
    Task(#[from] tokio::task::JoinError),
}

impl InstanceError {
    /// For `map_err`: converts a system error that occurred during `operation`.
    pub(super) fn at(what: &'static str) -> impl Fn(io::Error) -> InstanceError {
        move |source| InstanceError::System { what, source }
    }
}
