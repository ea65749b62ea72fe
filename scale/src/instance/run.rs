//! One run of a point: starts forwarders with simulated servers and measures them.

use crate::instance::client::{self, ForwarderMetrics};
use crate::instance::configuration::{
    Configuration, HELD_CLASS, HELD_DEADLINE_MS, REQUEST_CLASS, REQUEST_DEADLINE_MS,
};
use crate::instance::destination_server::{DestinationBehavior, DestinationServer};
use crate::instance::discovery_server::{Destinations, DiscoveryServer};
use crate::instance::error::InstanceError;
use crate::instance::forwarder::{Forwarder, ForwarderDirectory};
use crate::instance::http_server::{Handler, HttpServer};
use crate::instance::load::{self, Batch};
use crate::instance::plan::{Plan, Point, Series};
use crate::instance::settings::milliseconds;
use crate::interrupt::Interrupt;
use crate::process_usage::{cpu_time, resident_bytes};
use bytes::Bytes;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tempfile::TempDir;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Requests for the full list, per forwarder, after which the list counts as unsupported.
const MAX_LIST_REQUESTS_PER_FORWARDER: u64 = 20;
/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Interval between two checks for an interrupt.
const INTERRUPT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time within which the forwarder reads the last response and writes its log.
const POST_DELIVERY_DELAY: Duration = Duration::from_millis(50);

/// What one run measured.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunMeasurement {
    /// Time from start until clients are accepted, of the slowest process.
    pub time_to_ready: Duration,
    /// Time from start until all destinations are listed, of the slowest process.
    pub time_to_list: Duration,
    /// Resident memory after the idle period, the mean over the processes.
    pub resident_bytes: f64,
    /// CPU time per second without requests, the mean over the processes.
    pub idle_cpu_nanos_per_second: f64,
    /// CPU time of a request, the mean over all requests.
    pub request_cpu_nanos: f64,
}

/// How a run ended.
#[derive(Debug)]
pub(super) enum RunOutcome {
    Measured(RunMeasurement),
    /// The forwarder does not support a deployment of this size, for this reason.
    Unsupported(String),
    Interrupted,
}

/// Result of a step that the forwarder may not support at this size.
enum StepOutcome<T> {
    Done(T),
    Unsupported(String),
}

/// Makes a run. All its processes have ended when it returns.
pub(super) fn measure(
    plan: &Plan, point: &Point, interrupt: &Interrupt,
) -> Result<RunOutcome, InstanceError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(InstanceError::during("starting a runtime"))?;
    let outcome = runtime.block_on(async {
        tokio::select! {
            outcome = measure_point(plan, point) => outcome,
            () = wait_for_interrupt(interrupt) => Ok(RunOutcome::Interrupted),
        }
    });
    // An interrupt from the terminal also reaches the forwarders, so a failed run may be its result.
    if interrupt.is_received() {
        return Ok(RunOutcome::Interrupted);
    }
    outcome
}

async fn wait_for_interrupt(interrupt: &Interrupt) {
    while !interrupt.is_received() {
        sleep(INTERRUPT_POLL_INTERVAL).await;
    }
}

async fn measure_point(plan: &Plan, point: &Point) -> Result<RunOutcome, InstanceError> {
    let environment = RunEnvironment::start(plan, point).await?;
    let directories = environment.directories()?;
    if point.series == Series::Held {
        if let StepOutcome::Unsupported(reason) = environment.fill_log(&directories[0]).await? {
            return Ok(RunOutcome::Unsupported(reason));
        }
    }
    let StartedForwarders { forwarders, time_to_ready, time_to_list } =
        match environment.start_all(&directories).await? {
            StepOutcome::Done(started) => started,
            StepOutcome::Unsupported(reason) => return Ok(RunOutcome::Unsupported(reason)),
        };
    sleep(milliseconds(plan.workload.settle_ms)).await;
    environment.check_held(&forwarders).await?;
    let idle_cpu_nanos_per_second =
        measure_idle_cpu(&forwarders, milliseconds(plan.workload.idle_ms)).await?;
    let resident_bytes = mean_resident_bytes(&forwarders)?;
    let request_cpu_nanos = environment.measure_request_cpu(&forwarders).await?;
    Ok(RunOutcome::Measured(RunMeasurement {
        time_to_ready,
        time_to_list,
        resident_bytes,
        idle_cpu_nanos_per_second,
        request_cpu_nanos,
    }))
}

