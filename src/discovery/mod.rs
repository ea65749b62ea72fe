//! Service discovery: the list of endpoints as it is served over HTTP, and a client that follows its changes.
//!
//! [`Client`] keeps a watch on the list. It speaks through a [`Transport`] and reports [`DiscoveryEvent`]s, so that a
//! forwarder runs it over its connections and a simulation over memory and tokio's paused clock.
//!
//! ```
//! use hatchline::discovery::{Client, ClientOptions, DiscoveryEvent, DiscoveryMode};
//! use hatchline::discovery::{ListRequest, Reply, Transport, TransportError};
//! use std::net::SocketAddr;
//! use tokio::sync::{mpsc, watch};
//!
//! /// Answers each request with the same list.
//! struct OneList;
//!
//! impl Transport for OneList {
//!     async fn exchange(&mut self, _: SocketAddr, _: &ListRequest) -> Result<Reply, TransportError> {
//!         Ok(Reply { status: hyper::StatusCode::OK, body: r#"{"version":1,"full":true}"#.into() })
//!     }
//!     fn disconnect(&mut self) {}
//! }
//!
//! # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
//! let (_address, address) = watch::channel("127.0.0.1:8500".parse().unwrap());
//! let (events, mut received) = mpsc::unbounded_channel();
//! let options = ClientOptions { mode: DiscoveryMode::Pushed, replicas: 1 };
//! let on_event = move |event| drop(events.send(event));
//! let client = Client::new(OneList, on_event, options, fastrand::Rng::with_seed(7));
//! tokio::spawn(client.run(address, None));
//! assert!(matches!(received.recv().await, Some(DiscoveryEvent::List(list)) if list.version == 1));
//! # });
//! ```

mod client;
pub mod list;
mod timing;
mod transport;

pub use client::{Client, DiscoveryEvent};
pub use timing::{ClientOptions, DiscoveryMode};
pub use transport::{ListRequest, Reply, Transport, TransportError};
