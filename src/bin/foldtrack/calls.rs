//! Calls to endpoints: runs one call to its outcome, and pools the connections that are idle between calls.

use crate::connection::{HttpConnection, RequestBody, SendError};
use crate::events::{CallEnd, EventSender, NodeEvent};
use crate::exchange::Exchange;
use crate::http_body::BodyError;
use crate::message::Message;
use crate::response_head::ResponseHead;
use hatchline::{Outcome, TargetId};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{sleep_until, timeout, Instant};

/// Where the outcome does not depend on the body of the response: if the body does not arrive within this time, the
/// connection is closed instead of being used again.
const BODY_TIMEOUT: Duration = Duration::from_millis(20);
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Idle connections by target; in each list the most recently used comes last.
#[derive(Debug)]
pub(crate) struct IdleConnectionPool {
    by_target: BTreeMap<TargetId, Vec<(Instant, HttpConnection)>>,
    max_idle: Duration,
    max_connections: usize,
}

impl IdleConnectionPool {
    /// Endpoints close a connection that has been idle for `idle_timeout`. A call on a connection that is being
    /// closed may have run, which ends a message that is unsafe to repeat. So connections are no longer used in the
    /// last second of that time, or in its last quarter if that is shorter.
    pub fn new(idle_timeout: Duration, max_connections: usize) -> Self {
        let margin = Duration::from_secs(1).min(idle_timeout / 4);
        IdleConnectionPool { by_target: BTreeMap::new(), max_idle: idle_timeout - margin, max_connections }
    }

    pub fn take(&mut self, target: TargetId) -> Option<(Duration, HttpConnection)> {
        self.evict_expired();
        let idle = self.by_target.get_mut(&target)?;
        let newest = idle.iter().rposition(|(_, c)| c.is_usable())?;
        let (idle_since, connection) = idle.remove(newest);
        Some((idle_since.elapsed(), connection))
    }

