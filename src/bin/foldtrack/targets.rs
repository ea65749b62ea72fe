//! Calls to targets: one call and its outcome, and the connections that stand idle between calls.

use crate::message::Message;
use crate::node::{Input, Inputs};
use crate::streams::{Tap, Tapped};
use bytes::Bytes;
use hatchline::{LimitReport, Outcome, TargetId};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderMap, CONNECTION, CONTENT_TYPE, HOST};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use std::{fmt, io};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, timeout, Instant};

/// The rest of an answer, whose meaning its first line has told, must come within this span and size for the
/// connection to be used again.
const REST_WAIT: Duration = Duration::from_millis(20);
const REST_BYTES: usize = 64 * 1024;
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
pub(crate) struct Payload {
    bytes: Option<Bytes>,
    mark: Option<(usize, Written)>,
}

impl Payload {
    /// The body of a request whose writing counts for nothing.
    pub fn uncounted(bytes: Bytes) -> Payload {
        Payload { bytes: Some(bytes).filter(|b| !b.is_empty()), mark: None }
    }

    fn counted(bytes: Bytes, class: usize, written: Written) -> Payload {
        let mut payload = Payload { mark: Some((class, written)), ..Payload::uncounted(bytes) };
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

impl Body for Payload {
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
struct FirstLine(Arc<Mutex<Vec<u8>>>);

impl FirstLine {
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

    fn says_delivered(&self) -> bool {
        let line = self.bytes();
        let mut words = line.split(|b| b.is_ascii_whitespace());
        let version = words.next().is_some_and(|word| word.starts_with(b"HTTP/"));
        version && line.ends_with(b"\n") && words.next() == Some(b"200")
    }
}

/// Tells of each message that has been written whole, and keeps the first line of its answer.
struct CallTap<F> {
    written: Written,
    first_line: FirstLine,
    tell: F,
}

impl<S, F: Fn(usize)> Tap<S> for CallTap<F> {
    fn read(&mut self, bytes: &[u8]) {
        self.first_line.add(bytes);
    }

    fn flushed(&mut self, _: &S, _: &mut Context) {
        let class = self.written.swap(NOTHING, Ordering::Relaxed);
        if class != NOTHING {
            (self.tell)(class);
        }
    }
}

/// An HTTP connection. It closes when this is dropped, also in the middle of a call.
pub(crate) struct Connection {
    sender: SendRequest<Payload>,
    driver: JoinHandle<()>,
    written: Written,
    first_line: FirstLine,
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_struct("Connection").field("sender", &self.sender).finish_non_exhaustive()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Why there is no answer.
pub(crate) enum Failure {
    /// It was handed back before a byte of it was written.
    Unsent,
    Broken,
}

impl Connection {
    /// `tell` is called with the class of each message of [`Connection::payload`] that has been written whole.
    pub async fn open(
        address: SocketAddr, tell: impl Fn(usize) + Send + Unpin + 'static,
    ) -> io::Result<Connection> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let written = Written::new(AtomicUsize::new(NOTHING));
        let first_line = FirstLine::default();
        let tap = CallTap { written: written.clone(), first_line: first_line.clone(), tell };
        let tapped = Tapped { stream, tap };
        let handshake = http1::Builder::new().max_buf_size(HEAD_BYTES).handshake(TokioIo::new(tapped)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        // Errors reach the call that is out; between calls they only end the connection.
        let driver = tokio::spawn(async move { drop(connection.await) });
        Ok(Connection { sender, driver, written, first_line })
    }

    fn payload(&self, message: &Message) -> Payload {
        Payload::counted(message.body.clone(), message.class, self.written.clone())
    }

    /// Hands a request to the connection and waits for the head of the answer.
    pub async fn send(&mut self, request: Request<Payload>) -> Result<Response<Incoming>, Failure> {
        self.first_line.bytes().clear();
        self.sender.try_send_request(request).await.map_err(|mut error| match error.take_message() {
            Some(_) => Failure::Unsent,
            None => Failure::Broken,
        })
    }

    /// Reads an answer to its end and waits until the next request may go.
    pub async fn finish(&mut self, body: Incoming, limit: usize) -> Option<Bytes> {
        let body = Limited::new(body, limit).collect().await.ok()?.to_bytes();
        self.sender.ready().await.ok()?;
        Some(body)
    }

    fn is_usable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }
}

/// The connections that stand idle, by target, the one used last at the end.
#[derive(Debug)]
pub(crate) struct IdleConnections {
    by_target: BTreeMap<TargetId, Vec<(Instant, Connection)>>,
    longest: Duration,
    most: usize,
}

impl IdleConnections {
    /// Targets close a connection that has been idle for `conn_idle`. A call that meets such a close may have
    /// run, which ends an unsafe message: connections are not used for the last second of it.
    pub fn new(conn_idle: Duration, most: usize) -> Self {
        let margin = Duration::from_secs(1).min(conn_idle / 4);
        IdleConnections { by_target: BTreeMap::new(), longest: conn_idle - margin, most }
    }

    pub fn take(&mut self, target: TargetId) -> Option<(Duration, Connection)> {
        self.sweep();
        let idle = self.by_target.get_mut(&target)?;
        let last = idle.iter().rposition(|(_, c)| c.is_usable())?;
        let (since, connection) = idle.remove(last);
        Some((since.elapsed(), connection))
    }

    pub fn put(&mut self, target: TargetId, connection: Connection) {
        self.by_target.entry(target).or_default().push((Instant::now(), connection));
        if self.count() > self.most {
            let oldest = self.by_target.values_mut().filter(|v| !v.is_empty()).min_by_key(|v| v[0].0);
            oldest.map(|v| v.remove(0));
        }
    }

    pub fn count(&self) -> usize {
        self.by_target.values().map(Vec::len).sum()
    }

    pub fn close(&mut self, target: TargetId) {
        self.by_target.remove(&target);
    }

    /// Drops those that have shown their end or have been idle for too long.
    pub fn sweep(&mut self) {
        let now = Instant::now();
        for idle in self.by_target.values_mut() {
            idle.retain(|(since, c)| !c.sender.is_closed() && now < *since + self.longest);
        }
        self.by_target.retain(|_, idle| !idle.is_empty());
    }
}

/// A call to be made.
pub(crate) struct Call {
    pub number: u64,
    pub attempt: u32,
    pub target: TargetId,
    pub address: SocketAddr,
    pub message: Arc<Message>,
    pub dial_timeout: Duration,
    pub until: Instant,
    /// One that stood idle, and for how long.
    pub connection: Option<(Duration, Connection)>,
    /// Answers told as limit reports.
    pub reports: bool,
    /// How often operators had taken the target out or put it back when the call began.
    pub era: u32,
}

/// How a call ended.
#[derive(Debug)]
pub(crate) struct CallEnd {
    pub number: u64,
    pub attempt: u32,
    pub target: TargetId,
    pub begun: Instant,
    pub outcome: Outcome,
    /// The answer says that nothing is owed for the message any more.
    pub over: bool,
    /// How long its connection had stood idle before, if it did.
    pub idle_for: Option<Duration>,
    /// Nothing is to be sent to the destination until then.
    pub wait_until: Option<Instant>,
    pub report: Option<LimitReport>,
    /// The answer told its outcome and did not come to its end.
    pub cut_short: bool,
    /// That of the call.
    pub era: u32,
    /// Fit for the next call.
    pub connection: Option<Connection>,
}

impl CallEnd {
    /// The end of a call that began now and told nothing more.
    pub fn new(number: u64, attempt: u32, target: TargetId, outcome: Outcome, over: bool) -> CallEnd {
        let begun = Instant::now();
        let (idle_for, wait_until, report, cut_short, era, connection) = (None, None, None, false, 0, None);
        CallEnd {
            number,
            attempt,
            target,
            begun,
            outcome,
            over,
            idle_for,
            wait_until,
            report,
            cut_short,
            era,
            connection,
        }
    }
}

/// Makes one call and tells its end: exactly once, and never tries again by itself.
pub(crate) async fn call(call: Call, mut cancelled: oneshot::Receiver<()>, inputs: Inputs) {
    let end = CallEnd::new(call.number, call.attempt, call.target, Outcome::ConnectFailed, false);
    let mut end = CallEnd { era: call.era, ..end };
    let Call { message, connection: idle, until, dial_timeout, address, reports, .. } = call;
    end.idle_for = idle.as_ref().map(|(idle_for, _)| *idle_for);
    let (reused, written) = (idle.is_some(), inputs.clone());
    // From when the request is with the connection only an answer proves that it has not run.
    let mut handed_over = None;
    let mut unused = None;
    let exchange = async {
        let mut connection = match idle {
            Some((_, connection)) => connection,
            None => {
                let tell = move |class| written.send(Input::Written { class });
                let Ok(Ok(connection)) = timeout(dial_timeout, Connection::open(address, tell)).await else {
                    return Err(Outcome::ConnectFailed);
                };
                // A lost packet makes this late by a second: what was told meanwhile holds for this call too.
                let (go, may_go) = oneshot::channel();
                let (number, attempt, target) = (call.number, call.attempt, call.target);
                inputs.send(Input::Connected { number, attempt, target, go });
                if !may_go.await.unwrap_or(false) {
                    unused = Some(connection);
                    return Err(Outcome::NotSent);
                }
                connection
            }
        };
        let payload = connection.payload(&message);
        let request = request(&message, payload, address, until).ok_or(Outcome::NotSent)?;
        handed_over = Some(connection.first_line.clone());
        match connection.send(request).await {
            Ok(response) => Ok((connection, response)),
            // A connection that was closed while it stood idle tells nothing of the target's health.
            Err(Failure::Unsent) if reused => Err(Outcome::NotSent),
            Err(Failure::Unsent) => Err(Outcome::ConnectFailed),
            Err(Failure::Broken) => Err(Outcome::Reset),
        }
    };
    let answer = tokio::select! {
        biased;
        answer = exchange => answer.map_err(Some),
        () = sleep_until(until) => Err(None),
        Ok(()) = &mut cancelled => Err(Some(Outcome::Cancelled)),
    };
    match answer {
        Ok((mut connection, response)) => {
            read_head(&mut end, &response, reports);
            if !reused && is_crowded(&end, &response) {
                end.outcome = Outcome::TooManyConnections;
            }
            let rest = timeout(REST_WAIT, connection.finish(response.into_body(), REST_BYTES)).await;
            end.connection = matches!(rest, Ok(Some(_))).then_some(connection);
            end.cut_short = end.connection.is_none() && end.outcome != Outcome::TooManyConnections;
        }
        // The rest of the answer cannot be read, or does not come.
        Err(_) if handed_over.as_ref().is_some_and(FirstLine::says_delivered) => {
            (end.outcome, end.over, end.cut_short) = (Outcome::Ok, true, true);
        }
        Err(Some(Outcome::Cancelled)) if handed_over.is_none() => end.outcome = Outcome::NotSent,
        Err(None) if handed_over.is_none() => end.outcome = Outcome::ConnectFailed,
        Err(None) => end.outcome = Outcome::TimedOut,
        Err(Some(outcome)) => (end.outcome, end.connection) = (outcome, unused),
    }
    inputs.send(Input::CallEnded(end));
}

fn request(
    message: &Message, payload: Payload, address: SocketAddr, until: Instant,
) -> Option<Request<Payload>> {
    let left = until.saturating_duration_since(Instant::now()).as_micros();
    let mut request = Request::builder()
        .method(Method::POST)
        .uri("/v1/messages")
        .header(HOST, address.to_string())
        .header("X-Request-Id", &message.id)
        .header("X-Deadline", format!("{left}u"))
        .header(CONTENT_TYPE, "application/octet-stream");
    if let Some(key) = &message.idempotency_key {
        request = request.header("Idempotency-Key", key);
    }
    request.body(payload).ok()
}

/// Whether the first answer on a new connection turns that away, and not the call: an endpoint with all the connections
/// that it takes refuses and closes at once. One above its limit keeps the connection, or tells a wait.
fn is_crowded(end: &CallEnd, response: &Response<Incoming>) -> bool {
    let closes =
        text(response.headers(), CONNECTION.as_str()).is_some_and(|v| v.eq_ignore_ascii_case("close"));
    closes && end.outcome == Outcome::Full && end.wait_until.is_none()
}

/// What an answer means, by the table of the protocol. What is not in it may have run.
fn read_head(end: &mut CallEnd, response: &Response<Incoming>, reports: bool) {
    let headers = response.headers();
    end.outcome = match response.status() {
        StatusCode::OK => Outcome::Ok,
        StatusCode::TOO_MANY_REQUESTS => Outcome::Full,
        StatusCode::SERVICE_UNAVAILABLE if headers.contains_key("X-Line-Busy") => Outcome::NotSent,
        StatusCode::SERVICE_UNAVAILABLE => Outcome::Full,
        StatusCode::GATEWAY_TIMEOUT | StatusCode::GONE => Outcome::NotSent,
        _ => Outcome::Error,
    };
    end.over = matches!(response.status(), StatusCode::OK | StatusCode::GONE);
    if end.outcome == Outcome::Full {
        let wait = text(headers, "X-Come-Back-Ms").and_then(|ms| ms.trim().parse::<f64>().ok());
        let wait = wait.and_then(|ms| Duration::try_from_secs_f64(ms / 1000.0).ok());
        end.wait_until = wait.and_then(|w| Instant::now().checked_add(w));
    }
    end.report = text(headers, "X-Load").filter(|_| reports).and_then(limit_report);
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn limit_report(text: &str) -> Option<LimitReport> {
    let value = |name: &str| {
        let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
        let mut named = pairs.filter(|(n, _)| n.trim() == name);
        named.next()?.1.trim().parse::<f64>().ok().filter(|v| v.is_finite())
    };
    Some(LimitReport { share_left: value("x0")?, rate: value("x1")? })
}
