//! The HTTP server to which clients submit their messages: serves one accepted connection.

use crate::admission::{AdmissionLimiter, AdmissionWaiter};
use crate::body_memory::BodyMemory;
use crate::client_close;
use crate::client_stats::{ClientStats, CloseReason};
use crate::client_stream::{ClientStream, ConnectionState, IdleCheck, RequestStream};
use crate::clock::Clock;
use crate::connection_limit::ConnectionPermit;
use crate::events::{EventSender, LifecycleStage, NodeEvent, SubmitResponse};
use crate::overload::OverloadMonitor;
use crate::submission::{read_message, ReceivedMessage, BODY_TIMEOUT};
use crate::unread_responses::{UnreadResponse, UnreadResponses};
use bytes::Bytes;
use hatchline::settings::DeploymentSettings;
use hatchline::Micros;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, sleep_until, Instant, Sleep};

/// Upper bound on the bytes that a connection buffers, and so on the head of a request.
const MAX_BUFFER_BYTES: usize = 16 * 1024;
/// Time within which a new connection has to send a whole request head, and after which an idle connection is
/// closed. Idle clients must be kept for 2 s, and a peer that does not speak the protocol must be closed
/// within 3 s of connecting, the time for a body included.
pub(crate) const HEAD_TIMEOUT: Duration = Duration::from_millis(2200);
/// Additional time for a head that has begun to arrive by then.
const HEAD_COMPLETION_TIMEOUT: Duration = BODY_TIMEOUT;
/// How long a client waits for its response.
pub(crate) const CLIENT_RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
/// A request that has waited this long to be read is refused: the rest of the client's time is needed to read
/// it, to decide and to respond.
pub(crate) const MAX_READ_DELAY: Duration = Duration::from_millis(200);
/// Retry-After for requests refused under overload, where the settings allow one: the excess has been
/// processed or refused by then.
const OVERLOAD_RETRY_AFTER: Micros = 1_000_000;
/// A client that leaves its response unread for this long has given up, as it waits only
/// [`CLIENT_RESPONSE_TIMEOUT`], or does not speak the protocol.
const RESPONSE_WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Ids are as long as a client makes them.
const MAX_LOGGED_ID_CHARACTERS: usize = 64;
/// Delay between the `Closing` stage and the close of a connection.
const CLOSE_DELAY: Duration = Duration::from_millis(50);
/// Requests read per turn of the event loop: with the connections accepted, about 1 ms of work. Even with 1% of a
/// core, a turn then stays well below the 300 ms within which a notice is due.
pub(crate) const READS_PER_TURN: usize = 8;

/// State shared by all connections.
pub(crate) struct ServerContext {
    pub settings: Arc<DeploymentSettings>,
    pub clock: Clock,
    pub events: EventSender,
    pub stage: watch::Receiver<LifecycleStage>,
    pub overload: OverloadMonitor,
    pub read_limiter: AdmissionLimiter,
    pub unread_responses: UnreadResponses,
    pub client_stats: ClientStats,
    pub body_memory: BodyMemory,
}

/// How the exchange on a connection ends.
enum ConnectionEnd {
    /// The client has closed it, or all that was due on it is done.
    Finished,
    /// The client has disconnected, or what it sent is not HTTP, exceeds a limit or does not come in time.
    Failed(hyper::Error),
    /// The client has left its response unread for too long.
    ResponseUnread,
}

/// Limits how long a response may wait for the client to read, also while the connection is being closed.
struct ResponseTimer {
    state: ConnectionState,
    unread_responses: UnreadResponses,
    /// The response that waits, and the end of its time.
    waiting: Option<(UnreadResponse, Pin<Box<Sleep>>)>,
}

impl ResponseTimer {
    /// Ready once a response has waited for [`RESPONSE_WRITE_TIMEOUT`]. To be polled after the connection, which
    /// writes what it can.
    fn poll_expired(&mut self, cx: &mut Context) -> Poll<()> {
        let Some(ready_at) = self.state.progress().response_ready_at else {
            self.waiting = None;
            return Poll::Pending;
        };
        let expires_at = ready_at + RESPONSE_WRITE_TIMEOUT;
        let (_, timer) = self
            .waiting
            .get_or_insert_with(|| (self.unread_responses.add(), Box::pin(sleep_until(expires_at))));
        if timer.deadline() != expires_at {
            timer.as_mut().reset(expires_at);
        }
        timer.as_mut().poll(cx)
    }
}