/// Forwarders that accept clients and have the full list, and the times of the slowest.
struct StartedForwarders {
    forwarders: Vec<Forwarder>,
    time_to_ready: Duration,
    time_to_list: Duration,
}

/// A simulated discovery service or destination: an HTTP server with its handler.
struct SimulatedServer<H> {
    handler: Arc<H>,
    server: HttpServer,
}

impl<H: Handler> SimulatedServer<H> {
    async fn start(handler: H) -> Result<SimulatedServer<H>, InstanceError> {
        let handler = Arc::new(handler);
        let server = HttpServer::start(handler.clone()).await;
        let server = server.map_err(InstanceError::during("starting a simulated server"))?;
        Ok(SimulatedServer { handler, server })
    }
}

/// Environment of the forwarders in a run: simulated servers, and a directory for each forwarder.
struct RunEnvironment<'a> {
    plan: &'a Plan,
    point: &'a Point,
    directory: TempDir,
    destinations: Destinations,
    discovery: SimulatedServer<DiscoveryServer>,
    serving: SimulatedServer<DestinationServer>,
    rejecting: SimulatedServer<DestinationServer>,
    next_id: Arc<AtomicU64>,
}

impl<'a> RunEnvironment<'a> {
    async fn start(plan: &'a Plan, point: &'a Point) -> Result<RunEnvironment<'a>, InstanceError> {
        let deliver = DestinationBehavior::Deliver(milliseconds(plan.workload.service_time_ms));
        let serving = SimulatedServer::start(DestinationServer::new(deliver)).await?;
        let rejecting = SimulatedServer::start(DestinationServer::new(DestinationBehavior::Reject)).await?;
        let destinations = Destinations {
            listed: point.listed,
            rejecting: if point.series == Series::Held { plan.rejecting_destinations } else { 0 },
            serving_address: serving.server.address,
            rejecting_address: rejecting.server.address,
            rate_limit: plan.forwarder.listed_rate.get(),
        };
        let list = DiscoveryServer::new(&destinations).map_err(io::Error::from);
        let discovery =
            SimulatedServer::start(list.map_err(InstanceError::during("encoding the endpoint list"))?)
                .await?;
        let directory =
            tempfile::tempdir().map_err(InstanceError::during("creating a temporary directory"))?;
        let next_id = Arc::new(AtomicU64::new(1));
        Ok(RunEnvironment { plan, point, directory, destinations, discovery, serving, rejecting, next_id })
    }

    /// Creates a directory for each forwarder.
    fn directories(&self) -> Result<Vec<ForwarderDirectory>, InstanceError> {
        let directory = |index: u64| {
            let path = self.directory.path().join(format!("n{index}"));
            let configuration = |addresses| Configuration::new(self.plan, self.point, index, addresses);
            ForwarderDirectory::create(path, self.discovery.server.address, configuration)
        };
        (0..self.point.processes).map(directory).collect()
    }

    fn step_timeout(&self) -> Duration {
        milliseconds(self.plan.workload.step_timeout_ms)
    }

    /// Starts all forwarders concurrently and waits for all of them.
    async fn start_all(
        &self, directories: &[ForwarderDirectory],
    ) -> Result<StepOutcome<StartedForwarders>, InstanceError> {
        let mut starting = JoinSet::new();
        for directory in directories {
            let forwarder = directory.start(&self.plan.binary)?;
            let list = ExpectedList {
                discovery: self.discovery.handler.clone(),
                length: self.point.listed,
                max_requests: MAX_LIST_REQUESTS_PER_FORWARDER * self.point.processes,
            };
            starting.spawn(wait_until_listed(forwarder, list, self.step_timeout()));
        }
        let mut started = StartedForwarders {
            forwarders: Vec::new(),
            time_to_ready: Duration::ZERO,
            time_to_list: Duration::ZERO,
        };
        while let Some(finished) = starting.join_next().await {
            match finished?? {
                StepOutcome::Done(finished) => started.add(finished),
                StepOutcome::Unsupported(reason) => return Ok(StepOutcome::Unsupported(reason)),
            }
        }
        Ok(StepOutcome::Done(started))
    }

    /// Fills a forwarder's write-ahead log with messages for the rejecting destinations, then kills the process.
    async fn fill_log(&self, directory: &ForwarderDirectory) -> Result<StepOutcome<()>, InstanceError> {
        let started = match self.start_all(std::slice::from_ref(directory)).await? {
            StepOutcome::Done(started) => started,
            StepOutcome::Unsupported(reason) => return Ok(StepOutcome::Unsupported(reason)),
        };
        let listen = started.forwarders[0].addresses.listen;
        let expected = self.point.held;
        // The first message to each destination is rejected with a Retry-After. Later ones wait for its end.
        let first = self.plan.rejecting_destinations.min(expected);
        let mut accepted = self.submit_held_messages(listen, first).await?;
        if accepted == first {
            let condition = "each destination of held messages has rejected a message";
            self.wait_for(condition, || self.rejecting.handler.response_count() >= first).await?;
            accepted += self.submit_held_messages(listen, expected - first).await?;
        }
        if accepted < expected {
            let disk_mb = self.plan.forwarder.disk_mb.get();
            return Ok(StepOutcome::Unsupported(format!(
                "the forwarder accepted {accepted} of {expected} messages, with {disk_mb} MB for its log"
            )));
        }
        Ok(StepOutcome::Done(()))
    }

    async fn submit_held_messages(&self, listen: SocketAddr, count: u64) -> Result<u64, InstanceError> {
        let batch = Batch {
            class: HELD_CLASS,
            deadline_ms: HELD_DEADLINE_MS,
            destinations: self.destinations.first_rejecting()..self.destinations.listed,
            count,
            connections: self.plan.workload.connections.get(),
            body: self.body(),
        };
        load::submit_batch(listen, batch, self.next_id.clone()).await
    }

    /// Checks that the forwarder holds the messages of the point.
    async fn check_held(&self, forwarders: &[Forwarder]) -> Result<(), InstanceError> {
        if self.point.series != Series::Held {
            return Ok(());
        }
        let expected = self.point.held;
        let ForwarderMetrics { held: actual, .. } =
            client::fetch_metrics(forwarders[0].addresses.admin).await?;
        if actual != expected {
            return Err(InstanceError::HeldCountMismatch { expected, actual });
        }
        Ok(())
    }

    /// CPU time per request: the mean over a batch for each forwarder, until all requests are delivered.
    async fn measure_request_cpu(&self, forwarders: &[Forwarder]) -> Result<f64, InstanceError> {
        let active = self.plan.workload.active.get().min(self.point.listed);
        let total = self.point.requests * self.point.processes;
        let cpu_time_before = total_cpu_time(forwarders)?;
        let delivered_before = self.serving.handler.response_count();
        let mut clients = JoinSet::new();
        for forwarder in forwarders {
            let batch = Batch {
                class: REQUEST_CLASS,
                deadline_ms: REQUEST_DEADLINE_MS,
                destinations: 0..active,
                count: self.point.requests,
                connections: self.plan.workload.connections.get(),
                body: self.body(),
            };
            clients.spawn(load::submit_batch(forwarder.addresses.listen, batch, self.next_id.clone()));
        }
        let mut accepted = 0;
        while let Some(finished) = clients.join_next().await {
            accepted += finished??;
        }
        if accepted < total {
            return Err(InstanceError::RequestsRefused { accepted, total });
        }
        let delivered = || self.serving.handler.response_count() - delivered_before >= total;
        self.wait_for("all requests are delivered", delivered).await?;
        sleep(POST_DELIVERY_DELAY).await;
        let cpu_time_spent = total_cpu_time(forwarders)?.saturating_sub(cpu_time_before);
        Ok(nanos(cpu_time_spent) / total as f64)
    }

    fn body(&self) -> Bytes {
        vec![b'x'; self.plan.workload.body_bytes.get() as usize].into()
    }

    async fn wait_for(&self, condition: &str, is_met: impl Fn() -> bool) -> Result<(), InstanceError> {
        let (started_at, timeout) = (Instant::now(), self.step_timeout());
        while !is_met() {
            if started_at.elapsed() >= timeout {
                return Err(InstanceError::TimedOut { condition: condition.to_owned(), timeout });
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }
}

/// A forwarder that has started, and its startup times.
struct StartedForwarder {
    forwarder: Forwarder,
    time_to_ready: Duration,
    time_to_list: Duration,
}

impl StartedForwarders {
    fn add(&mut self, finished: StartedForwarder) {
        self.forwarders.push(finished.forwarder);
        self.time_to_ready = self.time_to_ready.max(finished.time_to_ready);
        self.time_to_list = self.time_to_list.max(finished.time_to_list);
    }
}

/// The list that a forwarder must load.
struct ExpectedList {
    discovery: Arc<DiscoveryServer>,
    /// Number of destinations in the list.
    length: u64,
    /// Requests for the full list, by all forwarders, after which the list counts as unsupported.
    max_requests: u64,
}

/// Waits until a forwarder accepts clients and has loaded the list.
async fn wait_until_listed(
    mut forwarder: Forwarder, list: ExpectedList, timeout: Duration,
) -> Result<StepOutcome<StartedForwarder>, InstanceError> {
    let time_to_ready = forwarder.wait_until_ready(timeout).await?;
    let admin = forwarder.addresses.admin;
    // The admin server may start later than the listener for clients, or respond slowly while the list is loaded.
    let is_listed =
        || async { client::fetch_metrics(admin).await.is_ok_and(|metrics| metrics.listed == list.length) };
    let is_retry_limit_reached = || list.discovery.full_list_requests() >= list.max_requests;
    let is_done = || async { is_listed().await || is_retry_limit_reached() };
    forwarder.wait_until(timeout, is_done).await?;
    let time_to_list = forwarder.uptime();
    if is_listed().await {
        return Ok(StepOutcome::Done(StartedForwarder { forwarder, time_to_ready, time_to_list }));
    }
    Ok(StepOutcome::Unsupported(format!(
        "the list has {} bytes; the forwarder has not loaded it after {} requests",
        list.discovery.list_bytes(),
        list.discovery.full_list_requests()
    )))
}

/// CPU time per process and second over an idle period, the mean over the processes.
async fn measure_idle_cpu(forwarders: &[Forwarder], duration: Duration) -> Result<f64, InstanceError> {
    let (started_at, cpu_time_before) = (Instant::now(), total_cpu_time(forwarders)?);
    sleep(duration).await;
    let cpu_time_spent = total_cpu_time(forwarders)?.saturating_sub(cpu_time_before);
    let process_seconds = started_at.elapsed().as_secs_f64() * forwarders.len() as f64;
    Ok(nanos(cpu_time_spent) / process_seconds)
}

fn total_cpu_time(forwarders: &[Forwarder]) -> Result<Duration, InstanceError> {
    let mut total = Duration::ZERO;
    for forwarder in forwarders {
        total += cpu_time(forwarder.process_id())?;
    }
    Ok(total)
}

fn mean_resident_bytes(forwarders: &[Forwarder]) -> Result<f64, InstanceError> {
    let mut total = 0;
    for forwarder in forwarders {
        total += resident_bytes(forwarder.process_id())?;
    }
    Ok(total as f64 / forwarders.len() as f64)
}

fn nanos(duration: Duration) -> f64 {
    duration.as_nanos() as f64
}
