//! Simulated destinations: one that delivers all messages, and one that rejects them with a long Retry-After.

use crate::instance::http_server::Handler;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::sleep;

/// Retry-After header of the protocol, and its value in milliseconds, which is longer than a run.
const RETRY_AFTER_HEADER: &str = "X-Come-Back-Ms";
const RETRY_AFTER_MS: &str = "3600000";

/// How a simulated destination responds.
#[derive(Clone, Copy, Debug)]
pub(super) enum DestinationBehavior {
    /// Delivers each message after this service time.
    Deliver(Duration),
    /// Rejects each message with a long Retry-After.
    Reject,
}

/// HTTP handler for all destinations of one behavior.
#[derive(Debug)]
pub(super) struct DestinationServer {
    behavior: DestinationBehavior,
    response_count: AtomicU64,
}

impl DestinationServer {
    pub fn new(behavior: DestinationBehavior) -> DestinationServer {
        DestinationServer { behavior, response_count: AtomicU64::new(0) }
    }

    /// Number of responses so far.
    pub fn response_count(&self) -> u64 {
        self.response_count.load(Ordering::Relaxed)
    }
}

impl Handler for DestinationServer {
    async fn respond(&self, _: Request<Bytes>) -> Response<Full<Bytes>> {
        let mut response = Response::builder();
        match self.behavior {
            DestinationBehavior::Deliver(service_time) => {
                if !service_time.is_zero() {
                    sleep(service_time).await;
                }
            }
            DestinationBehavior::Reject => {
                response =
                    response.status(StatusCode::TOO_MANY_REQUESTS).header(RETRY_AFTER_HEADER, RETRY_AFTER_MS);
            }
        }
        self.response_count.fetch_add(1, Ordering::Relaxed);
        response.body(Full::default()).expect("the headers are valid")
    }
}
