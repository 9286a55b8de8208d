//! Sessions of several operators, checked against golden files.

mod support;

use std::fmt::Write;

use model::{ConfigVersion, LogOffset};
use quetzal_plans::StateSnapshot;
use quetzal_plans::change::RULES_VERSION;
use quetzal_plans::merge::merge_lists;
use quetzal_plans::{
    ChangeRecord, ChangeVerdict, ConfigLists, ConfigState, LogRecovery, RebaseRecord, RulesRecord,
    StreamRecord,
};
use support::{
    LogStub, change, first_change, meta, service, set_plan, set_rate, template_lists, template_log,
};

/// A log, the state of a reader and a transcript of what operators would see.
struct Session {
    log: LogStub,
    state: ConfigState,
    transcript: String,
}

impl Session {
    fn new() -> Self {
        let mut session = Self {
            log: LogStub::default(),
            state: ConfigState::new(),
            transcript: String::new(),
        };
        session.append("mona publishes the first lists", &first_change());
        session
    }

    fn print(&mut self, line: &str) {
        writeln!(self.transcript, "{line}").unwrap();
    }

    fn append(&mut self, what: &str, body: &[u8]) -> ChangeVerdict {
        let record = self.log.append(body);
        let verdict = self.state.apply(&record).unwrap();
        self.print(&format!("# {what} (offset {})", record.offset));
        match &verdict {
            ChangeVerdict::Accepted { version } => {
                self.print(&format!("accepted: version {version}"));
            }
            ChangeVerdict::Repeated { of } => self.print(&format!("repeated: version {of}")),
            ChangeVerdict::Ignored => self.print("ignored"),
            ChangeVerdict::Refused(refusal) => {
                self.print(&format!("refused: {}: {}", refusal.kind, refusal.reason));
                if let Some(conflict) = &refusal.conflict {
                    let (author, version) = (&conflict.author, conflict.version);
                    self.print(&format!(
                        "{author} in version {version}:\n{}",
                        conflict.diff.trim_end()
                    ));
                }
            }
        }
        self.print(&format!("in force: {}", self.state.version()));
        verdict
    }
}

#[test]
fn concurrent_changes_conflict_only_on_the_same_entry() {
    let mut session = Session::new();
    let base = session.state.base();
    let mona = change(1, "mona", base, vec![set_rate("gold", "deals", 80)]);
    let omar = change(
        2,
        "omar",
        base,
        vec![set_plan("agency-tarek", Some("gold"))],
    );
    let hala = vec![
        set_rate("gold", "deals", 60),
        set_plan("agency-new", Some("silver")),
    ];
    let hala = change(3, "hala", base, hala);
    let same = change(4, "omar", base, vec![set_rate("gold", "deals", 80)]);
    session.append("mona raises a rate", &mona);
    session.append("omar changes a customer's plan, from the same base", &omar);
    session.append(
        "hala sets the rate that mona set, from the same base",
        &hala,
    );
    session.append("omar sets the rate to mona's value", &same);
    let retry = vec![
        set_rate("gold", "deals", 60),
        set_plan("agency-new", Some("silver")),
    ];
    let retry = change(5, "hala", session.state.base(), retry);
    session.append("hala pulls and publishes again", &retry);
    insta::assert_snapshot!(session.transcript);
}

#[test]
fn a_repeated_append_counts_once() {
    let mut session = Session::new();
    let base = session.state.base();
    let body = change(1, "mona", base, vec![set_rate("gold", "deals", 80)]);
    session.append("mona raises a rate; the response is lost", &body);
    let other = change(
        2,
        "omar",
        session.state.base(),
        vec![set_rate("gold", "deals", 10)],
    );
    session.append("omar lowers it", &other);
    session.append("mona's command retries the append", &body);
    let invalid = change(
        3,
        "hala",
        session.state.base(),
        vec![set_plan("agency-new", Some("tin"))],
    );
    session.append("hala assigns a plan that is not defined", &invalid);
    session.append("hala's command retries the append", &invalid);
    let outcomes = [1, 2, 3, 9].map(|number| session.state.outcome_of(support::change_id(number)));
    session.print(&format!("{outcomes:#?}"));
    insta::assert_snapshot!(session.transcript);
}

