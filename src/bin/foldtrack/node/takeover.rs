//! The node's part of an upgrade: what it passes on as the owner, and how it goes on where another one stopped.

use super::{
    Acceptance, HeldMessage, InFlightCall, KnownEndpoint, LifecycleStage, Node, PendingSend,
    ACCEPT_AFTER_TERMINATE, TERMINATE_TIMEOUT,
};
use crate::clock::Clock;
use crate::config::Config;
use crate::draining::{DrainingProcess, InheritedCall, PredecessorLink};
use crate::events::EventSender;
use crate::hot_restart::{self, MessageState, TakeoverOffer, TakeoverState};
use crate::message::Message;
use crate::write_ahead_log::RestoredMessage;
use hatchline::{DeliveryPolicy, Event, TargetId};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::TcpListener as StdListener;
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use tokio::sync::oneshot;

impl Node {
    /// Goes on where another process stops; with an error that one goes on.
    pub(super) fn take_over(
        config: &Config, inputs: &EventSender, offer: TakeoverOffer,
    ) -> io::Result<(Node, StdListener)> {
        let settings = config.settings.settings.clone();
        let policy =
            DeliveryPolicy::import_state(&offer.estate.policy, settings).map_err(io::Error::other)?;
        let clock = Clock::resume(offer.estate.now, offer.estate.unix);
        let (mut node, restored) = Node::new(config, inputs, clock, policy)?;
        let (estate, lock, listener, stream) = offer.accept()?;
        node.lock = Some(lock);
        let reserved = node.connection_limit.reserve(estate.clients);
        let (calls, answering) = node.adopt_state(estate, restored);
        let (inputs, settings) = (inputs.clone(), config.settings.clone());
        let predecessor = PredecessorLink { inputs, settings, calls, answering, reserved, clock };
        tokio::spawn(async move {
            if let Err(error) = predecessor.run(stream).await {
                eprintln!("upgrade: the old process cannot be heard: {error}");
            }
        });
        Ok((node, listener))
    }

    /// Takes in what the old process knows beside the journal; gives the calls that it still has, and the messages
    /// whose clients it is telling that they are taken on.
    fn adopt_state(
        &mut self, estate: TakeoverState, mut restored: BTreeMap<u64, RestoredMessage>,
    ) -> (Vec<InheritedCall>, BTreeSet<u64>) {
        self.next_number = self.next_number.max(estate.next_number);
        self.timers = estate.timers.into_iter().collect();
        for (name, address, zone, era) in estate.servers {
            self.target_ids.insert(name, self.endpoints.len() as TargetId);
            self.endpoints.push(KnownEndpoint { address, zone, generation: era });
        }
        let mut answering = BTreeSet::new();
        for MessageState { number, attempts, acknowledged, waiting } in estate.messages {
            let Some(known) = restored.remove(&number) else {
                // Lost to the journal by an error that was logged: nothing can be sent of it.
                self.notify_policy(Event::Abandoned { id: number });
                continue;
            };
            let message = Arc::new(Message::from_accepted(known.accepted, &self.settings, &self.clock));
            let acceptance = if acknowledged { Acceptance::Accepted } else { Acceptance::Responding };
            answering.extend((!acknowledged).then_some(number));
            let waiting = waiting.map(|(attempt, target, until, decided)| PendingSend {
                attempt,
                target,
                until,
                decided_at: decided,
            });
            self.messages
                .insert(number, HeldMessage { message, acceptance, attempts, pending_send: waiting });
        }
        // What is left has ended, and its notice is to be taken yet.
        for (number, message) in restored {
            self.restore(number, message);
        }
        let left = |(number, attempt, target, begun): (u64, u32, TargetId, bool)| {
            let (cancel, cancelled) = oneshot::channel();
            self.calls
                .insert((number, attempt), InFlightCall { target, cancel: Some(cancel), started: begun });
            (number, attempt, target, cancelled)
        };
        (estate.calls.into_iter().map(left).collect(), answering)
    }

    /// Hands all to a successor. With an error it is still the owner.
    pub(super) fn offer_takeover(&self, successor: &UnixStream) -> io::Result<()> {
        let (None, Some(listener), Some(lock)) = (self.terminated_at, &self.listener, &self.lock) else {
            return Err(io::Error::other("this process is about to end"));
        };
        let now = self.clock.now();
        let held = |(number, held): (&u64, &HeldMessage)| MessageState {
            number: *number,
            attempts: held.attempts,
            acknowledged: matches!(held.acceptance, Acceptance::Accepted),
            waiting: held.pending_send.as_ref().map(|w| (w.attempt, w.target, w.until, w.decided_at)),
        };
        let named = |(name, target): (&String, &TargetId)| {
            let KnownEndpoint { address, zone, generation: era } = self.endpoints[*target as usize];
            (*target, (name.clone(), address, zone, era))
        };
        let servers: BTreeMap<_, _> = self.target_ids.iter().map(named).collect();
        let estate = TakeoverState {
            now,
            unix: self.clock.unix_micros_at(now),
            policy: self.policy.export_state().map_err(io::Error::other)?,
            next_number: self.next_number,
            messages: self.messages.iter().map(held).collect(),
            calls: self
                .calls
                .iter()
                .map(|((number, attempt), out)| (*number, *attempt, out.target, out.started))
                .collect(),
            servers: servers.into_values().collect(),
            timers: self.timers.iter().copied().collect(),
            clients: self.connection_limit.in_use(),
        };
        hot_restart::offer_takeover(successor, &estate, listener, lock)
    }

    /// What is left for this process to do once it has handed over; the lock and the log are the successor's.
    pub(super) fn into_draining_process(self) -> DrainingProcess {
        self.stage.send_replace(LifecycleStage::HandedOver);
        DrainingProcess {
            calls: self.calls.into_iter().map(|(call, out)| (call, out.cancel)).collect(),
            figures: self.metrics,
            pool: self.policy.endpoint_counts(),
            inputs: self.events,
            settings: self.settings,
            clock: self.clock,
            stage: self.stage,
            places: self.connection_limit,
            close_idle_after: ACCEPT_AFTER_TERMINATE,
            exit_within: TERMINATE_TIMEOUT,
        }
    }
}
