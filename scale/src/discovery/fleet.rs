//! The simulated instances: each runs the forwarder's discovery client over an in-memory transport.

use crate::discovery::meter::Meter;
use crate::discovery::propagation::Propagation;
use crate::discovery::server::{wire_length, DiscoveryServer};
use hatchline::discovery::{Client, ClientOptions, DiscoveryEvent};
use hatchline::discovery::{ListRequest, Reply, Transport, TransportError};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// The way from an instance to discovery and back.
struct InMemoryTransport {
    instance: usize,
    server: Arc<DiscoveryServer>,
    meter: Meter,
    latency: Duration,
    is_connected: bool,
}

impl Transport for InMemoryTransport {
    async fn exchange(
        &mut self, address: SocketAddr, request: &ListRequest,
    ) -> Result<Reply, TransportError> {
        if !self.is_connected {
            sleep(self.latency).await;
            self.server.accept().await;
            sleep(self.latency).await;
            self.is_connected = true;
        }
        self.meter.instance_sent(self.instance, request.wire_format(address).len());
        sleep(self.latency).await;
        let reply = self.server.call(self.instance, request).await;
        sleep(self.latency).await;
        self.meter.instance_received(self.instance, wire_length(&reply));
        Ok(reply)
    }

    fn disconnect(&mut self) {
        self.is_connected = false;
    }
}

/// All instances, those that run and those that do not.
#[derive(Debug)]
pub(super) struct Fleet {
    server: Arc<DiscoveryServer>,
    meter: Meter,
    propagation: Propagation,
    options: ClientOptions,
    latency: Duration,
    /// Gives each process a seed of its own.
    random: ChaCha8Rng,
    discovery_address: watch::Sender<SocketAddr>,
    /// The client of each instance that runs.
    clients: Vec<Option<JoinHandle<()>>>,
}

/// What all instances share.
#[derive(Debug)]
pub(super) struct FleetSettings {
    pub options: ClientOptions,
    pub latency: Duration,
    pub discovery_address: SocketAddr,
    pub seed: u64,
}

impl Fleet {
    /// A fleet of which no instance runs.
    pub fn new(
        settings: FleetSettings, server: Arc<DiscoveryServer>, meter: Meter, propagation: Propagation,
    ) -> Fleet {
        let clients = (0..settings.options.replicas).map(|_| None).collect();
        Fleet {
            server,
            meter,
            propagation,
            options: settings.options,
            latency: settings.latency,
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            discovery_address: watch::Sender::new(settings.discovery_address),
            clients,
        }
    }

    /// Starts all instances.
    pub fn start_all(&mut self) {
        (0..self.clients.len()).for_each(|instance| self.start(instance));
    }

    /// Starts an instance from the list that it had last.
    pub fn start(&mut self, instance: usize) {
        self.server.forget(instance);
        let version = self.propagation.started(instance);
        let transport = InMemoryTransport {
            instance,
            server: Arc::clone(&self.server),
            meter: self.meter.clone(),
            latency: self.latency,
            is_connected: false,
        };
        let propagation = self.propagation.clone();
        let on_event = move |event| match event {
            DiscoveryEvent::List(list) => propagation.learned(instance, list.version),
            DiscoveryEvent::InvalidReply { status, error } => {
                tracing::warn!(instance, %status, ?error, "unusable reply");
            }
        };
        let random = fastrand::Rng::with_seed(self.random.random());
        let client = Client::new(transport, on_event, self.options, random);
        let running = client.run(self.discovery_address.subscribe(), Some(version));
        self.clients[instance] = Some(tokio::spawn(running));
    }

    /// Ends an instance, with no word to discovery.
    pub fn stop(&mut self, instance: usize) {
        if let Some(client) = self.clients[instance].take() {
            client.abort();
        }
        self.propagation.stopped(instance);
    }
}
