//! The exchange of one request and its response on a client connection. Bytes that arrive before the request begins
//! to be written belong to no response: an endpoint may send its last response twice, or noise after it. Taken for the
//! response to the request they would end its message, which the endpoint has never got.

use crate::streams::{has_poll_events, StreamObserver};
use rustix::event::PollFlags;
use std::io;
use std::os::fd::AsFd;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Bytes kept of a status line; the status is at its start.
const MAX_STATUS_LINE_BYTES: usize = 512;

#[derive(Default)]
struct Progress {
    /// A byte of the request may have been written.
    request_begun: bool,
    /// The status line of the response, as far as it has arrived.
    status_line: Vec<u8>,
}

/// The current exchange of a connection, shared by its user and the observer of its stream.
#[derive(Clone, Default)]
pub(crate) struct Exchange(Arc<Mutex<Progress>>);

impl Exchange {
    fn progress(&self) -> MutexGuard<'_, Progress> {
        // Each change is a single call: a panic elsewhere leaves it consistent.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins the exchange of the next request.
    pub fn begin(&self) {
        *self.progress() = Progress::default();
    }

    /// Whether a byte of the request may have been written.
    pub fn request_begun(&self) -> bool {
        self.progress().request_begun
    }

    /// Whether the status line of the response is complete and its status is 200. The HTTP library discards it together
    /// with a response that is invalid or truncated, though a status of 200 means that the message is delivered.
    pub fn has_ok_status_line(&self) -> bool {
        let progress = self.progress();
        let mut parts = progress.status_line.split(|b| b.is_ascii_whitespace());
        let version = parts.next().is_some_and(|part| part.starts_with(b"HTTP/"));
        version && progress.status_line.ends_with(b"\n") && parts.next() == Some(b"200")
    }
}

impl Progress {
    fn append_to_status_line(&mut self, bytes: &[u8]) {
        if self.status_line.ends_with(b"\n") {
            return;
        }
        let end = bytes.iter().position(|b| *b == b'\n').map_or(bytes.len(), |at| at + 1);
        let free = MAX_STATUS_LINE_BYTES.saturating_sub(self.status_line.len());
        self.status_line.extend_from_slice(&bytes[..end.min(free)]);
    }
}

fn unsolicited_bytes() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "bytes that belong to no response")
}

impl<S: AsFd> StreamObserver<S> for Exchange {
    fn on_read(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut progress = self.progress();
        if !progress.request_begun && !bytes.is_empty() {
            return Err(unsolicited_bytes());
        }
        progress.append_to_status_line(bytes);
        Ok(())
    }

    /// Fails if something has arrived that the runtime has not noticed yet, or if the peer has closed the connection.
    fn before_write(&mut self, stream: &S) -> io::Result<()> {
        let mut progress = self.progress();
        if !progress.request_begun && has_poll_events(stream, PollFlags::IN) {
            return Err(unsolicited_bytes());
        }
        progress.request_begun = true;
        Ok(())
    }
}
