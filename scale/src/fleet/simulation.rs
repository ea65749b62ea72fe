//! Discrete-event simulation of the fleet and the sampled destinations on a virtual clock.

use crate::call::Call;
use crate::deployment::{MILLISECOND, SECOND};
use crate::fleet::cold_load::CallAfterOutage;
use crate::fleet::observations::{DestinationCalls, LearnedResponses, Message, MessageState, Observations};
use crate::fleet::plan::{OutageCase, Point};
use crate::fleet::replica::{InitialConditions, Replica};
use crate::fleet::settings::{to_micros, DestinationSettings, FleetScenario};
use crate::service_time::random_service_time;
use hatchline::{Action, DestinationId, Event, MessageId, Micros, Outcome, TargetId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Initial time of the virtual clock.
const START: Micros = 5 * SECOND;
/// Difference between the seeds of two consecutive replicas. It is odd, so that no two replicas have the same seed.
const REPLICA_SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Start and end times of the phases of a simulation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Phases {
    pub start: Micros,
    pub outage_start: Micros,
    pub recovery_start: Micros,
    /// No message arrives from this time on.
    pub traffic_end: Micros,
}

impl Phases {
    /// Computes the phases of a scenario.
    pub fn new(scenario: &FleetScenario) -> Phases {
        let outage_start = START + to_micros(scenario.phases.steady_s);
        let recovery_start = outage_start + to_micros(scenario.phases.outage_s);
        Phases {
            start: START,
            outage_start,
            recovery_start,
            traffic_end: recovery_start + to_micros(scenario.phases.recovery_s),
        }
    }

    fn is_down(&self, now: Micros) -> bool {
        (self.outage_start..self.recovery_start).contains(&now)
    }
}

/// A scheduled event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    /// A message arrives at a random replica.
    Arrival,
    /// A timer of a busy replica is due.
    Wakeup { replica: usize },
    /// An attempt ends.
    CallEnd { call: Call, end: CallEnd },
}

/// How an attempt ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CallEnd {
    Succeeded,
    ConnectionRefused,
    TimedOut,
    Cancelled,
}

impl CallEnd {
    fn outcome(self) -> Outcome {
        match self {
            CallEnd::Succeeded => Outcome::Ok,
            CallEnd::ConnectionRefused => Outcome::ConnectFailed,
            CallEnd::TimedOut => Outcome::TimedOut,
            CallEnd::Cancelled => Outcome::Cancelled,
        }
    }
}

/// A fleet of one size and its sampled destinations.
#[derive(Debug)]
pub(super) struct Simulation {
    now: Micros,
    phases: Phases,
    case: OutageCase,
    seed: u64,
    random: ChaCha8Rng,
    schedule: BinaryHeap<Reverse<(Micros, u64, ScheduledEvent)>>,
    /// Sequence number of the next scheduled event. Events of the same time are processed in the order in which they
    /// were scheduled.
    next_sequence: u64,
    initial_conditions: InitialConditions,
    /// Replicas, each created when its first message arrives, in the state of one that has been up since the start.
    replicas: Vec<Option<Replica>>,
    messages: Vec<Message>,
    destinations: Vec<DestinationCalls>,
    destination: DestinationSettings,
    mean_arrival_interval: f64,
    deadline: Micros,
}

