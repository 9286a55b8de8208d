//! What is known of a log whose first records expired, and of another log.

mod support;

use model::{ConfigVersion, ErrorKind, LogOffset};
use quetzal_plans::{
    ChangeFingerprint, ChangeVerdict, ConfigReplica, LogRecovery, RebaseRecord, StateHead,
    StreamRecord, UpdateOutcome,
};
use support::{change, meta, set_rate, template_log, template_pair};

fn version(number: u64) -> ConfigVersion {
    ConfigVersion::at(LogOffset(number - 1))
}

#[test]
fn a_rebase_is_set_past_what_records_name_where_the_start_expired() {
    let mut log = template_log();
    let rebase = RebaseRecord::new(
        version(1),
        version(5000),
        template_pair(),
        meta(90, "hala", "lost once before"),
    );
    log.append(&StreamRecord::Rebase(rebase).encode().unwrap());
    for number in 1..4 {
        let edits = vec![set_rate("gold", "deals", 80 + number as u32)];
        log.append(&change(number, "mona", log.state().base(), edits));
    }
    let reached = log.state().base();
    assert_eq!(reached, version(5003));
    let mut recovery = LogRecovery::new(StateHead::default(), LogOffset(3));
    assert_eq!(recovery.max_version(), version(3));
    for record in &log.records[3..] {
        assert_eq!(recovery.fold(record), Ok(None));
    }
    assert_eq!(recovery.max_version(), reached);
    let forged = change(
        9,
        "mona",
        version(u64::MAX),
        vec![set_rate("gold", "deals", 1)],
    );
    let record = log.append(&forged);
    assert_eq!(recovery.fold(&record), Ok(None));
    assert_eq!(recovery.max_version(), version(5004));
}

#[test]
fn a_mark_tells_a_log_from_another_of_equal_length() {
    let mut log = template_log();
    let mut other = template_log();
    for number in 1..4 {
        let edits = |rate| vec![set_rate("gold", "deals", rate)];
        log.append(&change(
            number,
            "mona",
            log.state().base(),
            edits(80 + number as u32),
        ));
        other.append(&change(
            number,
            "omar",
            other.state().base(),
            edits(7 + number as u32),
        ));
    }
    let mark = log.state().fingerprint_at(version(3)).unwrap();
    assert_eq!(mark.to_string().parse(), Ok(mark));
    assert_eq!(log.state().check_fingerprint(&mark), Ok(()));
    let refused = other.state().check_fingerprint(&mark).unwrap_err();
    assert_eq!(refused.kind, ErrorKind::LogDiverged);
    // Both logs began with the same record.
    let first = log.state().fingerprint_at(version(1)).unwrap();
    assert_eq!(other.state().check_fingerprint(&first), Ok(()));
    for broken in ["", "3", "3:", "3:12", "x:00000000000000000000000000000000"] {
        assert!(broken.parse::<ChangeFingerprint>().is_err(), "{broken}");
    }
}

#[test]
fn a_state_beyond_the_gap_that_refuses_the_rebase_takes_it_from_peers() {
    let mut log = template_log();
    let edits = |rate| vec![set_rate("gold", "deals", rate)];
    let shift = RebaseRecord::new(
        version(1),
        version(1000),
        template_pair(),
        meta(90, "hala", "lost once before"),
    );
    log.append(&StreamRecord::Rebase(shift).encode().unwrap());
    let mut ahead = ConfigReplica::new();
    for number in 1..4 {
        log.append(&change(
            number,
            "mona",
            log.state().base(),
            edits(80 + number as u32),
        ));
    }
    for record in &log.records {
        ahead.fold(record.clone()).unwrap();
    }
    // All before offset 4 expired; the author knows the offset alone.
    let mut recovery = LogRecovery::new(StateHead::default(), LogOffset(4));
    recovery.fold(&log.records[4]).unwrap();
    let next = ConfigVersion::at(LogOffset(recovery.max_version().number() + 1000));
    let rebase = RebaseRecord::new(
        recovery.base(),
        next,
        template_pair(),
        meta(91, "hala", "gap"),
    );
    let record = log.append(&StreamRecord::Rebase(rebase).encode().unwrap());
    let found = recovery.fold(&record).unwrap().unwrap();
    let verdict = ahead.fold(record).unwrap();
    assert!(matches!(verdict, ChangeVerdict::Refused(_)), "{verdict:?}");
    assert!(ahead.head().is_behind(&found.head()));
    assert_eq!(
        ahead.adopt_state(found.clone()),
        Ok(UpdateOutcome::Advanced)
    );
    assert_eq!(ahead.state(), &found);
}
