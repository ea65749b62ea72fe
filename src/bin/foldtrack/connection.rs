//! HTTP connections to endpoints and to discovery: one call at a time, with the moment at which a message has been written
//! whole and the first line of its answer.

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

/// Bytes of an answer's head that are kept before it is given up.
const HEAD_BYTES: usize = 16 * 1024;

/// Bytes of an answer's first line that are kept: its status stands at the start.
const LINE_BYTES: usize = 512;

/// No message is being written.
const NOTHING: usize = usize::MAX;

/// Tells when a message has been written whole. The HTTP library flushes the stream once it has written what it
/// holds: the first flush after it has taken the body is that moment. Holds the message's class until then.
type Written = Arc<AtomicUsize>;

/// What a request carries: one piece of bytes that marks, when it is taken, that the next flush counts.
pub(crate) struct RequestBody {
    bytes: Option<Bytes>,
    mark: Option<(usize, Written)>,
}

impl RequestBody {
    /// The body of a request whose writing counts for nothing.
    pub fn uncounted(bytes: Bytes) -> RequestBody {
        RequestBody { bytes: Some(bytes).filter(|b| !b.is_empty()), mark: None }
    }

    fn counted(bytes: Bytes, class: usize, written: Written) -> RequestBody {
        let mut payload = RequestBody { mark: Some((class, written)), ..RequestBody::uncounted(bytes) };
        if payload.bytes.is_none() {
            // It is not asked for: the request is whole with its head.
            payload.taken();
        }
        payload
    }

    fn taken(&mut self) {
        if let Some((class, written)) = self.mark.take() {
            written.store(class, Ordering::Relaxed);
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>, _: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.taken();
        Poll::Ready(self.bytes.take().map(|bytes| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.as_ref().map_or(0, Bytes::len) as u64)
    }
}

/// The first line of an answer, as far as it has come. The HTTP library drops it with an answer that it cannot read, or
/// that ends too soon; where it says 200 the message is delivered all the same.
#[derive(Clone, Default)]
pub(crate) struct StatusLine(Arc<Mutex<Vec<u8>>>);

impl StatusLine {
    fn bytes(&self) -> MutexGuard<'_, Vec<u8>> {
        // Each change is one call on it: a panic elsewhere leaves it whole.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, bytes: &[u8]) {
        let mut line = self.bytes();
        if line.ends_with(b"\n") {
            return;
        }
        let end = bytes.iter().position(|b| *b == b'\n').map_or(bytes.len(), |at| at + 1);
        let room = LINE_BYTES.saturating_sub(line.len());
        line.extend_from_slice(&bytes[..end.min(room)]);
    }

    pub fn is_ok(&self) -> bool {
        let line = self.bytes();
        let mut words = line.split(|b| b.is_ascii_whitespace());
        let version = words.next().is_some_and(|word| word.starts_with(b"HTTP/"));
        version && line.ends_with(b"\n") && words.next() == Some(b"200")
    }
}

/// Tells of each message that has been written whole, and keeps the first line of its answer.
struct CallTap<F> {
    written: Written,
    first_line: StatusLine,
    tell: F,
}

impl<S, F: Fn(usize)> StreamObserver<S> for CallTap<F> {
    fn on_read(&mut self, bytes: &[u8]) {
        self.first_line.add(bytes);
    }

    fn on_flush(&mut self, _: &S, _: &mut Context) {
        let class = self.written.swap(NOTHING, Ordering::Relaxed);
        if class != NOTHING {
            (self.tell)(class);
        }
    }
}

/// An HTTP connection. It closes when this is dropped, also in the middle of a call.
pub(crate) struct HttpConnection {
    sender: SendRequest<RequestBody>,
    driver: JoinHandle<()>,
    written: Written,
    pub first_line: StatusLine,
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

/// Why there is no answer.
pub(crate) enum SendError {
    /// It was handed back before a byte of it was written.
    NotWritten,
    ConnectionLost,
}

impl HttpConnection {
    /// `tell` is called with the class of each message of [`HttpConnection::payload`] that has been written whole.
    pub async fn open(
        address: SocketAddr, tell: impl Fn(usize) + Send + Unpin + 'static,
    ) -> io::Result<HttpConnection> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let written = Written::new(AtomicUsize::new(NOTHING));
        let first_line = StatusLine::default();
        let tap = CallTap { written: written.clone(), first_line: first_line.clone(), tell };
        let tapped = ObservedStream { stream, observer: tap };
        let handshake = http1::Builder::new().max_buf_size(HEAD_BYTES).handshake(TokioIo::new(tapped)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        // Errors reach the call that is out; between calls they only end the connection.
        let driver = tokio::spawn(async move { drop(connection.await) });
        Ok(HttpConnection { sender, driver, written, first_line })
    }

    pub fn request_body(&self, message: &Message) -> RequestBody {
        RequestBody::counted(message.body.clone(), message.class, self.written.clone())
    }

    /// Hands a request to the connection and waits for the head of the answer.
    pub async fn send(&mut self, request: Request<RequestBody>) -> Result<Response<Incoming>, SendError> {
        self.first_line.bytes().clear();
        self.sender.try_send_request(request).await.map_err(|mut error| match error.take_message() {
            Some(_) => SendError::NotWritten,
            None => SendError::ConnectionLost,
        })
    }

    /// Reads an answer to its end and waits until the next request may go.
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
