//! Starts the node: as the successor of a running process, or from the write-ahead log. An error is taken to last for a
//! moment: after a kill another socket may have the address, and the files may fail.

use super::Node;
use crate::accept_loop::MAX_ACCEPT_BACKLOG;
use crate::config::Config;
use crate::endpoint_list_cache;
use crate::events::EventSender;
use crate::hot_restart::{self, LogLock, StartMode};
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::path::Path;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::{sleep, Instant};

/// How long a start that fails is tried again. The platform gives a process 30 s to be ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The socket on which clients are accepted.
pub(super) enum ClientSocket {
    /// The listener of the process before.
    Inherited(StdListener),
    /// A socket that has its address and does not listen yet.
    Bound(TcpSocket),
}

impl ClientSocket {
    pub fn listen(self) -> io::Result<TcpListener> {
        match self {
            ClientSocket::Inherited(listener) => TcpListener::from_std(listener),
            ClientSocket::Bound(socket) => socket.listen(MAX_ACCEPT_BACKLOG),
        }
    }
}

/// Starts the node, and tries again for [`START_TIMEOUT`]. The list to start with replaces that of the configuration.
pub(super) async fn start(
    config: &mut Config, events: &EventSender, socket_path: &Path, format: &str,
) -> io::Result<(Node, ClientSocket)> {
    let deadline = Instant::now() + START_TIMEOUT;
    let mut logged = false;
    loop {
        match try_start(config, events, socket_path, format).await {
            Err(error) if Instant::now() < deadline => {
                if !std::mem::replace(&mut logged, true) {
                    log::warn!("foldtrack: cannot start yet: {error}");
                }
                sleep(RETRY_PAUSE).await;
            }
            result => return result,
        }
    }
}

async fn try_start(
    config: &mut Config, events: &EventSender, socket_path: &Path, format: &str,
) -> io::Result<(Node, ClientSocket)> {
    config.known_endpoints =
        endpoint_list_cache::load_newest(&config.state_directory, config.known_endpoints.clone())?;
    loop {
        match hot_restart::acquire_ownership(&config.state_directory, socket_path, format).await? {
            StartMode::ColdStart(lock) => return cold_start(config, events, lock),
            StartMode::Takeover(offer) => match Node::take_over(config, events, *offer) {
                Ok((node, listener)) => return Ok((node, ClientSocket::Inherited(listener))),
                Err(error) => log::warn!("upgrade: cannot take over from the running process: {error}"),
            },
        }
    }
}

/// Restores the state once the address is to be had: restored messages must not wait for it.
fn cold_start(config: &Config, events: &EventSender, lock: LogLock) -> io::Result<(Node, ClientSocket)> {
    let socket = bind(config.listen_address)?;
    let node = Node::restore_from_log(config, events, lock)?;
    Ok((node, ClientSocket::Bound(socket)))
}

fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // Connections of a process before this one may linger at the address.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}
