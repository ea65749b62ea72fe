//! The client: a watch on the list for as long as it runs, wherever discovery is.

use super::list::ServerList;
use super::timing::{Backoff, ClientOptions, EMPTY_PAUSE, WATCH};
use super::transport::{ListRequest, Reply, Transport};
use hyper::StatusCode;
use std::convert::Infallible;
use std::net::SocketAddr;
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

/// What the client reports.
#[derive(Debug)]
pub enum DiscoveryEvent {
    /// A whole list, or the entries that changed. Lists without either are not reported.
    List(ServerList),
    /// A reply that holds no list.
    InvalidReply {
        /// The status of the reply.
        status: StatusCode,
        /// Why its body is no list, where it is none.
        error: Option<serde_json::Error>,
    },
}

/// How an exchange ended.
enum Outcome {
    /// No connection, no reply in time, or not a whole one.
    NoReply,
    /// Discovery has too much to do.
    TurnedAway,
    List(ServerList),
    Unusable(DiscoveryEvent),
}

impl From<Reply> for Outcome {
    fn from(Reply { status, body }: Reply) -> Outcome {
        if matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
            return Outcome::TurnedAway;
        }
        match serde_json::from_slice(&body) {
            Ok(list) if status == StatusCode::OK => Outcome::List(list),
            other => Outcome::Unusable(DiscoveryEvent::InvalidReply { status, error: other.err() }),
        }
    }
}

/// Follows the list over a transport and passes on what it learns.
pub struct Client<T, F> {
    transport: T,
    on_event: F,
    options: ClientOptions,
    random: fastrand::Rng,
}

impl<T: Transport, F: FnMut(DiscoveryEvent)> Client<T, F> {
    /// `on_event` is called with each event, in their order. Replicas need different seeds for `random`.
    pub fn new(transport: T, on_event: F, options: ClientOptions, random: fastrand::Rng) -> Client<T, F> {
        Client { transport, on_event, options, random }
    }

    /// Follows the list at an address that may change, from a known version on: a whole list costs discovery work for
    /// each of its entries. Ends when the sender of the address is dropped.
    pub async fn run(mut self, mut address: watch::Receiver<SocketAddr>, known_version: Option<u64>) {
        let mut version = known_version;
        let delay = self.options.begin_spread();
        if !delay.is_zero() {
            sleep(delay.mul_f64(self.random.f64())).await;
        }
        loop {
            let current = *address.borrow_and_update();
            tokio::select! {
                biased;
                never = self.follow(current, version.take()) => match never {},
                moved = address.changed() => if moved.is_err() { return },
            }
            // Versions of another address need not go on from these: it is asked for the whole list.
            self.transport.disconnect();
        }
    }

    /// Follows the list at one address, from a version or from the whole list on.
    async fn follow(&mut self, address: SocketAddr, mut version: Option<u64>) -> Infallible {
        let mut backoff = Backoff::new(self.options.longest_pause());
        loop {
            let request = match version {
                Some(since) => ListRequest::Watch { since, wait: WATCH },
                None => ListRequest::FullList,
            };
            let asked = Instant::now();
            match self.exchange(address, &request).await {
                Outcome::NoReply => {
                    // The list stays as it is, and the watch goes on from its version.
                    self.transport.disconnect();
                    sleep(backoff.pause()).await;
                }
                Outcome::TurnedAway => {
                    // Calls that come again soon would keep discovery overloaded.
                    self.transport.disconnect();
                    sleep(self.options.turned_away_pause(&mut self.random)).await;
                }
                Outcome::List(list) => {
                    backoff.reset();
                    let news = version.replace(list.version) != Some(list.version);
                    if list.full || !list.servers.is_empty() {
                        (self.on_event)(DiscoveryEvent::List(list));
                    }
                    if !news && asked.elapsed() < EMPTY_PAUSE {
                        sleep(EMPTY_PAUSE).await;
                    }
                }
                Outcome::Unusable(event) => {
                    (self.on_event)(event);
                    // The version may be unknown there: the whole list is asked for.
                    version = None;
                    sleep(backoff.pause()).await;
                }
            }
        }
    }

    async fn exchange(&mut self, address: SocketAddr, request: &ListRequest) -> Outcome {
        let due = request.wait() + self.options.reply_grace();
        match timeout(due, self.transport.exchange(address, request)).await {
            Ok(Ok(reply)) => Outcome::from(reply),
            Ok(Err(_)) | Err(_) => Outcome::NoReply,
        }
    }
}
