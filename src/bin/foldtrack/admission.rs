//! New requests are let in a few at a time, so that what is taken on already comes first.
//!
//! The runtime polls what is ready in the order in which it became so. Where processor time is short hundreds of clients
//! are, and the end of a message, its notice and the answer to that each waited behind all of them.

use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::yield_now;
use tokio::time::Instant;

struct Queue {
    /// How many may pass in one turn of the runtime, in which all else that is ready has its turn as well.
    width: usize,
    /// How many may pass yet in this turn.
    room: usize,
    waiting: VecDeque<oneshot::Sender<()>>,
    /// Turns are being counted.
    turning: bool,
    /// Whose turn it is: the newest's or the oldest's.
    oldest: bool,
}

impl Queue {
    /// The newest can be answered in time yet, while the oldest may have gone: each has every other pass.
    fn next(&mut self) -> Option<oneshot::Sender<()>> {
        self.oldest = !self.oldest;
        if self.oldest {
            self.waiting.pop_front()
        } else {
            self.waiting.pop_back()
        }
    }

    /// A turn is over: whether another has to be counted.
    fn turn(&mut self) -> bool {
        let idle = self.room == self.width;
        self.room = self.width;
        while self.room > 0 {
            let Some(next) = self.next() else { break };
            // One that has ended meanwhile takes no room.
            self.room -= usize::from(next.send(()).is_ok());
        }
        self.turning = !(idle && self.room == self.width);
        self.turning
    }
}

/// Where the connections of all clients pass, with each request.
#[derive(Clone)]
pub(crate) struct Turnstile(Arc<Mutex<Queue>>);

impl Turnstile {
    pub fn new(width: usize) -> Turnstile {
        let queue = Queue { width, room: 0, waiting: VecDeque::new(), turning: false, oldest: false };
        Turnstile(Arc::new(Mutex::new(queue)))
    }

    fn queue(&self) -> MutexGuard<'_, Queue> {
        // A panic elsewhere leaves at worst one pass too many.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes, or has to wait.
    fn enter(&self) -> Option<oneshot::Receiver<()>> {
        let mut queue = self.queue();
        if !queue.turning {
            (queue.turning, queue.room) = (true, queue.width);
            let stile = self.clone();
            tokio::spawn(async move {
                yield_now().await;
                while stile.queue().turn() {
                    yield_now().await;
                }
            });
        }
        if queue.room > 0 {
            queue.room -= 1;
            return None;
        }
        let (pass, passes) = oneshot::channel();
        queue.waiting.push_back(pass);
        Some(passes)
    }
}

/// One connection's wait at the turnstile.
pub(crate) struct Ticket {
    stile: Turnstile,
    waits: Option<(Instant, oneshot::Receiver<()>)>,
}

impl Ticket {
    pub fn new(stile: &Turnstile) -> Ticket {
        Ticket { stile: stile.clone(), waits: None }
    }

    /// Passes once, and tells how long that took.
    pub fn poll_pass(&mut self, cx: &mut Context) -> Poll<Duration> {
        if self.waits.is_none() {
            let Some(passes) = self.stile.enter() else { return Poll::Ready(Duration::ZERO) };
            self.waits = Some((Instant::now(), passes));
        }
        let Some((since, passes)) = &mut self.waits else { return Poll::Ready(Duration::ZERO) };
        // The turnstile is never gone: the ticket holds it.
        let waited = since.elapsed();
        if Pin::new(passes).poll(cx).is_pending() {
            return Poll::Pending;
        }
        self.waits = None;
        Poll::Ready(waited)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Who has passed among tickets that came in the order of their numbers.
    fn passed(tickets: &mut [Ticket], done: &mut Vec<usize>) {
        let mut cx = Context::from_waker(std::task::Waker::noop());
        for (i, ticket) in tickets.iter_mut().enumerate() {
            if !done.contains(&i) && ticket.poll_pass(&mut cx).is_ready() {
                done.push(i);
            }
        }
    }

    #[tokio::test]
    async fn a_few_pass_in_each_turn_the_oldest_and_the_newest_by_turns() {
        let stile = Turnstile::new(2);
        let mut tickets: Vec<_> = (0..8).map(|_| Ticket::new(&stile)).collect();
        let mut done = Vec::new();
        let mut turns = Vec::new();
        while done.len() < 8 {
            let before = done.len();
            passed(&mut tickets, &mut done);
            let mut turn = done[before..].to_vec();
            turn.sort_unstable();
            turns.extend((!turn.is_empty()).then_some(turn));
            yield_now().await;
        }
        assert_eq!(turns, [[0, 1], [2, 7], [3, 6], [4, 5]]);
    }

    #[tokio::test(start_paused = true)]
    async fn a_pass_tells_how_long_it_took() {
        let stile = Turnstile::new(1);
        let (mut first, mut second) = (Ticket::new(&stile), Ticket::new(&stile));
        let mut cx = Context::from_waker(std::task::Waker::noop());
        assert_eq!(first.poll_pass(&mut cx), Poll::Ready(Duration::ZERO));
        assert!(second.poll_pass(&mut cx).is_pending());
        let late = Duration::from_millis(150);
        tokio::time::advance(late).await;
        yield_now().await;
        assert_eq!(second.poll_pass(&mut cx), Poll::Ready(late));
    }

    #[tokio::test]
    async fn one_that_ends_while_it_waits_takes_no_room_and_a_quiet_turnstile_stands_still() {
        let stile = Turnstile::new(1);
        let mut tickets: Vec<_> = (0..3).map(|_| Ticket::new(&stile)).collect();
        passed(&mut tickets, &mut Vec::new());
        tickets.remove(1);
        let mut done = vec![0];
        yield_now().await;
        yield_now().await;
        passed(&mut tickets, &mut done);
        assert_eq!(done, [0, 1]);
        for _ in 0..4 {
            yield_now().await;
        }
        assert!(!stile.queue().turning);
    }
}
