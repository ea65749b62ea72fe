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

const LIST_VERSION: u64 = 1;
/// How long a watch waits if its request has no timeout.
const DEFAULT_WATCH_TIMEOUT: Duration = Duration::from_secs(1);

/// An endpoint list as discovery serves it.
#[derive(Debug, Serialize)]
struct ServerList {
    version: u64,
    full: bool,
    servers: Vec<ServerEntry>,
}

/// One endpoint of the list, the only one of its destination.
#[derive(Debug, Serialize)]
struct ServerEntry {
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
    pub rejecting: u64,
    /// Address of the destinations that deliver, and of those that reject.
    pub serving_address: SocketAddr,
    pub rejecting_address: SocketAddr,
    /// Listed rate limit of each destination, in calls per second.
    pub rate_limit: u64,
}

impl Destinations {
    /// Number of the first destination that rejects.
    pub fn first_rejecting(&self) -> u64 {
        self.listed.saturating_sub(self.rejecting)
    }

    fn entry(&self, number: u64) -> ServerEntry {
        let rejects = number >= self.first_rejecting();
        ServerEntry {
            id: format!("s-{number:08x}"),
            addr: if rejects { self.rejecting_address } else { self.serving_address },
            zone: ZONE,
            kind: KIND,
            cell: number,
            state: "active",
            weight: self.rate_limit as f64,
            started_ms: 0,
        }
    }
}

/// HTTP handler of the simulated discovery service.
#[derive(Debug)]
pub(super) struct DiscoveryServer {
    full_list: Bytes,
    no_changes: Bytes,
    full_list_requests: AtomicU64,
}

impl DiscoveryServer {
    /// A service that lists these destinations.
    pub fn new(destinations: &Destinations) -> serde_json::Result<DiscoveryServer> {
        let servers = (0..destinations.listed).map(|number| destinations.entry(number)).collect();
        let full_list = ServerList { version: LIST_VERSION, full: true, servers };
        let no_changes = ServerList { version: LIST_VERSION, full: false, servers: Vec::new() };
        Ok(DiscoveryServer {
            full_list: serde_json::to_vec(&full_list)?.into(),
            no_changes: serde_json::to_vec(&no_changes)?.into(),
            full_list_requests: AtomicU64::new(0),
        })
    }

    /// Size of the full list.
    pub fn list_bytes(&self) -> usize {
        self.full_list.len()
    }

    /// Number of requests for the full list so far.
    pub fn full_list_requests(&self) -> u64 {
        self.full_list_requests.load(Ordering::Relaxed)
    }
}

impl Handler for DiscoveryServer {
    async fn respond(&self, request: Request<Bytes>) -> Response<Full<Bytes>> {
        if request.method() == Method::POST {
            // A notice that a message was not delivered.
            return status(StatusCode::NO_CONTENT);
        }
        let query = request.uri().query().unwrap_or_default();
        if !query.contains("since=") {
            self.full_list_requests.fetch_add(1, Ordering::Relaxed);
            return Response::new(Full::new(self.full_list.clone()));
        }
        sleep(watch_timeout(query)).await;
        Response::new(Full::new(self.no_changes.clone()))
    }
}

/// How long a watch request wants to wait for a change.
fn watch_timeout(query: &str) -> Duration {
    let parameter = query.split('&').find_map(|pair| pair.strip_prefix("timeout_ms="));
    parameter.and_then(|number| number.parse().ok()).map_or(DEFAULT_WATCH_TIMEOUT, Duration::from_millis)
}

fn status(code: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = code;
    response
}
