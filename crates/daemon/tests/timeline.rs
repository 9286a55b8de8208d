//! The timeline of many daemons stays within the maximum number of events and is ordered.

use std::time::Duration;

use model::{ByteCount, DaemonId, FakeClock, IncarnationNumber};
use quetzal_daemon::timeline::{FleetTimeline, MAX_TIMELINE_EVENTS, TimelineCollector, read_query};
use trace::{EventKind, EventQuery, EventRing, ProcessIdentity, merge_reports};

const DAEMON_COUNT: usize = 720;
/// Number of events of a busy daemon.
const BUSY_EVENTS: usize = 150;
/// Number of events of an idle daemon.
const IDLE_EVENTS: usize = 3;

/// Returns the events of all daemons; the daemon at `index` records one event in each of the last
/// `event_count(index)` rounds.
fn rings(event_count: impl Fn(usize) -> usize) -> Vec<EventRing> {
    let clock = FakeClock::new();
    let memory = ByteCount(512 << 10);
    let mut rings: Vec<EventRing> = (0..DAEMON_COUNT)
        .map(|index| {
            let process = ProcessIdentity {
                daemon: DaemonId(index as u64 + 1),
                incarnation: IncarnationNumber(1),
                name: format!("vm-{index:03}").parse().unwrap(),
                domain: format!("cairo-{}", index % 5).parse().unwrap(),
            };
            EventRing::new(process, memory, clock.shared())
        })
        .collect();
    for round in 0..BUSY_EVENTS {
        clock.advance(Duration::from_millis(1));
        for (index, ring) in rings.iter_mut().enumerate() {
            if round >= BUSY_EVENTS - event_count(index).min(BUSY_EVENTS) {
                let service = if index % 2 == 0 { "catalog" } else { "deals" };
                ring.record(
                    EventKind::TargetReady,
                    &format!("{service}/{service}-{round}"),
                );
            }
        }
    }
    rings
}

/// Collects events as a daemon does for an operator; returns the collector and the number of events
/// sent in both rounds.
///
/// The first round queries every daemon for an equal share of the maximum number of events. The
/// second round divides what is left among the daemons that have more events than that share.
fn gather(rings: &mut [EventRing], query: EventQuery) -> (TimelineCollector, usize) {
    let mut collector = TimelineCollector::new(query, rings.len());
    let mut sent = 0;
    for ring in rings.iter_mut() {
        let report = ring.select(collector.query());
        sent += report.events.len();
        collector.add_report(report);
    }
    for daemon in collector.start_second_round() {
        let report = rings[daemon.0 as usize - 1].select(collector.query());
        sent += report.events.len();
        collector.add_report(report);
    }
    (collector, sent)
}

fn query(parameters: &str) -> EventQuery {
    read_query(parameters).unwrap()
}

#[test]
fn many_events_on_all_daemons_stay_within_the_limit() {
    let mut rings = rings(|_| BUSY_EVENTS);
    let max_events = MAX_TIMELINE_EVENTS as usize;
    let (collector, sent) = gather(&mut rings, query("since_ms=60000"));
    let timeline = merge_reports(collector.finish(), Vec::new());
    // Each daemon's share is rounded down, so the timeline lacks less than one event per daemon.
    assert!(
        timeline.events.len() <= max_events && timeline.events.len() > max_events - DAEMON_COUNT
    );
    assert!(sent <= 2 * max_events, "{sent} events sent");
    let dropped: u64 = timeline.tracks.iter().map(|track| track.dropped).sum();
    assert_eq!(
        timeline.events.len() + dropped as usize,
        DAEMON_COUNT * BUSY_EVENTS
    );
    assert!(
        timeline
            .events
            .is_sorted_by_key(|event| (event.stamp, event.daemon))
    );
    // The newest event of each daemon is included.
    let newest = timeline.events.last().unwrap().stamp.wall_ms;
    let last = timeline
        .events
        .iter()
        .filter(|event| event.stamp.wall_ms == newest);
    assert_eq!(last.count(), DAEMON_COUNT);
}

#[test]
fn the_longest_events_fit_into_a_daemons_memory() {
    /// Half of a daemon's memory of 32 MB, divided between two operators that query at the same
    /// time.
    const MAX_BYTES: usize = (32 << 20) / 2 / 2;
    let clock = FakeClock::new();
    let detail = "x".repeat(trace::MAX_DETAIL_BYTES);
    let mut rings = rings(|_| 0);
    for _ in 0..BUSY_EVENTS {
        clock.advance(Duration::from_millis(1));
        for ring in &mut rings {
            ring.record(EventKind::RefusalStarted, &detail);
        }
    }
    let (collector, _) = gather(&mut rings, query("since_ms=60000"));
    let reports = collector.finish();
    let events = reports.iter().flat_map(|report| &report.events);
    let held: usize = events.map(trace::TraceEvent::memory_size).sum();
    let timeline = FleetTimeline {
        reports,
        silent: Vec::new(),
    };
    let text = serde_json::to_vec(&timeline).unwrap().len();
    println!("{held} bytes held, {text} bytes as text");
    assert!(held + text <= MAX_BYTES, "{held} + {text}");
}

#[test]
fn the_unused_share_of_idle_daemons_goes_to_busy_ones() {
    let mut rings = rings(|index| if index < 40 { BUSY_EVENTS } else { IDLE_EVENTS });
    let (collector, _) = gather(&mut rings, query("since_ms=60000"));
    let timeline = merge_reports(collector.finish(), Vec::new());
    assert_eq!(
        timeline.events.len(),
        40 * BUSY_EVENTS + (DAEMON_COUNT - 40) * IDLE_EVENTS
    );
    assert!(timeline.tracks.iter().all(|track| track.dropped == 0));
}

#[test]
fn filters_select_daemons_and_services() {
    let mut rings = rings(|_| BUSY_EVENTS);
    let asked = [
        ("process=vm-007", BUSY_EVENTS),
        ("domain=cairo-1&events=1000", 1000),
        ("service=catalog&process=vm-008", BUSY_EVENTS),
        ("service=catalog&process=vm-007", 0),
        ("service=cat", 0),
    ];
    for (parameters, events) in asked {
        let (collector, _) = gather(&mut rings, query(parameters));
        let timeline = merge_reports(collector.finish(), Vec::new());
        let found = timeline.events.len();
        // Each daemon's share is rounded down, so at most one event is missing for each of the
        // selected daemons; a domain contains a fifth of all daemons.
        let near = found <= events && found + DAEMON_COUNT / 5 >= events;
        assert!(near, "{parameters}: {found} events");
    }
    for broken in ["since_ms=x", "events=-1", "service=a%20b", "colour=red"] {
        assert!(read_query(broken).is_err(), "{broken}");
    }
    assert_eq!(query("events=4000000").most, MAX_TIMELINE_EVENTS);
}
