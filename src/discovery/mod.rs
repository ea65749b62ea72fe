//! Service discovery: the endpoint list as served over HTTP, and a client that follows its changes.
//!
//! [`Client`] watches the list by long polling. It exchanges requests over a [`Transport`] and reports
//! [`DiscoveryEvent`]s. The transport of the forwarder is an HTTP connection; simulations use one in memory, under
//! tokio's paused clock.
//!
//! ```
//! use hatchline::discovery::{Client, ClientOptions, DiscoveryEvent, DiscoveryMode};
//! use hatchline::discovery::{ListRequest, Reply, Transport, TransportError};
//! use std::net::SocketAddr;
//! use tokio::sync::{mpsc, watch};
//!
//! /// Replies to each request with the same list.
//! struct FixedList;
//!
//! impl Transport for FixedList {
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
//! let client = Client::new(FixedList, on_event, options, fastrand::Rng::with_seed(7));
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
