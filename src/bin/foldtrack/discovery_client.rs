//! The discovery client over HTTP, which passes the endpoint lists on to the node. The connection is kept between
//! exchanges unless one fails.

use crate::connection::{HttpConnection, RequestBody, SendError};
use crate::events::{EventSender, NodeEvent};
use bytes::Bytes;
use hatchline::discovery::{Client, ClientOptions, DiscoveryEvent};
use hatchline::discovery::{ListRequest, Reply, Transport, TransportError};
use hatchline::Settings;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST};
use hyper::{Request, Response};
use std::net::SocketAddr;

/// Longest body of a reply.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Creates a client that reports each list to the node. The caller runs it.
pub(crate) fn build_client(
    settings: &Settings, events: EventSender,
) -> Client<HttpTransport, impl FnMut(DiscoveryEvent) + Send> {
    let on_event = move |event| match event {
        DiscoveryEvent::List(list) => events.send(NodeEvent::List(list)),
        DiscoveryEvent::InvalidReply { status, error } => {
            let reason = error.map_or_else(|| "unexpected status".to_string(), |error| error.to_string());
            eprintln!("discovery: invalid reply with status {status}: {reason}");
        }
    };
    Client::new(HttpTransport::default(), on_event, ClientOptions::from(settings), fastrand::Rng::new())
}

/// Transport over one HTTP connection.
#[derive(Debug, Default)]
pub(crate) struct HttpTransport {
    connection: Option<HttpConnection>,
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
        let (mut connection, response) = self.send(address, request).await?;
        let (status, closes) = (response.status(), closes_connection(&response));
        let body = connection.read_body(response.into_body(), MAX_LIST_BYTES).await;
        let body = body.ok_or(TransportError::Interrupted)?;
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
