//! A simulated instance of the forwarder: its policy, its timers and what it has met.

use crate::deployment::to_u32;
use crate::policy_under_test::PolicyUnderTest;
use hatchline::{Action, DestinationId, Endpoint, Event, ListKind, Micros, Settings};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What a replica has met of one destination.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Acquaintance {
    pub messages: u32,
    pub answers: u32,
    /// The replica has called the destination during the outage.
    pub is_informed: bool,
}

/// What all replicas are told at their start.
#[derive(Clone, Debug)]
pub(super) struct StartConditions {
    pub settings: Settings,
    pub endpoints: Vec<Endpoint>,
    pub started: Micros,
}

impl StartConditions {
    /// A fleet whose sampled destinations, numbered from 0, have one endpoint each, of the same number.
    pub fn new(settings: Settings, destinations: u64, listed_rate: f64, started: Micros) -> StartConditions {
        let endpoint = |number| Endpoint {
            target: number,
            destination: number,
            rate: listed_rate,
            ..Endpoint::default()
        };
        let endpoints = (0..to_u32(destinations)).map(endpoint).collect();
        StartConditions { settings, endpoints, started }
    }
}

/// One instance of the forwarder.
///
/// It has come up at the start of the simulation. While it has neither messages nor calls nothing but its timers
/// concerns it: these are caught up with before its next event.
#[derive(Debug)]
pub(super) struct Replica {
    policy: PolicyUnderTest,
    timers: BinaryHeap<Reverse<(Micros, u32)>>,
    pub acquaintances: Vec<Acquaintance>,
    /// Messages that are neither delivered nor ended.
    pub messages_underway: u32,
    /// Calls that are out.
    pub calls_out: u32,
    /// When the simulation is to wake it for its timers.
    pub wake_at: Option<Micros>,
}

impl Replica {
    /// A replica as it came up at the start.
    pub fn new(seed: u64, conditions: &StartConditions) -> Replica {
        let started = conditions.started;
        let mut replica = Replica {
            policy: PolicyUnderTest::new(started, seed, conditions.settings.clone()),
            timers: BinaryHeap::new(),
            acquaintances: vec![Acquaintance::default(); conditions.endpoints.len()],
            messages_underway: 0,
            calls_out: 0,
            wake_at: None,
        };
        let endpoints = conditions.endpoints.clone();
        let list = Event::List { kind: ListKind::Full, version: 1, endpoints };
        let mut actions = Vec::new();
        replica.handle(started, list, &mut actions);
        replica
    }

    /// Passes an event in. Leaves in `actions` what is to be carried out beside timers.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.policy.advance(now, [event], actions);
        let timers = &mut self.timers;
        actions.retain(|action| {
            let Action::Timer { after, token } = action else { return true };
            timers.push(Reverse((now + after.max(&1), *token)));
            false
        });
    }

    /// Passes in the next timer that is due by `now`, at its own time; gives whether there was one.
    pub fn handle_next_timer(&mut self, now: Micros, actions: &mut Vec<Action>) -> bool {
        let Some(Reverse((at, token))) = self.timers.peek().copied().filter(|Reverse((at, _))| *at <= now)
        else {
            return false;
        };
        self.timers.pop();
        self.handle(at, Event::Timer { token }, actions);
        true
    }

    /// Whether its timers may decide anything but further timers.
    pub fn is_busy(&self) -> bool {
        self.messages_underway > 0 || self.calls_out > 0
    }

    /// The time of its next timer.
    pub fn next_timer(&self) -> Option<Micros> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// What it has met of a destination.
    pub fn acquaintance(&mut self, destination: DestinationId) -> &mut Acquaintance {
        &mut self.acquaintances[destination as usize]
    }
}
