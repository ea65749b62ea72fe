//! A simulated replica: its policy, its timers and its history with each destination.

use crate::deployment::saturating_u32;
use crate::policy_under_test::PolicyUnderTest;
use hatchline::{Action, DestinationId, Endpoint, Event, ListKind, Micros, Settings};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What a replica has seen of one destination.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DestinationHistory {
    pub messages: u32,
    pub responses: u32,
    /// Whether the replica has called the destination during the outage.
    pub observed_outage: bool,
}

/// Settings and endpoint list that all replicas start with.
#[derive(Clone, Debug)]
pub(super) struct InitialConditions {
    pub settings: Settings,
    pub endpoints: Vec<Endpoint>,
    pub started_at: Micros,
}

impl InitialConditions {
    /// Creates the conditions of a fleet whose sampled destinations, numbered from 0, have one endpoint each, of the
    /// same number.
    pub fn new(
        settings: Settings, destinations: u64, listed_rate: f64, started_at: Micros,
    ) -> InitialConditions {
        let endpoint = |number| Endpoint {
            target: number,
            destination: number,
            rate: listed_rate,
            ..Endpoint::default()
        };
        let endpoints = (0..saturating_u32(destinations)).map(endpoint).collect();
        InitialConditions { settings, endpoints, started_at }
    }
}

/// A simulated replica.
///
/// It starts with the simulation. While it has neither messages nor calls in flight, only its timers affect it; they
/// are processed late, before its next event.
#[derive(Debug)]
pub(super) struct Replica {
    policy: PolicyUnderTest,
    timers: BinaryHeap<Reverse<(Micros, u32)>>,
    pub histories: Vec<DestinationHistory>,
    /// Messages that are neither delivered nor ended.
    pub pending_messages: u32,
    /// Calls in flight.
    pub calls_in_flight: u32,
    /// Time of the scheduled event that wakes the replica for its timers.
    pub wakeup_at: Option<Micros>,
}

impl Replica {
    /// Creates a replica in its state at the start.
    pub fn new(seed: u64, conditions: &InitialConditions) -> Replica {
        let started_at = conditions.started_at;
        let mut replica = Replica {
            policy: PolicyUnderTest::new(started_at, seed, conditions.settings.clone()),
            timers: BinaryHeap::new(),
            histories: vec![DestinationHistory::default(); conditions.endpoints.len()],
            pending_messages: 0,
            calls_in_flight: 0,
            wakeup_at: None,
        };
        let endpoints = conditions.endpoints.clone();
        let list = Event::List { kind: ListKind::Full, version: 1, endpoints };
        let mut actions = Vec::new();
        replica.handle(started_at, list, &mut actions);
        replica
    }

    /// Passes an event to the policy. Schedules the timers it sets and leaves all other actions in `actions`.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.policy.advance(now, [event], actions);
        let timers = &mut self.timers;
        actions.retain(|action| {
            let Action::Timer { after, token } = action else { return true };
            timers.push(Reverse((now + after.max(&1), *token)));
            false
        });
    }

    /// Passes the next timer that is due by `now` to the policy, at the timer's own time; returns whether there was
    /// one.
    pub fn handle_next_timer(&mut self, now: Micros, actions: &mut Vec<Action>) -> bool {
        let Some(Reverse((at, token))) = self.timers.peek().copied().filter(|Reverse((at, _))| *at <= now)
        else {
            return false;
        };
        self.timers.pop();
        self.handle(at, Event::Timer { token }, actions);
        true
    }

    /// Whether a timer of the replica may cause an action other than setting another timer.
    pub fn is_busy(&self) -> bool {
        self.pending_messages > 0 || self.calls_in_flight > 0
    }

    /// Returns the time of the next timer.
    pub fn next_timer(&self) -> Option<Micros> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// Returns the history of a destination.
    pub fn history(&mut self, destination: DestinationId) -> &mut DestinationHistory {
        &mut self.histories[destination as usize]
    }
}
