//! Snapshots of both encodings, and bytes that only look like one.

mod support;

use model::ErrorKind;
use quetzal_plans::StateSnapshot;
use quetzal_plans::snapshot::MAX_SNAPSHOT_BYTES;
use support::{
    SNAPSHOT_HEAD_BYTES, deflated_snapshot, plain_snapshot, sized_snapshot, template_log,
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
