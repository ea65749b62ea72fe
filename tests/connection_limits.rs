//! Many replicas share an endpoint that accepts few connections, idle ones included. The endpoint list does not state
//! the limit: a connection beyond it gets one response, a rejection, and is closed.

mod common;

use common::*;
use hatchline::*;

/// Interval at which all replicas decide.
const STEP: u64 = 10 * MILLISECOND;
/// Time to establish a connection, and duration of a call on it. A rejected connection takes only the former.
const CONNECT_TIME: u64 = 50 * MILLISECOND;
const CALL_TIME: u64 = 100 * MILLISECOND;

/// A call: replica, message, attempt, when it began, when it ends, and whether the endpoint accepted its connection.
type Call = (usize, MessageId, u32, u64, u64, bool);

/// Replicas of one fleet that share an endpoint with a connection limit.
struct ConnectionLimitedFleet {
    now: u64,
    connection_limit: usize,
    replicas: Vec<DeliveryPolicy>,
    attempt_counts: Vec<u32>,
    in_flight: Vec<Call>,
    /// For each replica, since when each of its idle connections has been idle.
    idle_since: Vec<Vec<u64>>,
    connection_idle_timeout: u64,
    connections_opened: usize,
    delivered: usize,
}

impl ConnectionLimitedFleet {
    fn new(replicas: usize, connection_limit: usize) -> ConnectionLimitedFleet {
        let class = Class {
            aim: 2 * SECOND,
            deadline: 9 * SECOND,
            deduplication_window: 9 * SECOND,
            ..class(RetrySafety::Keyed)
        };
        let settings = Settings {
            replicas: replicas as u32,
            slots: 4,
            max_attempts: 4,
            connection_idle_timeout: 8 * SECOND,
            ..settings(vec![class])
        };
        let connection_idle_timeout = settings.connection_idle_timeout;
        let mut fleet = ConnectionLimitedFleet {
            now: 5 * SECOND,
            connection_limit,
            replicas: (0..replicas)
                .map(|index| DeliveryPolicy::new(5 * SECOND, index as u64 * 7919 + 1, settings.clone()))
                .collect(),
            attempt_counts: Vec::new(),
            in_flight: Vec::new(),
            idle_since: vec![Vec::new(); replicas],
            connection_idle_timeout,
            connections_opened: 0,
            delivered: 0,
        };
        for policy in &mut fleet.replicas {
            let list = Event::List { kind: ListKind::Full, version: 1, endpoints: vec![endpoint(1, 1)] };
            policy.handle(fleet.now, list, &mut Vec::new());
        }
        fleet
    }

    fn submit(&mut self, replica: usize) {
        let (id, expires) = (self.attempt_counts.len() as MessageId, self.now + 9 * SECOND);
        self.attempt_counts.push(0);
        let request = Event::Request { id, class: 0, destination: 1, order_key: 0, expires };
        self.replicas[replica].handle(self.now, request, &mut Vec::new());
    }

    fn execute(&mut self, replica: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { id, .. } => {
                    let attempt = self.attempt_counts[id as usize];
                    self.attempt_counts[id as usize] += 1;
                    let open = self.idle_since.iter().map(Vec::len).sum::<usize>()
                        + self.in_flight.iter().filter(|call| call.5).count();
                    let reused = self.idle_since[replica].pop().is_some();
                    let (accepted, took) = match reused {
                        true => (true, CALL_TIME),
                        false if open < self.connection_limit => (true, CONNECT_TIME + CALL_TIME),
                        false => (false, CONNECT_TIME),
                    };
                    self.connections_opened += usize::from(!reused && accepted);
                    self.in_flight.push((replica, id, attempt, self.now, self.now + took, accepted));
                }
                Action::CloseIdle { .. } => self.idle_since[replica].clear(),
                _ => {}
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let idle_timeout = self.connection_idle_timeout;
        self.idle_since.iter_mut().for_each(|idle| idle.retain(|since| now < since + idle_timeout));
        let (ended, remaining): (Vec<Call>, _) = self.in_flight.iter().partition(|call| call.4 <= now);
        self.in_flight = remaining;
        for (replica, id, attempt, at, _, accepted) in ended {
            self.delivered += usize::from(accepted);
            if accepted {
                self.idle_since[replica].push(now);
            }
            let outcome = if accepted { Outcome::Ok } else { Outcome::TooManyConnections };
            let (took, message_ended) = (now - at, accepted);
            let event = Event::AttemptEnded {
                id,
                attempt,
                target: 1,
                outcome,
                took,
                message_ended,
                retry_after: 0,
                report: None,
            };
            let mut actions = Vec::new();
            self.replicas[replica].handle(now, event, &mut actions);
            self.execute(replica, actions);
        }
        for replica in 0..self.replicas.len() {
            let mut actions = Vec::new();
            self.replicas[replica].decide(now, &mut actions);
            self.execute(replica, actions);
        }
    }

    /// Submits `messages_per_second` for `span`, spread over the replicas, and returns the share of them that was
    /// delivered.
    fn delivered_share(&mut self, messages_per_second: f64, span: u64) -> f64 {
        let (before, mut submitted, mut due) = (self.delivered, 0, 0.0);
        for _ in 0..span / STEP {
            due += messages_per_second * STEP as f64 / SECOND as f64;
            while due >= 1.0 {
                due -= 1.0;
                submitted += 1;
                // 37 has no factor in common with the number of replicas, so that each of them gets messages.
                self.submit(submitted * 37 % self.replicas.len());
            }
            self.step();
        }
        (self.delivered - before) as f64 / submitted as f64
    }
}

/// In a fleet of 279, messages to such destinations were hardly ever delivered: the first replicas to connect kept
/// their connections, idle most of the time, while the connections of all others were rejected, and these backed off
/// as they do after rejections by a rate limit.
#[test]
fn replicas_share_the_few_connections_of_an_endpoint() {
    let mut fleet = ConnectionLimitedFleet::new(100, 16);
    fleet.delivered_share(60.0, 20 * SECOND);
    let share = fleet.delivered_share(60.0, 20 * SECOND);
    assert!(share > 0.8, "{share}");
}

/// Where the limit suffices for all replicas, connections are kept open, since establishing one has a cost.
#[test]
fn connections_are_kept_where_the_limit_suffices_for_all() {
    let mut fleet = ConnectionLimitedFleet::new(20, 1000);
    let share = fleet.delivered_share(60.0, 40 * SECOND);
    assert!(share > 0.95, "{share}");
    let per_message = fleet.connections_opened as f64 / fleet.delivered as f64;
    assert!(per_message < 0.15, "{per_message} connections opened per message");
}
