//! A forwarder process and its directory, which outlives the process.

use crate::instance::client;
use crate::instance::configuration::{Addresses, Configuration};
use crate::instance::error::InstanceError;
use std::fs::{self, File};
use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Forwarders listen on 127.FIRST_NETWORK.0.1 and up. Each process of this tool uses one of `NETWORKS` networks.
const FIRST_NETWORK: u32 = 64;
const NETWORKS: u32 = 128;
const HOSTS_IN_NETWORK: u32 = 250 * 250;

/// A forwarder's directory, and its addresses, which it keeps across restarts.
#[derive(Debug)]
pub(super) struct ForwarderFolder {
    path: PathBuf,
    addresses: Addresses,
}

/// A running forwarder process. Dropping it kills the process.
#[derive(Debug)]
pub(super) struct Forwarder {
    child: Child,
    started: Instant,
    log: PathBuf,
    pub addresses: Addresses,
}

impl ForwarderFolder {
    /// Chooses the addresses and creates the directory with a configuration for them.
    pub fn create(
        path: PathBuf, discovery: SocketAddr, configuration: impl FnOnce(Addresses) -> Configuration,
    ) -> Result<ForwarderFolder, InstanceError> {
        let listen = own_address().map_err(InstanceError::at("choosing an address"))?;
        let admin = own_address().map_err(InstanceError::at("choosing an address"))?;
        let addresses = Addresses { listen, admin, discovery };
        let folder = ForwarderFolder { path, addresses };
        folder.fill(&configuration(addresses)).map_err(InstanceError::at("making a forwarder's folder"))?;
        Ok(folder)
    }

    fn fill(&self, configuration: &Configuration) -> io::Result<()> {
        fs::create_dir_all(self.state())?;
        fs::create_dir_all(self.temporary())?;
        fs::write(self.configuration(), serde_json::to_vec(configuration)?)
    }

    /// Starts a process with this directory.
    pub fn start(&self, binary: &Path) -> Result<Forwarder, InstanceError> {
        let log = self.path.join("log");
        let log_file = File::create(&log).map_err(InstanceError::at("creating a forwarder's log"))?;
        let started = Instant::now();
        let child = Command::new(binary)
            .env_clear()
            .env("BALANCER_CONFIG", self.configuration())
            .env("BALANCER_STATE", self.state())
            .env("TMPDIR", self.temporary())
            .current_dir(&self.path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log_file)
            .spawn()
            .map_err(InstanceError::at("starting a forwarder"))?;
        tracing::info!(process_id = child.id(), "forwarder started");
        Ok(Forwarder { child, started, log, addresses: self.addresses })
    }

    fn configuration(&self) -> PathBuf {
        self.path.join("config.json")
    }

    fn state(&self) -> PathBuf {
        self.path.join("state")
    }

    fn temporary(&self) -> PathBuf {
        self.path.join("tmp")
    }
}

impl Forwarder {
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the forwarder accepts clients, and returns the time since its start.
    pub async fn wait_until_ready(&mut self, patience: Duration) -> Result<Duration, InstanceError> {
        let listen = self.addresses.listen;
        if self.wait_until(patience, || client::is_ready(listen)).await? {
            return Ok(self.started.elapsed());
        }
        Err(InstanceError::TimedOut { what: "a forwarder accepts clients".to_owned(), patience })
    }

    /// Waits until a condition is met, and returns whether it was met in time. Fails if the process exits.
    pub async fn wait_until<F: Future<Output = bool>>(
        &mut self, patience: Duration, holds: impl Fn() -> F,
    ) -> Result<bool, InstanceError> {
        let begun = Instant::now();
        while begun.elapsed() < patience {
            if holds().await {
                return Ok(true);
            }
            self.check_running()?;
            sleep(POLL_INTERVAL).await;
        }
        Ok(false)
    }

    /// Time since the start of the process.
    pub fn age(&self) -> Duration {
        self.started.elapsed()
    }

    fn check_running(&mut self) -> Result<(), InstanceError> {
        let status = self.child.try_wait().map_err(InstanceError::at("looking after a forwarder"))?;
        let Some(status) = status else { return Ok(()) };
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let log = text.lines().last().unwrap_or("its log is empty").to_owned();
        Err(InstanceError::Ended { status, log })
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        // Both fail only if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Chooses an address with an unused host number and a free port. No outgoing connection of another process can take
/// the port before the forwarder listens on it, because those connections use other loopback addresses.
fn own_address() -> io::Result<SocketAddr> {
    static NEXT_HOST: AtomicU32 = AtomicU32::new(0);
    let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed) % HOSTS_IN_NETWORK;
    let network = FIRST_NETWORK + std::process::id() % NETWORKS;
    let address = Ipv4Addr::new(127, network as u8, (host / 250) as u8, (host % 250 + 1) as u8);
    TcpListener::bind((address, 0))?.local_addr()
}
