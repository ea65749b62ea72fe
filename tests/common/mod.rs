//! A test harness that runs a delivery policy in simulated time, executes its actions and checks each of them against
//! the delivery rules.
#![allow(dead_code)]

pub mod random_steps;
pub mod random_traffic;

use hatchline::*;
use std::collections::{BTreeMap, BTreeSet};

/// One millisecond in microseconds, the unit of all times here.
pub const MILLISECOND: u64 = 1000;
/// One second in microseconds.
pub const SECOND: u64 = 1_000_000;

/// One attempt of a message, as the harness records it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub target: TargetId,
    pub sent_at: u64,
    pub times_out_at: u64,
    /// Absent while the attempt is in flight.
    pub outcome: Option<Outcome>,
}

/// A submitted message with all its attempts.
#[derive(Clone, Debug)]
pub struct TestMessage {
    pub class: usize,
    pub destination: DestinationId,
    /// 0 if the class is not delivered in order.
    pub order_key: u64,
    /// No attempt may run past this time.
    pub expires: u64,
    pub attempts: Vec<Attempt>,
    /// When it was delivered, refused or failed by the policy, or withdrawn by the client.
    pub ended_at: Option<u64>,
    pub delivered: bool,
    pub refused: bool,
}

/// A delivery policy together with the state that its actions are checked against.
pub struct PolicyHarness {
    pub now: u64,
    pub settings: Settings,
    pub policy: DeliveryPolicy,
    pub messages: BTreeMap<MessageId, TestMessage>,
    /// Messages of each order key, in the order of their submission.
    pub ids_by_order_key: BTreeMap<u64, Vec<MessageId>>,
    /// Until when each order key is paused after an attempt whose outcome is uncertain.
    pub order_pause_ends: BTreeMap<u64, u64>,
    pub endpoints: BTreeMap<TargetId, Endpoint>,
    /// When an endpoint began to drain or was removed.
    pub leaving_since: BTreeMap<TargetId, u64>,
    /// End of the Retry-After of a route; target 0 stands for the route that all endpoints of a destination share.
    pub retry_after_ends: BTreeMap<(DestinationId, TargetId), u64>,
    /// Due time and token.
    pub timers: BTreeSet<(u64, u32)>,
    /// All actions, each with its time.
    pub trace: Vec<(u64, Action)>,
    /// Descriptions of all violations of the delivery rules.
    pub violations: Vec<String>,
    /// Attempts that the policy has cancelled; they end at the next tick.
    pending_cancels: Vec<(MessageId, usize)>,
    /// Messages that the clients have withdrawn.
    withdrawn: BTreeSet<MessageId>,
    next_id: MessageId,
    list_version: u32,
}

/// A class of message with the timing that most tests use.
pub fn class(retry_safety: RetrySafety) -> Class {
    Class {
        aim: 2 * SECOND,
        deadline: 20 * SECOND,
        worth: 1.0,
        late_value: 0.5,
        retry_safety,
        deduplication_window: 10 * SECOND,
        ..Class::default()
    }
}

/// The settings that most tests use: a fleet of two replicas, one route per destination, and no batches.
pub fn settings(classes: Vec<Class>) -> Settings {
    Settings {
        replicas: 2,
        slots: 12,
        max_held: 300,
        max_attempts: 6,
        may_cancel: true,
        classes,
        contract: DestinationContract {
            drain_grace: SECOND,
            cold_capacity_share: 0.2,
            ramp_time: 10 * SECOND,
            overload_factor: 2.5,
            overload_duration: 1500 * MILLISECOND,
            order_pause: 100 * MILLISECOND,
            max_list_poll_interval: 10 * SECOND,
        },
        batch_by_kind: vec![1],
        route_per_endpoint: vec![false],
        connection_idle_timeout: 15 * SECOND,
        connect_timeout: SECOND,
        streams_per_connection: 8,
        tick: 5 * MILLISECOND,
        ..Settings::default()
    }
}

pub fn endpoint(target: TargetId, destination: DestinationId) -> Endpoint {
    Endpoint { target, destination, ..Endpoint::default() }
}

