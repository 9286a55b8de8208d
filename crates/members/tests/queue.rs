//! The update queue: joins have their own rate limit and expire early when views are equal.

use model::{DaemonId, IncarnationNumber};
use quetzal_members::queue::{UpdateKind, UpdateQueue};
use quetzal_members::{MemberStamp, MemberUpdate, SequenceNumber};

const FLEET_SIZE: usize = 100;
const LIMIT: usize = 1_000;

fn left(id: u64) -> MemberUpdate {
    let incarnation = IncarnationNumber(1);
    let sequence = SequenceNumber(1);
    MemberUpdate::Left {
        id: DaemonId(id),
        stamp: MemberStamp {
            incarnation,
            sequence,
        },
    }
}

#[test]
fn the_rate_limit_of_joins_does_not_delay_changes() {
    let mut queue = UpdateQueue::default();
    queue.push(left(1), UpdateKind::Join, FLEET_SIZE);
    queue.push(left(2), UpdateKind::Change, FLEET_SIZE);
    let taken = queue.take(LIMIT, 0);
    assert_eq!(taken.updates, [left(2)]);
    assert_eq!(taken.join_bytes, 0);
    let taken = queue.take(LIMIT, LIMIT);
    assert_eq!(taken.updates.len(), 2);
    assert!(taken.join_bytes > 0 && taken.join_bytes < taken.bytes);
}

#[test]
fn a_peer_with_an_equal_view_counts_as_a_transmission_of_joins_only() {
    let mut queue = UpdateQueue::default();
    queue.push(left(1), UpdateKind::Join, FLEET_SIZE);
    assert!(queue.has_only_joins());
    queue.push(left(2), UpdateKind::Change, FLEET_SIZE);
    assert!(!queue.has_only_joins());
    for _ in 0..FLEET_SIZE {
        queue.count_joins_as_sent();
    }
    assert_eq!(queue.take(LIMIT, LIMIT).updates, [left(2)]);
}
