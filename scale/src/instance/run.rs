//! One run of a point: forwarders are started among stand-ins and measured.

use crate::instance::client::{self, ForwarderFigures};
use crate::instance::configuration::{
    Configuration, HELD_CLASS, HELD_DEADLINE_MS, REQUEST_CLASS, REQUEST_DEADLINE_MS,
};
use crate::instance::destination_server::{Behavior, DestinationServer};
use crate::instance::discovery_server::{Destinations, DiscoveryServer};
use crate::instance::error::InstanceError;
use crate::instance::forwarder::{Forwarder, ForwarderFolder};
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

/// A list that has been asked for so often for each forwarder is not taken.
const MAX_LIST_REQUESTS: u64 = 20;
/// Span between two looks at whether something has happened.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Span between two looks at whether the user has interrupted.
const INTERRUPT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// After the last delivery: the forwarder still reads its answer and writes its log.
const AFTER_DELIVERY: Duration = Duration::from_millis(50);

/// What one run measured.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunMeasurement {
    /// From the start until clients are accepted, of the slowest process.
    pub ready: Duration,
    /// From the start until all destinations are listed, of the slowest process.
    pub listed: Duration,
    /// Resident memory of a process after the idle span, the mean of all.
    pub resident_bytes: f64,
    /// Processor time of a process in a second without requests, the mean of all.
    pub idle_nanos: f64,
    /// Processor time of a request, the mean of all.
    pub request_nanos: f64,
}

/// How a run ended.
#[derive(Debug)]
pub(super) enum RunOutcome {
    Measured(RunMeasurement),
    /// The forwarder does not take a deployment of this size, for this reason.
    NotTaken(String),
    Interrupted,
}

/// How a step ended that the forwarder may not take.
enum Step<T> {
    Done(T),
    NotTaken(String),
}

/// Makes a run. No process outlasts it.
pub(super) fn measure(
    plan: &Plan, point: &Point, interrupt: &Interrupt,
) -> Result<RunOutcome, InstanceError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(InstanceError::at("starting a runtime"))?;
    let outcome = runtime.block_on(async {
        tokio::select! {
            outcome = measure_point(plan, point) => outcome,
            () = interrupted(interrupt) => Ok(RunOutcome::Interrupted),
        }
    });
    // The forwarders get the interrupts of the terminal too, and may have ended by one.
    if interrupt.is_received() {
        return Ok(RunOutcome::Interrupted);
    }
    outcome
}

async fn interrupted(interrupt: &Interrupt) {
    while !interrupt.is_received() {
        sleep(INTERRUPT_POLL_INTERVAL).await;
    }
}

async fn measure_point(plan: &Plan, point: &Point) -> Result<RunOutcome, InstanceError> {
    let deployment = Deployment::start(plan, point).await?;
    let folders = deployment.folders()?;
    if point.series == Series::Held {
        if let Step::NotTaken(reason) = deployment.fill_log(&folders[0]).await? {
            return Ok(RunOutcome::NotTaken(reason));
        }
    }
    let Started { forwarders, ready, listed } = match deployment.start_all(&folders).await? {
        Step::Done(started) => started,
        Step::NotTaken(reason) => return Ok(RunOutcome::NotTaken(reason)),
    };
    sleep(milliseconds(plan.workload.settle_ms)).await;
    deployment.check_held(&forwarders).await?;
    let idle_nanos = idle(&forwarders, milliseconds(plan.workload.idle_ms)).await?;
    let resident_bytes = mean_resident_bytes(&forwarders)?;
    let request_nanos = deployment.requests(&forwarders).await?;
    Ok(RunOutcome::Measured(RunMeasurement { ready, listed, resident_bytes, idle_nanos, request_nanos }))
}

/// Forwarders that accept clients and have the whole list, and how long the slowest took.
struct Started {
    forwarders: Vec<Forwarder>,
    ready: Duration,
    listed: Duration,
}

/// A stand-in and the server it answers on.
struct StandIn<H> {
    handler: Arc<H>,
    server: HttpServer,
}

impl<H: Handler> StandIn<H> {
    async fn start(handler: H) -> Result<StandIn<H>, InstanceError> {
        let handler = Arc::new(handler);
        let server = HttpServer::start(handler.clone()).await;
        let server = server.map_err(InstanceError::at("listening for a stand-in"))?;
        Ok(StandIn { handler, server })
    }
}

