//! The discovery client over HTTP, which passes the endpoint lists on to the node. The connection is kept between
//! exchanges unless one fails.

use crate::connection::{HttpConnection, RequestBody};
use crate::events::{EventSender, NodeEvent};
use bytes::Bytes;
use hatchline::discovery::{Client, ClientOptions, DiscoveryEvent};
use hatchline::discovery::{ListRequest, Reply, Transport, TransportError};
use hatchline::Settings;
use http_body_util::{BodyExt, Limited};
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

impl Transport for HttpTransport {
    async fn exchange(
        &mut self, address: SocketAddr, request: &ListRequest,
    ) -> Result<Reply, TransportError> {
        let request = http_request(address, request)?;
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => HttpConnection::open(address, |_| ()).await.map_err(TransportError::Connect)?,
        };
        let response = connection.send(request).await.map_err(|_| TransportError::Interrupted)?;
        let status = response.status();
        if closes_connection(&response) {
            let body = Limited::new(response.into_body(), MAX_LIST_BYTES).collect().await;
            let body = body.map_err(|_| TransportError::Interrupted)?.to_bytes();
            return Ok(Reply { status, body });
        }
        let body = connection.read_body(response.into_body(), MAX_LIST_BYTES).await;
        let body = body.ok_or(TransportError::Interrupted)?;
        if !connection.is_ready_again().await {
            return Err(TransportError::Interrupted);
        }
        self.connection = Some(connection);
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
