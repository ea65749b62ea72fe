//! The discovery client: follows the endpoint list by long polling, at an address that may change.

use super::list::ServerList;
use super::timing::{Backoff, ClientOptions, NO_CHANGE_PAUSE, WATCH_WAIT};
use super::transport::{ListRequest, Reply, Transport};
use hyper::StatusCode;
use std::convert::Infallible;
use std::net::SocketAddr;
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

/// An event that the client reports to its user.
#[derive(Debug)]
pub enum DiscoveryEvent {
    /// A full list, or the entries that changed. A reply with neither is not reported.
    List(ServerList),
    /// A reply without a valid list.
    InvalidReply {
        /// HTTP status of the reply.
        status: StatusCode,
        /// Why the body could not be decoded as a list, if it could not.
        error: Option<serde_json::Error>,
    },
}

/// Result of one exchange with discovery.
enum ExchangeResult {
    /// The connection failed, or no complete reply arrived in time.
    NoReply,
    /// Discovery is overloaded and rejected the request.
    Overloaded,
    List(ServerList),
    Invalid(DiscoveryEvent),
}

impl From<Reply> for ExchangeResult {
    fn from(Reply { status, body }: Reply) -> ExchangeResult {
        if matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
            return ExchangeResult::Overloaded;
        }
        match serde_json::from_slice(&body) {
            Ok(list) if status == StatusCode::OK => ExchangeResult::List(list),
            other => ExchangeResult::Invalid(DiscoveryEvent::InvalidReply { status, error: other.err() }),
        }
    }
}

/// Follows the endpoint list over a transport and reports its changes.
pub struct Client<T, F> {
    transport: T,
    on_event: F,
    options: ClientOptions,
    random: fastrand::Rng,
}

impl<T: Transport, F: FnMut(DiscoveryEvent)> Client<T, F> {
    /// `on_event` is called with each event in order. Replicas need different seeds for `random`, so that they do not
    /// send their requests at the same times.
    pub fn new(transport: T, on_event: F, options: ClientOptions, random: fastrand::Rng) -> Client<T, F> {
        Client { transport, on_event, options, random }
    }

    /// Follows the list at `address`, starting from `known_version` if there is one, since a full list costs discovery
    /// work for each of its entries. Returns when the sender of the address is dropped.
    pub async fn run(mut self, mut address: watch::Receiver<SocketAddr>, known_version: Option<u64>) {
        let mut version = known_version;
        let delay = self.options.start_spread();
        if !delay.is_zero() {
            sleep(delay.mul_f64(self.random.f64())).await;
        }
        loop {
            let current = *address.borrow_and_update();
            tokio::select! {
                biased;
                never = self.follow(current, version.take()) => match never {},
                changed = address.changed() => if changed.is_err() { return },
            }
            // The versions at another address may be unrelated to these, so the full list is requested there.
            self.transport.disconnect();
        }
    }

    /// Follows the list at one address, from `version` or from the full list.
    async fn follow(&mut self, address: SocketAddr, mut version: Option<u64>) -> Infallible {
        let mut backoff = Backoff::new(self.options.max_pause());
        loop {
            let request = match version {
                Some(since) => ListRequest::Watch { since, wait: WATCH_WAIT },
                None => ListRequest::FullList,
            };
            let sent_at = Instant::now();
            match self.exchange(address, &request).await {
                ExchangeResult::NoReply => {
                    // The list stays in force, and the next watch continues from its version.
                    self.transport.disconnect();
                    sleep(backoff.next_pause()).await;
                }
                ExchangeResult::Overloaded => {
                    // Immediate retries would keep discovery overloaded.
                    self.transport.disconnect();
                    sleep(self.options.overload_pause(&mut self.random)).await;
                }
                ExchangeResult::List(list) => {
                    backoff.reset();
                    let version_changed = version.replace(list.version) != Some(list.version);
                    if list.full || !list.servers.is_empty() {
                        (self.on_event)(DiscoveryEvent::List(list));
                    }
                    if !version_changed && sent_at.elapsed() < NO_CHANGE_PAUSE {
                        sleep(NO_CHANGE_PAUSE).await;
                    }
                }
                ExchangeResult::Invalid(event) => {
                    (self.on_event)(event);
                    // Discovery may not know the version, so the full list is requested next.
                    version = None;
                    sleep(backoff.next_pause()).await;
                }
            }
        }
    }

    async fn exchange(&mut self, address: SocketAddr, request: &ListRequest) -> ExchangeResult {
        let reply_timeout = request.wait() + self.options.reply_grace();
        match timeout(reply_timeout, self.transport.exchange(address, request)).await {
            Ok(Ok(reply)) => ExchangeResult::from(reply),
            Ok(Err(_)) | Err(_) => ExchangeResult::NoReply,
        }
    }
}
