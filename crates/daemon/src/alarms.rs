//! Changes of state in the control areas, as staff sees them.
//!
//! What belongs on the time line becomes an event, which is logged with it;
//! the rest is a log line of its level or a count.

use members::{MemberChange, MemberState};
use spread::{FreshnessState, SpreadAlarm};
use trace::EventKind;

use crate::core::DaemonCore;

/// Notes a change of state of the distributor.
pub fn record_alarm(core: &DaemonCore, alarm: &SpreadAlarm) {
    core.counters.count("alarms");
    match alarm {
        SpreadAlarm::LogDown(_) => record(core, EventKind::LogDown, alarm),
        SpreadAlarm::LogUp | SpreadAlarm::LogRebased { .. } => {
            record(core, EventKind::LogUp, alarm)
        }
        SpreadAlarm::LogDiverged { .. } | SpreadAlarm::LogGap { .. } => {
            record(core, EventKind::LogDiverged, alarm);
        }
        SpreadAlarm::ReaderStarted => record(core, EventKind::ReaderTookOver, alarm),
        SpreadAlarm::FreshnessChanged(FreshnessState::CutOff) => {
            record(core, EventKind::StaleEntered, alarm);
        }
        SpreadAlarm::FreshnessChanged(FreshnessState::Current) => {
            record(core, EventKind::StaleLeft, alarm);
        }
        SpreadAlarm::LogStuck(_) | SpreadAlarm::PeerContradicts { .. } => log::error!("{alarm}"),
        SpreadAlarm::MessageRefused { kind, .. } => core.counters.count_error(*kind),
        SpreadAlarm::UpdateRefused(kind) => {
            core.counters.count_error(*kind);
            log::warn!("{alarm}");
        }
        SpreadAlarm::Serving(_) | SpreadAlarm::ReaderStopped | SpreadAlarm::FreshnessChanged(_) => {
            log::info!("{alarm}");
        }
    }
}

fn record(core: &DaemonCore, kind: EventKind, alarm: &SpreadAlarm) {
    core.record_event(kind, &alarm.to_string());
}

/// Notes that a member's state changed; a newer record alone is no change.
pub fn record_member_change(core: &DaemonCore, change: MemberChange) {
    if change.before == Some(change.state) {
        return;
    }
    let kind = match change.state {
        MemberState::Alive => EventKind::Joined,
        MemberState::Suspect => EventKind::Suspected,
        MemberState::Dead => EventKind::Died,
        MemberState::Left => EventKind::Left,
    };
    core.record_event(kind, &change.id.to_string());
}
