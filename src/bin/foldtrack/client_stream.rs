//! The stream between a client's socket and the HTTP library. It passes on one request at a time, however many a read
//! brings, and delays each until it is admitted, so that it is known at any time what a connection still owes its client.

use crate::admission::AdmissionWaiter;
use crate::client_server::{HEAD_TIMEOUT, MAX_READ_DELAY};
use crate::client_stats::ClientStats;
use crate::events::ResponseGuard;
use crate::request_framing::RequestFraming;
use crate::streams::has_poll_events;
use bytes::Bytes;
use rustix::event::PollFlags;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Bytes read at a time, and so the most that is read ahead.
const MAX_READ_BYTES: usize = 16 * 1024;

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

/// What is known of the requests on a connection.
#[derive(Default)]
pub(crate) struct RequestProgress {
    /// Requests of which something has been read, and whose responses are not written yet.
    pub unanswered: u64,
    /// The request that is passed on is not read whole yet. It may be answered already, such as one that is too large.
    pub partially_read: bool,
    /// The head of the current request has arrived.
    pub head_received: bool,
    /// When the previous response was written, if there was one.
    pub idle_since: Option<Instant>,
    /// Since when the HTTP library has the response: the next flush completes it.
    pub response_ready_at: Option<Instant>,
    /// Reports whether something of that response was written, if it accepts a message.
    pub response_guard: Option<ResponseGuard>,
    /// Data has arrived and waits to be passed on.
    pub read_pending: bool,
    /// Total time that the request may have waited to be read.
    pub queue_time: Duration,
    /// The wait was too long for a response in time.
    pub too_late: bool,
    /// Besides, the client has disconnected meanwhile.
    pub client_gone: bool,
    /// The connection is to be closed: nothing is read beyond the request that is partially read.
    pub closing: bool,
    /// A request has been rejected, whose client may still be sending the rest of it.
    pub rejected: bool,
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
    /// Whether no request has arrived that is not answered, as far as is known.
    pub fn is_idle(&self) -> bool {
        self.unanswered == 0 && !self.partially_read && !self.read_pending
    }

    /// Whether something of a further request has been read besides the current one.
    pub fn has_read_ahead(&self) -> bool {
        self.unanswered > 1
    }

    pub fn check_idle(&self) -> IdleCheck {
        let now = Instant::now();
        match self.idle_since {
            None if !self.head_received => IdleCheck::NoRequest,
            Some(at) if now < at + HEAD_TIMEOUT => IdleCheck::RecheckAt(at + HEAD_TIMEOUT),
            Some(_) if self.is_idle() => IdleCheck::CloseIdle,
            _ => IdleCheck::RecheckAt(now + HEAD_TIMEOUT),
        }
    }

    /// Notes that this much of the current response has been written. From then on its client may know what it says.
    fn response_begun(&mut self, written_bytes: usize) {
        if let Some(response_guard) = &mut self.response_guard {
            response_guard.written |= written_bytes > 0;
        }
    }

    /// Ends the current request, whose response has been written whole.
    fn response_written(&mut self) {
        *self = RequestProgress {
            unanswered: self.unanswered.saturating_sub(1),
            partially_read: self.partially_read,
            idle_since: Some(Instant::now()),
            closing: self.closing,
            rejected: self.rejected,
            ..RequestProgress::default()
        };
    }
}

/// State of a connection, shared by its stream, its service and its main loop.
#[derive(Clone, Default)]
pub(crate) struct ConnectionState(Arc<Mutex<RequestProgress>>);

impl ConnectionState {
    pub fn progress(&self) -> MutexGuard<'_, RequestProgress> {
        // Each change is an assignment, so a panic elsewhere leaves it consistent.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Bytes that one read has brought beyond the end of a request.
struct ReadAhead {
    bytes: Bytes,
    /// Since when they may have waited.
    waiting_since: Instant,
}

/// The client's stream as the HTTP library sees it.
pub(crate) struct RequestStream<S> {
    pub stream: S,
    state: ConnectionState,
    waiter: AdmissionWaiter,
    stats: ClientStats,
    /// Time that the connection may have waited in the accept queue; counts for its first request.
    queue_time: Duration,
    /// Follows the bytes that are passed on.
    framing: RequestFraming,
    read_ahead: Option<ReadAhead>,
}

impl<S: ClientStream> RequestStream<S> {
    pub fn new(
        stream: S, state: ConnectionState, waiter: AdmissionWaiter, stats: ClientStats, queue_time: Duration,
    ) -> RequestStream<S> {
        RequestStream {
            stream,
            state,
            waiter,
            stats,
            queue_time,
            framing: RequestFraming::default(),
            read_ahead: None,
        }
    }

