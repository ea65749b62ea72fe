//! Simulated discovery service with a list that never changes.

use crate::instance::configuration::{KIND, ZONE};
use crate::instance::http_server::Handler;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::sleep;

const VERSION: u64 = 1;
/// How long a watch waits if its request has no timeout.
const DEFAULT_WATCH: Duration = Duration::from_secs(1);

/// An endpoint list as discovery serves it.
#[derive(Debug, Serialize)]
struct ServerList {
    version: u64,
    full: bool,
    servers: Vec<ServerLine>,
}

/// One endpoint of the list, the only one of its destination.
#[derive(Debug, Serialize)]
struct ServerLine {
    id: String,
    addr: SocketAddr,
    zone: &'static str,
    kind: &'static str,
    cell: u64,
    state: &'static str,
    weight: f64,
    started_ms: u64,
}

/// The listed destinations, numbered from 0. The last `rejecting` of them reject all messages.
#[derive(Clone, Copy, Debug)]
pub(super) struct Destinations {
    pub listed: u64,
    pub paused: u64,
    /// Address of the destinations that deliver, and of those that reject.
    pub serving_address: SocketAddr,
    pub paused_address: SocketAddr,
    /// Listed rate limit of each destination, in calls per second.
    pub rate: u64,
}

impl Destinations {
    /// Number of the first destination that rejects.
    pub fn first_paused(&self) -> u64 {
        self.listed.saturating_sub(self.paused)
    }

    fn line(&self, number: u64) -> ServerLine {
        let pauses = number >= self.first_paused();
        ServerLine {
            id: format!("s-{number:08x}"),
            addr: if pauses { self.paused_address } else { self.serving_address },
            zone: ZONE,
            kind: KIND,
            cell: number,
            state: "active",
            weight: self.rate as f64,
            started_ms: 0,
        }
    }
}

/// HTTP handler of the simulated discovery service.
#[derive(Debug)]
pub(super) struct DiscoveryServer {
    whole_list: Bytes,
    no_changes: Bytes,
    whole_list_requests: AtomicU64,
}

impl DiscoveryServer {
    /// A service that lists these destinations.
    pub fn new(destinations: &Destinations) -> serde_json::Result<DiscoveryServer> {
        let servers = (0..destinations.listed).map(|number| destinations.line(number)).collect();
        let whole_list = ServerList { version: VERSION, full: true, servers };
        let no_changes = ServerList { version: VERSION, full: false, servers: Vec::new() };
        Ok(DiscoveryServer {
            whole_list: serde_json::to_vec(&whole_list)?.into(),
            no_changes: serde_json::to_vec(&no_changes)?.into(),
            whole_list_requests: AtomicU64::new(0),
        })
    }

    /// Size of the full list.
    pub fn list_bytes(&self) -> usize {
        self.whole_list.len()
    }

    /// Number of requests for the full list so far.
    pub fn whole_list_requests(&self) -> u64 {
        self.whole_list_requests.load(Ordering::Relaxed)
    }
}

impl Handler for DiscoveryServer {
    async fn answer(&self, request: Request<Bytes>) -> Response<Full<Bytes>> {
        if request.method() == Method::POST {
            // A report of a message that was not delivered.
            return status(StatusCode::NO_CONTENT);
        }
        let query = request.uri().query().unwrap_or_default();
        if !query.contains("since=") {
            self.whole_list_requests.fetch_add(1, Ordering::Relaxed);
            return Response::new(Full::new(self.whole_list.clone()));
        }
        sleep(watch_span(query)).await;
        Response::new(Full::new(self.no_changes.clone()))
    }
}

/// How long a watch request wants to wait for a change.
fn watch_span(query: &str) -> Duration {
    let named = query.split('&').find_map(|pair| pair.strip_prefix("timeout_ms="));
    named.and_then(|number| number.parse().ok()).map_or(DEFAULT_WATCH, Duration::from_millis)
}

fn status(code: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = code;
    response
}
