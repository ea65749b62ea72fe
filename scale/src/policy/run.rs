//! One run of a point: brings a new policy to the size of the point and measures it.

use crate::cpu_clock::thread_cpu_time;
use crate::deployment::{saturating_u32, SECOND};
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

/// Virtual time over which the CPU time of periodic maintenance is measured.
const MAINTENANCE_SPAN: Micros = SECOND;
/// Retry-After of destinations with a backlog. It exceeds the duration of a run, so that their messages stay held.
const BACKLOG_RETRY_AFTER: Micros = 3_600 * SECOND;
/// Maximum CPU time that the request histogram records, and its number of significant digits.
const HISTOGRAM_MAX: Duration = Duration::from_secs(3_600);
const HISTOGRAM_DIGITS: u8 = 3;
const P99_QUANTILE: f64 = 0.99;

/// Result of one run.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct RunMeasurement {
    /// Mean CPU time of a request, from its arrival to the response.
    pub request_nanos: f64,
    /// 99th percentile of the CPU time of a request.
    pub request_p99_nanos: f64,
    /// Number of requests measured. It depends on the time budget.
    pub requests_measured: u64,
    /// CPU time of one second of periodic maintenance before any traffic.
    pub idle_maintenance_nanos: f64,
    /// CPU time of one second of periodic maintenance after traffic, with the backlog held.
    pub warm_maintenance_nanos: f64,
    /// Resident anonymous memory of the policy at its full size.
    pub memory_bytes: u64,
    /// Counts up to the minimum number of requests; the same for the same seed.
    pub counts: Counts,
}

/// Makes a run.
pub(super) fn measure(plan: &RunPlan) -> Result<RunMeasurement, ScaleError> {
    let destinations = SelectedDestinations::select(plan);
    let memory_before = anonymous_bytes()?;
    let mut simulation =
        Simulation::new(plan.seed, plan.policy.to_policy_settings(), plan.traffic.service_time);
    simulation.publish_list(saturating_u32(plan.point.listed), plan.policy.listed_rate.get() as f64);
    let idle_maintenance = measure_maintenance(&mut simulation);
    warm_up(&mut simulation, plan, &destinations.active);
    fill_backlog(&mut simulation, plan, &destinations.backlogged)?;
    let memory_bytes = anonymous_bytes()?.saturating_sub(memory_before);
    let requests = measure_requests(&mut simulation, &plan.traffic, &destinations.active);
    let warm_maintenance = measure_maintenance(&mut simulation);
    Ok(RunMeasurement {
        request_nanos: requests.mean_nanos,
        request_p99_nanos: requests.p99_nanos,
        requests_measured: requests.count,
        idle_maintenance_nanos: as_nanos(idle_maintenance),
        warm_maintenance_nanos: as_nanos(warm_maintenance),
        memory_bytes,
        counts: requests.counts,
    })
}

/// Destinations with traffic and destinations with a backlog, chosen at random from the list.
#[derive(Debug)]
struct SelectedDestinations {
    active: Vec<DestinationId>,
    backlogged: Vec<DestinationId>,
}

impl SelectedDestinations {
    fn select(plan: &RunPlan) -> SelectedDestinations {
        let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
        let point = &plan.point;
        let backlogged = plan.traffic.backlog_destinations.min(point.backlog);
        let chosen = index::sample(&mut random, point.listed as usize, (point.active + backlogged) as usize);
        let mut active: Vec<DestinationId> = chosen.iter().map(|number| number as DestinationId).collect();
        let backlogged = active.split_off(point.active as usize);
        SelectedDestinations { active, backlogged }
    }
}

/// Measures the CPU time of periodic maintenance without traffic.
fn measure_maintenance(simulation: &mut Simulation) -> Duration {
    let before = simulation.maintenance_cpu_time();
    simulation.run_for(MAINTENANCE_SPAN);
    simulation.maintenance_cpu_time() - before
}

/// Serves a number of requests for each active destination, at most as many at a time as there are slots.
fn warm_up(simulation: &mut Simulation, plan: &RunPlan, active: &[DestinationId]) {
    simulation.set_request_class(plan.traffic.request_class);
    for _ in 0..plan.traffic.warm_up_responses {
        for batch in active.chunks(plan.policy.slots.get() as usize) {
            simulation.submit_each_and_wait(batch);
        }
    }
}

/// Submits the backlog, for destinations that have each rejected a call with a Retry-After before.
fn fill_backlog(
    simulation: &mut Simulation, plan: &RunPlan, backlogged: &[DestinationId],
) -> Result<(), ScaleError> {
    let requested = plan.point.backlog;
    simulation.set_request_class(plan.traffic.backlog_class);
    simulation.reject_with_retry_after(backlogged.iter().copied(), BACKLOG_RETRY_AFTER);
    for batch in backlogged.chunks(plan.policy.slots.get() as usize) {
        simulation.submit_each_and_wait(batch);
    }
    let rest = requested as usize - backlogged.len();
    simulation.submit_each(backlogged.iter().copied().cycle().take(rest));
    let held = simulation.held();
    if held != requested {
        return Err(ScaleError::BacklogNotHeld { requested, held });
    }
    Ok(())
}

/// Measurement of the requests of a run.
#[derive(Debug)]
struct RequestMeasurement {
    count: u64,
    mean_nanos: f64,
    p99_nanos: f64,
    counts: Counts,
}

/// Submits requests for the active destinations in turn until the time budget is used up.
fn measure_requests(
    simulation: &mut Simulation, traffic: &Traffic, active: &[DestinationId],
) -> RequestMeasurement {
    simulation.set_request_class(traffic.request_class);
    simulation.record_cpu_times();
    let start = thread_cpu_time();
    let mut counts = simulation.counts();
    let mut sent = 0;
    for destination in active.iter().cycle() {
        let in_budget = thread_cpu_time() - start < traffic.request_time_budget;
        if sent >= traffic.max_requests || (sent >= traffic.min_requests && !in_budget) {
            break;
        }
        simulation.schedule_request(traffic.request_interval, *destination);
        simulation.run_for(traffic.request_interval);
        sent += 1;
        if sent == traffic.min_requests {
            counts = simulation.counts();
        }
    }
    simulation.run_until_idle();
    summarize(&simulation.take_cpu_times(), counts)
}

fn summarize(cpu_times: &[Duration], counts: Counts) -> RequestMeasurement {
    let max = HISTOGRAM_MAX.as_nanos() as u64;
    let mut histogram = Histogram::<u64>::new_with_max(max, HISTOGRAM_DIGITS).expect("the bounds are valid");
    for cpu_time in cpu_times {
        histogram.saturating_record(cpu_time.as_nanos() as u64);
    }
    let total: Duration = cpu_times.iter().sum();
    RequestMeasurement {
        count: cpu_times.len() as u64,
        mean_nanos: as_nanos(total) / cpu_times.len().max(1) as f64,
        p99_nanos: histogram.value_at_quantile(P99_QUANTILE) as f64,
        counts,
    }
}

fn as_nanos(duration: Duration) -> f64 {
    duration.as_nanos() as f64
}
