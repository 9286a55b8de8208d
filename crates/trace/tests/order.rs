//! Causal order under skewed wall clocks, and the limits of the event ring.

mod session;

use std::time::Duration;

use model::{ByteCount, DaemonId, FakeClock};
use quetzal_trace::{
    EventKind, EventRing, HybridClock, HybridTimestamp, MAX_DETAIL_BYTES, MAX_DRIFT, ProcessReport,
    TimestampCheck, merge_reports,
};
use quickcheck::quickcheck;

const MINUTE: Duration = Duration::from_secs(60);

quickcheck! {
    /// Processes with skewed clocks exchange messages; each effect is ordered after its cause.
    fn effects_are_ordered_after_their_causes(skews_ms: Vec<u16>, steps: Vec<(u8, u8, u8)>) -> bool {
        let clocks: Vec<FakeClock> = (0..4).map(|_| FakeClock::new()).collect();
        for (clock, skew) in clocks.iter().zip(&skews_ms) {
            clock.advance(Duration::from_millis(u64::from(skew % 5000)));
        }
        let mut rings: Vec<EventRing> = (0..4)
            .map(|number| session::ring(number, &clocks[number as usize]))
            .collect();
        let mut pairs: Vec<((DaemonId, HybridTimestamp), (DaemonId, HybridTimestamp))> = Vec::new();
        for (from, to, ms) in steps {
            let (from, to) = (usize::from(from % 4), usize::from(to % 4));
            for clock in &clocks {
                clock.advance(Duration::from_millis(u64::from(ms)));
            }
            let cause = rings[from].record(EventKind::ConfigApplied, "");
            if rings[to].observe(cause) == TimestampCheck::Accepted {
                let effect = rings[to].record(EventKind::ConfigApplied, "");
                pairs.push(((DaemonId(from as u64), cause), (DaemonId(to as u64), effect)));
            }
        }
        let reports: Vec<ProcessReport> =
            rings.iter_mut().map(|ring| ring.report_within(1000 * MINUTE)).collect();
        let timeline = merge_reports(reports, Vec::new());
        let position_of = |(daemon, stamp): (DaemonId, HybridTimestamp)| {
            timeline.events
                .iter()
                .position(|event| event.daemon == daemon && event.stamp == stamp)
        };
        pairs.into_iter().all(|(cause, effect)| position_of(cause) < position_of(effect))
    }

    fn merge_order_does_not_change_the_timeline(swap: bool) -> bool {
        let reports = session::publish_and_crash();
        let mut reordered = reports.clone();
        if swap {
            reordered.reverse();
        }
        // A duplicate report must not change the result.
        reordered.push(reports[0].clone());
        merge_reports(reports, Vec::new()) == merge_reports(reordered, Vec::new())
    }

    fn the_ring_stays_within_its_memory_limit(details: Vec<String>) -> bool {
        let clock = FakeClock::new();
        let process = session::ring(1, &clock).report_within(MINUTE).process;
        let memory_limit = ByteCount(2048);
        let mut ring = EventRing::new(process, memory_limit, clock.shared());
        let count = details.len();
        for detail in &details {
            ring.record(EventKind::TargetReady, detail);
        }
        let report = ring.report_within(MINUTE);
        let bounded = report.events.iter().all(|event| event.detail.len() <= MAX_DETAIL_BYTES);
        bounded
            && ring.memory_used().0 <= memory_limit.0
            && report.events.len() + report.dropped as usize == count
    }
}

#[test]
fn timestamps_increase_while_the_wall_clock_stands_still_or_is_behind() {
    let clock = FakeClock::new();
    let mut hybrid = HybridClock::new(clock.shared());
    let first = hybrid.stamp();
    let second = hybrid.stamp();
    assert!(second > first);
    let ahead = HybridTimestamp {
        wall_ms: first.wall_ms + 3000,
        count: u32::MAX,
    };
    assert_eq!(hybrid.observe(ahead), TimestampCheck::Accepted);
    assert!(hybrid.stamp() > ahead);
}

#[test]
fn a_timestamp_too_far_ahead_is_rejected() {
    let clock = FakeClock::new();
    let mut hybrid = HybridClock::new(clock.shared());
    let before = hybrid.stamp();
    let wrong = HybridTimestamp {
        wall_ms: before.wall_ms + MAX_DRIFT.as_millis() as u64 + 1,
        count: 0,
    };
    assert_eq!(hybrid.observe(wrong), TimestampCheck::TooFarAhead);
    assert_eq!(hybrid.rejected(), 1);
    assert!(hybrid.stamp() < wrong);
}

#[test]
fn only_events_of_the_queried_span_are_reported() {
    let clock = FakeClock::new();
    let mut ring = session::ring(1, &clock);
    ring.record(EventKind::LogDown, "");
    clock.advance(10 * MINUTE);
    ring.record(EventKind::LogUp, "");
    let report = ring.report_within(5 * MINUTE);
    assert_eq!(report.events.len(), 1);
    assert_eq!(report.events[0].kind, EventKind::LogUp);
    assert_eq!(report.dropped, 0);
}

#[test]
fn events_with_the_id_of_another_process_are_dropped() {
    let mut reports = session::publish_and_crash();
    reports[0].events[0].daemon = DaemonId(2);
    let timeline = merge_reports(reports.clone(), Vec::new());
    let total: usize = reports.iter().map(|report| report.events.len()).sum();
    assert_eq!(timeline.events.len(), total - 1);
}

#[test]
fn event_kind_names_are_unique() {
    let mut names: Vec<&str> = EventKind::ALL.iter().map(|kind| kind.name()).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), EventKind::ALL.len());
}
