//! The time line as text, one event a line.

use std::fmt::Write;

use crate::clock::HybridTimestamp;
use crate::merge::MergedTimeline;

/// The time line as text; times of day are in UTC.
pub fn render_text(line: &MergedTimeline) -> String {
    let mut text = String::new();
    let width = line
        .tracks
        .iter()
        .map(|track| track.process.name.len())
        .max()
        .unwrap_or(0);
    for event in &line.events {
        let track = line
            .track_index(event.daemon)
            .map(|track| &line.tracks[track]);
        let name = track.map_or("?", |track| track.process.name.as_str());
        let domain = track.map_or("?", |track| track.process.domain.as_str());
        let row = format!(
            "{}  {name:width$}  {domain}  version {}  {:16}  {}",
            time_of_day(event.stamp),
            event.version,
            event.kind.name(),
            event.detail
        );
        text.push_str(row.trim_end());
        text.push('\n');
    }
    text.push_str(&gaps(line));
    text
}

/// Lines that say what the time line lacks.
fn gaps(line: &MergedTimeline) -> String {
    let mut text = String::new();
    for track in line.tracks.iter().filter(|track| track.dropped > 0) {
        let name = &track.process.name;
        let _infallible = writeln!(text, "{name}: {} older events dropped", track.dropped);
    }
    for name in &line.silent {
        let _infallible = writeln!(text, "{name}: no answer");
    }
    text
}

/// `HH:MM:SS.mmm`, with the count where it is not 0.
pub(crate) fn time_of_day(stamp: HybridTimestamp) -> String {
    let (ms, seconds) = (stamp.wall_ms % 1000, stamp.wall_ms / 1000);
    let (hours, minutes) = (seconds / 3600 % 24, seconds / 60 % 60);
    let time = format!("{hours:02}:{minutes:02}:{:02}.{ms:03}", seconds % 60);
    match stamp.count {
        0 => format!("{time}   "),
        count => format!("{time}+{count:<2}"),
    }
}
