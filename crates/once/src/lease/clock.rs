//! The log's clock as seen from one process.

use std::time::Instant;

use super::types::LogStamp;

/// A lower bound of the log's time, carried on by the monotonic clock.
///
/// A record that was read shows that the log's clock has reached its stamp.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogClock {
    anchor: Option<(LogStamp, Instant)>,
}

impl LogClock {
    /// Takes note of a record stamped `stamp`, read at `now`.
    pub fn observe(&mut self, stamp: LogStamp, now: Instant) {
        if self.read(now).is_none_or(|known| stamp > known) {
            self.anchor = Some((stamp, now));
        }
    }

    /// A time that the log's clock has passed; none before the first record.
    pub fn read(&self, now: Instant) -> Option<LogStamp> {
        let (stamp, seen) = self.anchor?;
        Some(stamp.after(now.saturating_duration_since(seen)))
    }
}
