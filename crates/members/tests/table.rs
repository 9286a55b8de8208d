//! The membership table: updates give the same result in any order of arrival.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::{DaemonId, IncarnationNumber};
use quetzal_members::table::{MAX_MEMBERS, MemberTable, TOMBSTONE_RETENTION};
use quetzal_members::{
    MemberProfile, MemberRecord, MemberStamp, MemberState, MemberUpdate, SequenceNumber,
    TargetState, decode_message, encode_message,
};
use quickcheck::{Arbitrary, Gen, quickcheck};

mod fleet;

fn stamp(incarnation: u64, sequence: u64) -> MemberStamp {
    MemberStamp {
        incarnation: IncarnationNumber(incarnation),
        sequence: SequenceNumber(sequence),
    }
}

fn record(id: u64, stamp: MemberStamp) -> Arc<MemberRecord> {
    let address = "10.0.0.1:7000".parse().unwrap();
    Arc::new(MemberRecord {
        id: DaemonId(id),
        stamp,
        content: stamp.sequence,
        profile: MemberProfile {
            name: "vm".parse().unwrap(),
            peer_address: address,
            caller_address: address,
            domain: format!("domain-{}", id % 3).parse().unwrap(),
            region: "region-0".parse().unwrap(),
        },
        draining: false,
        targets: vec![fleet::target_of(id as usize, TargetState::Ready)],
    })
}

#[derive(Clone, Debug)]
struct AnyUpdate(MemberUpdate);

impl Arbitrary for AnyUpdate {
    fn arbitrary(g: &mut Gen) -> Self {
        let number = u64::arbitrary(g) % 3;
        let id = DaemonId(number);
        let by = DaemonId(10 + u64::arbitrary(g) % 2);
        let stamp = stamp(u64::arbitrary(g) % 3, u64::arbitrary(g) % 4);
        Self(match u8::arbitrary(g) % 5 {
            0 => MemberUpdate::Suspect { id, stamp, by },
            1 => MemberUpdate::Dead { id, stamp, by },
            2 => MemberUpdate::Left { id, stamp },
            _ => MemberUpdate::Alive(record(number, stamp)),
        })
    }
}

/// Applies the updates until none is new, as repeated anti-entropy exchanges do.
fn apply_all(updates: &[AnyUpdate], now: Instant) -> MemberTable {
    let mut table = MemberTable::default();
    let mut changed = true;
    while changed {
        changed = false;
        for update in updates {
            changed |= table.apply(&update.0, now).is_new();
        }
    }
    table
}

fn contents(table: &MemberTable) -> BTreeMap<DaemonId, (IncarnationNumber, MemberState)> {
    table
        .iter()
        .map(|entry| (entry.record.id, (entry.stamp().incarnation, entry.state)))
        .collect()
}

quickcheck! {
    fn tables_agree_in_any_order_of_updates(updates: Vec<AnyUpdate>) -> bool {
        let now = Instant::now();
        let mut reversed = updates.clone();
        reversed.reverse();
        let (left, right) = (apply_all(&updates, now), apply_all(&reversed, now));
        left.buckets() == right.buckets() && contents(&left) == contents(&right)
    }

    fn a_stale_incarnation_never_returns(updates: Vec<AnyUpdate>) -> bool {
        let now = Instant::now();
        let mut table = MemberTable::default();
        updates.iter().all(|update| {
            let id = update.0.id();
            let before = table.get(id).map(|entry| (entry.stamp().incarnation, entry.state));
            table.apply(&update.0, now);
            let after = table.get(id).map(|entry| (entry.stamp().incarnation, entry.state));
            match (before, after) {
                (Some((old, MemberState::Left)), Some((new, state))) => {
                    new > old || state == MemberState::Left
                }
                (Some((old, _)), Some((new, _))) => new >= old,
                (Some(_), None) => false,
                (None, _) => true,
            }
        })
    }

    fn counts_match_the_entries(updates: Vec<AnyUpdate>) -> bool {
        let now = Instant::now();
        let mut table = MemberTable::default();
        updates.iter().all(|update| {
            table.apply(&update.0, now);
            let suspects = table.live().filter(|entry| entry.state == MemberState::Suspect);
            suspects.count() == table.suspect_count() && table.live().count() == table.live_count()
        })
    }

    fn messages_are_decoded_as_encoded(updates: Vec<AnyUpdate>, base: u64, port: u16) -> bool {
        let mut own = MemberRecord::clone(&record(1, stamp(u64::MAX, 1)));
        own.profile.caller_address = SocketAddr::from(([127, 0, 0, 1], port));
        let mut other = own.clone();
        other.profile.peer_address = SocketAddr::from(([0, 0, 0, 0, 0, 0, 0, 1], port));
        let records = [own, other].map(|record| MemberUpdate::Alive(Arc::new(record)));
        let message = quetzal_members::MemberMessage {
            stamp: stamp(base, 2),
            address: "10.0.0.1:7000".parse().unwrap(),
            wants_record: true,
            body: quetzal_members::MessageBody::Gossip,
            updates: updates.into_iter().map(|update| update.0).chain(records).collect(),
        };
        decode_message(&encode_message(&message)) == Ok(message)
    }

    fn truncated_frames_are_errors_and_altered_ones_differ(cut: usize, flip: u8) -> bool {
        let message = quetzal_members::MemberMessage {
            stamp: stamp(1, 2),
            address: "10.0.0.1:7000".parse().unwrap(),
            wants_record: false,
            body: quetzal_members::MessageBody::Gossip,
            updates: vec![MemberUpdate::Alive(record(1, stamp(1, 1)))],
        };
        let frame = encode_message(&message);
        let whole = decode_message(&frame) == Ok(message.clone());
        let cut = cut % frame.len();
        let truncated_fails = decode_message(&frame[..cut]).is_err();
        let mut altered = frame.clone();
        altered[cut] ^= flip | 1;
        let same = decode_message(&altered).is_ok_and(|read| read == message);
        whole && truncated_fails && !same
    }
}

