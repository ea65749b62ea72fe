//! The fleet and the sampled destinations on a virtual clock, driven by a queue of events.

use crate::call::Call;
use crate::deployment::{MILLISECOND, SECOND};
use crate::fleet::cold_budget::CallAfterReturn;
use crate::fleet::observations::{DestinationLog, LearnedAnswers, Message, Observations, Stage};
use crate::fleet::plan::{Case, Point};
use crate::fleet::replica::{Replica, StartConditions};
use crate::fleet::settings::{micros, DestinationSettings, FleetScenario};
use crate::service_time::random_service_time;
use hatchline::{Action, DestinationId, Event, MessageId, Micros, Outcome, TargetId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The virtual clock's first reading.
const START: Micros = 5 * SECOND;
/// Distance between the seeds of two replicas; odd, so that no two of them are the same.
const REPLICA_SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// When the phases of a simulation begin and end.
#[derive(Clone, Copy, Debug)]
pub(super) struct Phases {
    pub start: Micros,
    pub outage: Micros,
    pub recovery: Micros,
    /// No message arrives from then on.
    pub end_of_traffic: Micros,
}

impl Phases {
    /// The phases of a scenario.
    pub fn new(scenario: &FleetScenario) -> Phases {
        let outage = START + micros(scenario.phases.steady_s);
        let recovery = outage + micros(scenario.phases.outage_s);
        Phases {
            start: START,
            outage,
            recovery,
            end_of_traffic: recovery + micros(scenario.phases.recovery_s),
        }
    }

    fn is_down(&self, now: Micros) -> bool {
        (self.outage..self.recovery).contains(&now)
    }
}

/// What is to happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Scheduled {
    /// A message arrives somewhere in the fleet.
    Arrival,
    /// A timer of a busy replica falls due.
    Wake { replica: usize },
    /// An attempt ends.
    Answer { call: Call, end: End },
}

/// How an attempt ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum End {
    Served,
    Refused,
    TimedOut,
    Cancelled,
}

impl End {
    fn outcome(self) -> Outcome {
        match self {
            End::Served => Outcome::Ok,
            End::Refused => Outcome::ConnectFailed,
            End::TimedOut => Outcome::TimedOut,
            End::Cancelled => Outcome::Cancelled,
        }
    }
}

/// A fleet of one size with its sampled destinations.
#[derive(Debug)]
pub(super) struct Simulation {
    now: Micros,
    phases: Phases,
    case: Case,
    seed: u64,
    random: ChaCha8Rng,
    schedule: BinaryHeap<Reverse<(Micros, u64, Scheduled)>>,
    /// Events scheduled so far: those of one time happen in the order in which they were scheduled.
    scheduled: u64,
    conditions: StartConditions,
    /// Replicas are made when their first message arrives, in the state of one that has been up since the start.
    replicas: Vec<Option<Replica>>,
    messages: Vec<Message>,
    destinations: Vec<DestinationLog>,
    destination: DestinationSettings,
    mean_arrival_interval: f64,
    deadline: Micros,
}

impl Simulation {
    /// A fleet that has just come up.
    pub fn new(scenario: &FleetScenario, point: Point, seed: u64) -> Simulation {
        let destination = scenario.destination;
        let settings = scenario.policy_settings(point.replicas);
        let listed_rate =
            if destination.is_capacity_listed { destination.capacity_per_second.get() as f64 } else { 0.0 };
        let sampled = scenario.traffic.sampled_destinations.get();
        let mut simulation = Simulation {
            now: START,
            phases: Phases::new(scenario),
            case: point.case,
            seed,
            random: ChaCha8Rng::seed_from_u64(seed),
            schedule: BinaryHeap::new(),
            scheduled: 0,
            conditions: StartConditions::new(settings, sampled, listed_rate, START),
            replicas: (0..point.replicas).map(|_| None).collect(),
            messages: Vec::new(),
            destinations: vec![DestinationLog::default(); sampled as usize],
            destination,
            mean_arrival_interval: SECOND as f64 / scenario.traffic.simulated_events_per_second(),
            deadline: scenario.policy.class.deadline_ms.get() * MILLISECOND,
        };
        simulation.schedule_arrival();
        simulation
    }

