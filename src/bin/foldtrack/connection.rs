//! HTTP client connections to endpoints and to discovery, one request at a time. They report when a message has been
//! written completely.

use crate::exchange::Exchange;
use crate::http_body::{read_to_end, BodyError, Unshared};
use crate::message::Message;
use crate::streams::{ObservedStream, StreamObserver};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use std::{fmt, io};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, Instant};

/// Longest head of a response.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Pause between a response and the next request on its connection: what a peer sends straight after its response
/// arrives within this time and closes the connection. Later it would be taken for the next response.
pub(crate) const REUSE_PAUSE: Duration = Duration::from_millis(10);

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

/// Reports each message that has been written completely, and follows the exchange that it belongs to.
struct CallObserver<F> {
    pending_class: PendingClass,
    exchange: Exchange,
    on_written: F,
}

impl<S: AsFd, F: Fn(usize)> StreamObserver<S> for CallObserver<F> {
    fn on_read(&mut self, bytes: &[u8]) -> io::Result<()> {
        StreamObserver::<S>::on_read(&mut self.exchange, bytes)
    }

    fn before_write(&mut self, stream: &S) -> io::Result<()> {
        self.exchange.before_write(stream)
    }

    fn on_flush(&mut self) {
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
    pub exchange: Exchange,
    /// When the last response ended.
    idle_since: Option<Instant>,
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
    /// No byte of the request has been written.
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
        let exchange = Exchange::default();
        let observer =
            CallObserver { pending_class: pending_class.clone(), exchange: exchange.clone(), on_written };
        let observed = ObservedStream { stream, observer };
        let handshake =
            http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(observed)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        // The call in flight gets the error; between calls an error only closes the connection.
        let driver = tokio::spawn(async move { drop(connection.await) });
        Ok(HttpConnection { sender, driver, pending_class, exchange, idle_since: None })
    }

    /// The body for a message on this connection. The end of its write is reported.
    pub fn request_body(&self, message: &Message) -> RequestBody {
        RequestBody::reported(message.body.clone(), message.class, self.pending_class.clone())
    }

    /// Begins the next exchange, and waits for the end of the pause after the last one.
    pub async fn prepare(&mut self) {
        // Before the pause: a call that ends during it must not see the status line of the call before.
        self.exchange.begin();
        if let Some(rested_at) = self.idle_since.map(|since| since + REUSE_PAUSE) {
            if Instant::now() < rested_at {
                sleep_until(rested_at).await;
            }
        }
    }

    /// Sends a request, once the connection is [prepared](HttpConnection::prepare), and waits for the head of the
    /// response.
    pub async fn send(&mut self, request: Request<RequestBody>) -> Result<Response<Incoming>, SendError> {
        self.prepare().await;
        let response = self.sender.try_send_request(request).await;
        response.map_err(|_| match self.exchange.request_begun() {
            true => SendError::ConnectionLost,
            false => SendError::NotWritten,
        })
    }

    /// Reads a response body to its end.
    pub async fn read_body(&mut self, body: Incoming, limit: usize) -> Result<Bytes, BodyError> {
        read_to_end(body, limit, &mut Unshared).await
    }

    /// Waits until the connection is ready for the next request. Returns false if it is closed: the peer has closed it,
    /// or has sent more than its response.
    pub async fn is_ready_again(&mut self) -> bool {
        self.idle_since = Some(Instant::now());
        self.sender.ready().await.is_ok()
    }

    pub fn is_usable(&self) -> bool {
        self.sender.is_ready() && !self.is_closed()
    }

    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}
