//! Events of three processes with different wall clocks, shared by the tests.

use std::time::Duration;

use model::{ConfigVersion, DaemonId, FakeClock, IncarnationNumber, LogOffset};
use quetzal_trace::{DEFAULT_MEMORY, EventKind, EventRing, ProcessIdentity, ProcessReport};

pub fn ring(number: u64, clock: &FakeClock) -> EventRing {
    let process = ProcessIdentity {
        daemon: DaemonId(number),
        incarnation: IncarnationNumber(1),
        name: format!("vm-{number}").parse().unwrap(),
        domain: format!("domain-{}", number % 2).parse().unwrap(),
    };
    EventRing::new(process, DEFAULT_MEMORY, clock.shared())
}

/// vm-1 publishes a change to the others, then vm-3 dies and does not report.
///
/// The wall clock of vm-2 is 2 s behind.
pub fn publish_and_crash() -> Vec<ProcessReport> {
    let correct = FakeClock::new();
    correct.advance(Duration::from_secs(2));
    let behind = FakeClock::new();
    let mut rings = [ring(1, &correct), ring(2, &behind), ring(3, &correct)];
    let step = |ms: u64| {
        correct.advance(Duration::from_millis(ms));
        behind.advance(Duration::from_millis(ms));
    };
    for ring in &mut rings {
        ring.record(EventKind::Started, "");
    }
    step(400);
    let version = ConfigVersion::at(LogOffset(418));
    rings[0].set_version(version);
    let cause = rings[0].record(EventKind::ConfigApplied, "plan gold: 40 calls/s");
    for ring in &mut rings[1..] {
        step(15);
        ring.observe(cause);
        ring.set_version(version);
        ring.record(EventKind::ConfigApplied, "plan gold: 40 calls/s");
    }
    step(900);
    rings[0].record(EventKind::Suspected, "vm-3");
    step(2200);
    let death = rings[0].record(EventKind::Died, "vm-3 <no answer>");
    rings[1].observe(death);
    rings[1].record(EventKind::TargetGone, "catalog-3 & its slots");
    rings[..2]
        .iter_mut()
        .map(|ring| ring.report_within(Duration::from_secs(60)))
        .collect()
}
