//! Calls to targets: one call and its outcome, and the connections that stand idle between calls.

use crate::connection::{HttpConnection, RequestBody, SendError, StatusLine};
use crate::events::{CallEnd, EventSender, NodeEvent};
use crate::message::Message;
use hatchline::{LimitReport, Outcome, TargetId};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, CONNECTION, CONTENT_TYPE, HOST};
use hyper::{Method, Request, Response, StatusCode};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{sleep_until, timeout, Instant};

/// The rest of an answer, whose meaning its first line has told, must come within this span and size for the
/// connection to be used again.
const REST_WAIT: Duration = Duration::from_millis(20);
const REST_BYTES: usize = 64 * 1024;

/// The connections that stand idle, by target, the one used last at the end.
#[derive(Debug)]
pub(crate) struct IdleConnectionPool {
    by_target: BTreeMap<TargetId, Vec<(Instant, HttpConnection)>>,
    longest: Duration,
    most: usize,
}

impl IdleConnectionPool {
    /// Targets close a connection that has been idle for `conn_idle`. A call that meets such a close may have
    /// run, which ends an unsafe message: connections are not used for the last second of it.
    pub fn new(conn_idle: Duration, most: usize) -> Self {
        let margin = Duration::from_secs(1).min(conn_idle / 4);
        IdleConnectionPool { by_target: BTreeMap::new(), longest: conn_idle - margin, most }
    }

    pub fn take(&mut self, target: TargetId) -> Option<(Duration, HttpConnection)> {
        self.evict_expired();
        let idle = self.by_target.get_mut(&target)?;
        let last = idle.iter().rposition(|(_, c)| c.is_usable())?;
        let (since, connection) = idle.remove(last);
        Some((since.elapsed(), connection))
    }

    pub fn put(&mut self, target: TargetId, connection: HttpConnection) {
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
    pub fn evict_expired(&mut self) {
        let now = Instant::now();
        for idle in self.by_target.values_mut() {
            idle.retain(|(since, c)| !c.is_closed() && now < *since + self.longest);
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
    pub timeout_at: Instant,
    /// One that stood idle, and for how long.
    pub connection: Option<(Duration, HttpConnection)>,
    /// Answers told as limit reports.
    pub reads_limit_reports: bool,
    /// How often operators had taken the target out or put it back when the call began.
    pub generation: u32,
}

/// Makes one call and tells its end: exactly once, and never tries again by itself.
pub(crate) async fn make_call(call: Call, mut cancelled: oneshot::Receiver<()>, inputs: EventSender) {
    let end = CallEnd::new(call.number, call.attempt, call.target, Outcome::ConnectFailed, false);
    let mut end = CallEnd { generation: call.generation, ..end };
    let Call { message, connection: idle, timeout_at, dial_timeout, address, reads_limit_reports, .. } = call;
    end.idle_for = idle.as_ref().map(|(idle_for, _)| *idle_for);
    let (reused, written) = (idle.is_some(), inputs.clone());
    // From when the request is with the connection only an answer proves that it has not run.
    let mut handed_over = None;
    let mut unused = None;
    let exchange = async {
        let mut connection = match idle {
            Some((_, connection)) => connection,
            None => {
                let tell = move |class| written.send(NodeEvent::MessageWritten { class });
                let Ok(Ok(connection)) = timeout(dial_timeout, HttpConnection::open(address, tell)).await
                else {
                    return Err(Outcome::ConnectFailed);
                };
                // A lost packet makes this late by a second: what was told meanwhile holds for this call too.
                let (go, may_go) = oneshot::channel();
                let (number, attempt, target) = (call.number, call.attempt, call.target);
                inputs.send(NodeEvent::Connected { number, attempt, target, proceed: go });
                if !may_go.await.unwrap_or(false) {
                    unused = Some(connection);
                    return Err(Outcome::NotSent);
                }
                connection
            }
        };
        let payload = connection.request_body(&message);
        let request = request(&message, payload, address, timeout_at).ok_or(Outcome::NotSent)?;
        handed_over = Some(connection.first_line.clone());
        match connection.send(request).await {
            Ok(response) => Ok((connection, response)),
            // A connection that was closed while it stood idle tells nothing of the target's health.
            Err(SendError::NotWritten) if reused => Err(Outcome::NotSent),
            Err(SendError::NotWritten) => Err(Outcome::ConnectFailed),
            Err(SendError::ConnectionLost) => Err(Outcome::Reset),
        }
    };
    let answer = tokio::select! {
        biased;
        answer = exchange => answer.map_err(Some),
        () = sleep_until(timeout_at) => Err(None),
        Ok(()) = &mut cancelled => Err(Some(Outcome::Cancelled)),
    };
    match answer {
        Ok((mut connection, response)) => {
            read_head(&mut end, &response, reads_limit_reports);
            if !reused && is_crowded(&end, &response) {
                end.outcome = Outcome::TooManyConnections;
            }
            let rest = timeout(REST_WAIT, connection.read_body(response.into_body(), REST_BYTES)).await;
            end.connection = matches!(rest, Ok(Some(_))).then_some(connection);
            end.response_truncated = end.connection.is_none() && end.outcome != Outcome::TooManyConnections;
        }
        // The rest of the answer cannot be read, or does not come.
        Err(_) if handed_over.as_ref().is_some_and(StatusLine::is_ok) => {
            (end.outcome, end.completes_message, end.response_truncated) = (Outcome::Ok, true, true);
        }
        Err(Some(Outcome::Cancelled)) if handed_over.is_none() => end.outcome = Outcome::NotSent,
        Err(None) if handed_over.is_none() => end.outcome = Outcome::ConnectFailed,
        Err(None) => end.outcome = Outcome::TimedOut,
        Err(Some(outcome)) => (end.outcome, end.connection) = (outcome, unused),
    }
    inputs.send(NodeEvent::CallEnded(end));
}

fn request(
    message: &Message, payload: RequestBody, address: SocketAddr, timeout_at: Instant,
) -> Option<Request<RequestBody>> {
    let left = timeout_at.saturating_duration_since(Instant::now()).as_micros();
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
    closes && end.outcome == Outcome::Rejected && end.wait_until.is_none()
}

/// What an answer means, by the table of the protocol. What is not in it may have run.
fn read_head(end: &mut CallEnd, response: &Response<Incoming>, reads_limit_reports: bool) {
    let headers = response.headers();
    end.outcome = match response.status() {
        StatusCode::OK => Outcome::Ok,
        StatusCode::TOO_MANY_REQUESTS => Outcome::Rejected,
        StatusCode::SERVICE_UNAVAILABLE if headers.contains_key("X-Line-Busy") => Outcome::NotSent,
        StatusCode::SERVICE_UNAVAILABLE => Outcome::Rejected,
        StatusCode::GATEWAY_TIMEOUT | StatusCode::GONE => Outcome::NotSent,
        _ => Outcome::Error,
    };
    end.completes_message = matches!(response.status(), StatusCode::OK | StatusCode::GONE);
    if end.outcome == Outcome::Rejected {
        let wait = text(headers, "X-Come-Back-Ms").and_then(|ms| ms.trim().parse::<f64>().ok());
        let wait = wait.and_then(|ms| Duration::try_from_secs_f64(ms / 1000.0).ok());
        end.wait_until = wait.and_then(|w| Instant::now().checked_add(w));
    }
    end.limit_report = text(headers, "X-Load").filter(|_| reads_limit_reports).and_then(limit_report);
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