#[test]
fn invalid_records_are_refused_as_a_whole() {
    let mut session = Session::new();
    let base = session.state.base();
    let mut removed = template_lists();
    removed
        .allowances
        .services
        .remove(&"deals".parse().unwrap());
    let edits = template_lists().edits_to(&removed);
    let ahead = ConfigVersion::at(LogOffset(40));
    session.append("bytes that are not a record", b"\x00\xff{");
    session.append("an empty record", b"");
    session.append(
        "an unknown field",
        br#"{"change":{"rules":1,"hurry":true}}"#,
    );
    session.append(
        "rules that are not permitted",
        br#"{"change":{"rules":2,"hurry":true}}"#,
    );
    session.append(
        "no edits",
        br#"{"change":{"rules":1,"id":"0198c0de-0000-7000-8000-00000000000f",
        "author":"mona","base":"0","note":"","edits":[]}}"#,
    );
    let mixed = vec![set_rate("gold", "deals", 80), set_plan("new", Some("tin"))];
    session.append(
        "one valid edit and an invalid one",
        &change(1, "mona", base, mixed),
    );
    session.append(
        "a service that plans still use",
        &change(2, "mona", base, edits),
    );
    session.append(
        "a rate of zero",
        &change(3, "mona", base, vec![set_rate("gold", "deals", 0)]),
    );
    session.append(
        "a base in the future",
        &change(4, "mona", ahead, vec![set_plan("a", Some("gold"))]),
    );
    assert_eq!(*session.state.lists(), template_lists());
    insta::assert_snapshot!(session.transcript);
}

#[test]
fn undo_reverts_entries_that_were_not_changed_since() {
    let mut session = Session::new();
    let edits = vec![
        set_rate("gold", "deals", 80),
        set_plan("agency-tarek", None),
    ];
    let body = change(1, "mona", session.state.base(), edits);
    session.append("mona raises a rate and removes a customer", &body);
    let version = session.state.version();
    session.print(&session.state.diff_of(version).unwrap());
    let undo = session
        .state
        .undo(version, meta(2, "omar", "undo 1"))
        .unwrap();
    session.append("omar reverts it", &undo.encode().unwrap());
    assert_eq!(*session.state.lists(), template_lists());
    let again = session
        .state
        .undo(version, meta(3, "omar", "undo 1"))
        .unwrap_err();
    session.print(&format!("undo of {version} again: {again}"));
    let unknown = ConfigVersion::at(LogOffset(40));
    let unknown = session
        .state
        .undo(unknown, meta(3, "omar", "undo 40"))
        .unwrap_err();
    session.print(&format!("undo of 40: {unknown}"));
    let history = session.state.history().map(|change| {
        let (version, author, note) = (change.version, &change.author, &change.note);
        format!("{version} {author} {} entries: {note}", change.before.len())
    });
    let history: Vec<String> = history.collect();
    session.print(&history.join("\n"));
    insta::assert_snapshot!(session.transcript);
}

#[test]
fn a_folder_with_an_old_base_does_not_revert_others() {
    let mut session = Session::new();
    let base = session.state.base();
    let other = change(1, "omar", base, vec![set_rate("gold", "deals", 80)]);
    session.append("omar raises a rate", &other);
    let mut wanted = template_lists();
    wanted.set_entry(&set_plan("agency-new", Some("silver")));
    let meta = meta(2, "mona", "a new agency");
    let own = ChangeRecord::between(&session.state, base, &wanted, meta).unwrap();
    assert_eq!(own.edits, [set_plan("agency-new", Some("silver"))]);
    let verdict = session.append(
        "mona publishes a folder with an older base",
        &own.encode().unwrap(),
    );
    assert!(matches!(verdict, ChangeVerdict::Accepted { .. }));
    let rate = session
        .state
        .lists()
        .entry(&support::allowance("gold", "deals"));
    assert_eq!(rate, set_rate("gold", "deals", 80).after);
}

#[test]
fn a_merge_combines_accepted_changes_and_local_edits() {
    let base = template_lists();
    let with = |edits: &[quetzal_plans::EntryEdit]| {
        let mut lists = base.clone();
        for edit in edits {
            lists.set_entry(edit);
        }
        lists
    };
    let rate = |rate| set_rate("gold", "deals", rate);
    let own_edits = [
        rate(60),
        set_plan("agency-new", Some("gold")),
        set_rate("gold", "studio", 9),
    ];
    let other_edits = [
        rate(80),
        set_plan("agency-tarek", None),
        set_rate("gold", "studio", 9),
    ];
    let merge = merge_lists(&base, &with(&own_edits), &with(&other_edits));
    assert_eq!(merge.incoming_edits, [set_plan("agency-tarek", None)]);
    assert_eq!(merge.local_edits, [set_plan("agency-new", Some("gold"))]);
    let conflicts: Vec<_> = merge
        .conflicts
        .iter()
        .map(|conflict| &conflict.entry)
        .collect();
    assert_eq!(conflicts, [&rate(0).entry]);
    assert_eq!(merge.lists.entry(&rate(0).entry), rate(60).after);
    let unchanged = merge_lists(&base, &base, &with(&other_edits));
    assert_eq!(unchanged.lists, with(&other_edits));
}

