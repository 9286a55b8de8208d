//! Renders the timeline as one HTML file with a chart of one track per process.
//!
//! The file is self-contained: it uses no scripts, fonts or network resources.
//! All text that comes from processes is escaped.

use std::fmt::Write;

use derive_more::Display;
use model::{ErrorKind, KindError};
use plotters::prelude::{
    ChartBuilder, Circle, IntoDrawingArea, IntoFont, PathElement, RGBColor, SVGBackend, WHITE,
};
use plotters::style::Color;

use crate::event::EventClass;
use crate::merge::MergedTimeline;
use crate::text::time_of_day;

/// Result of rendering; errors are of kind `LocalFailed`.
pub type Result<T> = model::Result<T>;

const CHART_WIDTH_PX: u32 = 1200;
const TRACK_HEIGHT_PX: u32 = 22;
/// Height of a track if there are at least [`MANY_TRACKS`].
const NARROW_TRACK_HEIGHT_PX: u32 = 11;
/// Minimum number of tracks at which they are drawn narrow.
const MANY_TRACKS: usize = 100;
const CHART_MARGIN_PX: u32 = 60;
const LABEL_WIDTH_PX: u32 = 180;
const POINT_RADIUS_PX: i32 = 4;
const AXIS_FONT_PX: f64 = 12.0;
const STYLE: &str = "body{font-family:sans-serif;margin:1em}\
table{border-collapse:collapse;font-size:small}\
td,th{padding:2px 8px;text-align:left;border-bottom:1px solid #ddd}\
.dot{display:inline-block;width:10px;height:10px;border-radius:5px;margin:0 4px 0 12px}";

/// Text whose HTML special characters are escaped.
#[derive(Debug, Display)]
struct EscapedText(String);