impl PolicyHarness {
    /// Starts a policy and passes it the full list of endpoints.
    pub fn new(settings: Settings, endpoints: Vec<Endpoint>) -> Self {
        let now = 5 * SECOND;
        let mut harness = PolicyHarness {
            now,
            policy: DeliveryPolicy::new(now, 7, settings.clone()),
            settings,
            messages: BTreeMap::new(),
            ids_by_order_key: BTreeMap::new(),
            order_pause_ends: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            leaving_since: BTreeMap::new(),
            retry_after_ends: BTreeMap::new(),
            timers: BTreeSet::new(),
            trace: Vec::new(),
            violations: Vec::new(),
            pending_cancels: Vec::new(),
            withdrawn: BTreeSet::new(),
            next_id: 1,
            list_version: 0,
        };
        harness.update_list(ListKind::Full, endpoints);
        harness
    }

    /// Applies a list of the next version and passes it to the policy.
    pub fn update_list(&mut self, kind: ListKind, endpoints: Vec<Endpoint>) {
        if kind == ListKind::Full {
            let listed: BTreeSet<_> = endpoints.iter().map(|endpoint| endpoint.target).collect();
            let missing: Vec<_> =
                self.endpoints.keys().filter(|target| !listed.contains(target)).copied().collect();
            for target in missing {
                self.leaving_since.entry(target).or_insert(self.now);
            }
        }
        for endpoint in &endpoints {
            match endpoint.state {
                EndpointState::Ready => drop(self.leaving_since.remove(&endpoint.target)),
                _ => drop(self.leaving_since.entry(endpoint.target).or_insert(self.now)),
            }
            self.endpoints.insert(endpoint.target, endpoint.clone());
        }
        self.list_version += 1;
        self.process(Event::List { kind, version: self.list_version, endpoints });
    }

    /// Submits a message. The order key is ignored for classes that are not delivered in order.
    pub fn submit(&mut self, class: usize, destination: DestinationId, order_key: u64) -> MessageId {
        let id = self.next_id;
        self.next_id += 1;
        let expires = self.now + self.settings.classes[class].deadline;
        let order_key = if self.settings.classes[class].in_order { order_key } else { 0 };
        let message = TestMessage {
            class,
            destination,
            order_key,
            expires,
            attempts: vec![],
            ended_at: None,
            delivered: false,
            refused: false,
        };
        self.messages.insert(id, message);
        if order_key != 0 {
            self.ids_by_order_key.entry(order_key).or_default().push(id);
        }
        self.process(Event::Request { id, class: class as u32, destination, order_key, expires });
        id
    }

    /// All attempts in flight: message, index of the attempt, attempt.
    pub fn attempts_in_flight(&self) -> Vec<(MessageId, usize, Attempt)> {
        let all = self.messages.iter().flat_map(|(id, message)| {
            message.attempts.iter().enumerate().map(|(index, attempt)| (*id, index, attempt.clone()))
        });
        all.filter(|(_, _, attempt)| attempt.outcome.is_none()).collect()
    }

