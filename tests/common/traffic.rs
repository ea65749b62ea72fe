//! Longer seeded runs over many destinations: traffic that comes and goes, limits, refusals, failures, lists of higher
//! and lower versions, manual exclusions, and messages that a restart recovered.

use super::*;
use fastrand::Rng;

const DESTINATIONS: u32 = 24;
const STEPS: usize = 160;
/// Recovered messages have numbers of their own, past those that the field gives.
const FIRST_RECOVERED: MessageId = 1 << 32;

/// How long messages may take and how long pauses are.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    pub deadline: u64,
    pub pause_unit: u64,
    /// Whether connections are turned away from full tables. `may_have_run` of the field does not know of that outcome.
    pub crowded: bool,
}

/// Destinations are seldom idle for long.
pub const DENSE: Pace = Pace { deadline: 20 * S, pause_unit: MS, crowded: true };

/// The list: one to three endpoints a destination; those of every third are routes apart.
fn endpoints(rng: &mut Rng) -> Vec<Endpoint> {
    let mut lines = Vec::new();
    for destination in 1..=DESTINATIONS {
        let rate = f64::from(rng.u32(0..4)) * 7.3;
        for _ in 0..rng.u32(1..4) {
            let target = lines.len() as TargetId + 1;
            let (kind, zone) = (u32::from(destination % 3 == 0), rng.u32(0..2));
            lines.push(Endpoint { target, destination, kind, zone, rate, ..Endpoint::default() });
        }
    }
    lines
}

fn traffic_settings(rng: &mut Rng, deadline: u64) -> Settings {
    let class = |effect| Class { deadline, ..class(effect) };
    let zone = Class { deduplication_scope: DeduplicationScope::Zone, ..class(RetrySafety::Keyed) };
    let ordered = Class { in_order: true, ..class(RetrySafety::Keyed) };
    let short = Class { aim: S, deadline: 4 * S, worth: 3.0, ..class(RetrySafety::Repeatable) };
    let classes = vec![class(RetrySafety::Repeatable), class(RetrySafety::Unsafe), zone, ordered, short];
    let listed_rate = if rng.bool() { ListedRate::Exact } else { ListedRate::Unknown };
    Settings {
        replicas: [1, 2, 30][rng.usize(0..3)],
        slots: rng.u32(6..40),
        max_held: [60, 300][rng.usize(0..2)],
        may_send_retry_after: true,
        max_retry_after: 5 * S,
        batch_by_kind: vec![1 + 3 * rng.u32(0..2), 1],
        route_per_endpoint: vec![false, true],
        zone_fee: vec![0.05, 0.0],
        listed_rate,
        ..settings(classes)
    }
}

/// The busy destinations change over time: first messages come at any time after the listing.
fn busy_destination(rng: &mut Rng, step: usize) -> DestinationId {
    let first = (step / 20) as u32 * 3;
    1 + (first + rng.u32(0..5)) % DESTINATIONS
}

fn recover(field: &mut Field, number: u64, destination: DestinationId) {
    let (id, class, expires) = (FIRST_RECOVERED + number, 0, field.now + 6 * S);
    let mail =
        Mail { class, destination, key: 0, expires, sent: vec![], over: None, served: false, refused: false };
    field.mail.insert(id, mail);
    let class = class as u32;
    let (attempts, first_run) = (Vec::new(), None);
    field.feed(Event::Restored { id, class, destination, order_key: 0, expires, attempts, first_run });
}

fn change_list(field: &mut Field, rng: &mut Rng, lines: &[Endpoint]) {
    let states =
        [EndpointState::Ready, EndpointState::Ready, EndpointState::Draining, EndpointState::Removed];
    let line = Endpoint { state: states[rng.usize(0..4)], ..lines[rng.usize(0..lines.len())].clone() };
    match rng.u32(0..4) {
        0 => {
            let missing = rng.u32(0..2 * lines.len() as u32);
            let listed = lines.iter().filter(|e| e.target != missing);
            field.list(ListKind::Full, listed.cloned().collect());
        }
        1 => field.feed(Event::List { kind: ListKind::Delta, version: 1, endpoints: vec![line] }),
        _ => field.list(ListKind::Delta, vec![line]),
    }
}

fn end_one(field: &mut Field, rng: &mut Rng, crowded: bool) {
    let out = field.out();
    let Some((id, attempt, _)) = out.get(rng.usize(0..out.len().max(1))) else { return };
    let failures = [
        Outcome::Error,
        Outcome::Rejected,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::NotSent,
        Outcome::TooManyConnections,
    ];
    let drawn = failures.get(rng.usize(0..18)).copied();
    let possible = drawn.filter(|outcome| crowded || *outcome != Outcome::TooManyConnections);
    let outcome = possible.unwrap_or(Outcome::Ok);
    let wait = if outcome == Outcome::Rejected { rng.u64(0..3) * 700 * MS } else { 0 };
    field.end(*id, *attempt, outcome, wait);
}

/// Plays the run of this seed.
pub fn play_traffic(seed: u64, pace: Pace) -> Field {
    let mut rng = Rng::with_seed(seed);
    let lines = endpoints(&mut rng);
    let mut field = Field::new(traffic_settings(&mut rng, pace.deadline), lines.clone());
    for step in 0..STEPS {
        let destination = busy_destination(&mut rng, step);
        match rng.u32(0..30) {
            0..=9 => drop(field.request(rng.usize(0..5), destination, rng.u64(1..4))),
            10..=11 => (0..10).for_each(|_| {
                field.request(rng.usize(0..5), destination, 1);
            }),
            12..=18 => end_one(&mut field, &mut rng, pace.crowded),
            19 => recover(&mut field, step as u64, destination),
            20 => change_list(&mut field, &mut rng, &lines),
            21 => {
                let target = 1 + rng.u32(0..lines.len() as u32);
                field.feed(Event::EndpointAdminState { target, disabled: rng.bool() });
            }
            22 => {
                let state = field.policy.export_state().unwrap();
                field.policy = DeliveryPolicy::import_state(&state, field.settings.clone()).unwrap();
            }
            23..=24 => field.run(rng.u64(5..900) * pace.pause_unit, silent),
            _ => field.run(rng.u64(5..600) * MS, serves(rng.u64(10..200) * MS)),
        }
    }
    field.run(22 * S, silent);
    field
}
