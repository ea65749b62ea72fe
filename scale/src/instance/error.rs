//! Errors of runs with forwarder processes.

use procfs::ProcError;
use std::io;
use std::process::ExitStatus;
use std::time::Duration;
use thiserror::Error;

/// Why a run with forwarder processes failed. Each is displayed on one line.
#[derive(Debug, Error)]
pub enum InstanceError {
    /// The forwarder cannot be started, or a stand-in cannot listen.
    #[error("{what}: {source}")]
    System {
        /// What was tried.
        what: &'static str,
        /// The error of the system.
        source: io::Error,
    },
    /// A forwarder ended by itself.
    #[error("a forwarder ended with {status}: {log}")]
    Ended {
        /// How it ended.
        status: ExitStatus,
        /// The last line of its log.
        log: String,
    },
    /// Something did not happen in time.
    #[error("not within {patience:?}: {what}")]
    TimedOut {
        /// What was waited for.
        what: String,
        /// How long.
        patience: Duration,
    },
    /// A call to a forwarder failed.
    #[error("a call to a forwarder failed: {0}")]
    Call(#[from] hyper::Error),
    /// A request was answered otherwise than by the protocol.
    #[error("a forwarder answered {0}")]
    UnexpectedStatus(hyper::StatusCode),
    /// The forwarders turned requests away again and again.
    #[error("{taken_on} of {total} requests were taken on")]
    RequestsNotTaken {
        /// Requests that were taken on.
        taken_on: u64,
        /// All requests of the batch.
        total: u64,
    },
    /// A forwarder does not hold what it took on.
    #[error("a forwarder holds {found} messages after its restart in place of {wanted}")]
    NotHeld {
        /// Messages that it took on.
        wanted: u64,
        /// Messages that it has.
        found: u64,
    },
    /// A figure of a process cannot be read.
    #[error("a figure of a process cannot be read: {0}")]
    Figure(#[from] ProcError),
    /// A task of this process panicked.
    #[error("a task failed: {0}")]
    Task(#[from] tokio::task::JoinError),
}

impl InstanceError {
    /// For `map_err`: an error of the system at something that was tried.
    pub(super) fn at(what: &'static str) -> impl Fn(io::Error) -> InstanceError {
        move |source| InstanceError::System { what, source }
    }
}