/// All that stands around the forwarders of a run.
struct Deployment<'a> {
    plan: &'a Plan,
    point: &'a Point,
    folder: TempDir,
    destinations: Destinations,
    discovery: StandIn<DiscoveryServer>,
    serving: StandIn<DestinationServer>,
    paused: StandIn<DestinationServer>,
    next_id: Arc<AtomicU64>,
}

impl<'a> Deployment<'a> {
    async fn start(plan: &'a Plan, point: &'a Point) -> Result<Deployment<'a>, InstanceError> {
        let deliver = Behavior::Deliver(milliseconds(plan.workload.service_time_ms));
        let serving = StandIn::start(DestinationServer::new(deliver)).await?;
        let paused = StandIn::start(DestinationServer::new(Behavior::Pause)).await?;
        let destinations = Destinations {
            listed: point.listed,
            paused: if point.series == Series::Held { plan.paused } else { 0 },
            serving_address: serving.server.address,
            paused_address: paused.server.address,
            rate: plan.forwarder.listed_rate.get(),
        };
        let list = DiscoveryServer::new(&destinations).map_err(io::Error::from);
        let discovery = StandIn::start(list.map_err(InstanceError::at("writing the list"))?).await?;
        let folder = tempfile::tempdir().map_err(InstanceError::at("making a temporary folder"))?;
        let next_id = Arc::new(AtomicU64::new(1));
        Ok(Deployment { plan, point, folder, destinations, discovery, serving, paused, next_id })
    }

    /// A folder for each forwarder.
    fn folders(&self) -> Result<Vec<ForwarderFolder>, InstanceError> {
        let folder = |index: u64| {
            let path = self.folder.path().join(format!("n{index}"));
            let configuration = |addresses| Configuration::new(self.plan, self.point, index, addresses);
            ForwarderFolder::create(path, self.discovery.server.address, configuration)
        };
        (0..self.point.processes).map(folder).collect()
    }

    fn patience(&self) -> Duration {
        milliseconds(self.plan.workload.patience_ms)
    }

    /// Starts all forwarders at once and waits for the last.
    async fn start_all(&self, folders: &[ForwarderFolder]) -> Result<Step<Started>, InstanceError> {
        let mut starting = JoinSet::new();
        for folder in folders {
            let forwarder = folder.start(&self.plan.binary)?;
            let list = ExpectedList {
                discovery: self.discovery.handler.clone(),
                length: self.point.listed,
                max_requests: MAX_LIST_REQUESTS * self.point.processes,
            };
            starting.spawn(wait_until_listed(forwarder, list, self.patience()));
        }
        let mut started = Started { forwarders: Vec::new(), ready: Duration::ZERO, listed: Duration::ZERO };
        while let Some(one) = starting.join_next().await {
            match one?? {
                Step::Done(one) => started.add(one),
                Step::NotTaken(reason) => return Ok(Step::NotTaken(reason)),
            }
        }
        Ok(Step::Done(started))
    }

    /// Fills the log of a forwarder with messages for destinations that have asked for a pause, and kills its process.
    async fn fill_log(&self, folder: &ForwarderFolder) -> Result<Step<()>, InstanceError> {
        let started = match self.start_all(std::slice::from_ref(folder)).await? {
            Step::Done(started) => started,
            Step::NotTaken(reason) => return Ok(Step::NotTaken(reason)),
        };
        let listen = started.forwarders[0].addresses.listen;
        let wanted = self.point.held;
        // The first message for each destination learns of the pause; all others wait for its end.
        let first = self.plan.paused.min(wanted);
        let mut taken_on = self.hand_in_held(listen, first).await?;
        if taken_on == first {
            let what = "each destination of held messages asks for a pause";
            self.wait_for(what, || self.paused.handler.answered() >= first).await?;
            taken_on += self.hand_in_held(listen, wanted - first).await?;
        }
        if taken_on < wanted {
            let disk_mb = self.plan.forwarder.disk_mb.get();
            return Ok(Step::NotTaken(format!(
                "the forwarder took on {taken_on} of {wanted} messages, with {disk_mb} MB for its log"
            )));
        }
        Ok(Step::Done(()))
    }

    async fn hand_in_held(&self, listen: SocketAddr, count: u64) -> Result<u64, InstanceError> {
        let batch = Batch {
            class: HELD_CLASS,
            deadline_ms: HELD_DEADLINE_MS,
            destinations: self.destinations.first_paused()..self.destinations.listed,
            count,
            connections: self.plan.workload.connections.get(),
            body: self.body(),
        };
        load::hand_in(listen, batch, self.next_id.clone()).await
    }

    /// Checks that the forwarders hold the messages of the point.
    async fn check_held(&self, forwarders: &[Forwarder]) -> Result<(), InstanceError> {
        if self.point.series != Series::Held {
            return Ok(());
        }
        let wanted = self.point.held;
        let ForwarderFigures { held: found, .. } = client::figures(forwarders[0].addresses.admin).await?;
        if found != wanted {
            return Err(InstanceError::NotHeld { wanted, found });
        }
        Ok(())
    }

    /// Processor time of a request, the mean over a batch for each forwarder, all delivered.
    async fn requests(&self, forwarders: &[Forwarder]) -> Result<f64, InstanceError> {
        let active = self.plan.workload.active.get().min(self.point.listed);
        let total = self.point.requests * self.point.processes;
        let before = total_processor_time(forwarders)?;
        let delivered_before = self.serving.handler.answered();
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
            clients.spawn(load::hand_in(forwarder.addresses.listen, batch, self.next_id.clone()));
        }
        let mut taken_on = 0;
        while let Some(one) = clients.join_next().await {
            taken_on += one??;
        }
        if taken_on < total {
            return Err(InstanceError::RequestsNotTaken { taken_on, total });
        }
        let delivered = || self.serving.handler.answered() - delivered_before >= total;
        self.wait_for("all requests are delivered", delivered).await?;
        sleep(AFTER_DELIVERY).await;
        let spent = total_processor_time(forwarders)?.saturating_sub(before);
        Ok(nanos(spent) / total as f64)
    }

    fn body(&self) -> Bytes {
        vec![b'x'; self.plan.workload.body_bytes.get() as usize].into()
    }

    async fn wait_for(&self, what: &str, holds: impl Fn() -> bool) -> Result<(), InstanceError> {
        let (begun, patience) = (Instant::now(), self.patience());
        while !holds() {
            if begun.elapsed() >= patience {
                return Err(InstanceError::TimedOut { what: what.to_owned(), patience });
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }
}

/// A forwarder that has started, and how long it took.
struct StartedOne {
    forwarder: Forwarder,
    ready: Duration,
    listed: Duration,
}

impl Started {
    fn add(&mut self, one: StartedOne) {
        self.forwarders.push(one.forwarder);
        self.ready = self.ready.max(one.ready);
        self.listed = self.listed.max(one.listed);
    }
}

/// The list that a forwarder has to take in.
struct ExpectedList {
    discovery: Arc<DiscoveryServer>,
    /// Destinations in it.
    length: u64,
    /// Requests for the whole list, by all forwarders, after which it is not taken.
    max_requests: u64,
}

/// Waits until a forwarder accepts clients and has the list.
async fn wait_until_listed(
    mut forwarder: Forwarder, list: ExpectedList, patience: Duration,
) -> Result<Step<StartedOne>, InstanceError> {
    let ready = forwarder.wait_until_ready(patience).await?;
    let admin = forwarder.addresses.admin;
    // The door for operators may open later than that for clients, or be slow while the list is taken in.
    let is_listed =
        || async { client::figures(admin).await.is_ok_and(|figures| figures.listed == list.length) };
    let gave_up = || list.discovery.whole_list_requests() >= list.max_requests;
    let ended = || async { is_listed().await || gave_up() };
    forwarder.wait_until(patience, ended).await?;
    let listed = forwarder.age();
    if is_listed().await {
        return Ok(Step::Done(StartedOne { forwarder, ready, listed }));
    }
    Ok(Step::NotTaken(format!(
        "the list has {} bytes; after {} requests for it the forwarder has not taken it in",
        list.discovery.list_bytes(),
        list.discovery.whole_list_requests()
    )))
}

/// Processor time that a process takes in a second, the mean of all over a span.
async fn idle(forwarders: &[Forwarder], span: Duration) -> Result<f64, InstanceError> {
    let (begun, before) = (Instant::now(), total_processor_time(forwarders)?);
    sleep(span).await;
    let spent = total_processor_time(forwarders)?.saturating_sub(before);
    let process_seconds = begun.elapsed().as_secs_f64() * forwarders.len() as f64;
    Ok(nanos(spent) / process_seconds)
}

fn total_processor_time(forwarders: &[Forwarder]) -> Result<Duration, InstanceError> {
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
