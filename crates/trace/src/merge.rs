//! Merges the events of many processes into one causal order.
//!
//! Timestamps of hybrid logical clocks respect causality, so sorting by
//! timestamp puts every cause before its effect. Concurrent events may come in
//! either order; ties are broken by daemon id, so merging the same reports
//! always yields the same timeline.

use std::collections::{BTreeMap, BTreeSet};

use model::DaemonId;

use crate::event::TraceEvent;
use crate::ring::{MAX_REPORT_EVENTS, ProcessIdentity, ProcessReport};

/// A process on the timeline.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProcessTrack {
    /// Identity of the process in its latest incarnation.
    pub process: ProcessIdentity,
    /// Maximum number of missing events stated in any of its reports.
    pub dropped: u64,
    /// Number of its events on the timeline.
    pub events: usize,
}

/// Events of many processes in one causal order.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MergedTimeline {
    /// One track per process, sorted by failure domain and name.
    pub tracks: Vec<ProcessTrack>,
    /// All events, causes before effects.
    pub events: Vec<TraceEvent>,
    /// Names of processes that were queried but did not answer.
    pub silent: Vec<Box<str>>,
}

impl MergedTimeline {
    /// Returns the index of the track of `daemon`.
    pub fn track_index(&self, daemon: DaemonId) -> Option<usize> {
        self.tracks
            .iter()
            .position(|track| track.process.daemon == daemon)
    }
}

/// Merges reports; `silent` names the processes that did not answer.
///
/// All reports of one process, from one incarnation or several, form one track,
/// and an event contained in more than one of them is kept once. Events that a
/// report lists under another process's id, and those beyond [`MAX_REPORT_EVENTS`]
/// in one report, are dropped.
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
    let events = sort_and_dedup(events);
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

/// Sorts by timestamp, daemon and incarnation, and removes duplicates.
fn sort_and_dedup(mut events: Vec<TraceEvent>) -> Vec<TraceEvent> {
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
