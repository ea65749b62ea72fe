//! The HTTP server that clients hand their messages in to.

use crate::admission::{AdmissionLimiter, AdmissionWaiter};
use crate::clock::Clock;
use crate::connection_limit::{ConnectionLimit, ConnectionPermit};
use crate::events::{EventSender, LifecycleStage, NodeEvent, ResponseGuard, SubmitResponse};
use crate::message::Message;
use crate::overload::OverloadMonitor;
use crate::streams::{self, ObservedStream, StreamObserver};
use bytes::Bytes;
use hatchline::settings::Parsed;
use hatchline::{Effect, Micros};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION, CONTENT_LENGTH, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::net::listen;
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, timeout, Instant};

const MAX_BODY_BYTES: usize = 64 * 1024;
/// The list numbers destinations in 16 bits: a message for a higher number could never go anywhere.
const MAX_DESTINATION: f64 = u16::MAX as f64;
/// Bytes that a connection buffers at most.
const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// So long may a new connection bring no whole head of a request, and one that has been answered nothing of the next:
/// idle clients are owed 2 s, and a peer that does not speak the protocol an end within 3 s of connecting, the time for
/// a body included.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2200);
/// What has begun to come when that is over has this time yet to become a whole head.
const HEAD_COMPLETION_TIMEOUT: Duration = BODY_TIMEOUT;
/// A client that does not finish its request within this span has gone: it waits 400 ms for its answer.
const BODY_TIMEOUT: Duration = Duration::from_millis(500);
/// A client waits so long for its answer.
const CLIENT_RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
/// A request that has waited for so long until it was read is refused: reading, deciding and writing its answer
/// come yet.
const MAX_READ_DELAY: Duration = Duration::from_millis(200);
/// What is refused for want of time may come again after this, if the settings allow that to be said: what was too much
/// has been worked off or refused by then.
const OVERLOAD_RETRY_AFTER: Micros = 1_000_000;
/// From when connections are to close until they do.
const CLOSE_DELAY: Duration = Duration::from_millis(50);
/// Pause after a connection could not be accepted, for want of descriptors say.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// What the connections share.
pub(crate) struct ServerContext {
    pub settings: Arc<Parsed>,
    pub clock: Clock,
    pub events: EventSender,
    pub stage: watch::Receiver<LifecycleStage>,
    pub overload: OverloadMonitor,
    pub read_limiter: AdmissionLimiter,
}

/// Connections that are accepted, and requests that are read, in one turn of the runtime: some 1 ms of work, so that a
/// turn stays well under the 300 ms of a notice also with a hundredth of a core.
const ACCEPTS_PER_TURN: usize = 2;
pub(crate) const READS_PER_TURN: usize = 8;
/// Connections that wait to be accepted, where time is not short: as many as the listener is bound with.
const MAX_ACCEPT_BACKLOG: u32 = 1024;

/// So many wait to be accepted as are accepted in time to be answered, where a turn takes so long: those that come when
/// these wait already cost nothing, and clients that give up would leave dead ones in the queue.
fn accept_backlog(turn: Duration) -> u32 {
    let turns = MAX_READ_DELAY.as_secs_f64() / turn.as_secs_f64().max(1e-6);
    ((turns * ACCEPTS_PER_TURN as f64) as u32).clamp(1, MAX_ACCEPT_BACKLOG)
}