    /// Ends an attempt; `retry_after` is the Retry-After of the response, 0 for none.
    pub fn end_attempt(&mut self, id: MessageId, index: usize, outcome: Outcome, retry_after: u64) {
        let now = self.now;
        let Some(message) = self.messages.get_mut(&id) else { return };
        let ended_attempt = &mut message.attempts[index];
        ended_attempt.outcome = Some(outcome);
        let (target, took) = (ended_attempt.target, now - ended_attempt.sent_at);
        if outcome == Outcome::Ok && message.ended_at.is_none() {
            (message.ended_at, message.delivered) = (Some(now), true);
        }
        let message_ended = message.ended_at.is_some();
        let (destination, order_key) = (message.destination, message.order_key);
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            self.order_pause_ends.insert(order_key, now + self.settings.contract.order_pause);
        }
        if retry_after > 0 {
            let route = if self.has_own_route(target) { target } else { 0 };
            let end = self.retry_after_ends.entry((destination, route)).or_default();
            *end = (*end).max(now + retry_after);
        }
        let attempt = index as u32;
        self.process(Event::AttemptEnded {
            id,
            attempt,
            target,
            outcome,
            took,
            message_ended,
            retry_after,
            report: None,
        });
    }

    /// Withdraws a message as its client would, without notifying the policy: a call that carries it ends as not
    /// sent.
    pub fn withdraw(&mut self, id: MessageId) {
        let now = self.now;
        self.messages.entry(id).and_modify(|message| message.ended_at = Some(now));
        self.withdrawn.insert(id);
    }

    /// Whether the endpoint is a route of its own rather than part of the route of its destination.
    fn has_own_route(&self, target: TargetId) -> bool {
        let kind = self.endpoints[&target].kind as usize;
        self.settings.route_per_endpoint.get(kind).copied().unwrap_or(false)
    }

    /// Passes one event to the policy, lets it decide, and checks and executes the resulting actions.
    pub fn process(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        self.policy.decide(self.now, &mut actions);
        for action in actions {
            self.trace.push((self.now, action.clone()));
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { id, target, until } => self.start_attempt(id, target, until),
            Action::Refuse { id, .. } | Action::Fail { id } => {
                let refuse = matches!(action, Action::Refuse { .. });
                let message = self.messages.get(&id).cloned().unwrap();
                if message.ended_at.is_some() && !self.withdrawn.contains(&id) {
                    self.violations.push(format!("message {id} ended twice"));
                }
                if self.now > message.expires + 20 * MILLISECOND {
                    self.violations.push(format!("message {id} ended too late"));
                }
                let possibly_run = message.attempts.iter().any(may_have_run);
                let class = &self.settings.classes[message.class];
                let all_deduplicate = class.retry_safety == RetrySafety::Keyed
                    && class.deduplication_scope == DeduplicationScope::All;
                if refuse && possibly_run && class.retry_safety != RetrySafety::Repeatable && !all_deduplicate
                {
                    self.violations.push(format!("message {id} refused though it may have run"));
                }
                let message = self.messages.get_mut(&id).unwrap();
                (message.ended_at, message.refused) = (Some(self.now), refuse);
            }
            Action::Timer { after, token } => drop(self.timers.insert((self.now + after.max(1), token))),
            Action::Cancel { id, attempt } => match self.messages[&id].attempts.get(attempt as usize) {
                Some(cancelled) if cancelled.outcome.is_none() => {
                    self.pending_cancels.push((id, attempt as usize))
                }
                Some(_) => {}
                None => self
                    .violations
                    .push(format!("attempt {attempt} of message {id} cancelled but never made")),
            },
            _ => {}
        }
    }

    /// Checks an attempt against the rules and records it.
    fn start_attempt(&mut self, id: MessageId, target: TargetId, times_out_at: u64) {
        let message = self.messages.get(&id).cloned().unwrap();
        let class = self.settings.classes[message.class].clone();
        let endpoint = self.endpoints[&target].clone();
        if self.withdrawn.contains(&id) {
            // The policy learns of the withdrawal from this attempt, whose outcome says that the message has ended.
            let attempt = Attempt { target, sent_at: self.now, times_out_at, outcome: None };
            return self.messages.entry(id).or_insert(message).attempts.push(attempt);
        }
        let mut report_violation =
            |text: &str| self.violations.push(format!("at {}: message {id}: {text}", self.now));
        if message.ended_at.is_some() {
            report_violation("sent after it had ended");
        }
        if times_out_at > message.expires || self.now >= message.expires {
            report_violation("sent past its deadline");
        }
        if endpoint.destination != message.destination {
            report_violation("sent to another destination");
        }
        if message.attempts.iter().any(|attempt| attempt.outcome.is_none()) {
            report_violation("two attempts at once");
        }
        if message.attempts.len() >= self.settings.max_attempts as usize {
            report_violation("too many attempts");
        }
        let possibly_run: Vec<_> = message.attempts.iter().filter(|attempt| may_have_run(attempt)).collect();
        match (class.retry_safety, possibly_run.first()) {
            (RetrySafety::Unsafe, Some(_)) => {
                report_violation("an unsafe message that may have run was retried")
            }
            (RetrySafety::Keyed, Some(first)) => {
                if self.now > first.sent_at + class.deduplication_window {
                    report_violation("retried outside its deduplication window");
                }
                if class.deduplication_scope == DeduplicationScope::Zone
                    && self.endpoints[&first.target].zone != endpoint.zone
                {
                    report_violation("retried outside the zone of its first attempt");
                }
            }
            _ => {}
        }
        if self
            .leaving_since
            .get(&target)
            .is_some_and(|since| self.now > since + self.settings.contract.drain_grace)
        {
            report_violation("sent to a draining or removed endpoint after the grace period");
        }
        let route = if self.has_own_route(target) { target } else { 0 };
        if self.retry_after_ends.get(&(message.destination, route)).is_some_and(|end| self.now < *end) {
            self.violations
                .push(format!("at {}: message {id}: sent before the end of the Retry-After", self.now));
        }
        if message.order_key != 0 {
            let ids = &self.ids_by_order_key[&message.order_key];
            let earlier = ids.iter().take_while(|other| **other != id).map(|other| &self.messages[other]);
            let is_open = |message: &TestMessage| {
                message.ended_at.is_none() || message.attempts.iter().any(|attempt| attempt.outcome.is_none())
            };
            if earlier.clone().any(is_open) {
                self.violations.push(format!(
                    "at {}: message {id}: sent before an earlier message of its order key had ended",
                    self.now
                ));
            }
            let is_paused = self.order_pause_ends.get(&message.order_key).is_some_and(|end| self.now < *end);
            if is_paused && message.attempts.is_empty() {
                self.violations
                    .push(format!("at {}: message {id}: sent within the pause of its order key", self.now));
            }
        }
        let attempt = Attempt { target, sent_at: self.now, times_out_at, outcome: None };
        self.messages.get_mut(&id).unwrap().attempts.push(attempt);
        if self.settings.batch_by_kind.iter().all(|batch_size| *batch_size == 1) {
            let in_flight = self.attempts_in_flight();
            let to_destination = in_flight
                .iter()
                .filter(|(other, _, _)| self.messages[other].destination == message.destination)
                .count();
            if in_flight.len() > self.settings.slots as usize {
                self.violations.push(format!("at {}: {} calls in flight", self.now, in_flight.len()));
            }
            if to_destination as f64 > (f64::from(self.settings.slots) * 0.75).max(1.0) {
                self.violations
                    .push(format!("at {}: {to_destination} calls in flight to one destination", self.now));
            }
        }
    }

    /// Advances time in ticks. `respond` returns the outcome of an attempt and its Retry-After, or `None` while the
    /// call stays in flight.
    pub fn advance(
        &mut self, span: u64, mut respond: impl FnMut(u64, MessageId, &Attempt) -> Option<(Outcome, u64)>,
    ) {
        let end = self.now + span;
        while self.now < end {
            self.now += self.settings.tick;
            for (id, index) in std::mem::take(&mut self.pending_cancels) {
                if self.messages[&id].attempts[index].outcome.is_none() {
                    self.end_attempt(id, index, Outcome::Cancelled, 0);
                }
            }
            for (id, index, attempt) in self.attempts_in_flight() {
                if self.withdrawn.contains(&id) {
                    self.end_attempt(id, index, Outcome::NotSent, 0);
                } else if let Some((outcome, retry_after)) = respond(self.now, id, &attempt) {
                    self.end_attempt(id, index, outcome, retry_after);
                } else if self.now >= attempt.times_out_at {
                    self.end_attempt(id, index, Outcome::TimedOut, 0);
                }
            }
            while let Some((at, token)) = self.timers.first().copied().filter(|(at, _)| *at <= self.now) {
                self.timers.remove(&(at, token));
                self.process(Event::Timer { token });
            }
        }
    }

    /// Number of attempts made so far.
    pub fn attempt_count(&self) -> usize {
        self.messages.values().map(|message| message.attempts.len()).sum()
    }

    /// Fails the test if a delivery rule was broken.
    pub fn assert_no_violations(&self) {
        assert!(self.violations.is_empty(), "{:#?}", &self.violations[..self.violations.len().min(5)]);
    }
}

/// Whether the attempt may have taken effect at the destination.
pub fn may_have_run(attempt: &Attempt) -> bool {
    !matches!(attempt.outcome, Some(Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent))
}

/// Responds to each attempt with success after `latency`.
pub fn responds_after(latency: u64) -> impl FnMut(u64, MessageId, &Attempt) -> Option<(Outcome, u64)> {
    move |now, _, attempt| (now >= attempt.sent_at + latency).then_some((Outcome::Ok, 0))
}

/// Never responds to an attempt.
pub fn never_responds(_: u64, _: MessageId, _: &Attempt) -> Option<(Outcome, u64)> {
    None
}
