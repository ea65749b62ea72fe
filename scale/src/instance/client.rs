//! HTTP client of a forwarder: submits messages and reads metrics.

use crate::instance::error::InstanceError;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Prefix of the metrics line with the number of accepted messages that have not ended.
const HELD_METRIC_PREFIX: &str = "active=";
/// Prefix of the metrics line with the number of listed endpoints.
const LISTED_METRIC_PREFIX: &str = "pool_size=";

/// A message to submit.
#[derive(Clone, Debug)]
pub(super) struct Message {
    pub id: u64,
    pub class: &'static str,
    pub deadline_ms: u64,
    pub destination: u64,
    pub body: Bytes,
}

/// A forwarder's response to a submitted message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SubmitResponse {
    Accepted,
    /// The client may submit the message again.
    Refused,
}

/// The metrics of a forwarder that the experiment uses.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ForwarderMetrics {
    pub held: u64,
    pub listed: u64,
}

/// A connection to a forwarder. Dropping it closes it.
#[derive(Debug)]
pub(super) struct Connection {
    request_sender: SendRequest<Full<Bytes>>,
}

impl Connection {
    pub async fn open(address: SocketAddr) -> Result<Connection, InstanceError> {
        let connect = InstanceError::during("connecting to a forwarder");
        let stream = TcpStream::connect(address).await.map_err(&connect)?;
        stream.set_nodelay(true).map_err(&connect)?;
        let (request_sender, driver) = http1::handshake(TokioIo::new(stream)).await?;
        // A connection error surfaces in the request in flight.
        tokio::spawn(async move { drop(driver.await) });
        Ok(Connection { request_sender })
    }

    pub async fn submit(&mut self, message: &Message) -> Result<SubmitResponse, InstanceError> {
        let request = Request::post(format!("/{}", message.class))
            .header("Host", "backend.local")
            .header("X-Request-Id", format!("{:016x}", message.id))
            .header("X-Deadline", format!("{}m", message.deadline_ms))
            .header("X-Consignee", format!("dest={}", message.destination))
            .body(Full::new(message.body.clone()))
            .expect("the headers are valid");
        match self.send(request).await? {
            (StatusCode::OK | StatusCode::ACCEPTED, _) => Ok(SubmitResponse::Accepted),
            (StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE, _) => {
                Ok(SubmitResponse::Refused)
            }
            (other, _) => Err(InstanceError::UnexpectedStatus(other)),
        }
    }

    async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<(StatusCode, Bytes), InstanceError> {
        self.request_sender.ready().await?;
        let response = self.request_sender.send_request(request).await?;
        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        Ok((status, body))
    }
}

/// Whether a forwarder passes its health check.
pub(super) async fn is_ready(listen: SocketAddr) -> bool {
    matches!(get(listen, "/healthz").await, Ok((StatusCode::OK, _)))
}

/// Reads a forwarder's metrics from its admin server.
pub(super) async fn fetch_metrics(admin: SocketAddr) -> Result<ForwarderMetrics, InstanceError> {
    match get(admin, "/-/metrics").await? {
        (StatusCode::OK, body) => {
            let text = String::from_utf8_lossy(&body);
            Ok(ForwarderMetrics {
                held: parse_metric(&text, HELD_METRIC_PREFIX),
                listed: parse_metric(&text, LISTED_METRIC_PREFIX),
            })
        }
        (other, _) => Err(InstanceError::UnexpectedStatus(other)),
    }
}

async fn get(address: SocketAddr, path: &str) -> Result<(StatusCode, Bytes), InstanceError> {
    let request = Request::get(path)
        .header("Host", "backend.local")
        .header("Connection", "close")
        .body(Full::default())
        .expect("the headers are valid");
    Connection::open(address).await?.send(request).await
}

fn parse_metric(text: &str, prefix: &str) -> u64 {
    let value = text.lines().find_map(|line| line.strip_prefix(prefix));
    value.and_then(|number| number.parse().ok()).unwrap_or_default()
}
