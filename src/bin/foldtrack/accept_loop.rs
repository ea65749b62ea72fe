//! Accepts the connections of clients, within the connection limit and at the rate that the event loop keeps up with.

use crate::admission::{AdmissionLimiter, AdmissionWaiter};
use crate::client_server::{serve_client, ServerContext, CLIENT_RESPONSE_TIMEOUT, MAX_READ_DELAY};
use crate::client_stream::ClientStream;
use crate::connection_limit::ConnectionLimit;
use crate::events::{LifecycleStage, NodeEvent};
use crate::streams;
use rustix::net::{listen, sockopt::set_socket_send_buffer_size};
use std::future::poll_fn;
use std::io;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, Instant};

/// Delay before accepting again after an error, such as a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Connections accepted per turn of the event loop; see [`READS_PER_TURN`](crate::client_server::READS_PER_TURN).
const ACCEPTS_PER_TURN: usize = 2;
/// Length of the listener's accept queue without overload: the length that the listener is bound with.
pub(crate) const MAX_ACCEPT_BACKLOG: u32 = 1024;

/// Send buffer of a client connection, which holds many responses. By itself the system lets it grow to megabytes
/// while a client sends requests and reads nothing.
const SEND_BUFFER_BYTES: usize = 16 * 1024;

/// How long queued connections are accepted once the listener is to be closed. Clients that have waited for longer have
/// given up, and others may connect for as long as it is open.
const MAX_DRAIN_TIME: Duration = CLIENT_RESPONSE_TIMEOUT;

/// How long an accepted connection waits for another one to close before it is refused.
const MAX_CONNECTION_WAIT: Duration = MAX_READ_DELAY;

/// Number of queued connections that can be accepted in time for a response, given the mean turn time.
/// Connections beyond it cost no processor time, and a longer queue would fill with clients that have given up.
fn accept_backlog(mean_turn_time: Duration) -> u32 {
    let turns = MAX_READ_DELAY.as_secs_f64() / mean_turn_time.as_secs_f64().max(1e-6);
    ((turns * ACCEPTS_PER_TURN as f64) as u32).clamp(1, MAX_ACCEPT_BACKLOG)
}

/// Accepts and serves connections until a successor accepts them, or until this process closes its listener and the queued
/// connections have been accepted, as far as they are within [`MAX_DRAIN_TIME`].
pub(crate) async fn serve(listener: TcpListener, context: Arc<ServerContext>, connections: ConnectionLimit) {
    let mut stage = context.stage.clone();
    let mut waiter = AdmissionWaiter::new(&AdmissionLimiter::new(ACCEPTS_PER_TURN));
    let mut backlog = MAX_ACCEPT_BACKLOG;
    let (mut queue_empty_at, mut queue_drained) = (Instant::now(), false);
    let mut closing_since: Option<Instant> = None;
    while closing_since.is_none_or(|since| since.elapsed() < MAX_DRAIN_TIME) {
        let closing = closing_since.is_some();
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
                    Poll::Pending if closing => Poll::Ready(Err(io::ErrorKind::WouldBlock.into())),
                    accepted => accepted,
                }
            });
            let (stream, _) =
                accepted.await.inspect_err(|e| queue_drained = e.kind() == io::ErrorKind::WouldBlock).ok()?;
            if !was_queued {
                queue_empty_at = Instant::now();
            }
            Some(stream)
        };
        let accepted = tokio::select! {
            accepted = accept => accepted,
            _ = stage.wait_for(|s| !s.accepts()), if !closing => {
                // After a takeover the successor accepts from the same queue. Otherwise the queued connections
                // are accepted first, as closing the listener would reset them without a response.
                if *context.stage.borrow() == LifecycleStage::HandedOver {
                    if backlog < MAX_ACCEPT_BACKLOG {
                        set_backlog(&listener, MAX_ACCEPT_BACKLOG);
                    }
                    return;
                }
                closing_since = Some(Instant::now());
                continue;
            }
        };
        match accepted {
            // Not cancelled by a change of stage: this process owes the accepted connection a response.
            Some(stream) => admit_connection(stream, queue_empty_at, &context, &connections).await,
            None if queue_drained => return,
            None => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Serves an accepted connection in a task of its own, or refuses it at the connection limit. Connections may have
/// waited in the accept queue since `queue_empty_at`.
async fn admit_connection(
    stream: TcpStream, queue_empty_at: Instant, context: &Arc<ServerContext>, connections: &ConnectionLimit,
) {
    let Some(permit) = connections.acquire_within(MAX_CONNECTION_WAIT).await else {
        context.events.send(NodeEvent::ConnectionRefused);
        return connections.refuse(stream);
    };
    if context.overload.is_overloaded() && stream.has_hung_up() {
        // Nearly all of these clients have given up after their 400 ms. Processing their requests would take the time
        // that the other clients need, until every request is served too late. Awaited here, so that refusals are no
        // faster than the event loop: what these clients had to send has arrived, so that this waits for none of them.
        return streams::refuse_unread(stream).await;
    }
    let queue_time = queue_empty_at.elapsed().min(CLIENT_RESPONSE_TIMEOUT);
    let context = context.clone();
    tokio::spawn(async move {
        // Without it the connection is served as well, with a larger buffer.
        let _ = set_socket_send_buffer_size(&stream, SEND_BUFFER_BYTES);
        if stream.set_nodelay(true).is_ok() {
            serve_client(stream, context, permit, queue_time).await;
        }
    });
}

/// Sets the length of the listener's accept queue.
fn set_backlog(listener: &TcpListener, count: u32) {
    if let Err(error) = listen(listener, i32::try_from(count).unwrap_or(i32::MAX)) {
        log::warn!("clients: cannot set the accept backlog to {count}: {error}");
    }
}

#[cfg(test)]
#[path = "accept_loop_tests.rs"]
mod tests;
