//! Probe timeouts for members behind slow links.

use std::sync::Arc;
use std::time::{Duration, Instant};

use model::{DaemonId, IncarnationNumber};
use quetzal_members::delay::SlowLinks;
use quetzal_members::table::MemberTable;
use quetzal_members::{MemberProfile, MemberRecord, MemberStamp, MemberUpdate, SequenceNumber};

const USUAL_TIMEOUT: Duration = Duration::from_millis(300);
const SLOW_ROUND_TRIP: Duration = Duration::from_secs(1);
const EXTENDED_TIMEOUT: Duration = Duration::from_millis(1500);
const PROMPT_ROUND_TRIP: Duration = Duration::from_millis(2);
const DOMAINS: u64 = 2;

fn table(count: u64, now: Instant) -> MemberTable {
    let address = "10.0.0.1:7000".parse().unwrap();
    let mut table = MemberTable::default();
    for id in 0..count {
        let record = MemberRecord {
            id: DaemonId(id),
            stamp: MemberStamp {
                incarnation: IncarnationNumber(1),
                sequence: SequenceNumber(1),
            },
            content: SequenceNumber(1),
            profile: MemberProfile {
                name: "vm".parse().unwrap(),
                peer_address: address,
                caller_address: address,
                domain: format!("domain-{}", id % DOMAINS).parse().unwrap(),
                region: "region-0".parse().unwrap(),
            },
            draining: false,
            targets: Vec::new(),
        };
        table.apply(&MemberUpdate::Alive(Arc::new(record)), now);
    }
    table
}

#[test]
fn a_prompt_answer_restores_the_timeouts_of_its_domain_only() {
    let now = Instant::now();
    let table = table(8, now);
    let mut links = SlowLinks::default();
    for id in [0, 1, 2, 3] {
        links.record_round_trip(DaemonId(id), SLOW_ROUND_TRIP, now, &table);
    }
    let timeout = |links: &SlowLinks, id| links.timeout_for(DaemonId(id), USUAL_TIMEOUT, &table);
    assert_eq!(
        (timeout(&links, 4), timeout(&links, 5)),
        (EXTENDED_TIMEOUT, EXTENDED_TIMEOUT)
    );
    let later = now + Duration::from_secs(1);
    links.record_round_trip(DaemonId(4), PROMPT_ROUND_TRIP, later, &table);
    assert_eq!(
        (timeout(&links, 4), timeout(&links, 5)),
        (USUAL_TIMEOUT, EXTENDED_TIMEOUT)
    );
    assert_eq!(
        timeout(&links, 0),
        EXTENDED_TIMEOUT,
        "its own slow round trip still counts"
    );
    let again = later + Duration::from_secs(1);
    links.record_round_trip(DaemonId(0), SLOW_ROUND_TRIP, again, &table);
    links.record_round_trip(DaemonId(2), SLOW_ROUND_TRIP, again, &table);
    assert_eq!(
        timeout(&links, 4),
        EXTENDED_TIMEOUT,
        "the domain is slow again"
    );
}
