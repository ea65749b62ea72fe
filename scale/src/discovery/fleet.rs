//! The simulated replicas: each runs the forwarder's discovery client over an in-memory transport.

use crate::discovery::propagation::Propagation;
use crate::discovery::server::{wire_length, DiscoveryServer};
use crate::discovery::traffic_meter::TrafficMeter;
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

/// Connection from a replica to the simulated discovery service, with network latency.
struct InMemoryTransport {
    replica: usize,
    server: Arc<DiscoveryServer>,
    meter: TrafficMeter,
    latency: Duration,
    is_connected: bool,
}

impl Transport for InMemoryTransport {
    async fn exchange(
        &mut self, address: SocketAddr, request: &ListRequest,
    ) -> Result<Reply, TransportError> {
        if !self.is_connected {
            sleep(self.latency).await;
            self.server.accept_connection().await;
            sleep(self.latency).await;
            self.is_connected = true;
        }
        self.meter.record_replica_request(self.replica, request.wire_format(address).len());
        sleep(self.latency).await;
        let reply = self.server.handle(self.replica, request).await;
        sleep(self.latency).await;
        self.meter.record_replica_response(self.replica, wire_length(&reply));
        Ok(reply)
    }

    fn disconnect(&mut self) {
        self.is_connected = false;
    }
}

/// All replicas, running and stopped.
#[derive(Debug)]
pub(super) struct Fleet {
    server: Arc<DiscoveryServer>,
    meter: TrafficMeter,
    propagation: Propagation,
    options: ClientOptions,
    latency: Duration,
    /// Source of a separate seed for each started client.
    random: ChaCha8Rng,
    discovery_address: watch::Sender<SocketAddr>,
    /// The client task of each running replica.
    clients: Vec<Option<JoinHandle<()>>>,
}

/// Settings of a fleet, the same for all replicas.
#[derive(Debug)]
pub(super) struct FleetSettings {
    pub options: ClientOptions,
    pub latency: Duration,
    pub discovery_address: SocketAddr,
    pub seed: u64,
}

impl Fleet {
    /// A fleet whose replicas are all stopped.
    pub fn new(
        settings: FleetSettings, server: Arc<DiscoveryServer>, meter: TrafficMeter, propagation: Propagation,
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

    pub fn start_all(&mut self) {
        (0..self.clients.len()).for_each(|replica| self.start(replica));
    }

    /// Starts a replica with the list version that it last had.
    pub fn start(&mut self, replica: usize) {
        self.server.end_watch(replica);
        let version = self.propagation.replica_started(replica);
        let transport = InMemoryTransport {
            replica,
            server: Arc::clone(&self.server),
            meter: self.meter.clone(),
            latency: self.latency,
            is_connected: false,
        };
        let propagation = self.propagation.clone();
        let on_event = move |event| match event {
            DiscoveryEvent::List(list) => propagation.record_version(replica, list.version),
            DiscoveryEvent::InvalidReply { status, error } => {
                tracing::warn!(replica, %status, ?error, "invalid response from discovery");
            }
        };
        let random = fastrand::Rng::with_seed(self.random.random());
        let client = Client::new(transport, on_event, self.options, random);
        let client_task = client.run(self.discovery_address.subscribe(), Some(version));
        self.clients[replica] = Some(tokio::spawn(client_task));
    }

    /// Stops a replica without notifying discovery.
    pub fn stop(&mut self, replica: usize) {
        if let Some(client) = self.clients[replica].take() {
            client.abort();
        }
        self.propagation.replica_stopped(replica);
    }
}
