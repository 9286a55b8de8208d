//! Snapshots of both encodings, and bytes that only look like one.

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
    SNAPSHOT_HEAD_BYTES, change, deflated_snapshot, meta, plain_snapshot, set_rate, sized_snapshot,
    template_log,
};

fn content() -> Vec<u8> {
    let bytes = StateSnapshot::of(&template_log().state()).encode().unwrap();
    miniz_oxide::inflate::decompress_to_vec(&bytes[SNAPSHOT_HEAD_BYTES..]).unwrap()
}

fn assert_refused(bytes: &[u8], reason: &str) {
    let refused = StateSnapshot::decode(bytes).unwrap_err();
    assert_eq!(refused.kind, ErrorKind::SnapshotInvalid);
    assert!(refused.detail.contains(reason), "{}", refused.detail);
}

#[test]
fn both_encodings_lead_to_one_state_and_others_are_refused() {
    let state = template_log().state();
    let content = content();
    for bytes in [
        plain_snapshot(&content),
        deflated_snapshot(&content, content.len()),
    ] {
        let read = StateSnapshot::decode(&bytes).unwrap().into_state();
        assert_eq!(read, state);
        let mut other = bytes;
        other[3] = b'3';
        assert_refused(&other, "another format");
    }
    assert_refused(b"QZS2", "cut short");
}

#[test]
fn a_state_that_grows_beyond_its_bound_or_claim_is_refused() {
    let zeros = vec![0; 64 << 20];
    assert_refused(&deflated_snapshot(&zeros, zeros.len()), "claimed");
    assert_refused(
        &deflated_snapshot(&zeros, MAX_SNAPSHOT_BYTES),
        "the size claimed",
    );
    assert_refused(&deflated_snapshot(&[], MAX_SNAPSHOT_BYTES), "claimed");
    let content = content();
    for size in [0, content.len() - 1, content.len() + 1] {
        assert_refused(&deflated_snapshot(&content, size), "the size claimed");
    }
    let deflated = miniz_oxide::deflate::compress_to_vec(&content, 1);
    let followed = [deflated.as_slice(), b"more"].concat();
    let bytes = sized_snapshot(&followed, content.len());
    assert_refused(&bytes, "the size claimed");
    let long = [content.as_slice(), b"more"].concat();
    assert_refused(&deflated_snapshot(&long, long.len()), "bytes follow");
}

/// A snapshot whose digest is right although its content was changed.
fn forge_snapshot(bytes: &[u8], changes: &[(u16, u8)], plain: bool) -> Vec<u8> {
    let deflated = &bytes[SNAPSHOT_HEAD_BYTES..];
    let mut content = miniz_oxide::inflate::decompress_to_vec(deflated).unwrap();
    for (at, value) in changes {
        let index = usize::from(*at) % content.len();
        content[index] = *value;
    }
    if plain {
        return plain_snapshot(&content);
    }
    deflated_snapshot(&content, content.len())
}

#[test]
fn forged_snapshots_are_refused_or_sound() {
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
        // Whatever the verdict, a forged state neither panics nor breaks the rules.
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
