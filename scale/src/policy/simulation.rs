//! A simulated forwarder on a virtual clock: feeds events to the delivery policy, executes its actions and counts
//! both.
//!
//! Events of the same time are passed to the policy together, as the forwarder does. Timers are processed apart from
//! and before the traffic of the same time, so that the CPU time of periodic maintenance is separate from that of
//! requests.

use crate::call::Call;
use crate::cpu_clock::ThreadCpuClock;
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

/// Initial time of the virtual clock.
const START: Micros = 5_000_000;

/// Numbers of events and actions so far; the same for the same seed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Counts {
    /// Messages submitted.
    pub requests: u64,
    /// Calls made.
    pub calls: u64,
    /// Messages delivered.
    pub delivered: u64,
    /// Messages that the policy refused or failed.
    pub ended: u64,
    /// Actions of all kinds.
    pub actions: u64,
    /// Timers that expired.
    pub timers: u64,
}

/// State of a tracked message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum MessageState {
    #[default]
    Pending,
    Delivered,
    /// Rejected with a Retry-After that exceeds the duration of the run.
    Rejected,
}

/// A message that is scheduled for submission or has been sent, until it is delivered, rejected or ended by the
/// policy.
#[derive(Debug, Default)]
struct TrackedMessage {
    attempts: u32,
    /// Index of the attempt in flight.
    attempt_in_flight: Option<u32>,
    state: MessageState,
    cpu_time: Duration,
}

/// A scheduled event. Timers are the first variant, so that they sort before traffic of the same time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    Timer { token: u32 },
    Request { id: MessageId, destination: DestinationId },
    CallEnd { call: Call, end: CallEnd },
}

/// How a call ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CallEnd {
    Succeeded,
    TimedOut,
    Cancelled,
    /// Rejected, with a Retry-After of this duration.
    Rejected(Micros),
}

/// A forwarder and its destinations. Each destination has one endpoint, of the same number.
#[derive(Debug)]
pub(super) struct Simulation {
    policy: PolicyUnderTest,
    now: Micros,
    cpu_clock: ThreadCpuClock,
    random: ChaCha8Rng,
    schedule: BinaryHeap<Reverse<(Micros, ScheduledEvent)>>,
    tracked: HashMap<MessageId, TrackedMessage>,
    rejecting: HashSet<DestinationId>,
    retry_after: Micros,
    request_class: u32,
    deadlines: Vec<Micros>,
    listed_rate: ListedRate,
    service_time: Micros,
    /// Set while all calls take the same time.
    fixed_service_time: Option<Micros>,
    last_id: MessageId,
    counts: Counts,
    maintenance_cpu_time: Duration,
    /// CPU time of each delivered message, if recorded.
    delivered_cpu_times: Option<Vec<Duration>>,
    actions: Vec<Action>,
}

