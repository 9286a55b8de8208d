//! An interface to the system clocks, with a fake for tests.
//!
//! State machines read time only through [`ClockPort`], so that tests and
//! benches can drive them with a [`FakeClock`]. Monotonic time orders events
//! inside a process. Wall time is used for display and for comparison with the
//! timestamps of the log service. Time since boot shows how old knowledge is, also
//! after the machine was suspended.

use std::fmt::Debug;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime};

use rustix::time::{ClockId, clock_gettime};

/// A source of monotonic and wall time.
pub trait ClockPort: Debug + Send + Sync {
    /// Returns monotonic time, comparable within this process only.
    fn now(&self) -> Instant;

    /// Returns the wall time of this machine.
    fn wall(&self) -> SystemTime;

    /// Returns the time since this machine booted.
    ///
    /// Unlike [`ClockPort::now`] it includes time for which the machine was suspended, and unlike
    /// [`ClockPort::wall`] it is never set.
    fn since_boot(&self) -> Duration;
}

/// A reference-counted clock.
pub type SharedClock = Arc<dyn ClockPort>;

/// The clocks of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl SystemClock {
    /// Returns a shared handle to the system clocks.
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

    fn since_boot(&self) -> Duration {
        let time = clock_gettime(ClockId::Boottime);
        // Both parts are non-negative for this clock.
        Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
    }
}

/// A clock that advances only on request.
///
/// Clones share the same time.
#[derive(Clone, Debug)]
pub struct FakeClock {
    start: Instant,
    wall_start: SystemTime,
    elapsed_us: Arc<AtomicU64>,
}

impl FakeClock {
    /// Creates a clock whose wall time is 2026-01-01T00:00:00Z.
    pub fn new() -> Self {
        const WALL_START_S: u64 = 1_767_225_600;
        Self {
            start: Instant::now(),
            wall_start: SystemTime::UNIX_EPOCH + Duration::from_secs(WALL_START_S),
            elapsed_us: Arc::new(AtomicU64::new(0)),
        }
    }

    /// Advances both times by `step`, truncated to whole microseconds.
    pub fn advance(&self, step: Duration) {
        self.elapsed_us
            .fetch_add(step.as_micros() as u64, Ordering::SeqCst);
    }

    /// Returns the time by which the clock has been advanced.
    pub fn elapsed(&self) -> Duration {
        Duration::from_micros(self.elapsed_us.load(Ordering::SeqCst))
    }

    /// Returns a shared handle to this clock.
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

    fn since_boot(&self) -> Duration {
        self.elapsed()
    }
}
