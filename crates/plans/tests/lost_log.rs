//! Recovery of a log whose first records have expired, and detection of a different log.

mod support;

use model::{ConfigVersion, ErrorKind, LogOffset};
use quetzal_plans::{
    ChangeFingerprint, ChangeVerdict, ConfigRecord, ConfigReplica, ConfigState, LogRecovery,
    RebaseRecord, StateHead, StreamRecord, UpdateOutcome,
};
use support::{change, meta, set_rate, template_lists, template_log};

/// Returns the version with the given number, starting at 1; its text is one less, like an offset.
fn version(number: u64) -> ConfigVersion {
    ConfigVersion::at(LogOffset(number - 1))
}

#[test]
fn max_version_covers_versions_named_by_records_after_an_expired_start() {
    let mut log = template_log();
    let rebase = RebaseRecord::new(
        version(1),
        version(5000),
        template_lists(),
        meta(90, "hala", "lost once before"),
    );
    log.append(&StreamRecord::Rebase(rebase).encode().unwrap());
    for number in 1..4 {
        let edits = vec![set_rate("gold", "deals", 80 + number as u32)];
        log.append(&change(number, "mona", log.state().base(), edits));
    }
    let last_version = log.state().base();
    assert_eq!(last_version, version(5003));
    let mut recovery = LogRecovery::new(StateHead::default(), LogOffset(3));
    assert_eq!(recovery.max_version(), version(3));
    for record in &log.records[3..] {
        assert_eq!(recovery.fold(record), Ok(None));
    }
    assert_eq!(recovery.max_version(), last_version);
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
fn a_fingerprint_distinguishes_logs_of_equal_length() {
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
    let fingerprint = log.state().fingerprint_at(version(3)).unwrap();
    assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
    assert_eq!(log.state().check_fingerprint(&fingerprint), Ok(()));
    let error = other.state().check_fingerprint(&fingerprint).unwrap_err();
    assert_eq!(error.kind, ErrorKind::LogDiverged);
    // Both logs start with the same record.
    let first = log.state().fingerprint_at(version(1)).unwrap();
    assert_eq!(other.state().check_fingerprint(&first), Ok(()));
    for malformed in ["", "3", "3:", "3:12", "x:00000000000000000000000000000000"] {
        assert!(
            malformed.parse::<ChangeFingerprint>().is_err(),
            "{malformed}"
        );
    }
}

#[test]
fn a_replica_that_refuses_the_rebase_adopts_it_from_peers() {
    let mut log = template_log();
    let edits = |rate| vec![set_rate("gold", "deals", rate)];
    let earlier_rebase = RebaseRecord::new(
        version(1),
        version(1000),
        template_lists(),
        meta(90, "hala", "lost once before"),
    );
    log.append(&StreamRecord::Rebase(earlier_rebase).encode().unwrap());
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
    // All records before offset 4 have expired, so the author knows the offset of the last
    // record, but not its version. The base of the second rebase is therefore lower than the
    // version of the first one, and `ahead` refuses it as too old.
    let mut recovery = LogRecovery::new(StateHead::default(), LogOffset(4));
    recovery.fold(&log.records[4]).unwrap();
    let rebase_version = ConfigVersion::at(LogOffset(recovery.max_version().number() + 1000));
    let rebase = RebaseRecord::new(
        recovery.base(),
        rebase_version,
        template_lists(),
        meta(91, "hala", "gap"),
    );
    let record = log.append(&StreamRecord::Rebase(rebase).encode().unwrap());
    let recovered = recovery.fold(&record).unwrap().unwrap();
    let verdict = ahead.fold(record).unwrap();
    assert!(matches!(verdict, ChangeVerdict::Refused(_)), "{verdict:?}");
    assert!(ahead.head().is_behind(&recovered.head()));
    assert_eq!(
        ahead.adopt_state(recovered.clone()),
        Ok(UpdateOutcome::Advanced)
    );
    assert_eq!(ahead.state(), &recovered);
}

// Guards against a state that a reader without a snapshot takes over from a rebase and that every other
// reader refuses.
#[test]
fn a_rebase_that_the_fold_refuses_is_not_a_start() {
    let start = |edit: fn(&mut RebaseRecord)| {
        let mut rebase = RebaseRecord::new(
            version(1),
            version(5000),
            template_lists(),
            meta(90, "hala", "lost once before"),
        );
        edit(&mut rebase);
        let record = ConfigRecord {
            offset: LogOffset(1),
            at: std::time::SystemTime::UNIX_EPOCH,
            body: StreamRecord::Rebase(rebase).encode().unwrap().into(),
        };
        ConfigState::from_rebase(&record).map(|state| state.version())
    };
    assert_eq!(start(|_| ()).unwrap(), version(5000));
    let edits: [fn(&mut RebaseRecord); 4] = [
        |rebase| rebase.rules = 9,
        |rebase| rebase.rules = 0,
        |rebase| rebase.version = version(1 << 60),
        |rebase| rebase.version = version(1),
    ];
    for (index, edit) in edits.into_iter().enumerate() {
        let error = start(edit).expect_err("refused");
        assert_eq!(error.kind, ErrorKind::ChangeRefused, "edit {index}");
    }
}
