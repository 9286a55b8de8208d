//! Records events of two processes and prints the merged timeline, as HTML with `--html`.
//!
//!     cargo run -p quetzal-trace --example timeline
//!     cargo run -p quetzal-trace --example timeline -- --html > timeline.html

use std::time::Duration;

use model::{DaemonId, FakeClock, IncarnationNumber};
use quetzal_trace::{
    DEFAULT_MEMORY, EventKind, EventRing, ProcessIdentity, merge_reports, render_page, render_text,
};

fn main() {
    let clock = FakeClock::new();
    let mut rings: Vec<EventRing> = (1..=2).map(|number| new_ring(number, &clock)).collect();
    for ring in &mut rings {
        ring.record(EventKind::Started, "");
    }
    clock.advance(Duration::from_secs(5));
    let cause = rings[0].record(EventKind::DrainStarted, "planned stop");
    clock.advance(Duration::from_millis(3));
    rings[1].observe(cause);
    rings[1].record(EventKind::TargetDraining, "catalog-1");
    clock.advance(Duration::from_millis(800));
    rings[0].record(EventKind::DrainEnded, "0 calls in progress");

    let span = Duration::from_secs(300);
    let reports = rings
        .iter_mut()
        .map(|ring| ring.report_within(span))
        .collect();
    let timeline = merge_reports(reports, Vec::new());
    if std::env::args().any(|argument| argument == "--html") {
        match render_page(&timeline) {
            Ok(page) => println!("{page}"),
            Err(error) => eprintln!("{error}"),
        }
    } else {
        print!("{}", render_text(&timeline));
    }
}

fn new_ring(number: u64, clock: &FakeClock) -> EventRing {
    let process = ProcessIdentity {
        daemon: DaemonId(number),
        incarnation: IncarnationNumber(1),
        name: format!("vm-{number}")
            .parse()
            .expect("a short name is valid"),
        domain: "domain-a".parse().expect("a short name is valid"),
    };
    EventRing::new(process, DEFAULT_MEMORY, clock.shared())
}