/// Serves one client connection until it is closed.
pub(crate) async fn serve_client(
    stream: impl ClientStream, context: Arc<ServerContext>,
    (connection_permit, mut evicted): (ConnectionPermit, oneshot::Receiver<()>), queue_time: Duration,
) {
    let mut stage = context.stage.clone();
    let close_stage = async {
        let _ = stage.wait_for(|s| *s == LifecycleStage::Closing).await;
        // Requests that have already arrived at the socket are noticed within this time.
        sleep(CLOSE_DELAY).await;
    };
    let mut close_stage = pin!(close_stage);
    let (permit, state) = (&connection_permit, ConnectionState::default());
    let (waiter, stats) = (AdmissionWaiter::new(&context.read_limiter), context.client_stats.clone());
    let stream = RequestStream::new(stream, state.clone(), waiter, stats.clone(), queue_time);
    let service = service_fn(|request| {
        let (context, state) = (context.clone(), state.clone());
        Box::pin(async move { Ok::<_, Infallible>(respond(request, &context, permit, &state).await) })
    });
    let mut http_connection = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT + HEAD_COMPLETION_TIMEOUT)
        // A client may half-close its connection after its request and still wait for the response.
        .half_close(true)
        .serve_connection(TokioIo::new(stream), service);
    let mut response_timer = ResponseTimer {
        state: state.clone(),
        unread_responses: context.unread_responses.clone(),
        waiting: None,
    };
    let (mut evictable, mut closing, mut close_reason) = (true, false, CloseReason::Finished);
    let mut idle_timer = pin!(sleep(HEAD_TIMEOUT));
    // A request that has arrived is read before the connection is told to close, as it would be cut off
    // without a response.
    loop {
        tokio::select! {
            biased;
            // Polled after the connection, so that a response that has just been written is not late.
            end = poll_fn(|cx| match http_connection.poll_without_shutdown(cx) {
                Poll::Ready(Ok(())) => Poll::Ready(ConnectionEnd::Finished),
                Poll::Ready(Err(error)) => Poll::Ready(ConnectionEnd::Failed(error)),
                Poll::Pending => response_timer.poll_expired(cx).map(|()| ConnectionEnd::ResponseUnread),
            }) => match end {
                ConnectionEnd::Finished => {
                    stats.record_close(close_reason);
                    break;
                }
                ConnectionEnd::Failed(error) => {
                    if state.progress().client_gone {
                        stats.record_close(CloseReason::ClientGone);
                    } else if error.is_timeout() {
                        close_reason = CloseReason::NoRequest;
                        stats.record_close(close_reason);
                    } else {
                        let is_invalid = error.is_parse();
                        close_reason =
                            if is_invalid { CloseReason::InvalidRequest } else { CloseReason::Disconnected };
                        stats.record_error(close_reason, &error);
                    }
                    break;
                }
                ConnectionEnd::ResponseUnread => {
                    stats.record_close(CloseReason::ResponseUnread);
                    context.events.send(NodeEvent::ResponseUnread);
                    return;
                }
            },
            signal = &mut evicted, if evictable => {
                evictable = false;
                if signal.is_ok() && !permit.decline_eviction() {
                    close_reason = CloseReason::Evicted;
                    stats.record_close(close_reason);
                    if state.progress().unanswered == 0 {
                        return;
                    }
                    break;
                }
            }
            () = &mut idle_timer, if !closing => match state.progress().check_idle() {
                IdleCheck::RecheckAt(at) => idle_timer.as_mut().reset(at),
                IdleCheck::CloseIdle => {
                    (closing, close_reason) = (true, CloseReason::Idle);
                    Pin::new(&mut http_connection).graceful_shutdown();
                }
                IdleCheck::NoRequest => {
                    close_reason = CloseReason::NoRequest;
                    stats.record_close(close_reason);
                    break;
                }
            },
            () = &mut close_stage, if !closing => {
                (closing, close_reason) = (true, CloseReason::Terminating);
                let mut progress = state.progress();
                progress.closing = true;
                // The response to the last request that has begun to arrive closes the connection.
                if progress.is_idle() {
                    drop(progress);
                    Pin::new(&mut http_connection).graceful_shutdown();
                }
            }
        }
    }
    let client = http_connection.into_parts().io.into_inner().stream;
    let mut progress = std::mem::take(&mut *state.progress());
    // Dropping the guard reports whether something of the response was written: otherwise its message is not accepted.
    drop(progress.response_guard.take());
    client_close::close(client, connection_permit, &progress, close_reason, &stats).await;
}

