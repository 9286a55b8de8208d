//! Waits for answers over slow links.

use std::sync::Arc;
use std::time::{Duration, Instant};

use model::{DaemonId, IncarnationNumber};
use quetzal_members::delay::SlowLinks;
use quetzal_members::table::MemberTable;
use quetzal_members::{MemberProfile, MemberRecord, MemberStamp, MemberUpdate, SequenceNumber};

const USUAL: Duration = Duration::from_millis(300);
const LATE: Duration = Duration::from_secs(1);
const LONG: Duration = Duration::from_millis(1500);
const PROMPT: Duration = Duration::from_millis(2);
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
fn a_prompt_answer_ends_the_long_waits_of_its_domain_alone() {
    let now = Instant::now();
    let table = table(8, now);
    let mut links = SlowLinks::default();
    for id in [0, 1, 2, 3] {
        links.record_round_trip(DaemonId(id), LATE, now, &table);
    }
    let wait = |links: &SlowLinks, id| links.timeout_for(DaemonId(id), USUAL, &table);
    assert_eq!((wait(&links, 4), wait(&links, 5)), (LONG, LONG));
    let later = now + Duration::from_secs(1);
    links.record_round_trip(DaemonId(4), PROMPT, later, &table);
    assert_eq!((wait(&links, 4), wait(&links, 5)), (USUAL, LONG));
    assert_eq!(wait(&links, 0), LONG, "its own late answer still counts");
    let again = later + Duration::from_secs(1);
    links.record_round_trip(DaemonId(0), LATE, again, &table);
    links.record_round_trip(DaemonId(2), LATE, again, &table);
    assert_eq!(wait(&links, 4), LONG, "slow anew");
}