    /// Waits until a request may be passed on, if the next bytes are the first of one.
    fn poll_admitted(&mut self, cx: &mut Context) -> Poll<io::Result<()>> {
        if self.framing.has_begun() {
            return Poll::Ready(Ok(()));
        }
        if self.read_ahead.is_none() {
            ready!(self.stream.poll_readable(cx))?;
        }
        self.state.progress().read_pending = true;
        let waited = ready!(self.waiter.poll_admitted(cx));
        let queue_time = match &self.read_ahead {
            Some(read_ahead) => read_ahead.waiting_since.elapsed(),
            None => waited + std::mem::take(&mut self.queue_time),
        };
        let mut progress = self.state.progress();
        progress.read_pending = false;
        progress.too_late = waited >= MAX_READ_DELAY;
        progress.queue_time = queue_time;
        if progress.too_late && self.stream.has_hung_up() {
            progress.client_gone = true;
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        Poll::Ready(Ok(()))
    }

    /// Passes on what has been read ahead, up to the end of the request.
    fn pass_read_ahead(&mut self, read_ahead: ReadAhead, buf: &mut ReadBuf) {
        let ReadAhead { mut bytes, waiting_since } = read_ahead;
        let available = bytes.len().min(buf.remaining());
        let passed = self.framing.find_end(&bytes[..available]).unwrap_or(available);
        buf.put_slice(&bytes.split_to(passed));
        self.read_ahead = (!bytes.is_empty()).then_some(ReadAhead { bytes, waiting_since });
    }

    /// Reads from the client, and keeps back what is beyond the end of the request.
    fn poll_read_client(&mut self, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let max_bytes = match self.state.progress().closing {
            true => self.framing.known_remaining(),
            false => MAX_READ_BYTES,
        };
        let mut piece = [0; MAX_READ_BYTES];
        let mut piece = ReadBuf::new(&mut piece[..max_bytes.min(MAX_READ_BYTES).min(buf.remaining())]);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut piece))?;
        let had_begun = self.framing.has_begun();
        let end = self.framing.find_end(piece.filled());
        let begins = !had_begun && (end.is_some() || self.framing.has_begun());
        let (passed, further) = piece.filled().split_at(end.unwrap_or(piece.filled().len()));
        buf.put_slice(passed);
        let further_requests = count_begun(further);
        if !further.is_empty() {
            // They may have been sent, and may have waited, together with the current request.
            let now = Instant::now();
            let waiting_since = now.checked_sub(self.state.progress().queue_time).unwrap_or(now);
            self.read_ahead = Some(ReadAhead { bytes: Bytes::copy_from_slice(further), waiting_since });
            self.stats.record_pipelined(further_requests);
        }
        self.state.progress().unanswered += u64::from(begins) + further_requests;
        Poll::Ready(Ok(()))
    }
}

/// Number of requests that begin in these bytes, which follow the end of a request.
fn count_begun(mut bytes: &[u8]) -> u64 {
    let (mut framing, mut begun) = (RequestFraming::default(), 0);
    while let Some(end) = framing.find_end(bytes) {
        bytes = &bytes[end..];
        begun += 1;
    }
    begun + u64::from(framing.has_begun())
}

impl<S: ClientStream> AsyncRead for RequestStream<S> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(this.poll_admitted(cx))?;
        match this.read_ahead.take() {
            Some(read_ahead) => this.pass_read_ahead(read_ahead, buf),
            None => ready!(this.poll_read_client(cx, buf))?,
        }
        this.state.progress().partially_read = this.framing.has_begun();
        Poll::Ready(Ok(()))
    }
}

impl<S: ClientStream> AsyncWrite for RequestStream<S> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = ready!(Pin::new(&mut this.stream).poll_write(cx, buf))?;
        this.state.progress().response_begun(written);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, cx: &mut Context, bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = ready!(Pin::new(&mut this.stream).poll_write_vectored(cx, bufs))?;
        this.state.progress().response_begun(written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The HTTP library flushes the stream once it has written all that it holds.
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(Pin::new(&mut this.stream).poll_flush(cx))?;
        let mut progress = this.state.progress();
        if progress.response_ready_at.is_some() {
            progress.response_written();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
