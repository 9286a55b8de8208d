//! The time line of many daemons stays within a number of events, and in order.

use std::time::Duration;

use model::{ByteCount, DaemonId, FakeClock, IncarnationNumber};
use quetzal_daemon::timeline::{FleetTimeline, MAX_TIMELINE_EVENTS, TimelineCollector, read_query};
use trace::{EventKind, EventQuery, EventRing, ProcessIdentity, merge_reports};

const DAEMONS: usize = 720;
/// Events of a daemon in a storm.
const STORM: usize = 150;
/// Events of a daemon at rest.
const REST: usize = 3;

fn rings(events: impl Fn(usize) -> usize) -> Vec<EventRing> {
    let clock = FakeClock::new();
    let memory = ByteCount(512 << 10);
    let mut rings: Vec<EventRing> = (0..DAEMONS)
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
    for round in 0..STORM {
        clock.advance(Duration::from_millis(1));
        for (index, ring) in rings.iter_mut().enumerate() {
            if round >= STORM - events(index).min(STORM) {
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

fn gather(rings: &mut [EventRing], query: EventQuery) -> (TimelineCollector, usize) {
    let mut gather = TimelineCollector::new(query, rings.len());
    let mut sent = 0;
    for ring in rings.iter_mut() {
        let report = ring.select(gather.query());
        sent += report.events.len();
        gather.add_report(report);
    }
    for daemon in gather.start_second_round() {
        let report = rings[daemon.0 as usize - 1].select(gather.query());
        sent += report.events.len();
        gather.add_report(report);
    }
    (gather, sent)
}

fn query(parameters: &str) -> EventQuery {
    read_query(parameters).unwrap()
}

#[test]
fn a_storm_on_all_daemons_stays_within_the_bound() {
    let mut rings = rings(|_| STORM);
    let most = MAX_TIMELINE_EVENTS as usize;
    let (gather, sent) = gather(&mut rings, query("since_ms=60000"));
    let line = merge_reports(gather.finish(), Vec::new());
    assert!(line.events.len() <= most && line.events.len() > most - DAEMONS);
    assert!(sent <= 2 * most, "{sent} events sent");
    let dropped: u64 = line.tracks.iter().map(|track| track.dropped).sum();
    assert_eq!(line.events.len() + dropped as usize, DAEMONS * STORM);
    assert!(
        line.events
            .is_sorted_by_key(|event| (event.stamp, event.daemon))
    );
    // The newest of each daemon are there.
    let newest = line.events.last().unwrap().stamp.wall_ms;
    let last = line
        .events
        .iter()
        .filter(|event| event.stamp.wall_ms == newest);
    assert_eq!(last.count(), DAEMONS);
}

#[test]
fn the_longest_events_fit_into_a_daemons_memory() {
    /// Half of what a daemon may hold, for two operators at once.
    const MOST_BYTES: usize = (32 << 20) / 2 / 2;
    let clock = FakeClock::new();
    let detail = "x".repeat(trace::MAX_DETAIL_BYTES);
    let mut rings = rings(|_| 0);
    for _ in 0..STORM {
        clock.advance(Duration::from_millis(1));
        for ring in &mut rings {
            ring.record(EventKind::RefusalStarted, &detail);
        }
    }
    let (gather, _) = gather(&mut rings, query("since_ms=60000"));
    let reports = gather.finish();
    let events = reports.iter().flat_map(|report| &report.events);
    let held: usize = events.map(trace::TraceEvent::memory_size).sum();
    let timeline = FleetTimeline {
        reports,
        silent: Vec::new(),
    };
    let text = serde_json::to_vec(&timeline).unwrap().len();
    println!("{held} bytes held, {text} bytes as text");
    assert!(held + text <= MOST_BYTES, "{held} + {text}");
}

#[test]
fn what_daemons_at_rest_leave_goes_to_those_in_a_storm() {
    let mut rings = rings(|index| if index < 40 { STORM } else { REST });
    let (gather, _) = gather(&mut rings, query("since_ms=60000"));
    let line = merge_reports(gather.finish(), Vec::new());
    assert_eq!(line.events.len(), 40 * STORM + (DAEMONS - 40) * REST);
    assert!(line.tracks.iter().all(|track| track.dropped == 0));
}

#[test]
fn filters_choose_daemons_and_services() {
    let mut rings = rings(|_| STORM);
    let asked = [
        ("process=vm-007", STORM),
        ("domain=cairo-1&events=1000", 1000),
        ("service=catalog&process=vm-008", STORM),
        ("service=catalog&process=vm-007", 0),
        ("service=cat", 0),
    ];
    for (parameters, events) in asked {
        let (gather, _) = gather(&mut rings, query(parameters));
        let line = merge_reports(gather.finish(), Vec::new());
        let found = line.events.len();
        let near = found <= events && found + DAEMONS / 5 >= events;
        assert!(near, "{parameters}: {found} events");
    }
    for broken in ["since_ms=x", "events=-1", "service=a%20b", "colour=red"] {
        assert!(read_query(broken).is_err(), "{broken}");
    }
    assert_eq!(query("events=4000000").most, MAX_TIMELINE_EVENTS);
}