    /// Processes the next event before `end`, if there is one.
    pub fn step(&mut self, end: Micros) -> bool {
        if self.schedule.peek().is_none_or(|Reverse((at, ..))| *at >= end) {
            return false;
        }
        let Some(Reverse((at, _, scheduled))) = self.schedule.pop() else { return false };
        self.now = at;
        match scheduled {
            Scheduled::Arrival => self.arrive(),
            Scheduled::Wake { replica } => self.wake(replica),
            Scheduled::Answer { call, end } => self.answer(call, end),
        }
        true
    }

    /// The answers that replicas have by now.
    pub fn learned_answers(&self) -> LearnedAnswers {
        let acquaintances = self.replicas.iter().flatten().flat_map(|replica| &replica.acquaintances);
        let met = acquaintances.filter(|acquaintance| acquaintance.messages > 0);
        LearnedAnswers { of_pairs_met: met.map(|acquaintance| acquaintance.answers).collect() }
    }

    /// Ends the simulation and gives what it recorded.
    pub fn into_observations(self, learned: LearnedAnswers) -> Observations {
        Observations { messages: self.messages, destinations: self.destinations, learned }
    }

    fn schedule_at(&mut self, at: Micros, scheduled: Scheduled) {
        self.schedule.push(Reverse((at, self.scheduled, scheduled)));
        self.scheduled += 1;
    }

    /// Schedules the next arrival. Arrivals are independent: the spans between them are exponentially distributed.
    fn schedule_arrival(&mut self) {
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        let at = self.now + (-uniform.ln() * self.mean_arrival_interval) as Micros;
        if at < self.phases.end_of_traffic {
            self.schedule_at(at, Scheduled::Arrival);
        }
    }

    /// A message for any destination reaches any replica.
    fn arrive(&mut self) {
        let replica = self.random.random_range(0..self.replicas.len());
        let destination = self.random.random_range(0..self.destinations.len()) as DestinationId;
        self.schedule_arrival();
        let id = self.messages.len() as MessageId;
        self.messages.push(Message {
            replica,
            destination,
            arrived: self.now,
            stage: Stage::Underway,
            attempts: 0,
            open_attempt: None,
        });
        let expires = self.now + self.deadline;
        self.run_timers(replica);
        let at_replica = self.replica(replica);
        at_replica.messages_underway += 1;
        at_replica.acquaintance(destination).messages += 1;
        self.pass_in(replica, Event::Request { id, class: 0, destination, order_key: 0, expires });
    }

    fn wake(&mut self, replica: usize) {
        let now = self.now;
        let woken = self.replica(replica);
        woken.wake_at = woken.wake_at.filter(|at| *at != now);
        self.run_timers(replica);
        self.schedule_wake(replica);
    }

    fn answer(&mut self, call: Call, end: End) {
        let message = &mut self.messages[call.id as usize];
        if message.open_attempt != Some(call.attempt) {
            // The attempt has been cancelled.
            return;
        }
        message.open_attempt = None;
        let (index, destination) = (message.replica, message.destination);
        let is_delivered = end == End::Served && message.stage == Stage::Underway;
        if is_delivered {
            message.stage = Stage::Delivered(self.now);
        }
        let ended = message.stage != Stage::Underway;
        self.run_timers(index);
        let replica = self.replica(index);
        replica.calls_out -= 1;
        replica.messages_underway -= u32::from(is_delivered);
        replica.acquaintance(destination).answers += u32::from(end == End::Served);
        self.pass_in(index, call.end_event(self.now, end.outcome(), ended, 0));
    }

