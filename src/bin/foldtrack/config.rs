//! Configuration of the forwarder: the environment and the configuration file.

use hatchline::discovery::list::ServerList;
use hatchline::settings::DeploymentSettings;
use serde::Deserialize;
use std::env;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// The configuration of the process.
#[derive(Debug)]
pub(crate) struct Config {
    /// Where clients connect.
    pub listen_address: SocketAddr,
    pub discovery_address: SocketAddr,
    /// Where operators connect, if there is an admin server.
    pub admin_address: Option<SocketAddr>,
    /// Directory of the files that survive the process.
    pub state_directory: PathBuf,
    pub seed: u64,
    /// Sockets that may be open at once.
    pub max_sockets: usize,
    /// Bytes that the files in the state directory may take up.
    pub disk_bytes: u64,
    /// Memory that the process may take up, in bytes.
    pub memory_bytes: u64,
    /// Endpoint list to start with: that of the configuration file, until the start finds a newer one.
    pub known_endpoints: ServerList,
    pub settings: Arc<DeploymentSettings>,
}

#[derive(Deserialize)]
struct ConfigFile {
    listen: SocketAddr,
    discovery: SocketAddr,
    admin: Option<SocketAddr>,
    #[serde(default)]
    seed: String,
    limits: Limits,
    #[serde(default)]
    known: ServerList,
    settings: DeploymentSettings,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
    disk_mb: f64,
    #[serde(default = "least_memory_mb")]
    memory_mb: f64,
}

/// The least memory that a deployment gives a forwarder, in units of 1,000,000 bytes.
fn least_memory_mb() -> f64 {
    32.0
}

/// Bytes of a size in units of 1,000,000 bytes, if it is positive.
fn bytes_of_mb(name: &str, size_mb: f64) -> Result<u64, String> {
    let bytes = size_mb * 1e6;
    if bytes.is_finite() && bytes > 0.0 {
        return Ok(bytes as u64);
    }
    Err(format!("{name} is not a positive size"))
}

fn required_variable(name: &str) -> Result<String, String> {
    env::var(name).map_err(|e| format!("{name}: {e}"))
}

/// Parses an address from the environment, if the variable is set.
fn address_variable(name: &str) -> Result<Option<SocketAddr>, String> {
    let parse = |text: String| text.parse().map_err(|e| format!("{name}: {text}: {e}"));
    env::var(name).ok().filter(|text| !text.is_empty()).map(parse).transpose()
}

/// Reads the configuration file. Returns its path and its parsed content.
fn read_file() -> Result<(String, ConfigFile), String> {
    let path = required_variable("BALANCER_CONFIG")?;
    let text = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
    let file = serde_json::from_slice(&text).map_err(|e| format!("{path}: {e}"))?;
    Ok((path, file))
}

impl Config {
    /// Reads the address of discovery from the file, which may have been replaced since the start.
    pub fn reload_discovery_address() -> Result<SocketAddr, String> {
        Ok(read_file()?.1.discovery)
    }

    pub fn load() -> Result<Config, String> {
        let (path, mut file) = read_file()?;
        // The protocol has no call with several messages. The messages of a batch would go out as one call each, all
        // at once, on the slot and the rate limit share of a single message.
        file.settings.settings.batch_by_kind.clear();
        let in_file = |error| format!("{path}: {error}");
        let disk_bytes = bytes_of_mb("limits.disk_mb", file.limits.disk_mb).map_err(in_file)?;
        let memory_bytes = bytes_of_mb("limits.memory_mb", file.limits.memory_mb).map_err(in_file)?;
        if file.settings.settings.classes.is_empty() || file.settings.settings.slots == 0 {
            return Err(format!("{path}: settings need at least one class and one slot"));
        }
        let state_directory = PathBuf::from(required_variable("BALANCER_STATE")?);
        Ok(Config {
            listen_address: address_variable("BALANCER_LISTEN")?.unwrap_or(file.listen),
            // Not from the environment, which still has the address of the first start: the file may be newer.
            discovery_address: file.discovery,
            admin_address: address_variable("BALANCER_ADMIN")?.or(file.admin),
            seed: u64::from_str_radix(&file.seed, 16)
                .map_err(|e| format!("{path}: seed {:?}: {e}", file.seed))?,
            max_sockets: file.limits.sockets,
            disk_bytes,
            memory_bytes,
            known_endpoints: file.known,
            state_directory,
            settings: Arc::new(file.settings),
        })
    }
}
