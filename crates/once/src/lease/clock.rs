//! Local estimate of the log service's clock.

use std::time::Instant;

use super::types::LogStamp;

/// Lower bound of the log's time, extrapolated with the monotonic clock.
///
/// Reading a record proves that the log's clock has reached the record's stamp.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogClock {
    anchor: Option<(LogStamp, Instant)>,
}

impl LogClock {
    /// Records that a record stamped `stamp` was read at `now`.
    pub fn observe(&mut self, stamp: LogStamp, now: Instant) {
        if self.read(now).is_none_or(|known| stamp > known) {
            self.anchor = Some((stamp, now));
        }
    }

    /// Returns a time that the log's clock has passed; `None` before the first record.
    pub fn read(&self, now: Instant) -> Option<LogStamp> {
        let (stamp, seen) = self.anchor?;
        Some(stamp.after(now.saturating_duration_since(seen)))
    }
}
