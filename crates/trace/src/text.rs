//! Renders the timeline as text, one event per line.

use std::fmt::Write;

use crate::clock::HybridTimestamp;
use crate::merge::MergedTimeline;

/// Renders the timeline as text, with times of day in UTC.
pub fn render_text(timeline: &MergedTimeline) -> String {
    let mut text = String::new();
    let name_width = timeline
        .tracks
        .iter()
        .map(|track| track.process.name.len())
        .max()
        .unwrap_or(0);
    for event in &timeline.events {
        let track = timeline
            .track_index(event.daemon)
            .map(|index| &timeline.tracks[index]);
        let name = track.map_or("?", |track| track.process.name.as_str());
        let domain = track.map_or("?", |track| track.process.domain.as_str());
        let row = format!(
            "{}  {name:name_width$}  {domain}  version {}  {:16}  {}",
            time_of_day(event.stamp),
            event.version,
            event.kind.name(),
            event.detail
        );
        text.push_str(row.trim_end());
        text.push('\n');
    }
    text.push_str(&describe_gaps(timeline));
    text
}

/// Returns one line per process that dropped events or did not answer.
fn describe_gaps(timeline: &MergedTimeline) -> String {
    let mut text = String::new();
    for track in timeline.tracks.iter().filter(|track| track.dropped > 0) {
        let name = &track.process.name;
        let _infallible = writeln!(text, "{name}: {} older events dropped", track.dropped);
    }
    for name in &timeline.silent {
        let _infallible = writeln!(text, "{name}: no answer");
    }
    text
}

/// Formats a timestamp as `HH:MM:SS.mmm`, followed by its counter if that is not 0.
///
/// Padded with spaces so that columns line up.
pub(crate) fn time_of_day(stamp: HybridTimestamp) -> String {
    let (ms, seconds) = (stamp.wall_ms % 1000, stamp.wall_ms / 1000);
    let (hours, minutes) = (seconds / 3600 % 24, seconds / 60 % 60);
    let time = format!("{hours:02}:{minutes:02}:{:02}.{ms:03}", seconds % 60);
    match stamp.count {
        0 => format!("{time}   "),
        count => format!("{time}+{count:<2}"),
    }
}
