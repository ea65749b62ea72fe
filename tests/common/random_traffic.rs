//! Longer seeded runs over many destinations: varying traffic, rate limits, rejections, failures, lists with higher
//! and lower versions, endpoints disabled by an operator, hot restarts, and messages restored by a restart.

use super::*;
use fastrand::Rng;

const DESTINATIONS: u32 = 24;
const STEPS: usize = 160;
/// Id of the first restored message, above the ids that the harness assigns.
const FIRST_RESTORED_ID: MessageId = 1 << 32;

/// The time scale of the traffic and the outcomes that occur in it.
#[derive(Clone, Copy, Debug)]
pub struct TrafficProfile {
    pub deadline: u64,
    /// Unit of the random pauses between steps.
    pub pause_unit: u64,
    /// Whether attempts may end as [`Outcome::TooManyConnections`]. The harness counts such attempts as possibly run,
    /// so this must not be set where its checks are asserted.
    pub limits_connections: bool,
}

/// Traffic in which destinations are seldom idle for long.
pub const DENSE: TrafficProfile =
    TrafficProfile { deadline: 20 * SECOND, pause_unit: MILLISECOND, limits_connections: true };

/// Lists one to three endpoints for each destination. In every third destination, each endpoint is a route of its own.
fn random_endpoints(rng: &mut Rng) -> Vec<Endpoint> {
    let mut endpoints = Vec::new();
    for destination in 1..=DESTINATIONS {
        let rate = f64::from(rng.u32(0..4)) * 7.3;
        for _ in 0..rng.u32(1..4) {
            let target = endpoints.len() as TargetId + 1;
            let (kind, zone) = (u32::from(destination % 3 == 0), rng.u32(0..2));
            endpoints.push(Endpoint { target, destination, kind, zone, rate, ..Endpoint::default() });
        }
    }
    endpoints
}

fn traffic_settings(rng: &mut Rng, deadline: u64) -> Settings {
    let class = |retry_safety| Class { deadline, ..class(retry_safety) };
    let zone_scoped = Class { deduplication_scope: DeduplicationScope::Zone, ..class(RetrySafety::Keyed) };
    let ordered = Class { in_order: true, ..class(RetrySafety::Keyed) };
    let urgent = Class { aim: SECOND, deadline: 4 * SECOND, worth: 3.0, ..class(RetrySafety::Repeatable) };
    let classes =
        vec![class(RetrySafety::Repeatable), class(RetrySafety::Unsafe), zone_scoped, ordered, urgent];
    let listed_rate = if rng.bool() { ListedRate::Exact } else { ListedRate::Unknown };
    Settings {
        replicas: [1, 2, 30][rng.usize(0..3)],
        slots: rng.u32(6..40),
        max_held: [60, 300][rng.usize(0..2)],
        may_send_retry_after: true,
        max_retry_after: 5 * SECOND,
        batch_by_kind: vec![1 + 3 * rng.u32(0..2), 1],
        route_per_endpoint: vec![false, true],
        zone_fee: vec![0.05, 0.0],
        listed_rate,
        ..settings(classes)
    }
}

/// Picks one of the destinations that are busy at this step. They change over time, so that the first message to a
/// destination may arrive long after the destination was listed.
fn busy_destination(rng: &mut Rng, step: usize) -> DestinationId {
    let first = (step / 20) as u32 * 3;
    1 + (first + rng.u32(0..5)) % DESTINATIONS
}

fn restore(harness: &mut PolicyHarness, number: u64, destination: DestinationId) {
    let (id, class, expires) = (FIRST_RESTORED_ID + number, 0, harness.now + 6 * SECOND);
    let message = TestMessage {
        class,
        destination,
        order_key: 0,
        expires,
        attempts: vec![],
        ended_at: None,
        delivered: false,
        refused: false,
    };
    harness.messages.insert(id, message);
    let class = class as u32;
    let (attempts, first_run) = (Vec::new(), None);
    harness.process(Event::Restored { id, class, destination, order_key: 0, expires, attempts, first_run });
}

fn change_list(harness: &mut PolicyHarness, rng: &mut Rng, endpoints: &[Endpoint]) {
    let states =
        [EndpointState::Ready, EndpointState::Ready, EndpointState::Draining, EndpointState::Removed];
    let changed =
        Endpoint { state: states[rng.usize(0..4)], ..endpoints[rng.usize(0..endpoints.len())].clone() };
    match rng.u32(0..4) {
        0 => {
            let missing = rng.u32(0..2 * endpoints.len() as u32);
            let listed = endpoints.iter().filter(|endpoint| endpoint.target != missing);
            harness.update_list(ListKind::Full, listed.cloned().collect());
        }
        1 => harness.process(Event::List { kind: ListKind::Delta, version: 1, endpoints: vec![changed] }),
        _ => harness.update_list(ListKind::Delta, vec![changed]),
    }
}

fn end_random_attempt(harness: &mut PolicyHarness, rng: &mut Rng, limits_connections: bool) {
    let in_flight = harness.attempts_in_flight();
    let Some((id, attempt, _)) = in_flight.get(rng.usize(0..in_flight.len().max(1))) else { return };
    let failures = [
        Outcome::Error,
        Outcome::Rejected,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::NotSent,
        Outcome::TooManyConnections,
    ];
    let drawn = failures.get(rng.usize(0..18)).copied();
    let possible = drawn.filter(|outcome| limits_connections || *outcome != Outcome::TooManyConnections);
    let outcome = possible.unwrap_or(Outcome::Ok);
    let retry_after = if outcome == Outcome::Rejected { rng.u64(0..3) * 700 * MILLISECOND } else { 0 };
    harness.end_attempt(*id, *attempt, outcome, retry_after);
}

/// Runs the traffic of this seed, then advances time until all messages have ended.
pub fn run_traffic(seed: u64, profile: TrafficProfile) -> PolicyHarness {
    let mut rng = Rng::with_seed(seed);
    let endpoints = random_endpoints(&mut rng);
    let mut harness = PolicyHarness::new(traffic_settings(&mut rng, profile.deadline), endpoints.clone());
    for step in 0..STEPS {
        let destination = busy_destination(&mut rng, step);
        match rng.u32(0..30) {
            0..=9 => drop(harness.submit(rng.usize(0..5), destination, rng.u64(1..4))),
            10..=11 => (0..10).for_each(|_| {
                harness.submit(rng.usize(0..5), destination, 1);
            }),
            12..=18 => end_random_attempt(&mut harness, &mut rng, profile.limits_connections),
            19 => restore(&mut harness, step as u64, destination),
            20 => change_list(&mut harness, &mut rng, &endpoints),
            21 => {
                let target = 1 + rng.u32(0..endpoints.len() as u32);
                harness.process(Event::EndpointAdminState { target, disabled: rng.bool() });
            }
            22 => {
                let state = harness.policy.export_state().unwrap();
                harness.policy = DeliveryPolicy::import_state(&state, harness.settings.clone()).unwrap();
            }
            23..=24 => harness.advance(rng.u64(5..900) * profile.pause_unit, never_responds),
            _ => {
                harness.advance(rng.u64(5..600) * MILLISECOND, responds_after(rng.u64(10..200) * MILLISECOND))
            }
        }
    }
    harness.advance(22 * SECOND, never_responds);
    harness
}
