//! Round trips of the shared types and the consistency of the error table.

use std::collections::HashSet;

use quetzal_model::{ConfigVersion, DaemonId, ErrorKind, LogOffset, ServiceName};
use quickcheck::quickcheck;

quickcheck! {
    fn versions_keep_the_order_of_offsets(left: u32, right: u32) -> bool {
        let at = |offset: u32| ConfigVersion::at(LogOffset(offset.into()));
        left.cmp(&right) == at(left).cmp(&at(right))
    }

    fn ids_survive_text(number: u64) -> bool {
        DaemonId(number).to_string().parse() == Ok(DaemonId(number))
    }

    fn names_are_bounded(text: String) -> bool {
        text.parse::<ServiceName>().is_ok_and(|name| name.len() <= 64)
            || text.len() > 64
            || text.is_empty()
            || text.bytes().any(|byte| !byte.is_ascii_alphanumeric())
    }
}

#[test]
fn versions_are_shown_as_offsets() {
    assert_eq!(ConfigVersion::at(LogOffset(418)).to_string(), "418");
    assert_eq!("418".parse(), Ok(ConfigVersion::at(LogOffset(418))));
    assert_eq!("none".parse(), Ok(ConfigVersion::NONE));
}

#[test]
fn kinds_have_names_of_their_own() {
    let names: HashSet<&str> = ErrorKind::ALL
        .iter()
        .map(|kind| kind.properties().name)
        .collect();
    assert_eq!(names.len(), ErrorKind::ALL.len());
}

#[test]
fn a_call_that_may_have_run_is_never_called_not_run() {
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
