//! The HTTP server that clients hand their messages in to.

use crate::admission::{Ticket, Turnstile};
use crate::clock::Clock;
use crate::connection_limit::{ConnectionLimit, ConnectionPermit};
use crate::events::{EventSender, LifecycleStage, NodeEvent, ResponseGuard, SubmitResponse};
use crate::message::Message;
use crate::overload::OverloadMonitor;
use crate::streams::{self, ObservedStream, StreamObserver};
use bytes::Bytes;
use hatchline::settings::DeploymentSettings;
use hatchline::{Micros, RetrySafety};
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

const LONGEST_BODY: usize = 64 * 1024;
/// The list numbers destinations in 16 bits: a message for a higher number could never go anywhere.
const LAST_DESTINATION: f64 = u16::MAX as f64;
/// Bytes that a connection buffers at most.
const BUFFER: usize = 64 * 1024;
/// So long may a new connection bring no whole head of a request, and one that has been answered nothing of the next:
/// idle clients are owed 2 s, and a peer that does not speak the protocol an end within 3 s of connecting, the time for
/// a body included.
const HEAD_WAIT: Duration = Duration::from_millis(2200);
/// What has begun to come when that is over has this time yet to become a whole head.
const HEAD_REST: Duration = BODY_WAIT;
/// A client that does not finish its request within this span has gone: it waits 400 ms for its answer.
const BODY_WAIT: Duration = Duration::from_millis(500);
/// A client waits so long for its answer.
const CLIENT_WAIT: Duration = Duration::from_millis(400);
/// A request that has waited for so long until it was read is refused: reading, deciding and writing its answer
/// come yet.
const LATE: Duration = Duration::from_millis(200);
/// What is refused for want of time may come again after this, if the settings allow that to be said: what was too much
/// has been worked off or refused by then.
const STRAIN_WAIT: Micros = 1_000_000;
/// From when connections are to close until they do.
const CLOSING: Duration = Duration::from_millis(50);
/// Pause after a connection could not be accepted, for want of descriptors say.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What the connections share.
pub(crate) struct Desk {
    pub settings: Arc<DeploymentSettings>,
    pub clock: Clock,
    pub events: EventSender,
    pub stage: watch::Receiver<LifecycleStage>,
    pub strain: OverloadMonitor,
    pub stile: Turnstile,
}

/// Connections that are accepted, and requests that are read, in one turn of the runtime: some 1 ms of work, so that a
/// turn stays well under the 300 ms of a notice also with a hundredth of a core.
const ACCEPTED_IN_A_TURN: usize = 2;
pub(crate) const READ_IN_A_TURN: usize = 8;
/// Connections that wait to be accepted, where time is not short: as many as the listener is bound with.
const BACKLOG: u32 = 1024;

/// So many wait to be accepted as are accepted in time to be answered, where a turn takes so long: those that come when
/// these wait already cost nothing, and clients that give up would leave dead ones in the queue.
fn backlog(turn: Duration) -> u32 {
    let turns = LATE.as_secs_f64() / turn.as_secs_f64().max(1e-6);
    ((turns * ACCEPTED_IN_A_TURN as f64) as u32).clamp(1, BACKLOG)
}

