//! One run of a point on tokio's paused clock: time advances only while all tasks wait for time to pass.

use crate::discovery::fleet::{Fleet, FleetSettings};
use crate::discovery::plan::{schedule, Point, SimulationAction};
use crate::discovery::propagation::{Propagation, PropagationSummary};
use crate::discovery::server::DiscoveryServer;
use crate::discovery::settings::{milliseconds, seconds, DiscoveryScenario};
use crate::discovery::traffic_meter::{TrafficCounts, TrafficMeter};
use crate::error::ScaleError;
use crate::interrupt::Interrupt;
use hatchline::discovery::list::ServerState;
use hatchline::discovery::ClientOptions;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime;
use tokio::time::{sleep_until, Instant};

/// Address of the simulated discovery service.
const DISCOVERY_ADDRESS: ([u8; 4], u16) = ([10, 2, 0, 1], 8500);
/// Range of the listed rates that endpoints change to, in calls per second.
const LISTED_RATES: Range<f64> = 1.0..100.0;
/// Simulated time between two checks for an interrupt and for the end of the run.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// What a run measured.
#[derive(Clone, Debug)]
pub(super) struct Measurement {
    pub duration: Duration,
    pub counts: TrafficCounts,
    pub propagation: PropagationSummary,
}

/// The user interrupted the run.
struct Interrupted;

/// Runs a point. Returns `None` if the user interrupts it.
pub(super) fn run_point(
    scenario: &DiscoveryScenario, point: Point, seed: u64, interrupt: &Interrupt,
) -> Result<Option<Measurement>, ScaleError> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .map_err(|error| ScaleError::RunFailed(error.to_string()))?;
    runtime.block_on(async {
        let simulation = Simulation::new(scenario, point, seed)?;
        Ok(simulation.run(interrupt).await.ok())
    })
}

/// The state of a run.
struct Simulation<'a> {
    scenario: &'a DiscoveryScenario,
    point: Point,
    server: Arc<DiscoveryServer>,
    fleet: Fleet,
    meter: TrafficMeter,
    propagation: Propagation,
    random: ChaCha8Rng,
    /// When discovery becomes reachable again; `None` while it is reachable.
    reachable_at: Option<Instant>,
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a DiscoveryScenario, point: Point, seed: u64) -> Result<Simulation<'a>, ScaleError> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let meter = TrafficMeter::new(point.replicas, seconds(scenario.phases.measured_s));
        let propagation = Propagation::new(point.replicas)?;
        let discovery_address = SocketAddr::from(DISCOVERY_ADDRESS);
        let server = DiscoveryServer::new(scenario, discovery_address, point.replicas, meter.clone());
        let server = Arc::new(server);
        let settings = FleetSettings {
            options: ClientOptions {
                mode: scenario.mode.to_client_mode(),
                replicas: u32::try_from(point.replicas).unwrap_or(u32::MAX),
            },
            latency: milliseconds(scenario.network.one_way_latency_ms),
            discovery_address,
            seed: random.random(),
        };
        let fleet = Fleet::new(settings, Arc::clone(&server), meter.clone(), propagation.clone());
        Ok(Simulation { scenario, point, server, fleet, meter, propagation, random, reachable_at: None })
    }

    async fn run(mut self, interrupt: &Interrupt) -> Result<Measurement, Interrupted> {
        let scheduled_actions = schedule(self.scenario, self.point, &mut self.random);
        let phases = self.scenario.phases;
        self.fleet.start_all();
        advance_until(Instant::now() + seconds(phases.warm_up_s), interrupt).await?;
        self.server.apply_limits();
        self.meter.start();
        let measurement_start = Instant::now();
        for scheduled in scheduled_actions {
            advance_until(measurement_start + scheduled.at, interrupt).await?;
            self.apply(scheduled.action, measurement_start);
        }
        let end = measurement_start + seconds(phases.measured_s);
        advance_until(end, interrupt).await?;
        let settle_deadline = end + seconds(phases.settle_s);
        while Instant::now() < settle_deadline && !self.propagation.is_complete() {
            advance_until(Instant::now() + POLL_INTERVAL, interrupt).await?;
        }
        Ok(Measurement {
            duration: seconds(phases.measured_s),
            counts: self.meter.counts(),
            propagation: self.propagation.summary(),
        })
    }

    fn apply(&mut self, action: SimulationAction, measurement_start: Instant) {
        tracing::debug!(at = ?measurement_start.elapsed(), ?action);
        match action {
            SimulationAction::ChangeEndpoint => self.change_endpoint(),
            SimulationAction::StopReplicas(replicas) => {
                replicas.into_iter().for_each(|replica| self.fleet.stop(replica))
            }
            SimulationAction::StartReplicas(replicas) => {
                replicas.into_iter().for_each(|replica| self.fleet.start(replica))
            }
            SimulationAction::RemoveZone(zone) => self.set_zone_state(zone, ServerState::Left),
            SimulationAction::RestoreZone(zone) => self.set_zone_state(zone, ServerState::Active),
            SimulationAction::StallOpenWatches => self.server.stall_open_calls(),
            SimulationAction::MakeUnreachable { until } => {
                self.reachable_at = Some(measurement_start + until);
                self.server.set_reachable(false);
            }
            SimulationAction::MakeReachable => {
                self.reachable_at = None;
                self.server.set_reachable(true);
            }
        }
    }

    fn change_endpoint(&mut self) {
        self.record_list_change();
        let random = &mut self.random;
        self.server.change(|list| {
            let endpoint = random.random_range(0..list.len());
            list.set_weight(endpoint, random.random_range(LISTED_RATES));
        });
    }

    fn set_zone_state(&mut self, zone: usize, state: ServerState) {
        self.record_list_change();
        self.server.set_zone_state(zone, state);
    }

    fn record_list_change(&self) {
        self.propagation.record_change(self.reachable_at.unwrap_or_else(Instant::now));
    }
}

/// Advances simulated time and checks for interrupts.
async fn advance_until(end: Instant, interrupt: &Interrupt) -> Result<(), Interrupted> {
    while Instant::now() < end {
        if interrupt.is_received() {
            return Err(Interrupted);
        }
        sleep_until(end.min(Instant::now() + POLL_INTERVAL)).await;
    }
    Ok(())
}