/// A response without a body.
fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Responds to one request.
async fn respond(
    request: Request<Incoming>, context: &ServerContext, permit: &ConnectionPermit, state: &ConnectionState,
) -> Response<Full<Bytes>> {
    state.progress().head_received = true;
    let answer = match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => Ok(empty_response(StatusCode::OK)),
        _ => {
            let id = request_id(&request);
            let answer = submit(request, context, permit, state).await;
            answer.inspect_err(|status| context.client_stats.record_rejection(*status, id.as_deref()))
        }
    };
    // A peer that does not speak the protocol does not keep its connection either, and of one whose body was given up
    // the rest would be read.
    let rejected = answer.is_err();
    let mut response = answer.unwrap_or_else(empty_response);
    let last_response =
        *context.stage.borrow() != LifecycleStage::Serving && !state.progress().has_read_ahead();
    if last_response || rejected {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let mut progress = state.progress();
    progress.rejected |= rejected;
    progress.response_ready_at = Some(Instant::now());
    response
}

/// The start of a request's id, for the log.
fn request_id(request: &Request<Incoming>) -> Option<String> {
    let id = request.headers().get("X-Request-Id")?.to_str().ok()?;
    Some(id.chars().take(MAX_LOGGED_ID_CHARACTERS).collect())
}

/// A 503 response, with a Retry-After unless that is 0.
fn refusal_response(retry_in_ms: u64) -> Response<Full<Bytes>> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    if retry_in_ms > 0 {
        let seconds = format!("{:.3}", retry_in_ms as f64 / 1e3);
        response.headers_mut().extend(HeaderValue::try_from(seconds).ok().map(|v| (RETRY_AFTER, v)));
    }
    response
}

/// Submits a message to the node and waits for its response. An error is the status of a request that is not a message, or
/// that could not be read whole.
async fn submit(
    request: Request<Incoming>, context: &ServerContext, permit: &ConnectionPermit, state: &ConnectionState,
) -> Result<Response<Full<Bytes>>, StatusCode> {
    let queue_time = state.progress().queue_time;
    let ReceivedMessage { message, reservation: _reservation } =
        read_message(request, context, queue_time).await?;
    permit.mark_active();
    if state.progress().too_late {
        context.events.send(NodeEvent::RefusedLate { class: message.class });
        let settings = &context.settings.settings;
        let wait = if settings.may_send_retry_after {
            settings.max_retry_after.min(OVERLOAD_RETRY_AFTER)
        } else {
            0
        };
        return Ok(refusal_response(wait.div_ceil(1000)));
    }
    let (reply, response) = oneshot::channel();
    let (message, client) = (Arc::new(message), permit.number());
    context.events.send(NodeEvent::Submit { message, client, reply });
    match response.await {
        Ok(SubmitResponse::Accepted(response_guard)) => {
            state.progress().response_guard = Some(response_guard);
            Ok(empty_response(StatusCode::ACCEPTED))
        }
        Ok(SubmitResponse::Refused { retry_in_ms }) => Ok(refusal_response(retry_in_ms)),
        Ok(SubmitResponse::Delivered) => Ok(empty_response(StatusCode::OK)),
        Ok(SubmitResponse::Failed) => Ok(empty_response(StatusCode::GONE)),
        Err(_) => Ok(refusal_response(0)),
    }
}

#[cfg(test)]
#[path = "client_server_tests.rs"]
pub(crate) mod tests;