    pub fn put(&mut self, target: TargetId, connection: HttpConnection) {
        self.by_target.entry(target).or_default().push((Instant::now(), connection));
        if self.count() > self.max_connections {
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

    /// Drops connections that are closed or have been idle for too long.
    pub fn evict_expired(&mut self) {
        let now = Instant::now();
        for idle in self.by_target.values_mut() {
            idle.retain(|(idle_since, c)| !c.is_closed() && now < *idle_since + self.max_idle);
        }
        self.by_target.retain(|_, idle| !idle.is_empty());
    }
}

/// The parameters of one call.
pub(crate) struct Call {
    /// Number of the message in the order of arrival.
    pub number: u64,
    pub attempt: u32,
    pub target: TargetId,
    pub address: SocketAddr,
    pub message: Arc<Message>,
    pub connect_timeout: Duration,
    pub timeout_at: Instant,
    /// A pooled connection and how long it has been idle. Without one, a new connection is opened.
    pub connection: Option<(Duration, HttpConnection)>,
    /// Whether the responses of this deployment carry limit reports.
    pub reads_limit_reports: bool,
    /// Connection generation of the endpoint when the call started; it grows when an operator disables or enables the
    /// endpoint.
    pub generation: u32,
}

/// Makes one call and reports its end exactly once. It never retries.
pub(crate) async fn make_call(call: Call, mut cancelled: oneshot::Receiver<()>, events: EventSender) {
    let end = CallEnd::new(call.number, call.attempt, call.target, Outcome::ConnectFailed, false);
    let mut end = CallEnd { generation: call.generation, ..end };
    let Call { message, connection: idle, timeout_at, connect_timeout, address, reads_limit_reports, .. } =
        call;
    end.idle_for = idle.as_ref().map(|(idle_for, _)| *idle_for);
    let (reused, written_events) = (idle.is_some(), events.clone());
    // Once the request has been handed to the connection, only a response proves that it did not run.
    let mut exchange = None;
    let mut unused_connection = None;
    let call_result = async {
        let mut connection = match idle {
            Some((_, connection)) => connection,
            None => {
                let on_written = move |class| written_events.send(NodeEvent::MessageWritten { class });
                let Ok(Ok(connection)) =
                    timeout(connect_timeout, HttpConnection::open(address, on_written)).await
                else {
                    return Err(Outcome::ConnectFailed);
                };
                // A lost packet delays connecting by a second. A drain or a Retry-After that arrived meanwhile applies
                // to this call too, so the node is asked once more.
                let (proceed, may_proceed) = oneshot::channel();
                let (number, attempt, target) = (call.number, call.attempt, call.target);
                events.send(NodeEvent::Connected { number, attempt, target, proceed });
                if !may_proceed.await.unwrap_or(false) {
                    unused_connection = Some(connection);
                    return Err(Outcome::NotSent);
                }
                connection
            }
        };
        exchange = Some(connection.exchange.clone());
        connection.prepare().await;
        let body = connection.request_body(&message);
        let request = build_request(&message, body, address, timeout_at).ok_or(Outcome::NotSent)?;
        let response = connection.send(request).await.map_err(|error| match error {
            // A pooled connection that the endpoint has closed, or sent more on, says nothing about its health.
            SendError::NotWritten if reused => Outcome::NotSent,
            SendError::NotWritten => Outcome::ConnectFailed,
            SendError::ConnectionLost => Outcome::Reset,
        })?;
        let (parts, body) = response.into_parts();
        let head = ResponseHead::read(&parts, reads_limit_reports);
        // Holds whatever follows: it only holds back further calls.
        end.wait_until = head.wait_until;
        end.response_truncated = true;
        if !head.outcome.never_ran() {
            return Ok((connection, head, Some(body)));
        }
        // A response that cannot be read is no proof that the call did not run.
        connection.read_body(body, MAX_BODY_BYTES).await.map_err(|error| match error {
            BodyError::Interrupted => Outcome::Reset,
            BodyError::TooLong | BodyError::OutOfMemory => Outcome::Error,
        })?;
        end.response_truncated = false;
        Ok((connection, head, None))
    };
    let result = tokio::select! {
        biased;
        result = call_result => result.map_err(Some),
        () = sleep_until(timeout_at) => Err(None),
        Ok(()) = &mut cancelled => Err(Some(Outcome::Cancelled)),
    };
    let request_begun = exchange.as_ref().is_some_and(Exchange::request_begun);
    match result {
        Ok((mut connection, head, unread_body)) => {
            let rejects_connection = !reused && head.rejects_connection();
            end.outcome = if rejects_connection { Outcome::TooManyConnections } else { head.outcome };
            (end.completes_message, end.limit_report) = (head.completes_message, head.limit_report);
            let read = async {
                if let Some(body) = unread_body {
                    connection.read_body(body, MAX_BODY_BYTES).await.ok()?;
                    end.response_truncated = false;
                }
                connection.is_ready_again().await.then_some(())
            };
            let reusable = timeout(BODY_TIMEOUT, read).await.is_ok_and(|ready| ready.is_some());
            end.connection = reusable.then_some(connection);
        }
        // The status line says 200, but the response cannot be read or is incomplete: the message is delivered.
        Err(_) if exchange.as_ref().is_some_and(Exchange::has_ok_status_line) => {
            (end.outcome, end.completes_message, end.response_truncated) = (Outcome::Ok, true, true);
        }
        Err(Some(Outcome::Cancelled)) if !request_begun => end.outcome = Outcome::NotSent,
        // A connection that is up but not used in time says nothing about the endpoint.
        Err(None) if !request_begun && reused => end.outcome = Outcome::NotSent,
        Err(None) if !request_begun => end.outcome = Outcome::ConnectFailed,
        Err(None) => end.outcome = Outcome::TimedOut,
        Err(Some(outcome)) => (end.outcome, end.connection) = (outcome, unused_connection),
    }
    events.send(NodeEvent::CallEnded(end));
}

fn build_request(
    message: &Message, body: RequestBody, address: SocketAddr, timeout_at: Instant,
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
    request.body(body).ok()
}

#[cfg(test)]
#[path = "calls_tests.rs"]
mod tests;
