//! A forwarder on a virtual clock: it feeds the delivery policy, carries out what it decides, and counts.
//!
//! Events of one moment are passed in together, as a forwarder does. Timers have a moment of their own, before
//! the traffic of the same time: so the cost of periodic maintenance is separate from that of requests.

use crate::call::Call;
use crate::clock::ProcessorClock;
use crate::policy_under_test::PolicyUnderTest;
use crate::service_time::random_service_time;
use hatchline::{Action, DestinationId, Endpoint, Event, ListKind, MessageId, Micros, Outcome, TargetId};
use hatchline::{ListedRate, Settings};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::time::Duration;

/// The virtual clock's first reading.
const START: Micros = 5_000_000;

/// Number of events and actions so far. The same for the same seed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Counts {
    /// Messages submitted.
    pub requests: u64,
    /// Calls made.
    pub calls: u64,
    /// Messages delivered.
    pub delivered: u64,
    /// Messages that the policy ended undelivered.
    pub ended: u64,
    /// Actions of all kinds.
    pub actions: u64,
    /// Timers that fell due.
    pub timers: u64,
}

/// How far a message has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    Underway,
    Delivered,
    /// Its destination has asked for a pause, which outlasts the run.
    Paused,
}

/// A message that is on its way.
#[derive(Debug, Default)]
struct InFlight {
    attempts: u32,
    /// The attempt that is out.
    open: Option<u32>,
    stage: Stage,
    cost: Duration,
}

/// What is to happen. Timers stand first, so that they go before traffic of the same time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Scheduled {
    Timer { token: u32 },
    Request { id: MessageId, destination: DestinationId },
    Answer { call: Call, answer: Answer },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Answer {
    Ok,
    TimedOut,
    Cancelled,
    /// Refused, with a Retry-After of this span.
    RetryAfter(Micros),
}

/// A forwarder with its destinations; each has one endpoint, of the same number.
#[derive(Debug)]
pub(super) struct Simulation {
    policy: PolicyUnderTest,
    now: Micros,
    processor: ProcessorClock,
    random: ChaCha8Rng,
    schedule: BinaryHeap<Reverse<(Micros, Scheduled)>>,
    in_flight: HashMap<MessageId, InFlight>,
    paused: HashSet<DestinationId>,
    pause: Micros,
    class: u32,
    deadlines: Vec<Micros>,
    listed_rate: ListedRate,
    service_time: Micros,
    /// Where all calls take the same time.
    service_time_now: Option<Micros>,
    last_id: MessageId,
    counts: Counts,
    maintenance_time: Duration,
    /// Processor time of each message delivered, if it is kept.
    finished: Option<Vec<Duration>>,
    actions: Vec<Action>,
}

impl Simulation {
    /// A forwarder that has just come up and knows of no destination.
    pub fn new(seed: u64, settings: Settings, service_time: Micros) -> Simulation {
        Simulation {
            now: START,
            processor: ProcessorClock::calibrated(),
            random: ChaCha8Rng::seed_from_u64(seed),
            schedule: BinaryHeap::new(),
            in_flight: HashMap::new(),
            paused: HashSet::new(),
            pause: 0,
            class: 0,
            deadlines: settings.classes.iter().map(|class| class.deadline).collect(),
            listed_rate: settings.listed_rate,
            service_time,
            service_time_now: None,
            last_id: 0,
            counts: Counts::default(),
            maintenance_time: Duration::ZERO,
            finished: None,
            actions: Vec::new(),
            policy: PolicyUnderTest::new(START, seed, settings),
        }
    }

    /// What was counted so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Processor time of timers so far, with the decisions that followed them.
    pub fn maintenance_time(&self) -> Duration {
        self.maintenance_time
    }

    /// Messages that are neither delivered nor ended.
    pub fn held(&self) -> u64 {
        self.counts.requests - self.counts.delivered - self.counts.ended
    }

    /// Keeps the processor time of each message that is delivered from now on.
    pub fn keep_finished(&mut self) {
        self.finished = Some(Vec::new());
    }

    /// Processor time of each message that was delivered since it is kept.
    pub fn take_finished(&mut self) -> Vec<Duration> {
        self.finished.take().unwrap_or_default()
    }

