//! Detects pauses of the process itself, in which it was suspended or got no processor time.
//!
//! A duration that spans such a pause says nothing about targets or other
//! daemons: their answers may have been waiting to be read all the while. What
//! was measured over a pause must not be learned from.
//!
//! A pause is visible as a gap between two observations, so the process must
//! call [`PauseDetector::observe`] at least every [`OBSERVE_INTERVAL`]. Whoever
//! is about to learn from a duration also calls it, since after a pause it may
//! get its turn before the periodic observation does.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use model::SharedClock;

/// Maximum interval between two observations.
pub const OBSERVE_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum gap between two observations that counts as a pause.
const MIN_PAUSE: Duration = Duration::from_millis(300);

/// A pause of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProcessPause {
    /// Duration of the pause, which includes up to [`OBSERVE_INTERVAL`] before it.
    pub length: Duration,
    /// First observation after the pause.
    pub until: Instant,
}

/// Detects pauses of the process from the times at which it is observed to run.
#[derive(Debug)]
pub struct PauseDetector {
    clock: SharedClock,
    state: Mutex<PauseState>,
}

#[derive(Debug)]
struct PauseState {
    observed_at: Instant,
    latest: Option<ProcessPause>,
}

impl PauseDetector {
    /// Creates a detector that has seen no pause.
    pub fn new(clock: SharedClock) -> Self {
        let state = PauseState {
            observed_at: clock.now(),
            latest: None,
        };
        Self {
            clock,
            state: Mutex::new(state),
        }
    }

    /// Records that the process runs now; returns its latest pause.
    pub fn observe(&self) -> Option<ProcessPause> {
        let now = self.clock.now();
        let mut state = self.lock();
        let length = now.saturating_duration_since(state.observed_at);
        state.observed_at = state.observed_at.max(now);
        if length >= MIN_PAUSE {
            state.latest = Some(ProcessPause { length, until: now });
        }
        state.latest
    }

    /// Returns whether the process has paused since `start`.
    pub fn has_paused_since(&self, start: Instant) -> bool {
        self.observe().is_some_and(|pause| start < pause.until)
    }

    fn lock(&self) -> MutexGuard<'_, PauseState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
