//! The discovery client over HTTP, which passes the endpoint lists on to the node. The connection is kept between
//! exchanges unless one fails.

use crate::connection::{HttpConnection, RequestBody, SendError};
use crate::events::{EventSender, NodeEvent};
use crate::http_body::BodyError;
use bytes::Bytes;
use hatchline::discovery::{Client, ClientOptions, DiscoveryEvent};
use hatchline::discovery::{ListRequest, Reply, Transport, TransportError};
use hatchline::Settings;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST};
use hyper::{Request, Response};
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Poll};
use tokio::sync::oneshot;

/// Creates a client that reports each list of at most `max_list_bytes` to the node. The caller runs it.
pub(crate) fn build_client(
    settings: &Settings, max_list_bytes: usize, events: EventSender,
) -> Client<HttpTransport, impl FnMut(DiscoveryEvent) + Send> {
    let unhandled_list = UnhandledList::default();
    let transport =
        HttpTransport { connection: None, unhandled_list: unhandled_list.clone(), max_list_bytes };
    let on_event = move |event| match event {
        DiscoveryEvent::List(list) => {
            let (handled, node_has_handled) = oneshot::channel();
            unhandled_list.set(node_has_handled);
            events.send(NodeEvent::List { list, handled })
        }
        DiscoveryEvent::InvalidReply { status, error } => {
            let reason = error.map_or_else(|| "unexpected status".to_string(), |error| error.to_string());
            log::warn!("discovery: invalid reply with status {status}: {reason}");
        }
    };
    Client::new(transport, on_event, ClientOptions::from(settings), fastrand::Rng::new())
}

/// The list that the node has not handled yet, if there is one.
#[derive(Clone, Debug, Default)]
struct UnhandledList(Arc<Mutex<Option<oneshot::Receiver<()>>>>);

impl UnhandledList {
    fn slot(&self) -> MutexGuard<'_, Option<oneshot::Receiver<()>>> {
        // Each change is an assignment: a panic elsewhere leaves it consistent.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, handled: oneshot::Receiver<()>) {
        *self.slot() = Some(handled);
    }

    /// Waits until the node has handled it. The list stays unhandled if this is dropped before.
    async fn wait(&self) {
        poll_fn(|cx| {
            let mut unhandled = self.slot();
            if let Some(handled) = unhandled.as_mut() {
                // Only the end of the channel is awaited.
                let _ = ready!(Pin::new(handled).poll(cx));
            }
            *unhandled = None;
            Poll::Ready(())
        })
        .await
    }
}

/// Transport over one HTTP connection. The request that tells discovery that a list has arrived waits until the node has
/// handled the list: a kill after that request must not bring back the list before, and lists that come faster than they
/// are handled must not queue up.
#[derive(Debug)]
pub(crate) struct HttpTransport {
    connection: Option<HttpConnection>,
    unhandled_list: UnhandledList,
    /// Longest body of a reply.
    max_list_bytes: usize,
}

impl HttpTransport {
    /// Sends a request on the kept connection, or on a new one if that turns out to be closed.
    async fn send(
        &mut self, address: SocketAddr, request: &ListRequest,
    ) -> Result<(HttpConnection, Response<Incoming>), TransportError> {
        if let Some(mut connection) = self.connection.take() {
            match connection.send(http_request(address, request)?).await {
                Ok(response) => return Ok((connection, response)),
                Err(SendError::NotWritten) => {}
                Err(SendError::ConnectionLost) => return Err(TransportError::Interrupted),
            }
        }
        let opened = HttpConnection::open(address, |_| ()).await;
        let mut connection = opened.map_err(TransportError::Connect)?;
        let sent = connection.send(http_request(address, request)?).await;
        Ok((connection, sent.map_err(|_| TransportError::Interrupted)?))
    }
}

impl Transport for HttpTransport {
    async fn exchange(
        &mut self, address: SocketAddr, request: &ListRequest,
    ) -> Result<Reply, TransportError> {
        self.unhandled_list.wait().await;
        let (mut connection, response) = self.send(address, request).await?;
        let (status, closes) = (response.status(), closes_connection(&response));
        let body = connection.read_body(response.into_body(), self.max_list_bytes).await;
        let body = body.map_err(|error| {
            if error == BodyError::TooLong {
                log::warn!("discovery: reply longer than {} bytes dropped", self.max_list_bytes);
            }
            TransportError::Interrupted
        })?;
        // The reply is complete and counts, whatever becomes of its connection.
        if !closes && connection.is_ready_again().await {
            self.connection = Some(connection);
        }
        Ok(Reply { status, body })
    }

    fn disconnect(&mut self) {
        self.connection = None;
    }
}

fn http_request(address: SocketAddr, request: &ListRequest) -> Result<Request<RequestBody>, TransportError> {
    Request::get(request.path())
        .header(HOST, address.to_string())
        .body(RequestBody::unreported(Bytes::new()))
        .map_err(|_| TransportError::InvalidRequest)
}

/// Whether discovery closes the connection after this reply.
fn closes_connection(response: &Response<Incoming>) -> bool {
    let connection = response.headers().get(CONNECTION);
    connection.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

#[cfg(test)]
#[path = "discovery_client_tests.rs"]
mod tests;
