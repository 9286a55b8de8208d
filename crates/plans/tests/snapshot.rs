//! Decoding of snapshots in both formats, and of malformed ones.

#![allow(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes arguments by value"
)]

mod support;

use model::ErrorKind;
use quetzal_plans::snapshot::MAX_SNAPSHOT_BYTES;
use quetzal_plans::{ConfigRecord, RouteTable, StateSnapshot};
use quickcheck::QuickCheck;
use support::{
    SNAPSHOT_HEADER_BYTES, change, deflated_snapshot, meta, plain_snapshot, set_rate,
    sized_snapshot, template_log,
};

fn content() -> Vec<u8> {
    let bytes = StateSnapshot::of(&template_log().state()).encode().unwrap();
    miniz_oxide::inflate::decompress_to_vec(&bytes[SNAPSHOT_HEADER_BYTES..]).unwrap()
}

fn assert_refused(bytes: &[u8], reason: &str) {
    let refused = StateSnapshot::decode(bytes).unwrap_err();
    assert_eq!(refused.kind, ErrorKind::SnapshotInvalid);
    assert!(refused.detail.contains(reason), "{}", refused.detail);
}

#[test]
fn both_formats_decode_to_the_same_state_and_others_are_rejected() {
    let state = template_log().state();
    let content = content();
    for bytes in [
        plain_snapshot(&content),
        deflated_snapshot(&content, content.len()),
    ] {
        let decoded = StateSnapshot::decode(&bytes).unwrap().into_state();
        assert_eq!(decoded, state);
        let mut other = bytes;
        other[3] = b'3';
        assert_refused(&other, "unknown format");
    }
    assert_refused(b"QZS2", "truncated");
}

#[test]
fn states_larger_than_the_limit_or_the_declared_size_are_rejected() {
    let zeros = vec![0; 64 << 20];
    assert_refused(&deflated_snapshot(&zeros, zeros.len()), "declared size of");
    assert_refused(
        &deflated_snapshot(&zeros, MAX_SNAPSHOT_BYTES),
        "the declared size",
    );
    assert_refused(
        &deflated_snapshot(&[], MAX_SNAPSHOT_BYTES),
        "declared size of",
    );
    let content = content();
    for size in [0, content.len() - 1, content.len() + 1] {
        assert_refused(&deflated_snapshot(&content, size), "the declared size");
    }
    let deflated = miniz_oxide::deflate::compress_to_vec(&content, 1);
    let with_trailer = [deflated.as_slice(), b"more"].concat();
    let bytes = sized_snapshot(&with_trailer, content.len());
    assert_refused(&bytes, "the declared size");
    let long = [content.as_slice(), b"more"].concat();
    assert_refused(&deflated_snapshot(&long, long.len()), "trailing bytes");
}

/// Changes the content of a snapshot and recomputes its digest.
fn forge_snapshot(bytes: &[u8], changes: &[(u16, u8)], plain: bool) -> Vec<u8> {
    let deflated = &bytes[SNAPSHOT_HEADER_BYTES..];
    let mut content = miniz_oxide::inflate::decompress_to_vec(deflated).unwrap();
    for (position, value) in changes {
        let index = usize::from(*position) % content.len();
        content[index] = *value;
    }
    if plain {
        return plain_snapshot(&content);
    }
    deflated_snapshot(&content, content.len())
}

#[test]
fn forged_snapshots_are_rejected_or_valid() {
    fn holds(changes: Vec<(u16, u8)>, plain: bool) -> bool {
        let mut log = template_log();
        let mut state = log.state();
        for number in 1..4 {
            let body = change(
                number,
                "mona",
                state.base(),
                vec![set_rate("gold", "deals", 9)],
            );
            state.apply(&log.append(&body)).unwrap();
        }
        let forged = StateSnapshot::of(&state).encode().unwrap();
        let forged = forge_snapshot(&forged, &changes, plain);
        let Ok(snapshot) = StateSnapshot::decode(&forged) else {
            return true;
        };
        let mut forged = snapshot.into_state();
        let next = ConfigRecord {
            offset: forged.next_offset(),
            ..log.records[0].clone()
        };
        // The results don't matter: no call may panic, and the lists must stay valid.
        drop(forged.apply(&next));
        drop(forged.undo(forged.version(), meta(9, "omar", "")));
        drop(forged.check_lineage(&state));
        drop(state.check_lineage(&forged));
        forged.lists().validate().is_ok()
            && RouteTable::build(&forged).version() == forged.version()
    }
    QuickCheck::new()
        .tests(800)
        .quickcheck(holds as fn(Vec<(u16, u8)>, bool) -> bool);
}
