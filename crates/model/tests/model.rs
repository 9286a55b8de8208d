//! Round trips of ids and consistency of the error table.

use std::collections::HashSet;

use quetzal_model::{ConfigVersion, DaemonId, ErrorKind, LogOffset, ServiceName};
use quickcheck::quickcheck;

quickcheck! {
    fn versions_are_ordered_like_offsets(left: u32, right: u32) -> bool {
        let at = |offset: u32| ConfigVersion::at(LogOffset(offset.into()));
        left.cmp(&right) == at(left).cmp(&at(right))
    }

    fn daemon_ids_round_trip_through_text(number: u64) -> bool {
        DaemonId(number).to_string().parse() == Ok(DaemonId(number))
    }

    fn name_length_is_bounded(text: String) -> bool {
        text.parse::<ServiceName>().is_ok_and(|name| name.len() <= 64)
            || text.len() > 64
            || text.is_empty()
            || text.bytes().any(|byte| !byte.is_ascii_alphanumeric())
    }
}

#[test]
fn versions_are_displayed_as_offsets() {
    assert_eq!(ConfigVersion::at(LogOffset(418)).to_string(), "418");
    assert_eq!("418".parse(), Ok(ConfigVersion::at(LogOffset(418))));
    assert_eq!("none".parse(), Ok(ConfigVersion::NONE));
}

#[test]
fn error_names_are_unique() {
    let names: HashSet<&str> = ErrorKind::ALL
        .iter()
        .map(|kind| kind.properties().name)
        .collect();
    assert_eq!(names.len(), ErrorKind::ALL.len());
}

#[test]
fn kinds_with_unknown_outcome_are_not_marked_not_run() {
    for kind in [
        ErrorKind::OutcomeUnknown,
        ErrorKind::KeyRunning,
        ErrorKind::KeyUnknown,
        ErrorKind::KeyClosed,
        ErrorKind::AnswerForgotten,
        ErrorKind::TargetFailed,
    ] {
        assert!(!kind.properties().not_run, "{kind}");
    }
}
