//! The queue of updates: joins have a rate of their own and end with equal views.

use model::{DaemonId, IncarnationNumber};
use quetzal_members::queue::{UpdateKind, UpdateQueue};
use quetzal_members::{MemberStamp, MemberUpdate, SequenceNumber};

const FLEET: usize = 100;
const ROOM: usize = 1_000;

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
fn joins_wait_for_their_own_rate_and_changes_do_not() {
    let mut queue = UpdateQueue::default();
    queue.push(left(1), UpdateKind::Join, FLEET);
    queue.push(left(2), UpdateKind::Change, FLEET);
    let taken = queue.take(ROOM, 0);
    assert_eq!(taken.updates, [left(2)]);
    assert_eq!(taken.join_bytes, 0);
    let taken = queue.take(ROOM, ROOM);
    assert_eq!(taken.updates.len(), 2);
    assert!(taken.join_bytes > 0 && taken.join_bytes < taken.bytes);
}

#[test]
fn a_peer_with_the_same_view_ends_joins_alone() {
    let mut queue = UpdateQueue::default();
    queue.push(left(1), UpdateKind::Join, FLEET);
    assert!(queue.has_only_joins());
    queue.push(left(2), UpdateKind::Change, FLEET);
    assert!(!queue.has_only_joins());
    for _ in 0..FLEET {
        queue.count_joins_as_sent();
    }
    assert_eq!(queue.take(ROOM, ROOM).updates, [left(2)]);
}
