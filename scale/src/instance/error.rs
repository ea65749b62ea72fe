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
    #[error("{operation}: {source}")]
    System {
        /// What was being done.
        operation: &'static str,
        /// The system's error.
        source: io::Error,
    },
    /// A forwarder exited unexpectedly.
    #[error("a forwarder ended with {status}: {last_log_line}")]
    ForwarderExited {
        /// Its exit status.
        status: ExitStatus,
        /// The last line that it logged.
        last_log_line: String,
    },
    /// A condition was not met in time.
    #[error("timed out after {timeout:?} waiting until {condition}")]
    TimedOut {
        /// The condition.
        condition: String,
        /// How long the run waited for it.
        timeout: Duration,
    },
    /// A request to a forwarder failed.
    #[error("a request to a forwarder failed: {0}")]
    Request(#[from] hyper::Error),
    /// A forwarder responded with a status that the protocol does not allow.
    #[error("a forwarder responded with an unexpected status: {0}")]
    UnexpectedStatus(hyper::StatusCode),
    /// A forwarder kept refusing requests.
    #[error("only {accepted} of {total} requests were accepted")]
    RequestsRefused {
        /// Requests that the forwarders accepted.
        accepted: u64,
        /// All requests of the run.
        total: u64,
    },
    /// A forwarder did not restore all messages that it had accepted.
    #[error("a forwarder holds {actual} messages after its restart instead of {expected}")]
    HeldCountMismatch {
        /// Messages accepted before the restart.
        expected: u64,
        /// Messages held after the restart.
        actual: u64,
    },
    /// The statistics of a process cannot be read.
    #[error("the statistics of a process cannot be read: {0}")]
    ProcessStatistics(#[from] ProcError),
    /// A task of this process panicked.
    #[error("a task failed: {0}")]
    Task(#[from] tokio::task::JoinError),
}

impl InstanceError {
    /// For `map_err`: converts a system error that occurred during `operation`.
    pub(super) fn during(operation: &'static str) -> impl Fn(io::Error) -> InstanceError {
        move |source| InstanceError::System { operation, source }
    }
}