impl Simulation {
    /// Creates a forwarder that starts without any destination.
    pub fn new(seed: u64, settings: Settings, service_time: Micros) -> Simulation {
        Simulation {
            now: START,
            cpu_clock: ThreadCpuClock::calibrated(),
            random: ChaCha8Rng::seed_from_u64(seed),
            schedule: BinaryHeap::new(),
            tracked: HashMap::new(),
            rejecting: HashSet::new(),
            retry_after: 0,
            request_class: 0,
            deadlines: settings.classes.iter().map(|class| class.deadline).collect(),
            listed_rate: settings.listed_rate,
            service_time,
            fixed_service_time: None,
            last_id: 0,
            counts: Counts::default(),
            maintenance_cpu_time: Duration::ZERO,
            delivered_cpu_times: None,
            actions: Vec::new(),
            policy: PolicyUnderTest::new(START, seed, settings),
        }
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the CPU time of timers so far, including the decisions that follow them.
    pub fn maintenance_cpu_time(&self) -> Duration {
        self.maintenance_cpu_time
    }

    /// Returns the number of messages that are neither delivered nor ended.
    pub fn held(&self) -> u64 {
        self.counts.requests - self.counts.delivered - self.counts.ended
    }

    /// Records the CPU time of each message that is delivered from now on.
    pub fn record_cpu_times(&mut self) {
        self.delivered_cpu_times = Some(Vec::new());
    }

    /// Returns the recorded CPU times and stops recording.
    pub fn take_cpu_times(&mut self) -> Vec<Duration> {
        self.delivered_cpu_times.take().unwrap_or_default()
    }

    /// Sets the class of the requests that follow.
    pub fn set_request_class(&mut self, class: u32) {
        self.request_class = class;
    }

    /// Passes the full endpoint list to the policy, with destinations numbered from 0.
    pub fn publish_list(&mut self, count: DestinationId, rate: f64) {
        let rate = if self.listed_rate == ListedRate::Unknown { 0.0 } else { rate };
        let endpoint = |number| Endpoint { target: number, destination: number, rate, ..Endpoint::default() };
        let endpoints = (0..count).map(endpoint).collect();
        self.advance(vec![Event::List { kind: ListKind::Full, version: 1, endpoints }]);
    }

    /// Makes these destinations reject each call with this Retry-After.
    pub fn reject_with_retry_after(
        &mut self, destinations: impl IntoIterator<Item = DestinationId>, retry_after: Micros,
    ) {
        self.rejecting.extend(destinations);
        self.retry_after = retry_after;
    }

    /// Submits a request for each destination at the same time and runs until none of them is tracked any more. All
    /// calls take the same time.
    pub fn submit_each_and_wait(&mut self, destinations: &[DestinationId]) {
        self.fixed_service_time = Some(self.random_service_time());
        for destination in destinations {
            self.schedule_request(1, *destination);
        }
        self.run_until_idle();
        self.fixed_service_time = None;
    }

    /// Submits a request for each destination at the same time, without letting time pass.
    pub fn submit_each(&mut self, destinations: impl IntoIterator<Item = DestinationId>) {
        let mut events = Vec::new();
        for destination in destinations {
            let id = self.new_id();
            events.push(self.request_event(id, destination));
        }
        self.advance(events);
    }

    /// Schedules a request after `delay`. Its message is tracked from now on.
    pub fn schedule_request(&mut self, delay: Micros, destination: DestinationId) {
        let id = self.new_id();
        self.tracked.insert(id, TrackedMessage::default());
        self.schedule.push(Reverse((self.now + delay, ScheduledEvent::Request { id, destination })));
    }

    /// Runs until no message is tracked. Timers that are due are processed.
    pub fn run_until_idle(&mut self) {
        while !self.tracked.is_empty() && self.step() {}
    }

    /// Advances the clock by `span` and processes the events due.
    pub fn run_for(&mut self, span: Micros) {
        let end = self.now + span;
        while self.schedule.peek().is_some_and(|Reverse((at, _))| *at <= end) {
            self.step();
        }
        self.now = end;
    }

    /// Processes the events of the next point in time; returns false if there are none.
    pub fn step(&mut self) -> bool {
        let Some(Reverse((at, first))) = self.schedule.pop() else { return false };
        self.now = at;
        if let ScheduledEvent::Timer { token } = first {
            self.fire_timer(token);
        } else {
            self.process_traffic(first);
        }
        true
    }

    fn fire_timer(&mut self, token: u32) {
        self.counts.timers += 1;
        let cpu_time = self.advance(vec![Event::Timer { token }]);
        self.maintenance_cpu_time += cpu_time;
    }

    /// Processes the traffic due now, starting with `first`.
    fn process_traffic(&mut self, first: ScheduledEvent) {
        let mut events = Vec::new();
        let mut ids = Vec::new();
        let mut next = Some(first);
        while let Some(scheduled) = next {
            if let Some((id, event)) = self.policy_event(scheduled) {
                events.push(event);
                ids.push(id);
            }
            let is_due = self.schedule.peek().is_some_and(|Reverse((at, _))| *at == self.now);
            next = if is_due { self.schedule.pop().map(|Reverse((_, scheduled))| scheduled) } else { None };
        }
        if events.is_empty() {
            return;
        }
        let cpu_time = self.advance(events);
        self.attribute_cpu_time(&ids, cpu_time);
    }

    /// Divides the CPU time of a batch evenly among its messages, and stops tracking those that are delivered or
    /// rejected.
    fn attribute_cpu_time(&mut self, ids: &[MessageId], cpu_time: Duration) {
        let share = cpu_time.div_f64(ids.len() as f64);
        for id in ids {
            let Some(message) = self.tracked.get_mut(id) else { continue };
            message.cpu_time += share;
            if message.state == MessageState::Delivered {
                self.delivered_cpu_times
                    .iter_mut()
                    .for_each(|delivered_cpu_times| delivered_cpu_times.push(message.cpu_time));
            }
            if message.state != MessageState::Pending {
                self.tracked.remove(id);
            }
        }
    }

    /// Returns the event for the policy and its message; `None` if the attempt has already ended.
    fn policy_event(&mut self, scheduled: ScheduledEvent) -> Option<(MessageId, Event)> {
        match scheduled {
            ScheduledEvent::Timer { .. } => None,
            ScheduledEvent::Request { id, destination } => Some((id, self.request_event(id, destination))),
            ScheduledEvent::CallEnd { call, end } => Some((call.id, self.call_end_event(call, end)?)),
        }
    }

    fn request_event(&mut self, id: MessageId, destination: DestinationId) -> Event {
        self.counts.requests += 1;
        let expires = self.now + self.deadlines[self.request_class as usize];
        Event::Request { id, class: self.request_class, destination, order_key: 0, expires }
    }

    fn new_id(&mut self) -> MessageId {
        self.last_id += 1;
        self.last_id
    }

    fn call_end_event(&mut self, call: Call, end: CallEnd) -> Option<Event> {
        let message = self.tracked.get_mut(&call.id);
        let message = message.filter(|message| message.attempt_in_flight == Some(call.attempt))?;
        message.attempt_in_flight = None;
        let (outcome, retry_after) = match end {
            CallEnd::Succeeded => (Outcome::Ok, 0),
            CallEnd::TimedOut => (Outcome::TimedOut, 0),
            CallEnd::Cancelled => (Outcome::Cancelled, 0),
            CallEnd::Rejected(retry_after) => (Outcome::Rejected, retry_after),
        };
        message.state = match end {
            CallEnd::Succeeded => MessageState::Delivered,
            CallEnd::Rejected(_) => MessageState::Rejected,
            CallEnd::TimedOut | CallEnd::Cancelled => MessageState::Pending,
        };
        let is_delivered = end == CallEnd::Succeeded;
        self.counts.delivered += u64::from(is_delivered);
        Some(call.end_event(self.now, outcome, is_delivered, retry_after))
    }

    /// Passes the events due now to the policy and executes its actions; returns the CPU time of the policy.
    fn advance(&mut self, events: Vec<Event>) -> Duration {
        let mut actions = std::mem::take(&mut self.actions);
        let (policy, now) = (&mut self.policy, self.now);
        let cpu_time = self.cpu_clock.time(|| policy.advance(now, events, &mut actions));
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
        cpu_time
    }

    fn execute(&mut self, action: Action) {
        self.counts.actions += 1;
        match action {
            Action::Send { id, target, until } => self.send(id, target, until),
            Action::Cancel { id, attempt } => self.cancel(id, attempt),
            Action::Refuse { id, .. } | Action::Fail { id } => {
                self.counts.ended += 1;
                self.tracked.remove(&id);
            }
            Action::Timer { after, token } => {
                self.schedule.push(Reverse((self.now + after.max(1), ScheduledEvent::Timer { token })));
            }
            _ => {}
        }
    }

    fn send(&mut self, id: MessageId, target: TargetId, until: Micros) {
        self.counts.calls += 1;
        let service_time = self.fixed_service_time.unwrap_or_else(|| self.random_service_time());
        let message = self.tracked.entry(id).or_default();
        let call = Call { id, attempt: message.attempts, target, sent_at: self.now };
        message.attempt_in_flight = Some(call.attempt);
        message.attempts += 1;
        let response_at = self.now + service_time;
        let (at, end) = match self.rejecting.contains(&target) {
            true => (response_at, CallEnd::Rejected(self.retry_after)),
            false if response_at > until => (until, CallEnd::TimedOut),
            false => (response_at, CallEnd::Succeeded),
        };
        self.schedule.push(Reverse((at, ScheduledEvent::CallEnd { call, end })));
    }

    /// Cancels an attempt. A later end of the call is ignored.
    fn cancel(&mut self, id: MessageId, attempt: u32) {
        let call = Call { id, attempt, target: TargetId::default(), sent_at: self.now };
        let cancelled = ScheduledEvent::CallEnd { call, end: CallEnd::Cancelled };
        self.schedule.push(Reverse((self.now + 1, cancelled)));
    }

    fn random_service_time(&mut self) -> Micros {
        random_service_time(&mut self.random, self.service_time)
    }
}
