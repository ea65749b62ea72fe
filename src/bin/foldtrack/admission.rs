//! Admission control: admits a few new requests per turn of the event loop, so that accepted messages are
//! served first.
//!
//! The runtime polls tasks in the order in which they become ready. Under overload hundreds of client
//! connections are ready at a time, and the end of a message, its notice and the acknowledgement would each
//! wait behind all of them. A turn is one pass of the runtime's event loop over all tasks that are ready.

use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::yield_now;
use tokio::time::Instant;

/// The waiters of one limiter.
struct Queue {
    /// Admissions per turn of the event loop.
    per_turn: usize,
    /// Admissions left in this turn.
    remaining: usize,
    waiters: VecDeque<oneshot::Sender<()>>,
    /// A task that counts the turns is running.
    turn_task_running: bool,
    /// Whether the waiter chosen last was the oldest, rather than the newest.
    picked_oldest: bool,
}

impl Queue {
    /// Takes the oldest and the newest waiter alternately: the newest can still get its response in time, while
    /// the client of the oldest may have disconnected.
    fn next_waiter(&mut self) -> Option<oneshot::Sender<()>> {
        self.picked_oldest = !self.picked_oldest;
        if self.picked_oldest {
            self.waiters.pop_front()
        } else {
            self.waiters.pop_back()
        }
    }

    /// Starts the next turn. Returns whether to go on counting turns.
    fn start_turn(&mut self) -> bool {
        let idle = self.remaining == self.per_turn;
        self.remaining = self.per_turn;
        while self.remaining > 0 {
            let Some(waiter) = self.next_waiter() else { break };
            // A waiter that was dropped meanwhile uses up no admission.
            self.remaining -= usize::from(waiter.send(()).is_ok());
        }
        self.turn_task_running = !(idle && self.remaining == self.per_turn);
        self.turn_task_running
    }
}

/// Limits how many connections are accepted, or how many requests are read, per turn of the event loop.
#[derive(Clone)]
pub(crate) struct AdmissionLimiter(Arc<Mutex<Queue>>);

impl AdmissionLimiter {
    pub fn new(per_turn: usize) -> AdmissionLimiter {
        let queue = Queue {
            per_turn,
            remaining: 0,
            waiters: VecDeque::new(),
            turn_task_running: false,
            picked_oldest: false,
        };
        AdmissionLimiter(Arc::new(Mutex::new(queue)))
    }

    fn queue(&self) -> MutexGuard<'_, Queue> {
        // After a panic elsewhere at worst one waiter too many is admitted.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits the caller at once (`None`), or queues it and returns the receiver of its admission.
    fn admit_or_queue(&self) -> Option<oneshot::Receiver<()>> {
        let mut queue = self.queue();
        if !queue.turn_task_running {
            (queue.turn_task_running, queue.remaining) = (true, queue.per_turn);
            let limiter = self.clone();
            tokio::spawn(async move {
                yield_now().await;
                while limiter.queue().start_turn() {
                    yield_now().await;
                }
            });
        }
        if queue.remaining > 0 {
            queue.remaining -= 1;
            return None;
        }
        let (admit, admitted) = oneshot::channel();
        queue.waiters.push_back(admit);
        Some(admitted)
    }
}

/// A place in the queue of a limiter.
pub(crate) struct AdmissionWaiter {
    limiter: AdmissionLimiter,
    pending: Option<(Instant, oneshot::Receiver<()>)>,
}

impl AdmissionWaiter {
    pub fn new(limiter: &AdmissionLimiter) -> AdmissionWaiter {
        AdmissionWaiter { limiter: limiter.clone(), pending: None }
    }

    /// Waits for one admission and returns how long that took.
    pub fn poll_admitted(&mut self, cx: &mut Context) -> Poll<Duration> {
        if self.pending.is_none() {
            let Some(admitted) = self.limiter.admit_or_queue() else { return Poll::Ready(Duration::ZERO) };
            self.pending = Some((Instant::now(), admitted));
        }
        let Some((since, admitted)) = &mut self.pending else { return Poll::Ready(Duration::ZERO) };
        // The sender is never dropped while the limiter exists, and this waiter holds it.
        let waited = since.elapsed();
        if Pin::new(admitted).poll(cx).is_pending() {
            return Poll::Pending;
        }
        self.pending = None;
        Poll::Ready(waited)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Polls waiters that are numbered in the order of their arrival, and notes those that are admitted.
    fn poll_all(waiters: &mut [AdmissionWaiter], admitted: &mut Vec<usize>) {
        let mut cx = Context::from_waker(std::task::Waker::noop());
        for (i, waiter) in waiters.iter_mut().enumerate() {
            if !admitted.contains(&i) && waiter.poll_admitted(&mut cx).is_ready() {
                admitted.push(i);
            }
        }
    }

    #[tokio::test]
    async fn turns_admit_oldest_and_newest_alternately() {
        let limiter = AdmissionLimiter::new(2);
        let mut waiters: Vec<_> = (0..8).map(|_| AdmissionWaiter::new(&limiter)).collect();
        let mut admitted = Vec::new();
        let mut turns = Vec::new();
        while admitted.len() < 8 {
            let before = admitted.len();
            poll_all(&mut waiters, &mut admitted);
            let mut turn = admitted[before..].to_vec();
            turn.sort_unstable();
            turns.extend((!turn.is_empty()).then_some(turn));
            yield_now().await;
        }
        assert_eq!(turns, [[0, 1], [2, 7], [3, 6], [4, 5]]);
    }

    #[tokio::test(start_paused = true)]
    async fn poll_admitted_reports_the_wait() {
        let limiter = AdmissionLimiter::new(1);
        let (mut first, mut second) = (AdmissionWaiter::new(&limiter), AdmissionWaiter::new(&limiter));
        let mut cx = Context::from_waker(std::task::Waker::noop());
        assert_eq!(first.poll_admitted(&mut cx), Poll::Ready(Duration::ZERO));
        assert!(second.poll_admitted(&mut cx).is_pending());
        let late = Duration::from_millis(150);
        tokio::time::advance(late).await;
        yield_now().await;
        assert_eq!(second.poll_admitted(&mut cx), Poll::Ready(late));
    }

    #[tokio::test]
    async fn dropped_waiter_uses_no_admission_and_idle_limiter_stops() {
        let limiter = AdmissionLimiter::new(1);
        let mut waiters: Vec<_> = (0..3).map(|_| AdmissionWaiter::new(&limiter)).collect();
        poll_all(&mut waiters, &mut Vec::new());
        waiters.remove(1);
        let mut admitted = vec![0];
        yield_now().await;
        yield_now().await;
        poll_all(&mut waiters, &mut admitted);
        assert_eq!(admitted, [0, 1]);
        for _ in 0..4 {
            yield_now().await;
        }
        assert!(!limiter.queue().turn_task_running);
    }
}
