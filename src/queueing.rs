//! Queues of messages: by destination those that are ready to be sent, and by order key all of its messages
//! in the order of their arrival. Also the timers of messages that wait.

use crate::interface::*;
use crate::policy::DeliveryPolicy;
use crate::state::Message;

impl DeliveryPolicy {
    /// Stores a message: activates its destination, counts it for the routes, and appends it to the queue of
    /// its order key.
    pub(crate) fn hold(&mut self, id: MessageId, message: Message, repeatable: bool) {
        self.activate(message.destination);
        let destination = self.destinations.entry(message.destination);
        destination.held += 1;
        let share = 1.0 / destination.routes.len() as f64;
        for route_index in &destination.routes {
            self.routes[*route_index].recent_requests += share;
            self.routes[*route_index].recent_repeatable += if repeatable { share } else { 0.0 };
        }
        self.message_timers.insert((self.give_up_at(message.expires), id));
        if message.order_key != 0 {
            self.order_key_queues.entry(message.order_key).or_default().0.push_back(id);
        }
        self.messages.insert(id, message);
    }

    /// Adds a message to those ready to be sent, if it may be sent and is the first of its order key.
    pub(crate) fn enqueue(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(&id).filter(|message| message.queue.is_none()) else { return };
        let (true, zone, _) = self.allowed(message) else { return };
        match self.order_key_queues.get(&message.order_key) {
            Some((queue, _)) if queue.front() != Some(&id) => return,
            Some((_, paused_until)) if *paused_until > self.now && message.attempts.is_empty() => {
                self.message_timers.insert((*paused_until, id));
                return;
            }
            _ => {}
        }
        let (queue, created_at) = ((message.class, zone, message.restored_unsent), message.created_at);
        self.destinations.enqueue(message.destination, queue, (created_at, id));
        self.messages.entry(id).and_modify(|message| message.queue = Some(queue));
    }

    /// Removes a message from the queue in which it waits to be sent, if any.
    pub(crate) fn dequeue(&mut self, id: MessageId) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        let Some(queue) = message.queue.take() else { return };
        self.destinations.dequeue(message.destination, queue, (message.created_at, id));
    }

    /// Ends a message. While attempts are in flight the message is kept, and the next of its order key waits.
    pub(crate) fn end_message(&mut self, id: MessageId) {
        self.dequeue(id);
        let Some(message) = self.messages.get_mut(&id) else { return };
        message.ended = true;
        let (order_key, expires, destination) = (message.order_key, message.expires, message.destination);
        if message.attempts.iter().any(|attempt| attempt.outcome.is_none()) {
            return;
        }
        self.messages.remove(&id);
        self.destinations.entry(destination).held -= 1;
        self.message_timers.remove(&(self.give_up_at(expires), id));
        if let Some(queue) = self.order_key_queues.get_mut(&order_key) {
            queue.0.retain(|other| *other != id);
            if let Some(next) = queue.0.front().copied() {
                self.enqueue(next);
            }
        }
    }
}