/// Renders the timeline as one self-contained HTML file.
pub fn render_page(timeline: &MergedTimeline) -> Result<String> {
    let mut page =
        String::from("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">");
    let _infallible = write!(
        page,
        "<title>quetzal time line</title><style>{STYLE}</style></head>\n<body>\
         <h1>Time line</h1>\n<p>{} events of {} processes. Legend:{}</p>\n{}\n{}{}</body></html>\n",
        timeline.events.len(),
        timeline.tracks.len(),
        render_legend(),
        render_chart(timeline)?,
        describe_gaps(timeline),
        render_table(timeline)
    );
    Ok(page)
}

/// Renders only the chart, as SVG.
pub fn render_chart(timeline: &MergedTimeline) -> Result<String> {
    let mut svg = String::new();
    draw(timeline, &mut svg)
        .map_err(|error| KindError::new(ErrorKind::LocalFailed, error.to_string()))?;
    Ok(svg)
}

fn draw(
    timeline: &MergedTimeline,
    svg: &mut String,
) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let tracks = timeline.tracks.len().max(1);
    let track_height = if tracks >= MANY_TRACKS {
        NARROW_TRACK_HEIGHT_PX
    } else {
        TRACK_HEIGHT_PX
    };
    let height = CHART_MARGIN_PX + track_height * tracks as u32;
    let begin = timeline
        .events
        .first()
        .map_or(0, |event| event.stamp.wall_ms);
    let end = timeline
        .events
        .last()
        .map_or(1, |event| event.stamp.wall_ms);
    let span_s = ((end - begin) as f64 / 1000.0).max(0.001);
    let area = SVGBackend::with_string(svg, (CHART_WIDTH_PX, height)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(LABEL_WIDTH_PX)
        .build_cartesian_2d(-0.01 * span_s..1.01 * span_s, 0.0..tracks as f64)?;
    let label = |row: &f64| track_label(timeline, *row);
    chart
        .configure_mesh()
        .disable_mesh()
        .x_desc("seconds since the first event")
        .label_style(("sans-serif", AXIS_FONT_PX))
        .y_labels(0)
        .y_label_formatter(&label)
        .draw()?;
    for track in 0..timeline.tracks.len() {
        let row = track_row(timeline, track);
        let baseline = vec![(0.0, row), (span_s, row)];
        chart.draw_series([PathElement::new(baseline, RGBColor(220, 220, 220))])?;
        let (x, y) = chart.backend_coord(&(0.0, row));
        let label_position = (
            x - LABEL_WIDTH_PX.cast_signed(),
            y - (track_height / 3).cast_signed(),
        );
        let font = ("sans-serif", f64::from(track_height) * 0.6).into_font();
        area.draw_text(&track_label(timeline, row), &font.into(), label_position)?;
    }
    let points = timeline.events.iter().filter_map(|event| {
        let track = timeline.track_index(event.daemon)?;
        let x = (event.stamp.wall_ms - begin) as f64 / 1000.0;
        let colour = class_colour(event.kind.class());
        Some(Circle::new(
            (x, track_row(timeline, track)),
            POINT_RADIUS_PX,
            colour.filled(),
        ))
    });
    chart.draw_series(points)?;
    area.present()?;
    Ok(())
}

/// Returns the vertical position of a track in the chart; the first track is on top.
fn track_row(timeline: &MergedTimeline, track: usize) -> f64 {
    (timeline.tracks.len() - track) as f64 - 0.5
}

/// Returns the label of the track at the vertical position `row`, or an empty string if none is there.
fn track_label(timeline: &MergedTimeline, row: f64) -> String {
    let track = timeline.tracks.len().checked_sub(row.ceil() as usize);
    track
        .and_then(|track| timeline.tracks.get(track))
        .map(|track| format!("{} {}", track.process.domain, track.process.name))
        .unwrap_or_default()
}

fn class_colour(class: EventClass) -> RGBColor {
    match class {
        EventClass::Config => RGBColor(31, 119, 180),
        EventClass::Members => RGBColor(127, 127, 127),
        EventClass::Targets => RGBColor(44, 160, 44),
        EventClass::Drain => RGBColor(255, 127, 14),
        EventClass::Leases => RGBColor(148, 103, 189),
        EventClass::Faults => RGBColor(214, 39, 40),
    }
}

fn render_legend() -> String {
    let mut legend = String::new();
    for class in EventClass::ALL {
        let RGBColor(red, green, blue) = class_colour(class);
        let _infallible = write!(
            legend,
            "<span class=\"dot\" style=\"background:rgb({red},{green},{blue})\"></span>{class}"
        );
    }
    legend
}

fn describe_gaps(timeline: &MergedTimeline) -> String {
    let dropped = timeline
        .tracks
        .iter()
        .filter(|track| track.dropped > 0)
        .map(|track| {
            format!(
                "{}: {} older events dropped",
                track.process.name, track.dropped
            )
        });
    let silent = timeline
        .silent
        .iter()
        .map(|name| format!("{}: no answer", escape(name)));
    let mut gaps = String::new();
    for gap in dropped.chain(silent) {
        let _infallible = writeln!(gaps, "<p>{gap}</p>");
    }
    gaps
}

fn render_table(timeline: &MergedTimeline) -> String {
    let mut table = String::from(
        "<table><tr><th>time (UTC)</th><th>process</th><th>failure domain</th>\
         <th>version</th><th>event</th><th>detail</th></tr>\n",
    );
    for event in &timeline.events {
        let track = timeline
            .track_index(event.daemon)
            .map(|track| &timeline.tracks[track]);
        let _infallible = writeln!(
            table,
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>",
            time_of_day(event.stamp).trim_end(),
            track.map_or("?", |track| track.process.name.as_str()),
            track.map_or("?", |track| track.process.domain.as_str()),
            event.version,
            event.kind,
            escape(&event.detail)
        );
    }
    table.push_str("</table>\n");
    table
}

fn escape(text: &str) -> EscapedText {
    EscapedText(
        text.replace('&', "&amp;")
            .replace('<', "&lt;")
            .replace('>', "&gt;")
            .replace('"', "&quot;"),
    )
}
