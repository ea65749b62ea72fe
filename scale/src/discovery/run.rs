//! One run of a point on tokio's paused clock: time passes only where all instances wait for it.

use crate::discovery::fleet::{Fleet, FleetSettings};
use crate::discovery::meter::{Counts, Meter};
use crate::discovery::plan::{schedule, Action, Point};
use crate::discovery::propagation::{Propagation, PropagationSummary};
use crate::discovery::server::DiscoveryServer;
use crate::discovery::settings::{milliseconds, seconds, DiscoveryScenario};
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

/// Where the simulated discovery is.
const DISCOVERY_ADDRESS: ([u8; 4], u16) = ([10, 2, 0, 1], 8500);
/// The listed rates that endpoints change to, in calls a second.
const WEIGHTS: Range<f64> = 1.0..100.0;
/// Virtual time between two looks at interrupts and at the end of the run.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// What a run showed.
#[derive(Clone, Debug)]
pub(super) struct Measurement {
    pub span: Duration,
    pub counts: Counts,
    pub propagation: PropagationSummary,
}

/// The user interrupted the run.
struct Interrupted;

/// Plays a point; none if the user interrupts.
pub(super) fn play(
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

struct Simulation<'a> {
    scenario: &'a DiscoveryScenario,
    point: Point,
    server: Arc<DiscoveryServer>,
    fleet: Fleet,
    meter: Meter,
    propagation: Propagation,
    random: ChaCha8Rng,
    /// When discovery can be reached again, while it cannot.
    reachable_at: Option<Instant>,
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a DiscoveryScenario, point: Point, seed: u64) -> Result<Simulation<'a>, ScaleError> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let meter = Meter::new(point.instances, seconds(scenario.phases.measured_s));
        let propagation = Propagation::new(point.instances)?;
        let discovery_address = SocketAddr::from(DISCOVERY_ADDRESS);
        let server = DiscoveryServer::new(scenario, discovery_address, point.instances, meter.clone());
        let server = Arc::new(server);
        let settings = FleetSettings {
            options: ClientOptions {
                mode: scenario.mode.to_client(),
                replicas: u32::try_from(point.instances).unwrap_or(u32::MAX),
            },
            latency: milliseconds(scenario.network.one_way_latency_ms),
            discovery_address,
            seed: random.random(),
        };
        let fleet = Fleet::new(settings, Arc::clone(&server), meter.clone(), propagation.clone());
        Ok(Simulation { scenario, point, server, fleet, meter, propagation, random, reachable_at: None })
    }

    async fn run(mut self, interrupt: &Interrupt) -> Result<Measurement, Interrupted> {
        let steps = schedule(self.scenario, self.point, &mut self.random);
        let phases = self.scenario.phases;
        self.fleet.start_all();
        pass_until(Instant::now() + seconds(phases.warm_up_s), interrupt).await?;
        self.server.apply_limits();
        self.meter.begin();
        let begin = Instant::now();
        for step in steps {
            pass_until(begin + step.at, interrupt).await?;
            self.perform(step.action, begin);
        }
        let end = begin + seconds(phases.measured_s);
        pass_until(end, interrupt).await?;
        let settled_by = end + seconds(phases.settle_s);
        while Instant::now() < settled_by && !self.propagation.is_complete() {
            pass_until(Instant::now() + LOOK_INTERVAL, interrupt).await?;
        }
        Ok(Measurement {
            span: seconds(phases.measured_s),
            counts: self.meter.counts(),
            propagation: self.propagation.summary(),
        })
    }

    fn perform(&mut self, action: Action, begin: Instant) {
        tracing::debug!(at = ?begin.elapsed(), ?action);
        match action {
            Action::ChangeEndpoint => self.change_endpoint(),
            Action::Stop(instances) => instances.into_iter().for_each(|instance| self.fleet.stop(instance)),
            Action::Start(instances) => instances.into_iter().for_each(|instance| self.fleet.start(instance)),
            Action::RemoveZone(zone) => self.change_zone(zone, ServerState::Left),
            Action::RestoreZone(zone) => self.change_zone(zone, ServerState::Active),
            Action::SilenceWatches => self.server.silence_open_calls(),
            Action::Unreachable { until } => {
                self.reachable_at = Some(begin + until);
                self.server.set_reachable(false);
            }
            Action::Reachable => {
                self.reachable_at = None;
                self.server.set_reachable(true);
            }
        }
    }

    fn change_endpoint(&mut self) {
        self.note_change();
        let random = &mut self.random;
        self.server.change(|list| {
            let endpoint = random.random_range(0..list.len());
            list.change_weight(endpoint, random.random_range(WEIGHTS));
        });
    }

    fn change_zone(&mut self, zone: usize, state: ServerState) {
        self.note_change();
        self.server.change_zone(zone, state);
    }

    fn note_change(&self) {
        self.propagation.changed(self.reachable_at.unwrap_or_else(Instant::now));
    }
}

/// Lets virtual time pass, with looks at interrupts.
async fn pass_until(end: Instant, interrupt: &Interrupt) -> Result<(), Interrupted> {
    while Instant::now() < end {
        if interrupt.is_received() {
            return Err(Interrupted);
        }
        sleep_until(end.min(Instant::now() + LOOK_INTERVAL)).await;
    }
    Ok(())
}
