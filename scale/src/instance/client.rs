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
const HELD_FIGURE: &str = "active=";
/// Prefix of the metrics line with the number of listed endpoints.
const LISTED_FIGURE: &str = "pool_size=";

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
pub(super) enum Answer {
    TakenOn,
    /// The client may submit the message again.
    TurnedAway,
}

/// The metrics of a forwarder that the experiment uses.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ForwarderFigures {
    pub held: u64,
    pub listed: u64,
}

/// A connection to a forwarder. Dropping it closes it.
#[derive(Debug)]
pub(super) struct Connection {
    sender: SendRequest<Full<Bytes>>,
}

impl Connection {
    pub async fn open(address: SocketAddr) -> Result<Connection, InstanceError> {
        let connect = InstanceError::at("connecting to a forwarder");
        let stream = TcpStream::connect(address).await.map_err(&connect)?;
        stream.set_nodelay(true).map_err(&connect)?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await?;
        // A connection error surfaces in the request in flight.
        tokio::spawn(async move { drop(driver.await) });
        Ok(Connection { sender })
    }

    pub async fn hand_in(&mut self, message: &Message) -> Result<Answer, InstanceError> {
        let request = Request::post(format!("/{}", message.class))
            .header("Host", "backend.local")
            .header("X-Request-Id", format!("{:016x}", message.id))
            .header("X-Deadline", format!("{}m", message.deadline_ms))
            .header("X-Consignee", format!("dest={}", message.destination))
            .body(Full::new(message.body.clone()))
            .expect("the headers are valid");
        match self.call(request).await? {
            (StatusCode::OK | StatusCode::ACCEPTED, _) => Ok(Answer::TakenOn),
            (StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE, _) => Ok(Answer::TurnedAway),
            (other, _) => Err(InstanceError::UnexpectedStatus(other)),
        }
    }

    async fn call(&mut self, request: Request<Full<Bytes>>) -> Result<(StatusCode, Bytes), InstanceError> {
        self.sender.ready().await?;
        let response = self.sender.send_request(request).await?;
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
pub(super) async fn figures(admin: SocketAddr) -> Result<ForwarderFigures, InstanceError> {
    match get(admin, "/-/metrics").await? {
        (StatusCode::OK, body) => {
            let text = String::from_utf8_lossy(&body);
            Ok(ForwarderFigures { held: figure(&text, HELD_FIGURE), listed: figure(&text, LISTED_FIGURE) })
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
    Connection::open(address).await?.call(request).await
}

fn figure(text: &str, name: &str) -> u64 {
    let value = text.lines().find_map(|line| line.strip_prefix(name));
    value.and_then(|number| number.parse().ok()).unwrap_or_default()
}
