//! Detects overload by the lag of the runtime's event loop: how long its turns have taken recently. A turn is
//! one pass of the event loop over all tasks that are ready.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::Instant;

/// A turn longer than this counts as overload. A client waits 400 ms for its response, which takes four turns
/// (accept, read, decide, write): with turns of twice this length it is too late.
const LATE_TURN: Duration = Duration::from_millis(50);
/// How long overload lasts after a late turn, and the time constant of the mean turn time.
const OVERLOAD_WINDOW: Duration = Duration::from_secs(1);

/// What is known of recent turns.
#[derive(Default)]
struct TurnMeasurements {
    /// End of the overload caused by the last late turn.
    overloaded_until: Option<Instant>,
    /// Start of the turn that is being measured.
    turn_started_at: Option<Instant>,
    /// Start of the current window, and the longest turns of it and of the window before. A window lasts
    /// [`OVERLOAD_WINDOW`].
    window_started_at: Option<Instant>,
    longest_in_window: Duration,
    longest_in_previous_window: Duration,
    /// Mean turn time in seconds over about the last [`OVERLOAD_WINDOW`], and when it was updated.
    mean_turn_seconds: f64,
    mean_updated_at: Option<Instant>,
}

impl TurnMeasurements {
    /// Starts a new window if the current one is over.
    fn rotate_windows(&mut self) {
        let now = Instant::now();
        let since = *self.window_started_at.get_or_insert(now);
        if now - since >= OVERLOAD_WINDOW {
            let recent = now - since < 2 * OVERLOAD_WINDOW;
            self.longest_in_previous_window = if recent { self.longest_in_window } else { Duration::ZERO };
            (self.window_started_at, self.longest_in_window) = (Some(now), Duration::ZERO);
        }
    }

    /// Updates the mean turn time. It is exponentially weighted: each turn counts by the time that it took, and
    /// time without turns counts as turns of length zero.
    fn update_mean(&mut self, took: Duration) {
        let now = Instant::now();
        let since = self.mean_updated_at.replace(now).map_or(OVERLOAD_WINDOW, |at| now - at);
        let decay = |span: Duration| (-span.as_secs_f64() / OVERLOAD_WINDOW.as_secs_f64()).exp();
        self.mean_turn_seconds *= decay(since);
        self.mean_turn_seconds += took.as_secs_f64() * (1.0 - decay(took));
    }
}

/// Measures the turns of the event loop. Shared by the node, which records delays, and the server for clients,
/// which reduces its work under overload.
#[derive(Clone, Default)]
pub(crate) struct OverloadMonitor(Arc<Mutex<TurnMeasurements>>);

impl OverloadMonitor {
    fn state(&self) -> MutexGuard<'_, TurnMeasurements> {
        // A panic elsewhere loses at most a late turn.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records by how much the node woke up late, or how long a round or a turn took.
    pub fn record_delay(&self, delay: Duration) {
        if delay > LATE_TURN {
            self.state().overloaded_until = Some(Instant::now() + OVERLOAD_WINDOW);
        }
    }

    pub fn is_overloaded(&self) -> bool {
        self.state().overloaded_until.is_some_and(|until| Instant::now() < until)
    }

    /// Measures one turn of the event loop, from now until all tasks that are ready have run. Only one
    /// measurement runs at a time.
    pub fn measure_turn(&self) {
        let started_at = Instant::now();
        {
            let mut state = self.state();
            if state.turn_started_at.is_some() {
                return;
            }
            state.turn_started_at = Some(started_at);
        }
        let monitor = self.clone();
        tokio::spawn(async move {
            // Runs after the tasks that are ready now and those whose sockets became ready meanwhile.
            yield_now().await;
            monitor.end_turn();
        });
    }

    fn end_turn(&self) {
        let took = {
            let mut state = self.state();
            let took = state.turn_started_at.take().map_or(Duration::ZERO, |started_at| started_at.elapsed());
            state.rotate_windows();
            state.longest_in_window = state.longest_in_window.max(took);
            state.update_mean(took);
            took
        };
        self.record_delay(took);
    }

    /// Mean time that turns have taken recently.
    pub fn mean_turn_time(&self) -> Duration {
        let mut state = self.state();
        state.update_mean(Duration::ZERO);
        Duration::from_secs_f64(state.mean_turn_seconds)
    }

    /// The longest turn of the current and the previous window: what is decided now may be executed this
    /// late.
    pub fn event_loop_lag(&self) -> Duration {
        let mut state = self.state();
        state.rotate_windows();
        state.longest_in_window.max(state.longest_in_previous_window)
    }
}

#[cfg(test)]
impl OverloadMonitor {
    /// A monitor that reports overload for longer than any test runs.
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
    async fn late_turn_means_overload_for_one_window() {
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

    /// A single late turn moves the mean little, many of them do.
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
