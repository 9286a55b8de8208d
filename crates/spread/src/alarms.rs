//! What the owner is told: the first configuration in force, and alarms.

use std::time::Instant;

use model::ConfigVersion;

use crate::freshness::FreshnessState;
use crate::message::{OutputList, SpreadAlarm, SpreadOutput};
use crate::node::{SpreadNode, StartStage};
use crate::reader::LogState;
use crate::replica::ReplicaPort;

impl<R: ReplicaPort> SpreadNode<R> {
    /// Tells changes of the log's state and of the freshness.
    pub(crate) fn note_changes(&mut self, outputs: &mut OutputList, now: Instant) {
        let state = self.reader.state();
        if state != self.last_state {
            outputs.extend(self.state_alarm(state).map(SpreadOutput::Alarm));
            self.last_state = state;
        }
        self.serve_if_proven(outputs, now);
        let case = self.report_freshness(now).state;
        if case != self.last_case {
            self.last_case = case;
            self.acks.mark_changed();
            let alarm = SpreadAlarm::FreshnessChanged(case);
            outputs.push(SpreadOutput::Alarm(alarm));
        }
    }

    /// Puts the first configuration in force once it is known to be no older
    /// than the fleet's, or after waiting in vain for a proof of that.
    ///
    /// A daemon that was replaced would otherwise serve an older version for a
    /// moment than the run before it did.
    fn serve_if_proven(&mut self, outputs: &mut OutputList, now: Instant) {
        let StartStage::Unproven(loaded_at) = self.stage else {
            return;
        };
        let report = self.freshness.report(true, &self.settings, now);
        let waited = now.saturating_duration_since(loaded_at);
        let proven = report.state != FreshnessState::CutOff;
        if !proven && waited < self.settings.cut_off_after {
            return;
        }
        self.stage = StartStage::Serving;
        self.applied_at = now;
        self.acks.mark_changed();
        outputs.push(SpreadOutput::Alarm(SpreadAlarm::Serving(self.head.next)));
        if self.head.version != ConfigVersion::NONE {
            outputs.push(SpreadOutput::Applied(self.head.version));
        }
    }

    fn state_alarm(&self, state: LogState) -> Option<SpreadAlarm> {
        let held_next = self.head.next;
        match state {
            LogState::Unknown => None,
            LogState::Up if self.last_state == LogState::Unknown => None,
            LogState::Up => Some(SpreadAlarm::LogUp),
            LogState::Down(kind) => Some(SpreadAlarm::LogDown(kind)),
            LogState::Diverged(log_next) => Some(SpreadAlarm::LogDiverged {
                log_next,
                held_next,
            }),
            LogState::Gap(first) => Some(SpreadAlarm::LogGap { first, held_next }),
            LogState::Stuck(offset) => Some(SpreadAlarm::LogStuck(offset)),
        }
    }
}
