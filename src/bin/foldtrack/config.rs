//! What the forwarder is told at its start: the environment and the configuration file.

use crate::endpoint_list_cache;
use hatchline::discovery::list::ServerList;
use hatchline::settings::DeploymentSettings;
use serde::Deserialize;
use std::env;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

#[derive(Debug)]
pub(crate) struct Config {
    pub listen_address: SocketAddr,
    pub discovery_address: SocketAddr,
    /// Where operators connect, if they may.
    pub admin_address: Option<SocketAddr>,
    pub state_directory: PathBuf,
    pub seed: u64,
    pub max_sockets: usize,
    pub disk_bytes: u64,
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
}

fn variable(name: &str) -> Result<String, String> {
    env::var(name).map_err(|e| format!("{name}: {e}"))
}

/// An address from the environment, where it is set.
fn address(name: &str) -> Result<Option<SocketAddr>, String> {
    let parse = |text: String| text.parse().map_err(|e| format!("{name}: {text}: {e}"));
    env::var(name).ok().filter(|text| !text.is_empty()).map(parse).transpose()
}

/// The file as it is now, and its path.
fn read_file() -> Result<(String, ConfigFile), String> {
    let path = variable("BALANCER_CONFIG")?;
    let text = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
    let file = serde_json::from_slice(&text).map_err(|e| format!("{path}: {e}"))?;
    Ok((path, file))
}

impl Config {
    /// Where discovery is by the file, which may have been replaced since the start.
    pub fn reload_discovery_address() -> Result<SocketAddr, String> {
        Ok(read_file()?.1.discovery)
    }

    pub fn load() -> Result<Config, String> {
        let (path, mut file) = read_file()?;
        // The protocol has no call with several messages: joined ones would go as a call each, all at once, on the slot
        // and the part of the limit of one.
        file.settings.settings.batch_by_kind.clear();
        let disk_bytes = file.limits.disk_mb * 1e6;
        if !(disk_bytes.is_finite() && disk_bytes > 0.0) {
            return Err(format!("{path}: limits.disk_mb is no room"));
        }
        if file.settings.settings.classes.is_empty() || file.settings.settings.slots == 0 {
            return Err(format!("{path}: settings without classes or without slots"));
        }
        let state_directory = PathBuf::from(variable("BALANCER_STATE")?);
        Ok(Config {
            listen_address: address("BALANCER_LISTEN")?.unwrap_or(file.listen),
            // The environment keeps the address of the first start; the file may be newer.
            discovery_address: file.discovery,
            admin_address: address("BALANCER_ADMIN")?.or(file.admin),
            seed: u64::from_str_radix(&file.seed, 16)
                .map_err(|e| format!("{path}: seed {:?}: {e}", file.seed))?,
            max_sockets: file.limits.sockets,
            disk_bytes: disk_bytes as u64,
            known_endpoints: endpoint_list_cache::load_newest(&state_directory, file.known),
            state_directory,
            settings: Arc::new(file.settings),
        })
    }
}
