//! The stream between a client's socket and the HTTP library: follows the requests on a connection, and delays the read
//! of each until it is admitted.

use crate::admission::AdmissionWaiter;
use crate::client_server::{HEAD_TIMEOUT, MAX_READ_DELAY};
use crate::client_stats::ClientStats;
use crate::events::ResponseGuard;
use crate::request_framing::RequestFraming;
use crate::streams::{has_poll_events, StreamObserver};
use rustix::event::PollFlags;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// What a client's socket offers beyond reading and writing.
pub(crate) trait ClientStream: AsyncRead + AsyncWrite + Unpin {
    /// Ready when there is something to read, or the client has closed its sending side.
    fn poll_readable(&self, cx: &mut Context) -> Poll<io::Result<()>>;
    /// Whether the client has closed its sending side or disconnected, even if data that it sent is still
    /// unread.
    fn has_hung_up(&self) -> bool;
}

impl ClientStream for TcpStream {
    fn poll_readable(&self, cx: &mut Context) -> Poll<io::Result<()>> {
        self.poll_read_ready(cx)
    }

    fn has_hung_up(&self) -> bool {
        has_poll_events(self, PollFlags::RDHUP)
    }
}

/// Progress of the current request of a connection.
#[derive(Default)]
pub(crate) struct RequestProgress {
    /// Bytes of the request have arrived, and its response is not written yet.
    pub request_started: bool,
    /// The head of the request has arrived.
    pub head_received: bool,
    /// When the previous response was written, if there was one.
    pub idle_since: Option<Instant>,
    /// Since when the HTTP library has the response: the next flush completes it.
    pub response_ready_at: Option<Instant>,
    /// Reports whether that response was written, if it accepts a message.
    pub response_guard: Option<ResponseGuard>,
    /// Data has arrived and waits to be read.
    pub read_pending: bool,
    /// Total time that the request may have waited to be read.
    pub queue_time: Duration,
    /// The wait was too long for a response in time.
    pub too_late: bool,
    /// Besides, the client has disconnected meanwhile.
    pub client_gone: bool,
    /// Requests of which something has been read, and whose responses are not written yet.
    pub unanswered: u64,
}

/// State of a connection, shared by its observer, its service and its main loop.
#[derive(Clone, Default)]
pub(crate) struct ConnectionState(Arc<Mutex<RequestProgress>>);

/// Tracks the requests of a connection and delays the read of each until it is admitted.
pub(crate) struct ClientObserver {
    pub state: ConnectionState,
    pub waiter: AdmissionWaiter,
    pub framing: RequestFraming,
    pub stats: ClientStats,
    /// Time that the connection may have waited in the accept queue; counts for its first request.
    pub queue_time: Duration,
}

impl ConnectionState {
    pub fn progress(&self) -> MutexGuard<'_, RequestProgress> {
        // Each change is an assignment, so a panic elsewhere leaves it consistent.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<S: ClientStream> StreamObserver<S> for ClientObserver {
    fn poll_read_allowed(&mut self, client: &S, cx: &mut Context) -> Poll<io::Result<()>> {
        if self.state.progress().request_started {
            return Poll::Ready(Ok(()));
        }
        ready!(client.poll_readable(cx))?;
        self.state.progress().read_pending = true;
        let waited = ready!(self.waiter.poll_admitted(cx));
        let mut progress = self.state.progress();
        progress.read_pending = false;
        progress.too_late = waited >= MAX_READ_DELAY;
        progress.queue_time = waited + std::mem::take(&mut self.queue_time);
        if progress.too_late && client.has_hung_up() {
            progress.client_gone = true;
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        Poll::Ready(Ok(()))
    }

    fn on_read(&mut self, bytes: &[u8]) -> io::Result<()> {
        let begun = count_begun(&mut self.framing, bytes);
        let mut progress = self.state.progress();
        progress.request_started |= !bytes.is_empty();
        let pipelined = begun.saturating_sub(u64::from(progress.unanswered == 0));
        progress.unanswered += begun;
        if pipelined > 0 {
            self.stats.record_pipelined(pipelined);
        }
        Ok(())
    }

    fn on_flush(&mut self, _: &S, _: &mut Context) {
        let mut progress = self.state.progress();
        if progress.response_ready_at.is_none() {
            return;
        }
        // A response that was written whole is binding even if the client disconnects now: it may have
        // arrived.
        if let Some(mut response_guard) = progress.response_guard.take() {
            response_guard.written = true;
        }
        let unanswered = progress.unanswered.saturating_sub(1);
        *progress =
            RequestProgress { idle_since: Some(Instant::now()), unanswered, ..RequestProgress::default() };
    }
}

/// Number of requests whose first byte is among these bytes of a connection.
fn count_begun(framing: &mut RequestFraming, mut bytes: &[u8]) -> u64 {
    let mut begun = 0;
    while !bytes.is_empty() {
        let had_begun = framing.has_begun();
        let end = framing.find_end(bytes);
        begun += u64::from(!had_begun && (end.is_some() || framing.has_begun()));
        bytes = &bytes[end.unwrap_or(bytes.len())..];
    }
    begun
}

/// What to do with a connection whose idle timer has fired.
pub(crate) enum IdleCheck {
    /// Check again at this time.
    RecheckAt(Instant),
    /// Close it, as it is idle.
    CloseIdle,
    /// Drop it, as it has sent no request.
    NoRequest,
}

impl RequestProgress {
    pub fn check_idle(&self) -> IdleCheck {
        let now = Instant::now();
        match self.idle_since {
            None if !self.head_received => IdleCheck::NoRequest,
            Some(at) if now < at + HEAD_TIMEOUT => IdleCheck::RecheckAt(at + HEAD_TIMEOUT),
            Some(_) if !self.request_started && !self.read_pending => IdleCheck::CloseIdle,
            _ => IdleCheck::RecheckAt(now + HEAD_TIMEOUT),
        }
    }
}
