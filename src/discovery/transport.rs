//! Requests to discovery, their replies, and the transport between the client and the network.

use bytes::Bytes;
use hyper::StatusCode;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use std::{error, fmt, io};

/// A request for the endpoint list or for its changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRequest {
    /// The full list, served at once.
    FullList,
    /// Long poll for the changes since a version. The reply comes with the first change, or without changes after
    /// `wait`.
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

    /// The request as the HTTP library of the forwarder writes it. Simulations count its bytes.
    pub fn wire_format(&self, address: SocketAddr) -> String {
        format!("GET {} HTTP/1.1\r\nhost: {address}\r\n\r\n", self.path())
    }
}

/// A reply of discovery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Complete response body.
    pub body: Bytes,
}

/// Why an exchange brought no reply.
#[derive(Debug)]
pub enum TransportError {
    /// The connection could not be established.
    Connect(io::Error),
    /// The request could not be built.
    InvalidRequest,
    /// The connection was closed, or the reply could not be read, before the reply was complete.
    Interrupted,
}

impl fmt::Display for TransportError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            TransportError::Connect(error) => write!(f, "cannot connect to discovery: {error}"),
            TransportError::InvalidRequest => f.write_str("invalid request to discovery"),
            TransportError::Interrupted => f.write_str("incomplete reply from discovery"),
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

/// Exchanges requests with discovery. If the future of an exchange is dropped before it completes, its connection
/// must not be used for the next.
pub trait Transport {
    /// Sends one request and reads the complete reply. The connection may be kept for the next exchange.
    fn exchange(
        &mut self, address: SocketAddr, request: &ListRequest,
    ) -> impl Future<Output = Result<Reply, TransportError>> + Send;

    /// Closes the connection, if one is kept.
    fn disconnect(&mut self);
}