    /// The replica of this number, made if need be.
    fn replica(&mut self, index: usize) -> &mut Replica {
        let seed = self.seed.wrapping_add(REPLICA_SEED_STEP.wrapping_mul(index as u64 + 1));
        self.replicas[index].get_or_insert_with(|| Replica::new(seed, &self.conditions))
    }

    /// Passes an event to a replica and carries out what it decides.
    fn pass_in(&mut self, replica: usize, event: Event) {
        let mut actions = Vec::new();
        let now = self.now;
        self.replica(replica).handle(now, event, &mut actions);
        self.carry_out(replica, actions);
        self.schedule_wake(replica);
    }

    /// Runs all timers of a replica that are due. Those in the past are of a replica without messages and calls.
    fn run_timers(&mut self, replica: usize) {
        let now = self.now;
        let mut actions = Vec::new();
        while self.replica(replica).handle_next_timer(now, &mut actions) {
            self.carry_out(replica, std::mem::take(&mut actions));
        }
    }

    /// Has the replica woken for its next timer, if that may decide anything.
    fn schedule_wake(&mut self, index: usize) {
        let replica = self.replica(index);
        let Some(at) = replica.next_timer().filter(|_| replica.is_busy()) else { return };
        if replica.wake_at.is_none_or(|wake_at| at < wake_at) {
            replica.wake_at = Some(at);
            self.schedule_at(at, Scheduled::Wake { replica: index });
        }
    }

    fn carry_out(&mut self, replica: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { id, target, until } => self.send(id, target, until),
                Action::Cancel { id, attempt } => self.cancel(id, attempt),
                Action::Refuse { id, .. } | Action::Fail { id } => self.end_undelivered(replica, id),
                _ => {}
            }
        }
    }

    fn send(&mut self, id: MessageId, target: TargetId, until: Micros) {
        let message = &mut self.messages[id as usize];
        let call = Call { id, attempt: message.attempts, target, sent: self.now };
        message.attempts += 1;
        message.open_attempt = Some(call.attempt);
        let (replica, destination) = (message.replica, message.destination);
        self.replica(replica).calls_out += 1;
        self.record_call(replica, destination);
        let (at, end) = self.answer_to_call(until);
        self.schedule_at(at, Scheduled::Answer { call, end });
    }

    /// When and how a call that is made now ends.
    fn answer_to_call(&mut self, until: Micros) -> (Micros, End) {
        let service_time =
            random_service_time(&mut self.random, self.destination.service_time_ms.get() * MILLISECOND);
        let refusal_time = self.destination.refusal_time_ms.get() * MILLISECOND;
        let answer = match (self.phases.is_down(self.now), self.case) {
            (false, _) => Some((self.now + service_time, End::Served)),
            (true, Case::Refused) => Some((self.now + refusal_time, End::Refused)),
            (true, Case::Silent) => None,
        };
        answer.filter(|(at, _)| *at <= until).unwrap_or((until, End::TimedOut))
    }

    fn record_call(&mut self, replica: usize, destination: DestinationId) {
        let (now, phases) = (self.now, self.phases);
        let acquaintance = self.replica(replica).acquaintance(destination);
        if phases.is_down(now) {
            acquaintance.is_informed = true;
            self.destinations[destination as usize].calls_while_down += 1;
        } else if now >= phases.recovery {
            let call =
                CallAfterReturn { since: now - phases.recovery, is_informed: acquaintance.is_informed };
            self.destinations[destination as usize].calls_after_return.push(call);
        }
    }

    /// Cancels an attempt. Its regular answer is ignored if it comes later.
    fn cancel(&mut self, id: MessageId, attempt: u32) {
        let call = Call { id, attempt, target: TargetId::default(), sent: self.now };
        self.schedule_at(self.now + 1, Scheduled::Answer { call, end: End::Cancelled });
    }

    fn end_undelivered(&mut self, replica: usize, id: MessageId) {
        let message = &mut self.messages[id as usize];
        if message.stage == Stage::Underway {
            message.stage = Stage::Ended;
            self.replica(replica).messages_underway -= 1;
        }
    }
}
