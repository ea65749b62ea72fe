//! Whether the process has been short of processor time of late.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::Instant;

/// A turn of the loop that is so late counts. A client waits 400 ms for its answer, and four turns lead there (accepted,
/// read, decided, written): at twice this its time is over.
const LATE_TURN: Duration = Duration::from_millis(50);
/// How long one such turn counts.
const OVERLOAD_WINDOW: Duration = Duration::from_secs(1);

#[derive(Default)]
struct State {
    /// Until when a late turn counts.
    overloaded_until: Option<Instant>,
    /// When the turn that is being measured began.
    turn_started_at: Option<Instant>,
    /// The longest turn since then, and of about [`OVERLOAD_WINDOW`] before.
    window_started_at: Option<Instant>,
    longest_in_window: Duration,
    longest_in_previous_window: Duration,
    /// The mean turn over about the last [`OVERLOAD_WINDOW`], and when it was that.
    mean_turn: f64,
    mean_updated_at: Option<Instant>,
}

impl State {
    fn rotate_windows(&mut self) {
        let now = Instant::now();
        let since = *self.window_started_at.get_or_insert(now);
        if now - since >= OVERLOAD_WINDOW {
            let recent = now - since < 2 * OVERLOAD_WINDOW;
            self.longest_in_previous_window = if recent { self.longest_in_window } else { Duration::ZERO };
            (self.window_started_at, self.longest_in_window) = (Some(now), Duration::ZERO);
        }
    }

    /// Each turn counts by the time that it took, and time without turns is time with none that was late.
    fn update_mean(&mut self, took: Duration) {
        let now = Instant::now();
        let since = self.mean_updated_at.replace(now).map_or(OVERLOAD_WINDOW, |at| now - at);
        let decay = |span: Duration| (-span.as_secs_f64() / OVERLOAD_WINDOW.as_secs_f64()).exp();
        self.mean_turn *= decay(since);
        self.mean_turn += took.as_secs_f64() * (1.0 - decay(took));
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
        if late > LATE_TURN {
            self.state().overloaded_until = Some(Instant::now() + OVERLOAD_WINDOW);
        }
    }

    pub fn is_overloaded(&self) -> bool {
        self.state().overloaded_until.is_some_and(|until| Instant::now() < until)
    }

    /// Measures a turn of the runtime, from now until all has run that is ready by then; one at a time.
    pub fn measure_turn(&self) {
        let begun = Instant::now();
        {
            let mut state = self.state();
            if state.turn_started_at.is_some() {
                return;
            }
            state.turn_started_at = Some(begun);
        }
        let monitor = self.clone();
        tokio::spawn(async move {
            // Behind what is ready now, and behind what has come to the sockets meanwhile.
            yield_now().await;
            monitor.end_turn();
        });
    }

    fn end_turn(&self) {
        let took = {
            let mut state = self.state();
            let took = state.turn_started_at.take().map_or(Duration::ZERO, |begun| begun.elapsed());
            state.rotate_windows();
            state.longest_in_window = state.longest_in_window.max(took);
            state.update_mean(took);
            took
        };
        self.record_delay(took);
    }

    /// How long turns have taken of late.
    pub fn mean_turn_time(&self) -> Duration {
        let mut state = self.state();
        state.update_mean(Duration::ZERO);
        Duration::from_secs_f64(state.mean_turn)
    }

    /// The longest turn of the last one or two [`OVERLOAD_WINDOW`]: what is decided now may be carried out so late.
    pub fn event_loop_lag(&self) -> Duration {
        let mut state = self.state();
        state.rotate_windows();
        state.longest_in_window.max(state.longest_in_previous_window)
    }
}

#[cfg(test)]
impl OverloadMonitor {
    /// Strain for as long as a test runs.
    pub fn always_overloaded() -> OverloadMonitor {
        let monitor = OverloadMonitor::default();
        monitor.state().overloaded_until = Some(Instant::now() + Duration::from_secs(3600));
        monitor
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test(start_paused = true)]
    async fn a_late_turn_marks_overload_for_one_window() {
        let monitor = OverloadMonitor::default();
        monitor.record_delay(LATE_TURN);
        assert!(!monitor.is_overloaded());
        monitor.record_delay(LATE_TURN + Duration::from_millis(1));
        monitor.record_delay(Duration::ZERO);
        tokio::time::advance(OVERLOAD_WINDOW / 2).await;
        assert!(monitor.is_overloaded());
        tokio::time::advance(OVERLOAD_WINDOW).await;
        assert!(!monitor.is_overloaded());
    }

    #[tokio::test(start_paused = true)]
    async fn event_loop_lag_is_the_longest_recent_turn() {
        let monitor = OverloadMonitor::default();
        for took in [30, 90, 10] {
            monitor.state().turn_started_at = Some(Instant::now());
            tokio::time::advance(Duration::from_millis(took)).await;
            monitor.end_turn();
        }
        assert_eq!(monitor.event_loop_lag(), Duration::from_millis(90));
        tokio::time::advance(OVERLOAD_WINDOW).await;
        assert_eq!(monitor.event_loop_lag(), Duration::from_millis(90));
        tokio::time::advance(2 * OVERLOAD_WINDOW).await;
        assert_eq!(monitor.event_loop_lag(), Duration::ZERO);
    }

    /// One late turn is soon forgotten, many are not.
    #[tokio::test(start_paused = true)]
    async fn mean_turn_time_covers_about_the_last_second() {
        let monitor = OverloadMonitor::default();
        let late = Duration::from_millis(90);
        tokio::time::advance(late).await;
        monitor.state().update_mean(late);
        let one = monitor.mean_turn_time();
        assert!(one < Duration::from_millis(10), "{one:?}");
        for _ in 0..50 {
            tokio::time::advance(late).await;
            monitor.state().update_mean(late);
        }
        let many = monitor.mean_turn_time();
        assert!(many > Duration::from_millis(80), "{many:?}");
        tokio::time::advance(3 * OVERLOAD_WINDOW).await;
        assert!(monitor.mean_turn_time() < many / 10);
    }
}
