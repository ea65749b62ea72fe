//! Simulates one point and computes its metrics.

use crate::fleet::metrics::PointMetrics;
use crate::fleet::plan::Point;
use crate::fleet::settings::FleetScenario;
use crate::fleet::simulation::{Phases, Simulation};
use crate::interrupt::Interrupt;
use hatchline::Micros;

/// Simulates a point; `None` if the user interrupts it.
pub(super) fn simulate(
    scenario: &FleetScenario, point: Point, seed: u64, interrupt: &Interrupt,
) -> Option<PointMetrics> {
    let phases = Phases::new(scenario);
    let mut simulation = Simulation::new(scenario, point, seed);
    run_until(&mut simulation, phases.outage_start, interrupt)?;
    let learned = simulation.learned_responses();
    // After the end of traffic, every message ends by its deadline, so the simulation ends.
    run_until(&mut simulation, Micros::MAX, interrupt)?;
    let observations = simulation.into_observations(learned);
    Some(PointMetrics::new(scenario, point, &phases, &observations))
}

/// Processes all events before `end`; `None` if the user interrupts.
fn run_until(simulation: &mut Simulation, end: Micros, interrupt: &Interrupt) -> Option<()> {
    while simulation.step(end) {
        if interrupt.is_received() {
            return None;
        }
    }
    Some(())
}
