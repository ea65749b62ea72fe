//! Delivery policy for outbound messages to the systems of other companies.
//!
//! The caller owns sockets, clocks and threads. It passes [`Event`]s to a [`DeliveryPolicy`] and carries out
//! the [`Action`]s that it returns. Each forwarder has one `DeliveryPolicy`; the policies of several
//! forwarders share no state.
//!
//! ```
//! use hatchline::{Action, Class, DeliveryPolicy, Endpoint, EndpointState, Event, ListKind};
//! use hatchline::{RetrySafety, Settings};
//!
//! let class = Class { aim: 2_000_000, deadline: 20_000_000, worth: 1.0, late_value: 0.5,
//!     retry_safety: RetrySafety::Repeatable, ..Class::default() };
//! let settings = Settings { replicas: 1, slots: 8, max_held: 100, max_attempts: 5,
//!     classes: vec![class], ..Settings::default() };
//! let mut policy = DeliveryPolicy::new(0, 42, settings);
//! let mut actions = Vec::new();
//!
//! let endpoint = Endpoint { target: 7, destination: 1, state: EndpointState::Ready, ..Endpoint::default() };
//! let list = Event::List { kind: ListKind::Full, version: 1, endpoints: vec![endpoint] };
//! policy.handle(0, list, &mut actions);
//! let request = Event::Request { id: 1, class: 0, destination: 1, order_key: 0, expires: 20_000_000 };
//! policy.handle(0, request, &mut actions);
//! policy.decide(0, &mut actions); // once after the last event of this moment
//!
//! assert!(actions.iter().any(|action| matches!(action, Action::Send { id: 1, target: 7, .. })));
//! ```
#![warn(missing_docs)]

mod activation;
mod destinations;
pub mod discovery;
mod endpoint_counts;
pub mod interface;
mod listing;
mod policy;
mod queueing;
mod random;
mod response_time_histogram;
mod route_table;
pub mod settings;
mod state;

pub use interface::*;
pub use policy::{
    ClientId, DeliveryPolicy, EndedRequest, PreviousRequest, RequestEnd, RequestHistory, FORMAT,
    UNKNOWN_CLIENT,
};
