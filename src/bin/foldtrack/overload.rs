//! Whether the process has been short of processor time of late.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::Instant;

/// A turn of the loop that is so late counts. A client waits 400 ms for its answer, and four turns lead there (accepted,
/// read, decided, written): at twice this its time is over.
const LATE: Duration = Duration::from_millis(50);
/// How long one such turn counts.
const HOLDS: Duration = Duration::from_secs(1);

#[derive(Default)]
struct State {
    /// Until when a late turn counts.
    until: Option<Instant>,
    /// When the turn that is being measured began.
    turn: Option<Instant>,
    /// The longest turn since then, and of about [`HOLDS`] before.
    since: Option<Instant>,
    longest: Duration,
    longest_before: Duration,
    /// The mean turn over about the last [`HOLDS`], and when it was that.
    mean_turn: f64,
    mean_at: Option<Instant>,
}

impl State {
    fn rotate(&mut self) {
        let now = Instant::now();
        let since = *self.since.get_or_insert(now);
        if now - since >= HOLDS {
            let recent = now - since < 2 * HOLDS;
            self.longest_before = if recent { self.longest } else { Duration::ZERO };
            (self.since, self.longest) = (Some(now), Duration::ZERO);
        }
    }

    /// Each turn counts by the time that it took, and time without turns is time with none that was late.
    fn weigh(&mut self, took: Duration) {
        let now = Instant::now();
        let since = self.mean_at.replace(now).map_or(HOLDS, |at| now - at);
        let fades = |span: Duration| (-span.as_secs_f64() / HOLDS.as_secs_f64()).exp();
        self.mean_turn *= fades(since);
        self.mean_turn += took.as_secs_f64() * (1.0 - fades(took));
    }
}

/// Shared by the loop, which notes how late it comes, and those who do less then.
#[derive(Clone, Default)]
pub(crate) struct OverloadMonitor(Arc<Mutex<State>>);

impl OverloadMonitor {
    fn state(&self) -> MutexGuard<'_, State> {
        // What a panic elsewhere leaves half done is some late turn forgotten.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A turn came, or took, so much longer than it should have.
    pub fn record_delay(&self, late: Duration) {
        if late > LATE {
            self.state().until = Some(Instant::now() + HOLDS);
        }
    }

    pub fn is_overloaded(&self) -> bool {
        self.state().until.is_some_and(|until| Instant::now() < until)
    }

    /// Measures a turn of the runtime, from now until all has run that is ready by then; one at a time.
    pub fn measure_turn(&self) {
        let begun = Instant::now();
        {
            let mut state = self.state();
            if state.turn.is_some() {
                return;
            }
            state.turn = Some(begun);
        }
        let strain = self.clone();
        tokio::spawn(async move {
            // Behind what is ready now, and behind what has come to the sockets meanwhile.
            yield_now().await;
            strain.turn_ended();
        });
    }

    fn turn_ended(&self) {
        let took = {
            let mut state = self.state();
            let took = state.turn.take().map_or(Duration::ZERO, |begun| begun.elapsed());
            state.rotate();
            state.longest = state.longest.max(took);
            state.weigh(took);
            took
        };
        self.record_delay(took);
    }

    /// How long turns have taken of late.
    pub fn mean_turn_time(&self) -> Duration {
        let mut state = self.state();
        state.weigh(Duration::ZERO);
        Duration::from_secs_f64(state.mean_turn)
    }

    /// The longest turn of the last one or two [`HOLDS`]: what is decided now may be carried out so late.
    pub fn event_loop_lag(&self) -> Duration {
        let mut state = self.state();
        state.rotate();
        state.longest.max(state.longest_before)
    }
}

#[cfg(test)]
impl OverloadMonitor {
    /// Strain for as long as a test runs.
    pub fn lasting() -> OverloadMonitor {
        let strain = OverloadMonitor::default();
        strain.state().until = Some(Instant::now() + Duration::from_secs(3600));
        strain
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test(start_paused = true)]
    async fn a_late_turn_counts_for_a_while_and_one_in_time_does_not() {
        let strain = OverloadMonitor::default();
        strain.record_delay(LATE);
        assert!(!strain.is_overloaded());
        strain.record_delay(LATE + Duration::from_millis(1));
        strain.record_delay(Duration::ZERO);
        tokio::time::advance(HOLDS / 2).await;
        assert!(strain.is_overloaded());
        tokio::time::advance(HOLDS).await;
        assert!(!strain.is_overloaded());
    }

    #[tokio::test(start_paused = true)]
    async fn the_lag_is_the_longest_turn_of_late() {
        let strain = OverloadMonitor::default();
        for took in [30, 90, 10] {
            strain.state().turn = Some(Instant::now());
            tokio::time::advance(Duration::from_millis(took)).await;
            strain.turn_ended();
        }
        assert_eq!(strain.event_loop_lag(), Duration::from_millis(90));
        tokio::time::advance(HOLDS).await;
        assert_eq!(strain.event_loop_lag(), Duration::from_millis(90));
        tokio::time::advance(2 * HOLDS).await;
        assert_eq!(strain.event_loop_lag(), Duration::ZERO);
    }

    /// One late turn is soon forgotten, many are not.
    #[tokio::test(start_paused = true)]
    async fn the_mean_turn_is_that_of_about_the_last_second() {
        let strain = OverloadMonitor::default();
        let late = Duration::from_millis(90);
        tokio::time::advance(late).await;
        strain.state().weigh(late);
        let one = strain.mean_turn_time();
        assert!(one < Duration::from_millis(10), "{one:?}");
        for _ in 0..50 {
            tokio::time::advance(late).await;
            strain.state().weigh(late);
        }
        let many = strain.mean_turn_time();
        assert!(many > Duration::from_millis(80), "{many:?}");
        tokio::time::advance(3 * HOLDS).await;
        assert!(strain.mean_turn_time() < many / 10);
    }
}
