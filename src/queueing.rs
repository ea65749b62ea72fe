//! Queues of messages: ready to go by destination, in turn by order key, and the timers of what waits.

use crate::interface::*;
use crate::policy::DeliveryPolicy;
use crate::state::Message;

impl DeliveryPolicy {
    /// Takes a message in: its destination becomes active, its routes count it, and it stands behind those of its key.
    pub(crate) fn hold(&mut self, id: MessageId, message: Message, repeatable: bool) {
        self.activate(message.destination);
        let destination = self.destinations.entry(message.destination);
        destination.held += 1;
        let part = 1.0 / destination.routes.len() as f64;
        for route in &destination.routes {
            self.routes[*route].recent_requests += part;
            self.routes[*route].recent_repeatable += if repeatable { part } else { 0.0 };
        }
        self.message_timers.insert((self.give_up_at(message.expires), id));
        if message.order_key != 0 {
            self.order_queues.entry(message.order_key).or_default().0.push_back(id);
        }
        self.messages.insert(id, message);
    }

    /// Puts a message among those ready to go, if it may be sent and has the turn of its key.
    pub(crate) fn enqueue(&mut self, id: MessageId) {
        let Some(m) = self.messages.get(&id).filter(|m| m.queue.is_none()) else { return };
        let (true, zone, _) = self.allowed(m) else { return };
        match self.order_queues.get(&m.order_key) {
            Some((line, _)) if line.front() != Some(&id) => return,
            Some((_, rest)) if *rest > self.now && m.attempts.is_empty() => {
                self.message_timers.insert((*rest, id));
                return;
            }
            _ => {}
        }
        let (queue, born) = ((m.class, zone, m.found), m.born);
        self.destinations.enqueue(m.destination, queue, (born, id));
        self.messages.entry(id).and_modify(|m| m.queue = Some(queue));
    }

    /// Takes a message out of the queue in which it stands ready, if any.
    pub(crate) fn dequeue(&mut self, id: MessageId) {
        let Some(m) = self.messages.get_mut(&id) else { return };
        let Some(queue) = m.queue.take() else { return };
        self.destinations.dequeue(m.destination, queue, (m.born, id));
    }

    /// A message is over; its attempts may still be out, and its key waits for them.
    pub(crate) fn finish(&mut self, id: MessageId) {
        self.dequeue(id);
        let Some(m) = self.messages.get_mut(&id) else { return };
        m.over = true;
        let (key, expires, destination) = (m.order_key, m.expires, m.destination);
        if m.attempts.iter().any(|a| a.done.is_none()) {
            return;
        }
        self.messages.remove(&id);
        self.destinations.entry(destination).held -= 1;
        self.message_timers.remove(&(self.give_up_at(expires), id));
        if let Some(order_queues) = self.order_queues.get_mut(&key) {
            order_queues.0.retain(|x| *x != id);
            if let Some(next) = order_queues.0.front().copied() {
                self.enqueue(next);
            }
        }
    }
}