impl Simulation {
    /// Creates a fleet at the start of the simulation.
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
            next_sequence: 0,
            initial_conditions: InitialConditions::new(settings, sampled, listed_rate, START),
            replicas: (0..point.replicas).map(|_| None).collect(),
            messages: Vec::new(),
            destinations: vec![DestinationCalls::default(); sampled as usize],
            destination,
            mean_arrival_interval: SECOND as f64 / scenario.traffic.simulated_events_per_second(),
            deadline: scenario.policy.class.deadline_ms.get() * MILLISECOND,
        };
        simulation.schedule_arrival();
        simulation
    }

    /// Processes the next event before `end`; returns false if there is none.
    pub fn step(&mut self, end: Micros) -> bool {
        if self.schedule.peek().is_none_or(|Reverse((at, ..))| *at >= end) {
            return false;
        }
        let Some(Reverse((at, _, scheduled))) = self.schedule.pop() else { return false };
        self.now = at;
        match scheduled {
            ScheduledEvent::Arrival => self.handle_arrival(),
            ScheduledEvent::Wakeup { replica } => self.handle_wakeup(replica),
            ScheduledEvent::CallEnd { call, end } => self.handle_call_end(call, end),
        }
        true
    }

    /// Returns the responses that replicas have received so far.
    pub fn learned_responses(&self) -> LearnedResponses {
        let histories = self.replicas.iter().flatten().flat_map(|replica| &replica.histories);
        let with_traffic = histories.filter(|history| history.messages > 0);
        LearnedResponses { per_pair_with_traffic: with_traffic.map(|history| history.responses).collect() }
    }

    /// Ends the simulation and returns what it recorded.
    pub fn into_observations(self, learned: LearnedResponses) -> Observations {
        Observations { messages: self.messages, destinations: self.destinations, learned }
    }

    fn schedule_at(&mut self, at: Micros, scheduled: ScheduledEvent) {
        self.schedule.push(Reverse((at, self.next_sequence, scheduled)));
        self.next_sequence += 1;
    }

    /// Schedules the next arrival. Arrivals are a Poisson process: the intervals between them are exponentially
    /// distributed.
    fn schedule_arrival(&mut self) {
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        let at = self.now + (-uniform.ln() * self.mean_arrival_interval) as Micros;
        if at < self.phases.traffic_end {
            self.schedule_at(at, ScheduledEvent::Arrival);
        }
    }

    /// Processes the arrival of a message: at a random replica, for a random destination.
    fn handle_arrival(&mut self) {
        let replica = self.random.random_range(0..self.replicas.len());
        let destination = self.random.random_range(0..self.destinations.len()) as DestinationId;
        self.schedule_arrival();
        let id = self.messages.len() as MessageId;
        self.messages.push(Message {
            replica,
            destination,
            arrived_at: self.now,
            state: MessageState::Pending,
            attempts: 0,
            attempt_in_flight: None,
        });
        let expires = self.now + self.deadline;
        self.run_timers(replica);
        let receiver = self.replica(replica);
        receiver.pending_messages += 1;
        receiver.history(destination).messages += 1;
        self.handle_event(replica, Event::Request { id, class: 0, destination, order_key: 0, expires });
    }

    fn handle_wakeup(&mut self, replica: usize) {
        let now = self.now;
        let woken = self.replica(replica);
        woken.wakeup_at = woken.wakeup_at.filter(|at| *at != now);
        self.run_timers(replica);
        self.schedule_wakeup(replica);
    }

    fn handle_call_end(&mut self, call: Call, end: CallEnd) {
        let message = &mut self.messages[call.id as usize];
        if message.attempt_in_flight != Some(call.attempt) {
            // The attempt has been cancelled.
            return;
        }
        message.attempt_in_flight = None;
        let (index, destination) = (message.replica, message.destination);
        let is_delivered = end == CallEnd::Succeeded && message.state == MessageState::Pending;
        if is_delivered {
            message.state = MessageState::Delivered(self.now);
        }
        let ended = message.state != MessageState::Pending;
        self.run_timers(index);
        let replica = self.replica(index);
        replica.calls_in_flight -= 1;
        replica.pending_messages -= u32::from(is_delivered);
        replica.history(destination).responses += u32::from(end == CallEnd::Succeeded);
        self.handle_event(index, call.end_event(self.now, end.outcome(), ended, 0));
    }

    /// Returns the replica of this index, creating it if necessary.
    fn replica(&mut self, index: usize) -> &mut Replica {
        let seed = self.seed.wrapping_add(REPLICA_SEED_STEP.wrapping_mul(index as u64 + 1));
        self.replicas[index].get_or_insert_with(|| Replica::new(seed, &self.initial_conditions))
    }

    /// Passes an event to a replica and executes its actions.
    fn handle_event(&mut self, replica: usize, event: Event) {
        let mut actions = Vec::new();
        let now = self.now;
        self.replica(replica).handle(now, event, &mut actions);
        self.execute(replica, actions);
        self.schedule_wakeup(replica);
    }

    /// Processes all timers of a replica that are due. Timers in the past belong to a replica that was idle, without
    /// messages and calls.
    fn run_timers(&mut self, replica: usize) {
        let now = self.now;
        let mut actions = Vec::new();
        while self.replica(replica).handle_next_timer(now, &mut actions) {
            self.execute(replica, std::mem::take(&mut actions));
        }
    }

    /// Schedules a wakeup of the replica for its next timer, if that timer may cause an action.
    fn schedule_wakeup(&mut self, index: usize) {
        let replica = self.replica(index);
        let Some(at) = replica.next_timer().filter(|_| replica.is_busy()) else { return };
        if replica.wakeup_at.is_none_or(|wakeup_at| at < wakeup_at) {
            replica.wakeup_at = Some(at);
            self.schedule_at(at, ScheduledEvent::Wakeup { replica: index });
        }
    }

    fn execute(&mut self, replica: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { id, target, until } => self.send(id, target, until),
                Action::Cancel { id, attempt } => self.cancel(id, attempt),
                Action::Refuse { id, .. } | Action::Fail { id } => self.record_not_delivered(replica, id),
                _ => {}
            }
        }
    }

    fn send(&mut self, id: MessageId, target: TargetId, until: Micros) {
        let message = &mut self.messages[id as usize];
        let call = Call { id, attempt: message.attempts, target, sent_at: self.now };
        message.attempts += 1;
        message.attempt_in_flight = Some(call.attempt);
        let (replica, destination) = (message.replica, message.destination);
        self.replica(replica).calls_in_flight += 1;
        self.record_call(replica, destination);
        let (at, end) = self.call_end(until);
        self.schedule_at(at, ScheduledEvent::CallEnd { call, end });
    }

    /// Returns when and how a call that is made now ends.
    fn call_end(&mut self, until: Micros) -> (Micros, CallEnd) {
        let service_time =
            random_service_time(&mut self.random, self.destination.service_time_ms.get() * MILLISECOND);
        let refusal_time = self.destination.refusal_time_ms.get() * MILLISECOND;
        let response = match (self.phases.is_down(self.now), self.case) {
            (false, _) => Some((self.now + service_time, CallEnd::Succeeded)),
            (true, OutageCase::Refused) => Some((self.now + refusal_time, CallEnd::ConnectionRefused)),
            (true, OutageCase::Silent) => None,
        };
        response.filter(|(at, _)| *at <= until).unwrap_or((until, CallEnd::TimedOut))
    }

    fn record_call(&mut self, replica: usize, destination: DestinationId) {
        let (now, phases) = (self.now, self.phases);
        let history = self.replica(replica).history(destination);
        if phases.is_down(now) {
            history.observed_outage = true;
            self.destinations[destination as usize].count_during_outage += 1;
        } else if now >= phases.recovery_start {
            let call = CallAfterOutage {
                since_recovery: now - phases.recovery_start,
                observed_outage: history.observed_outage,
            };
            self.destinations[destination as usize].after_outage.push(call);
        }
    }

    /// Cancels an attempt. A later end of the call is ignored.
    fn cancel(&mut self, id: MessageId, attempt: u32) {
        let call = Call { id, attempt, target: TargetId::default(), sent_at: self.now };
        self.schedule_at(self.now + 1, ScheduledEvent::CallEnd { call, end: CallEnd::Cancelled });
    }

    fn record_not_delivered(&mut self, replica: usize, id: MessageId) {
        let message = &mut self.messages[id as usize];
        if message.state == MessageState::Pending {
            message.state = MessageState::NotDelivered;
            self.replica(replica).pending_messages -= 1;
        }
    }
}
