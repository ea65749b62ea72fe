//! Whether the process has been short of processor time of late.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// A turn of the loop that is so late counts. A client waits 400 ms for its answer, and four turns lead there (accepted,
/// read, decided, written): at twice this its time is over.
const LATE: Duration = Duration::from_millis(50);
/// How long one such turn counts.
const HOLDS: Duration = Duration::from_secs(1);

/// Shared by the loop, which notes how late it comes, and those who do less then.
#[derive(Clone, Default)]
pub(crate) struct Strain(Arc<Mutex<Option<Instant>>>);

impl Strain {
    fn until(&self) -> MutexGuard<'_, Option<Instant>> {
        // Each change is an assignment: a panic elsewhere leaves it whole.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A turn came, or took, so much longer than it should have.
    pub fn note(&self, late: Duration) {
        if late > LATE {
            *self.until() = Some(Instant::now() + HOLDS);
        }
    }

    pub fn is_on(&self) -> bool {
        self.until().is_some_and(|until| Instant::now() < until)
    }
}

#[cfg(test)]
impl Strain {
    /// Strain for as long as a test runs.
    pub fn lasting() -> Strain {
        Strain(Arc::new(Mutex::new(Some(Instant::now() + Duration::from_secs(3600)))))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test(start_paused = true)]
    async fn a_late_turn_counts_for_a_while_and_one_in_time_does_not() {
        let strain = Strain::default();
        strain.note(LATE);
        assert!(!strain.is_on());
        strain.note(LATE + Duration::from_millis(1));
        strain.note(Duration::ZERO);
        tokio::time::advance(HOLDS / 2).await;
        assert!(strain.is_on());
        tokio::time::advance(HOLDS).await;
        assert!(!strain.is_on());
    }
}