    /// Requests from now on are of this class.
    pub fn use_class(&mut self, class: u32) {
        self.class = class;
    }

    /// Passes in the whole list of destinations, numbered from 0.
    pub fn list(&mut self, count: DestinationId, rate: f64) {
        let rate = if self.listed_rate == ListedRate::Unknown { 0.0 } else { rate };
        let endpoint = |number| Endpoint { target: number, destination: number, rate, ..Endpoint::default() };
        let endpoints = (0..count).map(endpoint).collect();
        self.advance(vec![Event::List { kind: ListKind::Full, version: 1, endpoints }]);
    }

    /// These destinations answer each call with a Retry-After of this span from now on.
    pub fn pause(&mut self, destinations: impl IntoIterator<Item = DestinationId>, span: Micros) {
        self.paused.extend(destinations);
        self.pause = span;
    }

    /// Submits a request for each of the destinations, all at one moment, and lets time pass until none of them is
    /// on its way. All calls take the same time.
    pub fn serve_each(&mut self, destinations: &[DestinationId]) {
        self.service_time_now = Some(self.random_service_time());
        for destination in destinations {
            self.request_after(1, *destination);
        }
        self.run_until_idle();
        self.service_time_now = None;
    }

    /// Submits a request for each of the destinations, all at one moment, and leaves them waiting.
    pub fn hold_each(&mut self, destinations: impl IntoIterator<Item = DestinationId>) {
        let mut events = Vec::new();
        for destination in destinations {
            let id = self.new_id();
            events.push(self.request(id, destination));
        }
        self.advance(events);
    }

    /// Schedules a request. Its message counts as on its way from now on.
    pub fn request_after(&mut self, span: Micros, destination: DestinationId) {
        let id = self.new_id();
        self.in_flight.insert(id, InFlight::default());
        self.schedule.push(Reverse((self.now + span, Scheduled::Request { id, destination })));
    }

    /// Lets time pass until no message is on its way. Timers fall due on the way.
    pub fn run_until_idle(&mut self) {
        while !self.in_flight.is_empty() && self.step() {}
    }

    /// Lets a span pass.
    pub fn run_for(&mut self, span: Micros) {
        let end = self.now + span;
        while self.schedule.peek().is_some_and(|Reverse((at, _))| *at <= end) {
            self.step();
        }
        self.now = end;
    }

    /// Processes the next moment, if there is one.
    pub fn step(&mut self) -> bool {
        let Some(Reverse((at, first))) = self.schedule.pop() else { return false };
        self.now = at;
        if let Scheduled::Timer { token } = first {
            self.timer(token);
        } else {
            self.traffic(first);
        }
        true
    }

    fn timer(&mut self, token: u32) {
        self.counts.timers += 1;
        let spent = self.advance(vec![Event::Timer { token }]);
        self.maintenance_time += spent;
    }

    /// Processes the traffic of this moment.
    fn traffic(&mut self, first: Scheduled) {
        let mut events = Vec::new();
        let mut ids = Vec::new();
        let mut next = Some(first);
        while let Some(scheduled) = next {
            if let Some((id, event)) = self.event(scheduled) {
                events.push(event);
                ids.push(id);
            }
            let is_due = self.schedule.peek().is_some_and(|Reverse((at, _))| *at == self.now);
            next = if is_due { self.schedule.pop().map(|Reverse((_, scheduled))| scheduled) } else { None };
        }
        if events.is_empty() {
            return;
        }
        let spent = self.advance(events);
        self.share_cost(&ids, spent);
    }

    /// Gives each message of a moment its part of the moment's cost, and drops those that are delivered or paused.
    fn share_cost(&mut self, ids: &[MessageId], spent: Duration) {
        let part = spent.div_f64(ids.len() as f64);
        for id in ids {
            let Some(in_flight) = self.in_flight.get_mut(id) else { continue };
            in_flight.cost += part;
            if in_flight.stage == Stage::Delivered {
                self.finished.iter_mut().for_each(|finished| finished.push(in_flight.cost));
            }
            if in_flight.stage != Stage::Underway {
                self.in_flight.remove(id);
            }
        }
    }

