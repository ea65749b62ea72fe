//! Calls to a forwarder: messages handed in, and what operators ask.

use crate::instance::error::InstanceError;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// The line of the forwarder's figures with the messages that are taken on and not yet over.
const HELD_FIGURE: &str = "active=";
/// The line with the endpoints that are listed.
const LISTED_FIGURE: &str = "pool_size=";

/// A message to be handed in.
#[derive(Clone, Debug)]
pub(super) struct Message {
    pub id: u64,
    pub class: &'static str,
    pub deadline_ms: u64,
    pub destination: u64,
    pub body: Bytes,
}

/// What a forwarder said to a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Answer {
    /// It was taken on.
    TakenOn,
    /// It may be handed in again.
    TurnedAway,
}

/// What a forwarder tells operators.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ForwarderFigures {
    pub held: u64,
    pub listed: u64,
}

/// A connection to a forwarder. It closes when this is dropped.
#[derive(Debug)]
pub(super) struct Connection {
    sender: SendRequest<Full<Bytes>>,
}

impl Connection {
    /// Connects to a forwarder.
    pub async fn open(address: SocketAddr) -> Result<Connection, InstanceError> {
        let connect = InstanceError::at("connecting to a forwarder");
        let stream = TcpStream::connect(address).await.map_err(&connect)?;
        stream.set_nodelay(true).map_err(&connect)?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await?;
        // Errors reach the call that is out.
        tokio::spawn(async move { drop(driver.await) });
        Ok(Connection { sender })
    }

    /// Hands a message in.
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

/// Whether a forwarder accepts clients.
pub(super) async fn is_ready(listen: SocketAddr) -> bool {
    matches!(get(listen, "/healthz").await, Ok((StatusCode::OK, _)))
}

/// What a forwarder tells operators now.
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
