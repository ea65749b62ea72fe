//! One forwarder of outbound messages on real sockets: the decisions of `hatchline` between clients, targets
//! and the platform.
#![warn(missing_docs)]

mod admin_server;
mod admission;
mod calls;
mod client_server;
mod clock;
mod config;
mod connection;
mod connection_limit;
mod disabled_endpoints;
mod discovery_client;
mod draining;
mod endpoint_list_cache;
mod events;
mod hot_restart;
mod interval_stats;
mod message;
mod metrics;
mod node;
mod overload;
mod report_client;
mod streams;
mod write_ahead_log;

use config::Config;
use draining::ExitReason;
use events::NodeEvent;
use std::os::unix::process::CommandExt;
use std::process::{Command, ExitCode};
use tokio::signal::unix::{signal, SignalKind};

async fn run(config: Config) -> Result<ExitReason, String> {
    let (events, receiver) = events::channel();
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("signals: {e}"))?;
    let to_node = events.clone();
    tokio::spawn(async move {
        while terminate.recv().await.is_some() {
            to_node.send(NodeEvent::Terminate);
        }
    });
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| format!("signals: {e}"))?;
    let to_node = events.clone();
    tokio::spawn(async move {
        while hangup.recv().await.is_some() {
            match Config::reload_discovery_address() {
                Ok(address) => to_node.send(NodeEvent::DiscoveryAddress(address)),
                Err(error) => eprintln!("foldtrack: discovery stays where it is: {error}"),
            }
        }
    });
    let (listen, state) = (config.listen_address, config.state_directory.clone());
    let end = node::run(config, events, receiver).await;
    end.map_err(|e| format!("listening on {listen} with the state in {}: {e}", state.display()))
}

/// Tasks that the runtime polls at most between two looks at the node and at the sockets and timers. Each of them is some
/// 0.1 ms of work: with a hundredth of a core the node comes after less than 100 ms, and the look costs a hundredth of that.
const POLLED_BEFORE_NODE: u32 = 8;

/// The successor has ended, and with it the owner of the log: this process starts as after a restart.
fn start_anew() -> ExitCode {
    eprintln!("foldtrack: the new version has ended; starting anew from the log");
    let error = match std::env::current_exe() {
        Ok(program) => Command::new(program).args(std::env::args_os().skip(1)).exec(),
        Err(error) => error,
    };
    eprintln!("foldtrack: not started anew: {error}");
    ExitCode::FAILURE
}

fn main() -> ExitCode {
    let end = Config::load().and_then(|config| {
        // One thread: the forwarder has one core.
        let mut runtime = tokio::runtime::Builder::new_current_thread();
        let runtime = runtime.enable_all().event_interval(POLLED_BEFORE_NODE).build();
        runtime.map_err(|e| e.to_string())?.block_on(run(config))
    });
    match end {
        Ok(ExitReason::Completed) => ExitCode::SUCCESS,
        Ok(ExitReason::SuccessorLost) => start_anew(),
        Err(error) => {
            eprintln!("foldtrack: {error}");
            ExitCode::FAILURE
        }
    }
}
