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
pub(super) struct ForwarderDirectory {
    path: PathBuf,
    addresses: Addresses,
}

/// A running forwarder process. Dropping it kills the process.
#[derive(Debug)]
pub(super) struct Forwarder {
    child: Child,
    started_at: Instant,
    log_path: PathBuf,
    pub addresses: Addresses,
}

impl ForwarderDirectory {
    /// Chooses the addresses and creates the directory with a configuration for them.
    pub fn create(
        path: PathBuf, discovery: SocketAddr, configuration: impl FnOnce(Addresses) -> Configuration,
    ) -> Result<ForwarderDirectory, InstanceError> {
        let listen = allocate_address().map_err(InstanceError::during("choosing an address"))?;
        let admin = allocate_address().map_err(InstanceError::during("choosing an address"))?;
        let addresses = Addresses { listen, admin, discovery };
        let directory = ForwarderDirectory { path, addresses };
        directory
            .write_files(&configuration(addresses))
            .map_err(InstanceError::during("creating a forwarder's directory"))?;
        Ok(directory)
    }

    fn write_files(&self, configuration: &Configuration) -> io::Result<()> {
        fs::create_dir_all(self.state_directory())?;
        fs::create_dir_all(self.temporary_directory())?;
        fs::write(self.configuration_path(), serde_json::to_vec(configuration)?)
    }

    /// Starts a process with this directory.
    pub fn start(&self, binary: &Path) -> Result<Forwarder, InstanceError> {
        let log_path = self.path.join("log");
        let log_file =
            File::create(&log_path).map_err(InstanceError::during("creating a forwarder's log"))?;
        let started_at = Instant::now();
        let child = Command::new(binary)
            .env_clear()
            .env("BALANCER_CONFIG", self.configuration_path())
            .env("BALANCER_STATE", self.state_directory())
            .env("TMPDIR", self.temporary_directory())
            .current_dir(&self.path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log_file)
            .spawn()
            .map_err(InstanceError::during("starting a forwarder"))?;
        tracing::info!(process_id = child.id(), "forwarder started");
        Ok(Forwarder { child, started_at, log_path, addresses: self.addresses })
    }

    fn configuration_path(&self) -> PathBuf {
        self.path.join("config.json")
    }

    fn state_directory(&self) -> PathBuf {
        self.path.join("state")
    }

    fn temporary_directory(&self) -> PathBuf {
        self.path.join("tmp")
    }
}

impl Forwarder {
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the forwarder accepts clients, and returns the time since its start.
    pub async fn wait_until_ready(&mut self, timeout: Duration) -> Result<Duration, InstanceError> {
        let listen = self.addresses.listen;
        if self.wait_until(timeout, || client::is_ready(listen)).await? {
            return Ok(self.started_at.elapsed());
        }
        Err(InstanceError::TimedOut { condition: "a forwarder accepts clients".to_owned(), timeout })
    }

    /// Waits until a condition is met, and returns whether it was met in time. Fails if the process exits.
    pub async fn wait_until<F: Future<Output = bool>>(
        &mut self, timeout: Duration, is_met: impl Fn() -> F,
    ) -> Result<bool, InstanceError> {
        let wait_started_at = Instant::now();
        while wait_started_at.elapsed() < timeout {
            if is_met().await {
                return Ok(true);
            }
            self.check_running()?;
            sleep(POLL_INTERVAL).await;
        }
        Ok(false)
    }

    /// Time since the start of the process.
    pub fn uptime(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn check_running(&mut self) -> Result<(), InstanceError> {
        let status =
            self.child.try_wait().map_err(InstanceError::during("checking the status of a forwarder"))?;
        let Some(status) = status else { return Ok(()) };
        let text = fs::read_to_string(&self.log_path).unwrap_or_default();
        let last_log_line = text.lines().last().unwrap_or("its log is empty").to_owned();
        Err(InstanceError::ForwarderExited { status, last_log_line })
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
fn allocate_address() -> io::Result<SocketAddr> {
    static NEXT_HOST: AtomicU32 = AtomicU32::new(0);
    let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed) % HOSTS_IN_NETWORK;
    let network = FIRST_NETWORK + std::process::id() % NETWORKS;
    let address = Ipv4Addr::new(127, network as u8, (host / 250) as u8, (host % 250 + 1) as u8);
    TcpListener::bind((address, 0))?.local_addr()
}
