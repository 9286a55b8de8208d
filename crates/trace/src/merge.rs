//! One order of the events of many processes.
//!
//! Stamps of hybrid clocks follow cause, so sorting by stamp puts every cause
//! before its effect. Events that no message connects may come in either
//! order; the daemon's id breaks ties, so that any two readers who merge the
//! same reports get the same line.

use std::collections::{BTreeMap, BTreeSet};

use model::DaemonId;

use crate::event::TraceEvent;
use crate::ring::{MAX_REPORT_EVENTS, ProcessIdentity, ProcessReport};

/// One process of the time line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProcessTrack {
    /// The process, in its newest run.
    pub process: ProcessIdentity,
    /// Events that its report lacks.
    pub dropped: u64,
    /// How many events it has on the line.
    pub events: usize,
}

/// The events of many processes in one order.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MergedTimeline {
    /// One track for each process, by failure domain and name.
    pub tracks: Vec<ProcessTrack>,
    /// All events, causes before effects.
    pub events: Vec<TraceEvent>,
    /// Processes that were asked and did not answer.
    pub silent: Vec<Box<str>>,
}

impl MergedTimeline {
    /// Index of the track of `daemon`.
    pub fn track_index(&self, daemon: DaemonId) -> Option<usize> {
        self.tracks
            .iter()
            .position(|track| track.process.daemon == daemon)
    }
}

/// Merges reports; `silent` names the processes that did not answer.
///
/// Several reports of one process, of one run or of several, are one track;
/// an event that more than one of them holds counts once. Events that a
/// report holds under another process's id are left out.
pub fn merge_reports(reports: Vec<ProcessReport>, silent: Vec<Box<str>>) -> MergedTimeline {
    let mut tracks: BTreeMap<DaemonId, ProcessTrack> = BTreeMap::new();
    let mut events: Vec<TraceEvent> = Vec::new();
    for report in reports {
        let daemon = report.process.daemon;
        let track = tracks.entry(daemon).or_insert_with(|| ProcessTrack {
            process: report.process.clone(),
            dropped: 0,
            events: 0,
        });
        if report.process.incarnation >= track.process.incarnation {
            track.process = report.process;
        }
        track.dropped = track.dropped.max(report.dropped);
        let own = report.events.into_iter().take(MAX_REPORT_EVENTS);
        events.extend(own.filter(|event| event.daemon == daemon));
    }
    let events = in_order(events);
    for event in &events {
        if let Some(track) = tracks.get_mut(&event.daemon) {
            track.events += 1;
        }
    }
    MergedTimeline {
        tracks: sorted_tracks(tracks),
        events,
        silent,
    }
}

/// Sorted by stamp, daemon and run; each event once.
fn in_order(mut events: Vec<TraceEvent>) -> Vec<TraceEvent> {
    events.sort_by_key(|event| (event.stamp, event.daemon, event.incarnation));
    let mut seen = BTreeSet::new();
    events.retain(|event| seen.insert((event.stamp, event.daemon, event.incarnation)));
    events
}

fn sorted_tracks(tracks: BTreeMap<DaemonId, ProcessTrack>) -> Vec<ProcessTrack> {
    let mut tracks: Vec<ProcessTrack> = tracks.into_values().collect();
    tracks.sort_by(|left, right| {
        let key = |track: &ProcessTrack| (track.process.domain.clone(), track.process.name.clone());
        key(left).cmp(&key(right))
    });
    tracks
}
