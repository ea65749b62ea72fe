//! Simulated destinations: one that delivers what it gets, and one that rejects it and requests a long wait.

use crate::instance::http_server::Handler;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::sleep;

/// Header that requests a wait before the next attempt, and its value: longer than a run, in milliseconds.
const PAUSE_HEADER: &str = "X-Come-Back-Ms";
const PAUSE_MS: &str = "3600000";

/// How a simulated destination responds.
#[derive(Clone, Copy, Debug)]
pub(super) enum Behavior {
    /// Delivers each message after this service time.
    Deliver(Duration),
    /// Rejects each message and requests a long wait.
    Pause,
}

/// HTTP handler for all destinations of one behavior.
#[derive(Debug)]
pub(super) struct DestinationServer {
    behavior: Behavior,
    answered: AtomicU64,
}

impl DestinationServer {
    pub fn new(behavior: Behavior) -> DestinationServer {
        DestinationServer { behavior, answered: AtomicU64::new(0) }
    }

    /// Number of responses so far.
    pub fn answered(&self) -> u64 {
        self.answered.load(Ordering::Relaxed)
    }
}

impl Handler for DestinationServer {
    async fn answer(&self, _: Request<Bytes>) -> Response<Full<Bytes>> {
        let mut response = Response::builder();
        match self.behavior {
            Behavior::Deliver(service_time) => {
                if !service_time.is_zero() {
                    sleep(service_time).await;
                }
            }
            Behavior::Pause => {
                response = response.status(StatusCode::TOO_MANY_REQUESTS).header(PAUSE_HEADER, PAUSE_MS);
            }
        }
        self.answered.fetch_add(1, Ordering::Relaxed);
        response.body(Full::default()).expect("the headers are valid")
    }
}
