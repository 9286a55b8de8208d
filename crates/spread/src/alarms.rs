//! Alarms about state changes, and the start of serving.

use std::time::Instant;

use model::ConfigVersion;

use crate::freshness::FreshnessState;
use crate::message::{OutputList, SpreadAlarm, SpreadOutput};
use crate::node::{SpreadNode, StartupStage};
use crate::reader::LogState;
use crate::replica::ReplicaPort;

impl<R: ReplicaPort> SpreadNode<R> {
    /// Emits alarms for changes of the log state and the freshness, and starts to
    /// serve the first configuration once that is allowed.
    pub(crate) fn emit_changes(&mut self, outputs: &mut OutputList, now: Instant) {
        let state = self.reader.state();
        if state != self.last_log_state {
            outputs.extend(self.state_alarm(state).map(SpreadOutput::Alarm));
            self.last_log_state = state;
        }
        self.serve_if_proven(outputs, now);
        let freshness = self.report_freshness(now).state;
        if freshness != self.last_freshness {
            self.last_freshness = freshness;
            self.acks.mark_changed();
            let alarm = SpreadAlarm::FreshnessChanged(freshness);
            outputs.push(SpreadOutput::Alarm(alarm));
        }
    }

    /// Puts the first configuration in force once it is proven to be no older than
    /// the fleet's, once the log is known to be down for the required domains, or if
    /// neither happens within the setting `cut_off_after` after the state was loaded.
    ///
    /// Otherwise a restarted or replaced daemon could briefly serve an older version
    /// than its previous run did.
    fn serve_if_proven(&mut self, outputs: &mut OutputList, now: Instant) {
        let StartupStage::Unproven(loaded_at) = self.stage else {
            return;
        };
        // The state that this daemon would have if it served its configuration.
        let report = self.freshness.report(true, &self.settings, now);
        let elapsed = now.saturating_duration_since(loaded_at);
        let is_proven = report.state != FreshnessState::CutOff;
        if !is_proven && elapsed < self.settings.cut_off_after {
            return;
        }
        self.stage = StartupStage::Serving;
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
            LogState::Up if self.last_log_state == LogState::Unknown => None,
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