#[test]
fn a_dead_member_returns_only_with_a_newer_version() {
    let now = Instant::now();
    let mut table = MemberTable::default();
    let (id, by) = (DaemonId(1), DaemonId(2));
    table.apply(&MemberUpdate::Alive(record(1, stamp(1, 1))), now);
    let dead = MemberUpdate::Dead {
        id,
        stamp: stamp(1, 1),
        by,
    };
    table.apply(&dead, now);
    table.apply(&MemberUpdate::Alive(record(1, stamp(1, 1))), now);
    assert_eq!(table.get(id).unwrap().state, MemberState::Dead);
    let heartbeat = MemberUpdate::Heartbeat(quetzal_members::digest::MemberHeartbeat {
        id,
        stamp: stamp(1, 2),
        content: SequenceNumber(1),
        loads: vec![quetzal_members::LoadLevel(3)],
    });
    table.apply(&heartbeat, now);
    assert_eq!(table.get(id).unwrap().state, MemberState::Alive);
}

#[test]
fn tombstones_and_members_are_bounded() {
    let now = Instant::now();
    let mut table = MemberTable::default();
    for number in 0..MAX_MEMBERS as u64 {
        table.apply(&MemberUpdate::Alive(record(number, stamp(1, 1))), now);
    }
    let surplus = MemberUpdate::Alive(record(1 << 40, stamp(1, 1)));
    assert!(!table.apply(&surplus, now).is_new());
    let left = MemberUpdate::Left {
        id: DaemonId(7),
        stamp: stamp(1, 1),
    };
    table.apply(&left, now);
    assert!(table.apply(&surplus, now).is_new());
    assert_eq!(table.iter().count(), MAX_MEMBERS);
    table.apply(
        &MemberUpdate::Left {
            id: DaemonId(8),
            stamp: stamp(1, 1),
        },
        now,
    );
    table.expire(now + TOMBSTONE_RETENTION + Duration::from_secs(1));
    assert!(table.get(DaemonId(8)).is_none());
    assert_eq!(table.live_count(), MAX_MEMBERS - 1);
}

#[test]
fn reporters_cover_two_other_domains_in_any_order_of_reports() {
    // Members 0 and 3 are in one failure domain, 1 and 2 in two others.
    let first = stamp(1, 1);
    for order in [[3, 1, 2], [1, 3, 2], [3, 2, 1], [2, 3, 1]] {
        let now = Instant::now();
        let mut table = MemberTable::default();
        for id in 0..4 {
            table.apply(&MemberUpdate::Alive(record(id, first)), now);
        }
        for by in order.map(DaemonId) {
            let id = DaemonId(0);
            table.apply(
                &MemberUpdate::Suspect {
                    id,
                    stamp: first,
                    by,
                },
                now,
            );
        }
        let reporters = table.get(DaemonId(0)).unwrap().reporters.clone();
        assert!(reporters.contains(&DaemonId(1)), "{order:?}: {reporters:?}");
        assert!(reporters.contains(&DaemonId(2)), "{order:?}: {reporters:?}");
    }
}