/// Serves connections for as long as the stage has it.
pub(crate) async fn serve(listener: TcpListener, desk: Arc<Desk>, connections: ConnectionLimit) {
    let mut stage = desk.stage.clone();
    let mut ticket = Ticket::new(&Turnstile::new(ACCEPTED_IN_A_TURN));
    let mut queue = BACKLOG;
    let (mut empty_at, mut draining, mut drained) = (Instant::now(), false, false);
    loop {
        let wanted = backlog(desk.strain.mean_turn_time());
        if queue / 2 >= wanted || wanted >= 2 * queue || (wanted == BACKLOG && queue != wanted) {
            let_wait(&listener, wanted);
            queue = wanted;
        }
        let accept = async {
            poll_fn(|cx| ticket.poll_pass(cx)).await;
            let mut queued = true;
            let accepted = poll_fn(|cx| {
                let accepted = listener.poll_accept(cx);
                queued &= accepted.is_ready();
                match accepted {
                    Poll::Pending if draining => Poll::Ready(Err(io::ErrorKind::WouldBlock.into())),
                    accepted => accepted,
                }
            });
            let (stream, _) =
                accepted.await.inspect_err(|e| drained = e.kind() == io::ErrorKind::WouldBlock).ok()?;
            if !queued {
                empty_at = Instant::now();
            }
            Some((connections.acquire().await?, stream, empty_at.elapsed().min(CLIENT_WAIT)))
        };
        let accepted = tokio::select! {
            accepted = accept => accepted,
            _ = stage.wait_for(|s| !s.accepts()), if !draining => {
                // A successor accepts from the same queue. Else what waits in it would be reset unanswered.
                if *desk.stage.borrow() == LifecycleStage::HandedOver {
                    if queue < BACKLOG {
                        let_wait(&listener, BACKLOG);
                    }
                    return;
                }
                draining = true;
                continue;
            }
        };
        match accepted {
            Some((_, stream, _)) if desk.strain.is_overloaded() && has_hung_up(&stream) => {
                // Not beside the loop: what holds no place would hold descriptors without bound.
                turn_away(stream).await;
            }
            Some((permit, stream, queued)) => {
                let desk = desk.clone();
                tokio::spawn(async move {
                    if stream.set_nodelay(true).is_ok() {
                        connection(stream, desk, permit, queued).await;
                    }
                });
            }
            None if drained => return,
            None => sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// So many connections may wait to be accepted from now on.
fn let_wait(listener: &TcpListener, count: u32) {
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
async fn turn_away(mut stream: impl Client) {
    let refusal = b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    if stream.write_all(refusal).await.is_ok() {
        streams::lingering_close(stream).await;
    }
}

/// What is asked of a client's socket beyond reading and writing.
trait Client: AsyncRead + AsyncWrite + Unpin {
    /// There is something to read, or the client has ended its sending.
    fn poll_readable(&self, cx: &mut Context) -> Poll<io::Result<()>>;
    /// The client has ended its sending side, or has gone, though what it sent may be unread yet.
    fn has_hung_up(&self) -> bool;
}

impl Client for TcpStream {
    fn poll_readable(&self, cx: &mut Context) -> Poll<io::Result<()>> {
        self.poll_read_ready(cx)
    }

    fn has_hung_up(&self) -> bool {
        has_hung_up(self)
    }
}

/// How far a connection is with its present request.
#[derive(Default)]
struct Progress {
    /// Bytes of it have come, and its answer is not written.
    begun: bool,
    /// The head of it has come.
    headed: bool,
    /// When the answer before was written, if there was one.
    rests_since: Option<Instant>,
    /// The answer is with the HTTP library: the next flush has written it.
    answered: bool,
    /// What tells whether that answer was written, if it takes a message on.
    receipt: Option<ResponseGuard>,
    /// Something has come, and waits to be read.
    waiting: bool,
    /// It may have waited for so long until it was read, in all.
    waited: Duration,
    /// That was too long to be served in time.
    late: bool,
    /// And its client has hung up meanwhile.
    gone: bool,
}

#[derive(Clone, Default)]
struct Line(Arc<Mutex<Progress>>);

/// The line of a connection, which is read from when it has passed the turnstile.
struct Admitted {
    line: Line,
    ticket: Ticket,
    /// Its first request may have waited for so long until the connection was accepted.
    queued: Duration,
}

impl Line {
    fn progress(&self) -> MutexGuard<'_, Progress> {
        // Each change is an assignment: a panic elsewhere leaves it whole.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<S: Client> StreamObserver<S> for Admitted {
    fn poll_read_allowed(&mut self, client: &S, cx: &mut Context) -> Poll<io::Result<()>> {
        if self.line.progress().begun {
            return Poll::Ready(Ok(()));
        }
        ready!(client.poll_readable(cx))?;
        self.line.progress().waiting = true;
        let waited = ready!(self.ticket.poll_pass(cx));
        let mut progress = self.line.progress();
        progress.waiting = false;
        progress.late = waited >= LATE;
        progress.waited = waited + std::mem::take(&mut self.queued);
        if progress.late && client.has_hung_up() {
            progress.gone = true;
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        Poll::Ready(Ok(()))
    }

    fn on_read(&mut self, bytes: &[u8]) {
        self.line.progress().begun |= !bytes.is_empty();
    }

    fn on_flush(&mut self, _: &S, _: &mut Context) {
        let mut progress = self.line.progress();
        if !progress.answered {
            return;
        }
        // What has left whole binds, wherever the client goes from then on: it may have heard.
        if let Some(mut receipt) = progress.receipt.take() {
            receipt.written = true;
        }
        *progress = Progress { rests_since: Some(Instant::now()), ..Progress::default() };
    }
}

/// What is due for a connection when it may have been quiet for [`HEAD_WAIT`].
enum Quiet {
    /// To look again then.
    Until(Instant),
    /// It is idle, and closes.
    Idle,
    /// It has brought no request.
    Mute,
}

impl Progress {
    fn quiet(&self) -> Quiet {
        let now = Instant::now();
        match self.rests_since {
            None if !self.headed => Quiet::Mute,
            Some(at) if now < at + HEAD_WAIT => Quiet::Until(at + HEAD_WAIT),
            Some(_) if !self.begun && !self.waiting => Quiet::Idle,
            _ => Quiet::Until(now + HEAD_WAIT),
        }
    }
}

async fn connection(
    stream: impl Client, desk: Arc<Desk>, (permit, mut closed): (ConnectionPermit, oneshot::Receiver<()>),
    queued: Duration,
) {
    let mut stage = desk.stage.clone();
    let closes = async {
        let _ = stage.wait_for(|s| *s == LifecycleStage::Closing).await;
        // What has come to the socket is seen by then.
        sleep(CLOSING).await;
    };
    let mut closes = pin!(closes);
    let (permit, line) = (&permit, Line::default());
    let tap = Admitted { line: line.clone(), ticket: Ticket::new(&desk.stile), queued };
    let service = service_fn(|request| {
        let (desk, line) = (desk.clone(), line.clone());
        Box::pin(async move { Ok::<_, Infallible>(answer(request, &desk, permit, &line).await) })
    });
    let mut serving = http1::Builder::new()
        .max_buf_size(BUFFER)
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_WAIT + HEAD_REST)
        // A client may end its sending side once its request is out, and still wait for the answer.
        .half_close(true)
        .serve_connection(TokioIo::new(ObservedStream { stream, observer: tap }), service);
    let (mut newcomer, mut closing) = (true, false);
    let mut quiet = pin!(sleep(HEAD_WAIT));
    // A request that has come is read before the connection is told to close: it would be cut off unanswered.
    loop {
        tokio::select! {
            biased;
            // Errors are the client's: it has gone, or does not speak HTTP.
            _ = poll_fn(|cx| serving.poll_without_shutdown(cx)) => break,
            told = &mut closed, if newcomer => {
                newcomer = false;
                if told.is_ok() && !permit.decline_eviction() {
                    return;
                }
            }
            () = &mut quiet, if !closing => match line.progress().quiet() {
                Quiet::Until(at) => quiet.as_mut().reset(at),
                Quiet::Idle => {
                    closing = true;
                    Pin::new(&mut serving).graceful_shutdown();
                }
                Quiet::Mute => break,
            },
            () = &mut closes, if !closing => {
                closing = true;
                // What has begun to come has an answer that closes the connection.
                let Progress { begun, waiting, .. } = *line.progress();
                if !begun && !waiting {
                    Pin::new(&mut serving).graceful_shutdown();
                }
            }
        }
    }
    let client = serving.into_parts().io.into_inner().stream;
    // An answer that was not written takes nothing on: its receipt goes with the rest.
    let gone = std::mem::take(&mut *line.progress()).gone;
    if gone {
        turn_away(client).await;
    } else {
        streams::lingering_close(client).await;
    }
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

async fn answer(
    request: Request<Incoming>, desk: &Desk, permit: &ConnectionPermit, line: &Line,
) -> Response<Full<Bytes>> {
    line.progress().headed = true;
    let mut response = match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => plain(StatusCode::OK),
        _ => hand_in(request, desk, permit, line).await.unwrap_or_else(plain),
    };
    // A peer that does not speak the protocol keeps no place either.
    if *desk.stage.borrow() != LifecycleStage::Serving || response.status().is_client_error() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    line.progress().answered = true;
    response
}

fn refusal(retry_in_ms: u64) -> Response<Full<Bytes>> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE);
    if retry_in_ms > 0 {
        let seconds = format!("{:.3}", retry_in_ms as f64 / 1e3);
        response.headers_mut().extend(HeaderValue::try_from(seconds).ok().map(|v| (RETRY_AFTER, v)));
    }
    response
}

/// Hands a message to the node and waits for what becomes of it.
async fn hand_in(
    request: Request<Incoming>, desk: &Desk, permit: &ConnectionPermit, line: &Line,
) -> Result<Response<Full<Bytes>>, StatusCode> {
    let waited = line.progress().waited;
    let message = read(request, desk, waited).await?;
    permit.mark_active();
    if line.progress().late {
        desk.events.send(NodeEvent::RefusedLate { class: message.class });
        let limits = &desk.settings.settings;
        let wait = if limits.may_send_retry_after { limits.max_retry_after.min(STRAIN_WAIT) } else { 0 };
        return Ok(refusal(wait.div_ceil(1000)));
    }
    let (reply, answer) = oneshot::channel();
    desk.events.send(NodeEvent::Submit { message: Arc::new(message), reply });
    match answer.await {
        Ok(SubmitResponse::Accepted(receipt)) => {
            line.progress().receipt = Some(receipt);
            Ok(plain(StatusCode::ACCEPTED))
        }
        Ok(SubmitResponse::Refused { retry_in_ms }) => Ok(refusal(retry_in_ms)),
        Err(_) => Err(StatusCode::SERVICE_UNAVAILABLE),
    }
}

async fn read(request: Request<Incoming>, desk: &Desk, waited: Duration) -> Result<Message, StatusCode> {
    const BAD: StatusCode = StatusCode::BAD_REQUEST;
    // The client's time runs since it sent: what the body takes to come counts, and what the request waited to be read.
    let sent = desk.clock.now().saturating_sub((waited + desk.strain.event_loop_lag()).as_micros() as Micros);
    let path = request.uri().path().strip_prefix('/').unwrap_or_default();
    let (class_name, order_key) = path.split_once('/').unwrap_or((path, ""));
    let known = desk.settings.class_names.iter().position(|n| n == class_name);
    let class = known.ok_or(StatusCode::NOT_FOUND)?;
    if request.method() != Method::POST {
        return Err(StatusCode::METHOD_NOT_ALLOWED);
    }
    let rules = &desk.settings.settings.classes[class];
    // Only a class in order has a key in its path, none has a query: a peer that adds them is no client.
    if !(rules.in_order || order_key.is_empty()) || request.uri().query().is_some() {
        return Err(StatusCode::NOT_FOUND);
    }
    let order_key = order_key.rsplit('/').next().unwrap_or("").to_string();
    let header = |name: &str| -> Result<Option<String>, StatusCode> {
        let Some(value) = request.headers().get(name) else { return Ok(None) };
        Ok(Some(value.to_str().map_err(|_| BAD)?.trim().to_string()))
    };
    let id = header("X-Request-Id")?.filter(|id| !id.is_empty()).ok_or(BAD)?;
    let left = header("X-Deadline")?.and_then(|t| span(&t)).ok_or(BAD)?;
    let destination = header("X-Consignee")?.and_then(|t| destination(&t)).ok_or(BAD)?;
    let idempotency_key = header("Idempotency-Key")?;
    if rules.retry_safety == RetrySafety::Keyed && idempotency_key.is_none() {
        return Err(BAD);
    }
    let retry_header = header("X-Retry")?;
    // Where a body ends must be beyond doubt: what a peer hides behind it would pass for a request.
    if !request.headers().contains_key(CONTENT_LENGTH) {
        return Err(StatusCode::LENGTH_REQUIRED);
    }
    if request.body().size_hint().lower() > LONGEST_BODY as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let body = timeout(BODY_WAIT, Limited::new(request.into_body(), LONGEST_BODY).collect()).await;
    let body = match body.map_err(|_| StatusCode::REQUEST_TIMEOUT)? {
        Ok(body) => body.to_bytes(),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => return Err(StatusCode::PAYLOAD_TOO_LARGE),
        Err(_) => return Err(BAD),
    };
    let expires_at = sent.checked_add(left).ok_or(BAD)?;
    Ok(Message { id, class, destination, order_key, idempotency_key, retry_header, expires_at, body })
}

/// A span as a number and a unit: `480m` milliseconds or `900u` microseconds.
fn span(text: &str) -> Option<Micros> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let factor = match unit {
        "m" => 1000.0,
        "u" => 1.0,
        _ => return None,
    };
    let span = number.parse::<f64>().ok()? * factor;
    (0.0..1e15).contains(&span).then_some(span as Micros)
}

fn destination(text: &str) -> Option<u32> {
    let mut pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    let number = pairs.find(|(name, _)| name.trim() == "dest")?.1.trim().parse::<f64>().ok()?;
    (number.fract() == 0.0 && (0.0..=LAST_DESTINATION).contains(&number)).then_some(number as u32)
}

#[cfg(test)]
#[path = "client_server_tests.rs"]
mod tests;
