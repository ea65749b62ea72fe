//! A forwarder of outbound messages: runs the delivery policy of `hatchline` on real sockets, between
//! clients, endpoints and discovery.
#![warn(missing_docs)]

mod accept_loop;
mod admin_server;
mod admission;
mod body_memory;
mod calls;
mod client_close;
mod client_server;
mod client_stats;
mod client_stream;
mod clock;
mod config;
mod connection;
mod connection_limit;
mod disabled_endpoints;
mod discovery_client;
mod draining;
mod endpoint_list_cache;
mod events;
mod eviction;
mod exchange;
mod hot_restart;
mod http_body;
mod interval_stats;
mod log_writer;
mod memory_plan;
mod memory_usage;
mod message;
mod metrics;
mod node;
mod notice_queue;
mod overload;
mod report_client;
mod request_framing;
mod response_head;
mod streams;
mod submission;
mod unread_responses;
mod write_ahead_log;

use config::Config;
use draining::ExitReason;
use events::NodeEvent;
use std::os::unix::process::CommandExt;
use std::process::{Command, ExitCode};
use tokio::signal::unix::{signal, SignalKind};

/// Installs the signal handlers and runs the node.
async fn run(config: Config) -> Result<ExitReason, String> {
    let (node_events, receiver) = events::channel();
    let mut terminate =
        signal(SignalKind::terminate()).map_err(|e| format!("cannot install a signal handler: {e}"))?;
    let events = node_events.clone();
    tokio::spawn(async move {
        while terminate.recv().await.is_some() {
            events.send(NodeEvent::Terminate);
        }
    });
    let mut hangup =
        signal(SignalKind::hangup()).map_err(|e| format!("cannot install a signal handler: {e}"))?;
    let events = node_events.clone();
    tokio::spawn(async move {
        while hangup.recv().await.is_some() {
            match Config::reload_discovery_address() {
                Ok(address) => events.send(NodeEvent::DiscoveryAddress(address)),
                Err(error) => log::warn!("foldtrack: keeping the current discovery address: {error}"),
            }
        }
    });
    let (listen, state) = (config.listen_address, config.state_directory.clone());
    let result = node::run(config, node_events, receiver).await;
    result.map_err(|e| format!("cannot serve on {listen} with state directory {}: {e}", state.display()))
}

/// Upper bound on the tasks that the runtime polls before it polls the node again and checks sockets and
/// timers. One task takes about 0.1 ms: with 1% of a core the node runs again within 100 ms, and the checks
/// cost about 1% of that time.
const TASK_POLLS_PER_EVENT_CHECK: u32 = 8;

/// Executes the program anew in this process, which then restores its state from the write-ahead log. Called
/// when the successor, which owned the log, has ended.
fn restart_process() -> ExitCode {
    log::warn!("foldtrack: the successor has ended; restarting from the write-ahead log");
    log::logger().flush();
    let error = match std::env::current_exe() {
        Ok(program) => Command::new(program).args(std::env::args_os().skip(1)).exec(),
        Err(error) => error,
    };
    log::error!("foldtrack: cannot restart: {error}");
    ExitCode::FAILURE
}

fn main() -> ExitCode {
    log_writer::install();
    let exit_code = run_to_exit();
    log::logger().flush();
    exit_code
}

/// Runs the forwarder with the configuration of its environment.
fn run_to_exit() -> ExitCode {
    let result = Config::load().and_then(|config| {
        // A single thread, since the forwarder is given one core.
        let mut runtime = tokio::runtime::Builder::new_current_thread();
        let runtime = runtime.enable_all().event_interval(TASK_POLLS_PER_EVENT_CHECK).build();
        runtime.map_err(|e| e.to_string())?.block_on(run(config))
    });
    match result {
        Ok(ExitReason::Completed) => {
            log::info!("foldtrack: terminated");
            ExitCode::SUCCESS
        }
        Ok(ExitReason::SuccessorLost) => restart_process(),
        Err(error) => {
            log::error!("foldtrack: {error}");
            ExitCode::FAILURE
        }
    }
}
