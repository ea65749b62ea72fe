//! One run of a point: a fresh policy is brought to the size of the point and measured.

use crate::clock::thread_time;
use crate::deployment::{to_u32, SECOND};
use crate::error::ScaleError;
use crate::memory::anonymous_bytes;
use crate::policy::plan::{RunPlan, Traffic};
use crate::policy::simulation::{Counts, Simulation};
use hatchline::{DestinationId, Micros};
use hdrhistogram::Histogram;
use rand::seq::index;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Span of virtual time over which periodic maintenance is measured.
const MAINTENANCE_SPAN: Micros = SECOND;
/// How long destinations with a backlog ask for: longer than a run.
const PAUSE: Micros = 3_600 * SECOND;
/// Greatest processor time that the histogram of requests records, and its significant digits.
const HISTOGRAM_MAX: Duration = Duration::from_secs(3_600);
const HISTOGRAM_DIGITS: u8 = 3;
/// The share of requests that the upper figure of a run stands above.
const UPPER_QUANTILE: f64 = 0.99;

/// What one run measured.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct RunMeasurement {
    /// Mean processor time of a request, from its arrival to its answer.
    pub request_nanos: f64,
    /// Processor time that 99 % of requests stay within.
    pub request_p99_nanos: f64,
    /// Requests measured; they depend on the time budget.
    pub requests_measured: u64,
    /// Processor time of a second's maintenance before any traffic.
    pub idle_maintenance_nanos: f64,
    /// The same after traffic, with the backlog.
    pub warm_maintenance_nanos: f64,
    /// Resident anonymous memory of the policy at its full size.
    pub memory_bytes: u64,
    /// What was decided up to the least number of requests; the same for the same seed.
    pub counts: Counts,
}

/// Makes a run.
pub(super) fn measure(plan: &RunPlan) -> Result<RunMeasurement, ScaleError> {
    let destinations = Destinations::choose(plan);
    let memory_before = anonymous_bytes()?;
    let mut simulation = Simulation::new(plan.seed, plan.policy.to_policy(), plan.traffic.service_time);
    simulation.list(to_u32(plan.point.listed), plan.policy.listed_rate.get() as f64);
    let idle_maintenance = maintenance(&mut simulation);
    warm_up(&mut simulation, plan, &destinations.active);
    fill_backlog(&mut simulation, plan, &destinations.paused)?;
    let memory_bytes = anonymous_bytes()?.saturating_sub(memory_before);
    let requests = requests(&mut simulation, &plan.traffic, &destinations.active);
    let warm_maintenance = maintenance(&mut simulation);
    Ok(RunMeasurement {
        request_nanos: requests.mean,
        request_p99_nanos: requests.upper,
        requests_measured: requests.count,
        idle_maintenance_nanos: nanos(idle_maintenance),
        warm_maintenance_nanos: nanos(warm_maintenance),
        memory_bytes,
        counts: requests.counts,
    })
}

/// The destinations with traffic or a backlog, spread at random over the list.
#[derive(Debug)]
struct Destinations {
    active: Vec<DestinationId>,
    paused: Vec<DestinationId>,
}

impl Destinations {
    fn choose(plan: &RunPlan) -> Destinations {
        let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
        let point = &plan.point;
        let paused = plan.traffic.backlog_destinations.min(point.backlog);
        let chosen = index::sample(&mut random, point.listed as usize, (point.active + paused) as usize);
        let mut active: Vec<DestinationId> = chosen.iter().map(|number| number as DestinationId).collect();
        let paused = active.split_off(point.active as usize);
        Destinations { active, paused }
    }
}

/// Processor time of periodic maintenance while no traffic comes.
fn maintenance(simulation: &mut Simulation) -> Duration {
    let before = simulation.maintenance_time();
    simulation.run_for(MAINTENANCE_SPAN);
    simulation.maintenance_time() - before
}

/// Serves each active destination a number of requests, as many at a time as there are slots.
fn warm_up(simulation: &mut Simulation, plan: &RunPlan, active: &[DestinationId]) {
    simulation.use_class(plan.traffic.request_class);
    for _ in 0..plan.traffic.warm_up_answers {
        for together in active.chunks(plan.policy.slots.get() as usize) {
            simulation.serve_each(together);
        }
    }
}

/// Submits the backlog, for destinations that first have each asked for a pause.
fn fill_backlog(
    simulation: &mut Simulation, plan: &RunPlan, paused: &[DestinationId],
) -> Result<(), ScaleError> {
    let wanted = plan.point.backlog;
    simulation.use_class(plan.traffic.backlog_class);
    simulation.pause(paused.iter().copied(), PAUSE);
    for together in paused.chunks(plan.policy.slots.get() as usize) {
        simulation.serve_each(together);
    }
    let rest = wanted as usize - paused.len();
    simulation.hold_each(paused.iter().copied().cycle().take(rest));
    let held = simulation.held();
    if held != wanted {
        return Err(ScaleError::BacklogNotHeld { wanted, held });
    }
    Ok(())
}

/// What the measured requests showed.
#[derive(Debug)]
struct Requests {
    count: u64,
    mean: f64,
    upper: f64,
    counts: Counts,
}

/// Sends requests to the active destinations in turn until the time budget is used up.
fn requests(simulation: &mut Simulation, traffic: &Traffic, active: &[DestinationId]) -> Requests {
    simulation.use_class(traffic.request_class);
    simulation.keep_finished();
    let start = thread_time();
    let mut counts = simulation.counts();
    let mut sent = 0;
    for destination in active.iter().cycle() {
        let in_budget = thread_time() - start < traffic.request_time_budget;
        if sent >= traffic.max_requests || (sent >= traffic.min_requests && !in_budget) {
            break;
        }
        simulation.request_after(traffic.request_interval, *destination);
        simulation.run_for(traffic.request_interval);
        sent += 1;
        if sent == traffic.min_requests {
            counts = simulation.counts();
        }
    }
    simulation.run_until_idle();
    summary(&simulation.take_finished(), counts)
}

fn summary(costs: &[Duration], counts: Counts) -> Requests {
    let max = HISTOGRAM_MAX.as_nanos() as u64;
    let mut histogram = Histogram::<u64>::new_with_max(max, HISTOGRAM_DIGITS).expect("the bounds are valid");
    for cost in costs {
        histogram.saturating_record(cost.as_nanos() as u64);
    }
    let total: Duration = costs.iter().sum();
    Requests {
        count: costs.len() as u64,
        mean: nanos(total) / costs.len().max(1) as f64,
        upper: histogram.value_at_quantile(UPPER_QUANTILE) as f64,
        counts,
    }
}

fn nanos(duration: Duration) -> f64 {
    duration.as_nanos() as f64
}
