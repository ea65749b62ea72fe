//! One exchange with discovery: the request, its reply, and the way between the client and the network.

use bytes::Bytes;
use hyper::StatusCode;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use std::{error, fmt, io};

/// A request for the list or for its changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRequest {
    /// The whole list, answered at once.
    FullList,
    /// The changes since a version. The reply comes with the first change, or without one after `wait`.
    Watch {
        /// The version that the client has.
        since: u64,
        /// How long discovery may hold the reply back.
        wait: Duration,
    },
}

impl ListRequest {
    /// Path and query of the request.
    pub fn path(&self) -> String {
        match self {
            ListRequest::FullList => "/v1/servers".to_string(),
            ListRequest::Watch { since, wait } => {
                format!("/v1/servers?since={since}&timeout_ms={}", wait.as_millis())
            }
        }
    }

    /// How long discovery may hold the reply back.
    pub fn wait(&self) -> Duration {
        match self {
            ListRequest::FullList => Duration::ZERO,
            ListRequest::Watch { wait, .. } => *wait,
        }
    }

    /// The bytes of the request as the forwarder's HTTP library writes them. A simulation counts them.
    pub fn wire_format(&self, address: SocketAddr) -> String {
        format!("GET {} HTTP/1.1\r\nhost: {address}\r\n\r\n", self.path())
    }
}

/// What discovery answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The status of the response.
    pub status: StatusCode,
    /// Its whole body.
    pub body: Bytes,
}

/// Why there is no reply.
#[derive(Debug)]
pub enum TransportError {
    /// No connection came up.
    Connect(io::Error),
    /// The request could not be built.
    InvalidRequest,
    /// The connection ended, or the reply could not be read, before its end.
    Interrupted,
}

impl fmt::Display for TransportError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            TransportError::Connect(error) => write!(f, "no connection to discovery: {error}"),
            TransportError::InvalidRequest => f.write_str("the request to discovery cannot be built"),
            TransportError::Interrupted => f.write_str("discovery's reply did not come to its end"),
        }
    }
}

impl error::Error for TransportError {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            TransportError::Connect(error) => Some(error),
            TransportError::InvalidRequest | TransportError::Interrupted => None,
        }
    }
}

/// The way to discovery. An exchange that is dropped before its end must not leave its connection to the next.
pub trait Transport {
    /// Sends one request and reads its whole reply. The connection may be kept for the next exchange.
    fn exchange(
        &mut self, address: SocketAddr, request: &ListRequest,
    ) -> impl Future<Output = Result<Reply, TransportError>> + Send;

    /// Closes the connection that is kept, if there is one.
    fn disconnect(&mut self);
}