/// Serves connections for as long as the stage has it.
pub(crate) async fn serve(listener: TcpListener, context: Arc<ServerContext>, connections: ConnectionLimit) {
    let mut stage = context.stage.clone();
    let mut waiter = AdmissionWaiter::new(&AdmissionLimiter::new(ACCEPTS_PER_TURN));
    let mut backlog = MAX_ACCEPT_BACKLOG;
    let (mut queue_empty_at, mut draining, mut drained) = (Instant::now(), false, false);
    loop {
        let wanted_backlog = accept_backlog(context.overload.mean_turn_time());
        if backlog / 2 >= wanted_backlog
            || wanted_backlog >= 2 * backlog
            || (wanted_backlog == MAX_ACCEPT_BACKLOG && backlog != wanted_backlog)
        {
            set_backlog(&listener, wanted_backlog);
            backlog = wanted_backlog;
        }
        let accept = async {
            poll_fn(|cx| waiter.poll_admitted(cx)).await;
            let mut was_queued = true;
            let accepted = poll_fn(|cx| {
                let accepted = listener.poll_accept(cx);
                was_queued &= accepted.is_ready();
                match accepted {
                    Poll::Pending if draining => Poll::Ready(Err(io::ErrorKind::WouldBlock.into())),
                    accepted => accepted,
                }
            });
            let (stream, _) =
                accepted.await.inspect_err(|e| drained = e.kind() == io::ErrorKind::WouldBlock).ok()?;
            if !was_queued {
                queue_empty_at = Instant::now();
            }
            Some((
                connections.acquire().await?,
                stream,
                queue_empty_at.elapsed().min(CLIENT_RESPONSE_TIMEOUT),
            ))
        };
        let accepted = tokio::select! {
            accepted = accept => accepted,
            _ = stage.wait_for(|s| !s.accepts()), if !draining => {
                // A successor accepts from the same queue. Else what waits in it would be reset unanswered.
                if *context.stage.borrow() == LifecycleStage::HandedOver {
                    if backlog < MAX_ACCEPT_BACKLOG {
                        set_backlog(&listener, MAX_ACCEPT_BACKLOG);
                    }
                    return;
                }
                draining = true;
                continue;
            }
        };
        match accepted {
            Some((_, stream, _)) if context.overload.is_overloaded() && has_hung_up(&stream) => {
                // Not beside the loop: what holds no place would hold descriptors without bound.
                refuse_unread(stream).await;
            }
            Some((permit, stream, queue_time)) => {
                let context = context.clone();
                tokio::spawn(async move {
                    if stream.set_nodelay(true).is_ok() {
                        serve_client(stream, context, permit, queue_time).await;
                    }
                });
            }
            None if drained => return,
            None => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// So many connections may wait to be accepted from now on.
fn set_backlog(listener: &TcpListener, count: u32) {
    if let Err(error) = listen(listener, i32::try_from(count).unwrap_or(i32::MAX)) {
        eprintln!("clients: {count} cannot wait to be accepted: {error}");
    }
}

/// Whether a client has ended its sending, though what it sent may be unread yet.
fn has_hung_up(stream: &TcpStream) -> bool {
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    poll(&mut polled, Some(&Timespec::default())).is_ok_and(|ready| ready > 0)
}

/// Refuses what a client sent that had hung up before it was accepted, in a time of strain. Nearly all of these have
/// gone: their 400 ms are over. To read, log and decide on their requests takes the time that the next would need, until
/// each is served too late.
async fn refuse_unread(mut stream: impl ClientStream) {
    let refusal_response =
        b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    if stream.write_all(refusal_response).await.is_ok() {
        streams::lingering_close(stream).await;
    }
}

/// What is asked of a client's socket beyond reading and writing.
trait ClientStream: AsyncRead + AsyncWrite + Unpin {
    /// There is something to read, or the client has ended its sending.
    fn poll_readable(&self, cx: &mut Context) -> Poll<io::Result<()>>;
    /// The client has ended its sending side, or has gone, though what it sent may be unread yet.
    fn has_hung_up(&self) -> bool;
}

impl ClientStream for TcpStream {
    fn poll_readable(&self, cx: &mut Context) -> Poll<io::Result<()>> {
        self.poll_read_ready(cx)
    }

    fn has_hung_up(&self) -> bool {
        has_hung_up(self)
    }
}

/// How far a connection is with its present request.
#[derive(Default)]
struct RequestProgress {
    /// Bytes of it have come, and its answer is not written.
    request_started: bool,
    /// The head of it has come.
    head_received: bool,
    /// When the answer before was written, if there was one.
    idle_since: Option<Instant>,
    /// The answer is with the HTTP library: the next flush has written it.
    response_ready: bool,
    /// What tells whether that answer was written, if it takes a message on.
    response_guard: Option<ResponseGuard>,
    /// Something has come, and waits to be read.
    read_pending: bool,
    /// It may have waited for so long until it was read, in all.
    queue_time: Duration,
    /// That was too long to be served in time.
    too_late: bool,
    /// And its client has hung up meanwhile.
    client_gone: bool,
}

#[derive(Clone, Default)]
struct ConnectionState(Arc<Mutex<RequestProgress>>);

/// The line of a connection, which is read from when it has passed the turnstile.
struct ClientObserver {
    state: ConnectionState,
    waiter: AdmissionWaiter,
    /// Its first request may have waited for so long until the connection was accepted.
    queue_time: Duration,
}

impl ConnectionState {
    fn progress(&self) -> MutexGuard<'_, RequestProgress> {
        // Each change is an assignment: a panic elsewhere leaves it whole.
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

    fn on_read(&mut self, bytes: &[u8]) {
        self.state.progress().request_started |= !bytes.is_empty();
    }

    fn on_flush(&mut self, _: &S, _: &mut Context) {
        let mut progress = self.state.progress();
        if !progress.response_ready {
            return;
        }
        // What has left whole binds, wherever the client goes from then on: it may have heard.
        if let Some(mut response_guard) = progress.response_guard.take() {
            response_guard.written = true;
        }
        *progress = RequestProgress { idle_since: Some(Instant::now()), ..RequestProgress::default() };
    }
}

/// What is due for a connection when it may have been quiet for [`HEAD_TIMEOUT`].
enum IdleCheck {
    /// To look again then.
    RecheckAt(Instant),
    /// It is idle, and closes.
    CloseIdle,
    /// It has brought no request.
    NoRequest,
}

impl RequestProgress {
    fn check_idle(&self) -> IdleCheck {
        let now = Instant::now();
        match self.idle_since {
            None if !self.head_received => IdleCheck::NoRequest,
            Some(at) if now < at + HEAD_TIMEOUT => IdleCheck::RecheckAt(at + HEAD_TIMEOUT),
            Some(_) if !self.request_started && !self.read_pending => IdleCheck::CloseIdle,
            _ => IdleCheck::RecheckAt(now + HEAD_TIMEOUT),
        }
    }
}

async fn serve_client(
    stream: impl ClientStream, context: Arc<ServerContext>,
    (permit, mut evicted): (ConnectionPermit, oneshot::Receiver<()>), queue_time: Duration,
) {
    let mut stage = context.stage.clone();
    let close_stage = async {
        let _ = stage.wait_for(|s| *s == LifecycleStage::Closing).await;
        // What has come to the socket is seen by then.
        sleep(CLOSE_DELAY).await;
    };
    let mut close_stage = pin!(close_stage);
    let (permit, state) = (&permit, ConnectionState::default());
    let observer = ClientObserver {
        state: state.clone(),
        waiter: AdmissionWaiter::new(&context.read_limiter),
        queue_time,
    };
    let service = service_fn(|request| {
        let (context, state) = (context.clone(), state.clone());
        Box::pin(async move { Ok::<_, Infallible>(respond(request, &context, permit, &state).await) })
    });
    let mut http_connection = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT + HEAD_COMPLETION_TIMEOUT)
        // A client may end its sending side once its request is out, and still wait for the answer.
        .half_close(true)
        .serve_connection(TokioIo::new(ObservedStream { stream, observer }), service);
    let (mut evictable, mut closing) = (true, false);
    let mut idle_timer = pin!(sleep(HEAD_TIMEOUT));
    // A request that has come is read before the connection is told to close: it would be cut off unanswered.
    loop {
        tokio::select! {
            biased;
            // Errors are the client's: it has gone, or does not speak HTTP.
            _ = poll_fn(|cx| http_connection.poll_without_shutdown(cx)) => break,
            signal = &mut evicted, if evictable => {
                evictable = false;
                if signal.is_ok() && !permit.decline_eviction() {
                    return;
                }
            }
            () = &mut idle_timer, if !closing => match state.progress().check_idle() {
                IdleCheck::RecheckAt(at) => idle_timer.as_mut().reset(at),
                IdleCheck::CloseIdle => {
                    closing = true;
                    Pin::new(&mut http_connection).graceful_shutdown();
                }
                IdleCheck::NoRequest => break,
            },
            () = &mut close_stage, if !closing => {
                closing = true;
                // What has begun to come has an answer that closes the connection.
                let RequestProgress { request_started, read_pending, .. } = *state.progress();
                if !request_started && !read_pending {
                    Pin::new(&mut http_connection).graceful_shutdown();
                }
            }
        }
    }
    let client = http_connection.into_parts().io.into_inner().stream;
    // An answer that was not written takes nothing on: its receipt goes with the rest.
    let client_gone = std::mem::take(&mut *state.progress()).client_gone;
    if client_gone {
        refuse_unread(client).await;
    } else {
        streams::lingering_close(client).await;
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

async fn respond(
    request: Request<Incoming>, context: &ServerContext, permit: &ConnectionPermit, state: &ConnectionState,
) -> Response<Full<Bytes>> {
    state.progress().head_received = true;
    let mut response = match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => empty_response(StatusCode::OK),
        _ => submit(request, context, permit, state).await.unwrap_or_else(empty_response),
    };
    // A peer that does not speak the protocol keeps no place either.
    if *context.stage.borrow() != LifecycleStage::Serving || response.status().is_client_error() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    state.progress().response_ready = true;
    response
}

fn refusal_response(retry_in_ms: u64) -> Response<Full<Bytes>> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    if retry_in_ms > 0 {
        let seconds = format!("{:.3}", retry_in_ms as f64 / 1e3);
        response.headers_mut().extend(HeaderValue::try_from(seconds).ok().map(|v| (RETRY_AFTER, v)));
    }
    response
}

/// Hands a message to the node and waits for what becomes of it.
async fn submit(
    request: Request<Incoming>, context: &ServerContext, permit: &ConnectionPermit, state: &ConnectionState,
) -> Result<Response<Full<Bytes>>, StatusCode> {
    let queue_time = state.progress().queue_time;
    let message = read_message(request, context, queue_time).await?;
    permit.mark_active();
    if state.progress().too_late {
        context.events.send(NodeEvent::RefusedLate { class: message.class });
        let limits = &context.settings.settings;
        let wait = if limits.may_advise_wait { limits.max_advised_wait.min(OVERLOAD_RETRY_AFTER) } else { 0 };
        return Ok(refusal_response(wait.div_ceil(1000)));
    }
    let (reply, response) = oneshot::channel();
    context.events.send(NodeEvent::Submit { message: Arc::new(message), reply });
    match response.await {
        Ok(SubmitResponse::Accepted(response_guard)) => {
            state.progress().response_guard = Some(response_guard);
            Ok(empty_response(StatusCode::ACCEPTED))
        }
        Ok(SubmitResponse::Refused { retry_in_ms }) => Ok(refusal_response(retry_in_ms)),
        Err(_) => Err(StatusCode::SERVICE_UNAVAILABLE),
    }
}

async fn read_message(
    request: Request<Incoming>, context: &ServerContext, queue_time: Duration,
) -> Result<Message, StatusCode> {
    const BAD_REQUEST_STATUS: StatusCode = StatusCode::BAD_REQUEST;
    // The client's time runs since it sent: what the body takes to come counts, and what the request waited to be read.
    let sent_at = context
        .clock
        .now()
        .saturating_sub((queue_time + context.overload.event_loop_lag()).as_micros() as Micros);
    let path = request.uri().path().strip_prefix('/').unwrap_or_default();
    let (class_name, key) = path.split_once('/').unwrap_or((path, ""));
    let known = context.settings.class_names.iter().position(|n| n == class_name);
    let class = known.ok_or(StatusCode::NOT_FOUND)?;
    if request.method() != Method::POST {
        return Err(StatusCode::METHOD_NOT_ALLOWED);
    }
    let class_settings = &context.settings.settings.classes[class];
    // Only a class in order has a key in its path, none has a query: a peer that adds them is no client.
    if !(class_settings.in_order || key.is_empty()) || request.uri().query().is_some() {
        return Err(StatusCode::NOT_FOUND);
    }
    let key = key.rsplit('/').next().unwrap_or("").to_string();
    let header = |name: &str| -> Result<Option<String>, StatusCode> {
        let Some(value) = request.headers().get(name) else { return Ok(None) };
        Ok(Some(value.to_str().map_err(|_| BAD_REQUEST_STATUS)?.trim().to_string()))
    };
    let id = header("X-Request-Id")?.filter(|id| !id.is_empty()).ok_or(BAD_REQUEST_STATUS)?;
    let time_left = header("X-Deadline")?.and_then(|t| parse_duration(&t)).ok_or(BAD_REQUEST_STATUS)?;
    let destination = header("X-Consignee")?.and_then(|t| parse_destination(&t)).ok_or(BAD_REQUEST_STATUS)?;
    let idempotency_key = header("Idempotency-Key")?;
    if class_settings.effect == Effect::Keyed && idempotency_key.is_none() {
        return Err(BAD_REQUEST_STATUS);
    }
    let retry = header("X-Retry")?;
    // Where a body ends must be beyond doubt: what a peer hides behind it would pass for a request.
    if !request.headers().contains_key(CONTENT_LENGTH) {
        return Err(StatusCode::LENGTH_REQUIRED);
    }
    if request.body().size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let body = timeout(BODY_TIMEOUT, Limited::new(request.into_body(), MAX_BODY_BYTES).collect()).await;
    let body = match body.map_err(|_| StatusCode::REQUEST_TIMEOUT)? {
        Ok(body) => body.to_bytes(),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => return Err(StatusCode::PAYLOAD_TOO_LARGE),
        Err(_) => return Err(BAD_REQUEST_STATUS),
    };
    let expires = sent_at.checked_add(time_left).ok_or(BAD_REQUEST_STATUS)?;
    Ok(Message { id, class, destination, key, idempotency_key, retry, expires, body })
}

/// A span as a number and a unit: `480m` milliseconds or `900u` microseconds.
fn parse_duration(text: &str) -> Option<Micros> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let micros_per_unit = match unit {
        "m" => 1000.0,
        "u" => 1.0,
        _ => return None,
    };
    let duration = number.parse::<f64>().ok()? * micros_per_unit;
    (0.0..1e15).contains(&duration).then_some(duration as Micros)
}

fn parse_destination(text: &str) -> Option<u32> {
    let mut pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    let number = pairs.find(|(name, _)| name.trim() == "dest")?.1.trim().parse::<f64>().ok()?;
    (number.fract() == 0.0 && (0.0..=MAX_DESTINATION).contains(&number)).then_some(number as u32)
}

#[cfg(test)]
#[path = "client_server_tests.rs"]
mod tests;
