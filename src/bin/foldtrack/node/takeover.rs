//! The node's part in a hot restart: exports the state that the owner hands over, and continues from it in the
//! successor.

use super::{
    Acceptance, HeldMessage, InFlightCall, KnownEndpoint, LifecycleStage, Node, PendingSend,
    ACCEPT_AFTER_TERMINATE, TERMINATE_TIMEOUT,
};
use crate::clock::Clock;
use crate::config::Config;
use crate::draining::{DrainingProcess, InheritedCall, OldProcessLink};
use crate::events::EventSender;
use crate::hot_restart::{self, MessageState, TakeoverOffer, TakeoverState};
use crate::message::Message;
use crate::write_ahead_log::RestoredMessage;
use hatchline::{DeliveryPolicy, Event, TargetId, UNKNOWN_CLIENT};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::TcpListener as StdListener;
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use tokio::sync::oneshot;

impl Node {
    /// Takes over from the old process, which has offered its state. On an error the old process remains the owner.
    pub(super) fn take_over(
        config: &Config, events: &EventSender, offer: TakeoverOffer,
    ) -> io::Result<(Node, StdListener)> {
        let settings = config.settings.settings.clone();
        let policy = DeliveryPolicy::import_state(&offer.state.policy, settings).map_err(io::Error::other)?;
        let clock = Clock::resume(offer.state.clock_now, offer.state.unix_now);
        let (mut node, restored) = Node::new(config, events, clock, policy)?;
        let (state, lock, listener, stream) = offer.accept()?;
        node.lock = Some(lock);
        let reserved_connections = node.connection_limit.reserve(state.client_connections);
        let (calls, responding) = node.adopt_state(state, restored);
        let (events, settings) = (events.clone(), config.settings.clone());
        let old_process = OldProcessLink { events, settings, calls, responding, reserved_connections, clock };
        tokio::spawn(async move {
            if let Err(error) = old_process.run(stream).await {
                log::warn!("upgrade: lost the connection to the old process: {error}");
            }
        });
        Ok((node, listener))
    }

    /// Adopts the state of the old process that the write-ahead log does not contain. Returns the calls that stay
    /// with the old process, and the messages whose clients it is telling that they are accepted.
    fn adopt_state(
        &mut self, state: TakeoverState, mut restored: BTreeMap<u64, RestoredMessage>,
    ) -> (Vec<InheritedCall>, BTreeSet<u64>) {
        self.next_number = self.next_number.max(state.next_number);
        self.timers = state.timers.into_iter().collect();
        for (name, address, zone, generation) in state.endpoints {
            self.target_ids.insert(name, self.endpoints.len() as TargetId);
            self.endpoints.push(KnownEndpoint { address, zone, generation });
        }
        let mut responding = BTreeSet::new();
        for MessageState { number, attempts, acknowledged, pending_responses, pending_send } in state.messages
        {
            let Some(restored_message) = restored.remove(&number) else {
                // Its record is missing in the write-ahead log, after an error that has been logged: it cannot be sent.
                self.notify_policy(Event::Abandoned { id: number });
                continue;
            };
            let message =
                Arc::new(Message::from_accepted(restored_message.accepted, &self.settings, &self.clock));
            let acceptance = if acknowledged { Acceptance::Accepted } else { Acceptance::Responding };
            responding.extend((!acknowledged).then_some(number));
            let pending_send = pending_send.map(|(attempt, target, until, decided_at)| PendingSend {
                attempt,
                target,
                until,
                decided_at,
            });
            self.request_history.hold(&message.id, number);
            self.waiting_sends.extend(pending_send.is_some().then_some(number));
            let client = UNKNOWN_CLIENT;
            let held = HeldMessage { message, client, acceptance, pending_responses, attempts, pending_send };
            self.messages.insert(number, held);
        }
        // The other messages have ended, and their notices are not acknowledged yet.
        for (number, message) in restored {
            self.restore_message(number, message);
        }
        let inherited = |(number, attempt, target, started): (u64, u32, TargetId, bool)| {
            let (cancel, cancelled) = oneshot::channel();
            self.calls.insert((number, attempt), InFlightCall { target, cancel: Some(cancel), started });
            (number, attempt, target, cancelled)
        };
        (state.calls.into_iter().map(inherited).collect(), responding)
    }

    /// Offers the state, the listener and the lock to a successor. On an error this process remains the owner.
    pub(super) fn offer_takeover(&self, successor: &UnixStream) -> io::Result<()> {
        let (None, Some(listener), Some(lock)) = (self.terminated_at, &self.listener, &self.lock) else {
            return Err(io::Error::other("this process is terminating"));
        };
        let clock_now = self.clock.now();
        let held = |(number, held): (&u64, &HeldMessage)| MessageState {
            number: *number,
            attempts: held.attempts,
            acknowledged: matches!(held.acceptance, Acceptance::Accepted),
            pending_responses: held.pending_responses,
            pending_send: held
                .pending_send
                .as_ref()
                .map(|send| (send.attempt, send.target, send.until, send.decided_at)),
        };
        let named = |(name, target): (&String, &TargetId)| {
            let KnownEndpoint { address, zone, generation } = self.endpoints[*target as usize];
            (*target, (name.clone(), address, zone, generation))
        };
        let endpoints: BTreeMap<_, _> = self.target_ids.iter().map(named).collect();
        let state = TakeoverState {
            clock_now,
            unix_now: self.clock.unix_micros_at(clock_now),
            policy: self.policy.export_state().map_err(io::Error::other)?,
            next_number: self.next_number,
            messages: self.messages.iter().map(held).collect(),
            calls: self
                .calls
                .iter()
                .map(|((number, attempt), call)| (*number, *attempt, call.target, call.started))
                .collect(),
            endpoints: endpoints.into_values().collect(),
            timers: self.timers.iter().copied().collect(),
            client_connections: self.connection_limit.in_use(),
        };
        hot_restart::offer_takeover(successor, &state, listener, lock)
    }

    /// Keeps what this process needs to complete its work after the takeover. The lock and the write-ahead log now
    /// belong to the successor.
    pub(super) fn into_draining_process(self) -> DrainingProcess {
        self.stage.send_replace(LifecycleStage::HandedOver);
        DrainingProcess {
            calls: self.calls.into_iter().map(|(key, call)| (key, call.cancel)).collect(),
            metrics: self.metrics,
            client_stats: self.client_stats,
            endpoint_counts: self.policy.endpoint_counts(),
            events: self.events,
            settings: self.settings,
            clock: self.clock,
            stage: self.stage,
            connection_limit: self.connection_limit,
            close_idle_after: ACCEPT_AFTER_TERMINATE,
            exit_within: TERMINATE_TIMEOUT,
        }
    }
}
