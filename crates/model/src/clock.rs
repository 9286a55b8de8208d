//! The clock as an interface.
//!
//! Decisions read time only through [`ClockPort`], so that tests and benches
//! drive them with a [`FakeClock`]. Monotonic time orders what happens inside
//! a process; wall time is for people and for comparison with the time stamps
//! of the log service.

use std::fmt::Debug;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime};

/// A source of monotonic and wall time.
pub trait ClockPort: Debug + Send + Sync {
    /// Monotonic time, comparable within this process only.
    fn now(&self) -> Instant;

    /// Wall time, as this machine believes it to be.
    fn wall(&self) -> SystemTime;
}

/// A clock that many owners read.
pub type SharedClock = Arc<dyn ClockPort>;

/// The machine's own clocks.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl SystemClock {
    /// A shared handle on the machine's clocks.
    pub fn shared() -> SharedClock {
        Arc::new(Self)
    }
}

impl ClockPort for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that moves only when told to.
///
/// Clones share one time.
#[derive(Clone, Debug)]
pub struct FakeClock {
    start: Instant,
    wall_start: SystemTime,
    elapsed_us: Arc<AtomicU64>,
}

impl FakeClock {
    /// A clock at the start of its time; the wall shows 2026-01-01T00:00:00Z.
    pub fn new() -> Self {
        const WALL_START_S: u64 = 1_767_225_600;
        Self {
            start: Instant::now(),
            wall_start: SystemTime::UNIX_EPOCH + Duration::from_secs(WALL_START_S),
            elapsed_us: Arc::new(AtomicU64::new(0)),
        }
    }

    /// Moves both times on by `step`, in whole microseconds.
    pub fn advance(&self, step: Duration) {
        self.elapsed_us
            .fetch_add(step.as_micros() as u64, Ordering::SeqCst);
    }

    /// Time since the clock was made.
    pub fn elapsed(&self) -> Duration {
        Duration::from_micros(self.elapsed_us.load(Ordering::SeqCst))
    }

    /// A shared handle on this clock.
    pub fn shared(&self) -> SharedClock {
        Arc::new(self.clone())
    }
}

impl Default for FakeClock {
    fn default() -> Self {
        Self::new()
    }
}

impl ClockPort for FakeClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        self.wall_start + self.elapsed()
    }
}