#[test]
fn a_rebase_continues_on_a_log_that_was_started_over() {
    let mut old = template_log();
    for number in 1..6 {
        let base = old.state().base();
        old.append(&change(
            number,
            "mona",
            base,
            vec![set_rate("gold", "deals", 80 + number as u32)],
        ));
    }
    let mut held = quetzal_plans::ConfigReplica::from_state(old.state());
    let mut session = Session::new();
    session.append(
        "omar publishes without knowing of the loss",
        &change(
            20,
            "omar",
            ConfigVersion::at(LogOffset(3)),
            vec![set_plan("agency-new", Some("gold"))],
        ),
    );
    let diverged = held
        .state()
        .check_bounds(LogOffset(0), session.state.next_offset());
    session.print(&format!("the reader: {}", diverged.unwrap_err()));
    let adopted = held.adopt_state(session.state.clone());
    session.print(&format!("the new log's state: {adopted:?}"));
    let rebase = |number, base, version: u64| {
        let version = ConfigVersion::at(LogOffset(version));
        let meta = meta(number, "hala", "log lost");
        let record = RebaseRecord::new(base, version, held.state().lists().clone(), meta);
        StreamRecord::Rebase(record).encode().unwrap()
    };
    let low = rebase(21, session.state.base(), 1);
    let stale = rebase(22, ConfigVersion::NONE, 100);
    session.append("a rebase that does not move the version forward", &low);
    session.append("a rebase whose base precedes mona's change", &stale);
    let valid = rebase(23, session.state.base(), 100);
    session.append("a rebase", &valid);
    session.append("the same rebase again, after a lost response", &valid);
    let adopted = held.adopt_state(session.state.clone());
    session.print(&format!("the rebased state: {adopted:?}"));
    assert_eq!(held.state(), &session.state);
    let next = change(
        24,
        "mona",
        session.state.base(),
        vec![set_rate("gold", "deals", 7)],
    );
    session.append("mona publishes", &next);
    let mut recovery = LogRecovery::new(old.state().head(), LogOffset(2));
    let records = session.log.records[2..].iter();
    let found: Vec<_> = records
        .map(|record| recovery.fold(record).unwrap())
        .collect();
    let recovered: Vec<bool> = found.iter().map(Option::is_some).collect();
    session.print(&format!(
        "a reader that lacks the first two records: {recovered:?}"
    ));
    let last = found.last().unwrap().as_ref().unwrap();
    assert_eq!(last, &session.state);
    insta::assert_snapshot!(session.transcript);
}

#[test]
fn rules_of_a_later_release_stop_folding() {
    let mut log = template_log();
    let mut state = log.state();
    let rules = |permit| {
        StreamRecord::Rules(RulesRecord {
            rules: 1,
            id: support::change_id(7),
            author: "mona".parse().unwrap(),
            permit,
        })
    };
    let skipped = log.append(&rules(RULES_VERSION + 2).encode().unwrap());
    assert!(matches!(
        state.apply(&skipped).unwrap(),
        ChangeVerdict::Refused(_)
    ));
    let mut other = log.clone();
    let next = other.append(
        &StreamRecord::Rules(RulesRecord {
            id: support::change_id(8),
            ..match rules(RULES_VERSION + 1) {
                StreamRecord::Rules(record) => record,
                _ => unreachable!(),
            }
        })
        .encode()
        .unwrap(),
    );
    let before = state.clone();
    let error = state.apply(&next).unwrap_err();
    assert_eq!(error.kind, model::ErrorKind::RulesUnknown);
    assert_eq!(state, before);
}

#[test]
fn a_change_must_follow_its_base_within_the_window() {
    let mut log = template_log();
    let mut state = log.state();
    let base = state.base();
    let body = change(1, "mona", base, vec![set_rate("gold", "deals", 80)]);
    state.apply(&log.append(&body)).unwrap();
    let window = quetzal_plans::history::CHANGE_WINDOW;
    for number in 0..=window {
        let rate = 100 + number as u32;
        let next = change(
            10 + number,
            "omar",
            state.base(),
            vec![set_rate("gold", "studio", rate)],
        );
        let verdict = state.apply(&log.append(&next)).unwrap();
        assert!(matches!(verdict, ChangeVerdict::Accepted { .. }));
    }
    let late = state.apply(&log.append(&body)).unwrap();
    let ChangeVerdict::Refused(refusal) = late else {
        panic!("a repeat past the window was not refused: {late:?}");
    };
    assert_eq!(
        &*refusal.reason,
        "base 0 is too old to compare; pull and publish again"
    );
    let fresh = change(
        9999,
        "mona",
        state.base(),
        vec![set_rate("gold", "deals", 90)],
    );
    let verdict = state.apply(&log.append(&fresh)).unwrap();
    assert!(matches!(verdict, ChangeVerdict::Accepted { .. }));
    assert!(state.history().count() as u64 <= window + 1);
}

