//! HTTP client connections to endpoints and to discovery, one request at a time. They report when a message has been
//! written completely, and keep the status line of its response.

use crate::message::Message;
use crate::streams::{ObservedStream, StreamObserver};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::{fmt, io};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Longest head of a response.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Bytes kept of a status line; the status is at its start.
const MAX_STATUS_LINE_BYTES: usize = 512;

/// Value of `PendingClass` while no message is being written.
const NOT_WRITING: usize = usize::MAX;

/// Class of the message that is being written, so that the end of the write can be reported. The HTTP library flushes
/// the stream once it has written its buffer: the first flush after it has taken the body means that the message has
/// been written completely.
type PendingClass = Arc<AtomicUsize>;

/// A request body in one piece. When the HTTP library takes it, it sets the pending class, so that the next flush is
/// reported.
pub(crate) struct RequestBody {
    bytes: Option<Bytes>,
    /// Class of the message, and where to set it once the body is taken; `None` if the write is not reported.
    report: Option<(usize, PendingClass)>,
}

impl RequestBody {
    /// A body whose write is not reported.
    pub fn unreported(bytes: Bytes) -> RequestBody {
        RequestBody { bytes: Some(bytes).filter(|b| !b.is_empty()), report: None }
    }

    fn reported(bytes: Bytes, class: usize, pending_class: PendingClass) -> RequestBody {
        let mut body = RequestBody { report: Some((class, pending_class)), ..RequestBody::unreported(bytes) };
        if body.bytes.is_none() {
            // The HTTP library does not poll an empty body: the request is complete with its head.
            body.mark_taken();
        }
        body
    }

    fn mark_taken(&mut self) {
        if let Some((class, pending_class)) = self.report.take() {
            pending_class.store(class, Ordering::Relaxed);
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>, _: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.mark_taken();
        Poll::Ready(self.bytes.take().map(|bytes| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.as_ref().map_or(0, Bytes::len) as u64)
    }
}

/// The status line of a response, as far as it has arrived. The HTTP library discards it together with a response
/// that is invalid or truncated, though a status of 200 means that the message is delivered.
#[derive(Clone, Default)]
pub(crate) struct StatusLine(Arc<Mutex<Vec<u8>>>);

impl StatusLine {
    fn bytes(&self) -> MutexGuard<'_, Vec<u8>> {
        // Each change is a single call on the line: a panic elsewhere leaves it consistent.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn append(&self, bytes: &[u8]) {
        let mut line = self.bytes();
        if line.ends_with(b"\n") {
            return;
        }
        let end = bytes.iter().position(|b| *b == b'\n').map_or(bytes.len(), |at| at + 1);
        let free = MAX_STATUS_LINE_BYTES.saturating_sub(line.len());
        line.extend_from_slice(&bytes[..end.min(free)]);
    }

    /// Whether the line is complete and its status is 200.
    pub fn is_ok(&self) -> bool {
        let line = self.bytes();
        let mut parts = line.split(|b| b.is_ascii_whitespace());
        let version = parts.next().is_some_and(|part| part.starts_with(b"HTTP/"));
        version && line.ends_with(b"\n") && parts.next() == Some(b"200")
    }
}

/// Reports each message that has been written completely, and keeps the status line of its response.
struct CallObserver<F> {
    pending_class: PendingClass,
    status_line: StatusLine,
    on_written: F,
}

impl<S, F: Fn(usize)> StreamObserver<S> for CallObserver<F> {
    fn on_read(&mut self, bytes: &[u8]) {
        self.status_line.append(bytes);
    }

    fn on_flush(&mut self, _: &S, _: &mut Context) {
        let class = self.pending_class.swap(NOT_WRITING, Ordering::Relaxed);
        if class != NOT_WRITING {
            (self.on_written)(class);
        }
    }
}

/// An HTTP connection. Dropping it closes it, even during a call.
pub(crate) struct HttpConnection {
    sender: SendRequest<RequestBody>,
    driver: JoinHandle<()>,
    pending_class: PendingClass,
    pub status_line: StatusLine,
}

impl fmt::Debug for HttpConnection {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_struct("HttpConnection").field("sender", &self.sender).finish_non_exhaustive()
    }
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Why a request got no response.
pub(crate) enum SendError {
    /// The connection returned the request before any byte of it was written.
    NotWritten,
    /// The connection was closed or the response is invalid; the request may have run.
    ConnectionLost,
}

impl HttpConnection {
    /// Connects to `address`. `on_written` is called when a body from [`HttpConnection::request_body`] has been written
    /// completely, with the class of its message.
    pub async fn open(
        address: SocketAddr, on_written: impl Fn(usize) + Send + Unpin + 'static,
    ) -> io::Result<HttpConnection> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let pending_class = PendingClass::new(AtomicUsize::new(NOT_WRITING));
        let status_line = StatusLine::default();
        let observer = CallObserver {
            pending_class: pending_class.clone(),
            status_line: status_line.clone(),
            on_written,
        };
        let observed = ObservedStream { stream, observer };
        let handshake =
            http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(observed)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        // The call in flight gets the error; between calls an error only closes the connection.
        let driver = tokio::spawn(async move { drop(connection.await) });
        Ok(HttpConnection { sender, driver, pending_class, status_line })
    }

    /// The body for a message on this connection. The end of its write is reported.
    pub fn request_body(&self, message: &Message) -> RequestBody {
        RequestBody::reported(message.body.clone(), message.class, self.pending_class.clone())
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send(&mut self, request: Request<RequestBody>) -> Result<Response<Incoming>, SendError> {
        self.status_line.bytes().clear();
        self.sender.try_send_request(request).await.map_err(|mut error| match error.take_message() {
            Some(_) => SendError::NotWritten,
            None => SendError::ConnectionLost,
        })
    }

    /// Reads a response body to its end and waits until the connection is ready for the next request.
    pub async fn read_body(&mut self, body: Incoming, limit: usize) -> Option<Bytes> {
        let body = Limited::new(body, limit).collect().await.ok()?.to_bytes();
        self.sender.ready().await.ok()?;
        Some(body)
    }

    pub fn is_usable(&self) -> bool {
        self.sender.is_ready() && !self.is_closed()
    }

    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}