    /// The event for the policy, and its message; none for an answer to an attempt that is over.
    fn event(&mut self, scheduled: Scheduled) -> Option<(MessageId, Event)> {
        match scheduled {
            Scheduled::Timer { .. } => None,
            Scheduled::Request { id, destination } => Some((id, self.request(id, destination))),
            Scheduled::Answer { call, answer } => Some((call.id, self.answer(call, answer)?)),
        }
    }

    fn request(&mut self, id: MessageId, destination: DestinationId) -> Event {
        self.counts.requests += 1;
        let expires = self.now + self.deadlines[self.class as usize];
        Event::Request { id, class: self.class, destination, order_key: 0, expires }
    }

    fn new_id(&mut self) -> MessageId {
        self.last_id += 1;
        self.last_id
    }

    fn answer(&mut self, call: Call, answer: Answer) -> Option<Event> {
        let in_flight = self.in_flight.get_mut(&call.id);
        let in_flight = in_flight.filter(|in_flight| in_flight.open == Some(call.attempt))?;
        in_flight.open = None;
        let (outcome, wait) = match answer {
            Answer::Ok => (Outcome::Ok, 0),
            Answer::TimedOut => (Outcome::TimedOut, 0),
            Answer::Cancelled => (Outcome::Cancelled, 0),
            Answer::RetryAfter(span) => (Outcome::Rejected, span),
        };
        in_flight.stage = match answer {
            Answer::Ok => Stage::Delivered,
            Answer::RetryAfter(_) => Stage::Paused,
            Answer::TimedOut | Answer::Cancelled => Stage::Underway,
        };
        let ended = answer == Answer::Ok;
        self.counts.delivered += u64::from(ended);
        Some(call.end_event(self.now, outcome, ended, wait))
    }

    /// Passes in the events of this moment and carries out what is decided; gives the policy's processor time.
    fn advance(&mut self, events: Vec<Event>) -> Duration {
        let mut actions = std::mem::take(&mut self.actions);
        let (policy, now) = (&mut self.policy, self.now);
        let spent = self.processor.time(|| policy.advance(now, events, &mut actions));
        for action in actions.drain(..) {
            self.carry_out(action);
        }
        self.actions = actions;
        spent
    }

    fn carry_out(&mut self, action: Action) {
        self.counts.actions += 1;
        match action {
            Action::Send { id, target, until } => self.send(id, target, until),
            Action::Cancel { id, attempt } => self.cancel(id, attempt),
            Action::Refuse { id, .. } | Action::Fail { id } => {
                self.counts.ended += 1;
                self.in_flight.remove(&id);
            }
            Action::Timer { after, token } => {
                self.schedule.push(Reverse((self.now + after.max(1), Scheduled::Timer { token })));
            }
            _ => {}
        }
    }

    fn send(&mut self, id: MessageId, target: TargetId, until: Micros) {
        self.counts.calls += 1;
        let service_time = self.service_time_now.unwrap_or_else(|| self.random_service_time());
        let in_flight = self.in_flight.entry(id).or_default();
        let call = Call { id, attempt: in_flight.attempts, target, sent: self.now };
        in_flight.open = Some(call.attempt);
        in_flight.attempts += 1;
        let answered = self.now + service_time;
        let (at, answer) = match self.paused.contains(&target) {
            true => (answered, Answer::RetryAfter(self.pause)),
            false if answered > until => (until, Answer::TimedOut),
            false => (answered, Answer::Ok),
        };
        self.schedule.push(Reverse((at, Scheduled::Answer { call, answer })));
    }

    /// Cancels an attempt. Its regular answer is ignored if it comes later.
    fn cancel(&mut self, id: MessageId, attempt: u32) {
        let call = Call { id, attempt, target: TargetId::default(), sent: self.now };
        let cancelled = Scheduled::Answer { call, answer: Answer::Cancelled };
        self.schedule.push(Reverse((self.now + 1, cancelled)));
    }

    fn random_service_time(&mut self) -> Micros {
        random_service_time(&mut self.random, self.service_time)
    }
}