#[test]
fn a_refused_change_is_not_accepted_later() {
    let mut log = template_log();
    let mut state = log.state();
    let base = state.base();
    let early = change(1, "hala", base, vec![set_plan("agency-new", Some("tin"))]);
    state.apply(&log.append(&early)).unwrap();
    let mut tin = set_rate("silver", "deals", 5);
    tin.entry = support::allowance("tin", "deals");
    state
        .apply(&log.append(&change(2, "omar", base, vec![tin])))
        .unwrap();
    for count in 0..=quetzal_plans::history::CHANGE_WINDOW {
        let verdict = state.apply(&log.append(&early)).unwrap();
        assert!(
            matches!(verdict, ChangeVerdict::Refused(_)),
            "repeat {count}: {verdict:?}"
        );
        state.apply(&log.append(b"noise")).unwrap();
    }
}

/// Returns the template with 250 services whose names, paths and methods have the maximum length.
fn large_lists(timeout_ms: u32) -> ConfigLists {
    let mut lists = template_lists();
    let name = "deals".parse().unwrap();
    let mut spec = lists.allowances.services[&name].clone();
    spec.timeout_ms = timeout_ms;
    let letters = (b'A'..=b'P').map(char::from);
    let method = spec.methods.values().next().copied().unwrap();
    spec.methods = letters
        .map(|letter| (letter.to_string().repeat(16).parse().unwrap(), method))
        .collect();
    for index in 0..250 {
        let service = format!("{index:064}");
        spec.path = format!("/{index:0127}").into();
        lists
            .allowances
            .services
            .insert(service.parse().unwrap(), spec.clone());
    }
    lists
}

#[test]
fn the_largest_state_still_fits_a_snapshot() {
    let mut log = template_log();
    let mut state = log.state();
    for number in 1..12 {
        let wanted = large_lists(number as u32);
        let meta = meta(number, &"m".repeat(64), &"n".repeat(256));
        let change = ChangeRecord::between(&state, state.base(), &wanted, meta).unwrap();
        let verdict = state.apply(&log.append(&change.encode().unwrap())).unwrap();
        assert!(matches!(verdict, ChangeVerdict::Accepted { .. }));
    }
    // Each change has 250 edits, so the retained ones come close to `MAX_RECENT_EDITS`.
    let retained: usize = state.history().map(|change| change.before.len()).sum();
    assert!((1900..=2048).contains(&retained), "{retained}");
    let bytes = StateSnapshot::of(&state).encode().unwrap();
    let deflated = &bytes[support::SNAPSHOT_HEADER_BYTES..];
    let content = miniz_oxide::inflate::decompress_to_vec(deflated).unwrap();
    assert!(content.len() < quetzal_plans::snapshot::MAX_SNAPSHOT_BYTES / 2);
    assert_eq!(StateSnapshot::decode(&bytes).unwrap().into_state(), state);
}

#[test]
fn timestamps_finer_than_a_millisecond_do_not_change_the_state() {
    let log = template_log();
    let mut finer = log.records[0].clone();
    finer.at += std::time::Duration::from_micros(999);
    let mut state = ConfigState::new();
    state.apply(&finer).unwrap();
    assert_eq!(state, log.state());
}

#[test]
fn refused_records_do_not_block_publishing() {
    let mut log = template_log();
    let mut state = log.state();
    for _ in 0..2 * quetzal_plans::history::CHANGE_WINDOW {
        state.apply(&log.append(b"noise")).unwrap();
    }
    let wanted: ConfigLists = {
        let mut lists = state.lists().clone();
        lists.set_entry(&set_plan("agency-new", Some("gold")));
        lists
    };
    let meta = meta(1, "mona", "");
    let own = ChangeRecord::between(&state, state.base(), &wanted, meta).unwrap();
    let verdict = state.apply(&log.append(&own.encode().unwrap())).unwrap();
    assert!(matches!(verdict, ChangeVerdict::Accepted { .. }));
    assert!(state.lists().entry(&service("deals")).is_some());
}
