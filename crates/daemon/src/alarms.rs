//! Reports alarms of the distributor and membership changes to operators.
//!
//! Changes that operators follow over time are recorded as timeline events, which are also
//! logged. The others become only a log line or a counter.

use members::{MemberChange, MemberState};
use spread::{FreshnessState, SpreadAlarm};
use trace::EventKind;

use crate::core::DaemonCore;

/// Counts an alarm of the distributor and records it as an event, a log line or a counted
/// error.
pub fn record_alarm(core: &DaemonCore, alarm: &SpreadAlarm) {
    core.counters.count("alarms");
    match alarm {
        SpreadAlarm::LogDown(_) => emit(core, EventKind::LogDown, alarm),
        SpreadAlarm::LogUp | SpreadAlarm::LogRebased { .. } => emit(core, EventKind::LogUp, alarm),
        SpreadAlarm::LogDiverged { .. } | SpreadAlarm::LogGap { .. } => {
            emit(core, EventKind::LogDiverged, alarm);
        }
        SpreadAlarm::ReaderStarted => emit(core, EventKind::ReaderTookOver, alarm),
        SpreadAlarm::FreshnessChanged(FreshnessState::CutOff) => {
            emit(core, EventKind::StaleEntered, alarm);
        }
        SpreadAlarm::FreshnessChanged(FreshnessState::Current) => {
            emit(core, EventKind::StaleLeft, alarm);
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

fn emit(core: &DaemonCore, kind: EventKind, alarm: &SpreadAlarm) {
    core.record_event(kind, &alarm.to_string());
}

/// Records a change of a member's state; a newer record with the same state is ignored.
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
