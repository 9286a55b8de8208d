//! Whole sessions of operators, as golden files.

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
    LogStub, change, first_change, hold_plan, meta, service, set_rate, template_log, template_pair,
};

/// A log, the state of its reader, and what an operator would see.
struct Session {
    log: LogStub,
    state: ConfigState,
    text: String,
}

impl Session {
    fn new() -> Self {
        let mut session = Self {
            log: LogStub::default(),
            state: ConfigState::new(),
            text: String::new(),
        };
        session.append("mona publishes the first lists", &first_change());
        session
    }

    fn say(&mut self, line: &str) {
        writeln!(self.text, "{line}").unwrap();
    }

    fn append(&mut self, what: &str, body: &[u8]) -> ChangeVerdict {
        let record = self.log.append(body);
        let verdict = self.state.apply(&record).unwrap();
        self.say(&format!("# {what} (offset {})", record.offset));
        match &verdict {
            ChangeVerdict::Accepted { version } => {
                self.say(&format!("accepted: version {version}"));
            }
            ChangeVerdict::Repeated { of } => self.say(&format!("repeated: version {of}")),
            ChangeVerdict::Ignored => self.say("ignored"),
            ChangeVerdict::Refused(refusal) => {
                self.say(&format!("refused: {}: {}", refusal.kind, refusal.reason));
                if let Some(conflict) = &refusal.conflict {
                    let (author, version) = (&conflict.author, conflict.version);
                    self.say(&format!(
                        "{author} in version {version}:\n{}",
                        conflict.diff.trim_end()
                    ));
                }
            }
        }
        self.say(&format!("in force: {}", self.state.version()));
        verdict
    }
}

#[test]
fn two_operators_race() {
    let mut session = Session::new();
    let base = session.state.base();
    let mona = change(1, "mona", base, vec![set_rate("gold", "deals", 80)]);
    let omar = change(
        2,
        "omar",
        base,
        vec![hold_plan("agency-tarek", Some("gold"))],
    );
    let hala = vec![
        set_rate("gold", "deals", 60),
        hold_plan("agency-new", Some("silver")),
    ];
    let hala = change(3, "hala", base, hala);
    let same = change(4, "omar", base, vec![set_rate("gold", "deals", 80)]);
    session.append("mona raises a rate", &mona);
    session.append("omar moves a customer, upon the same base", &omar);
    session.append(
        "hala sets the rate that mona set, upon the same base",
        &hala,
    );
    session.append("omar sets the rate to what mona made it", &same);
    let retry = vec![
        set_rate("gold", "deals", 60),
        hold_plan("agency-new", Some("silver")),
    ];
    let retry = change(5, "hala", session.state.base(), retry);
    session.append("hala pulls and publishes again", &retry);
    insta::assert_snapshot!(session.text);
}

#[test]
fn an_answer_is_lost_and_the_append_repeated() {
    let mut session = Session::new();
    let base = session.state.base();
    let body = change(1, "mona", base, vec![set_rate("gold", "deals", 80)]);
    session.append("mona raises a rate; the answer is lost", &body);
    let other = change(
        2,
        "omar",
        session.state.base(),
        vec![set_rate("gold", "deals", 10)],
    );
    session.append("omar lowers it", &other);
    session.append("mona's command appends again", &body);
    let bad = change(
        3,
        "hala",
        session.state.base(),
        vec![hold_plan("agency-new", Some("tin"))],
    );
    session.append("hala names a plan that is not defined", &bad);
    session.append("hala's command appends again", &bad);
    let outcomes = [1, 2, 3, 9].map(|number| session.state.outcome_of(support::change_id(number)));
    session.say(&format!("{outcomes:#?}"));
    insta::assert_snapshot!(session.text);
}

#[test]
fn bad_records_are_refused_whole() {
    let mut session = Session::new();
    let base = session.state.base();
    let mut removed = template_pair();
    removed
        .allowances
        .services
        .remove(&"deals".parse().unwrap());
    let edits = template_pair().edits_to(&removed);
    let ahead = ConfigVersion::at(LogOffset(40));
    session.append("bytes that are no record", b"\x00\xff{");
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
    let good_and_bad = vec![set_rate("gold", "deals", 80), hold_plan("new", Some("tin"))];
    session.append(
        "one good edit and a bad one",
        &change(1, "mona", base, good_and_bad),
    );
    session.append(
        "a service that plans still use",
        &change(2, "mona", base, edits),
    );
    session.append(
        "a rate of none",
        &change(3, "mona", base, vec![set_rate("gold", "deals", 0)]),
    );
    session.append(
        "a base to come",
        &change(4, "mona", ahead, vec![hold_plan("a", Some("gold"))]),
    );
    assert_eq!(*session.state.lists(), template_pair());
    insta::assert_snapshot!(session.text);
}

#[test]
fn undo_takes_back_what_nobody_changed_since() {
    let mut session = Session::new();
    let edits = vec![
        set_rate("gold", "deals", 80),
        hold_plan("agency-tarek", None),
    ];
    let body = change(1, "mona", session.state.base(), edits);
    session.append("mona raises a rate and removes a customer", &body);
    let version = session.state.version();
    session.say(&session.state.diff_of(version).unwrap());
    let undo = session
        .state
        .undo(version, meta(2, "omar", "undo 1"))
        .unwrap();
    session.append("omar takes it back", &undo.encode().unwrap());
    assert_eq!(*session.state.lists(), template_pair());
    let again = session
        .state
        .undo(version, meta(3, "omar", "undo 1"))
        .unwrap_err();
    session.say(&format!("undo of {version} again: {again}"));
    let unknown = ConfigVersion::at(LogOffset(40));
    let unknown = session
        .state
        .undo(unknown, meta(3, "omar", "undo 40"))
        .unwrap_err();
    session.say(&format!("undo of 40: {unknown}"));
    let history = session.state.history().map(|change| {
        let (version, author, note) = (change.version, &change.author, &change.note);
        format!("{version} {author} {} entries: {note}", change.before.len())
    });
    let history: Vec<String> = history.collect();
    session.say(&history.join("\n"));
    insta::assert_snapshot!(session.text);
}

#[test]
fn a_folder_with_an_old_base_does_not_revert_others() {
    let mut session = Session::new();
    let base = session.state.base();
    let other = change(1, "omar", base, vec![set_rate("gold", "deals", 80)]);
    session.append("omar raises a rate", &other);
    let mut wanted = template_pair();
    wanted.set_entry(&hold_plan("agency-new", Some("silver")));
    let meta = meta(2, "mona", "a new agency");
    let own = ChangeRecord::between(&session.state, base, &wanted, meta).unwrap();
    assert_eq!(own.edits, [hold_plan("agency-new", Some("silver"))]);
    let verdict = session.append("mona publishes her older folder", &own.encode().unwrap());
    assert!(matches!(verdict, ChangeVerdict::Accepted { .. }));
    let rate = session
        .state
        .lists()
        .entry(&support::allowance("gold", "deals"));
    assert_eq!(rate, set_rate("gold", "deals", 80).after);
}

#[test]
fn a_folder_takes_what_others_changed_and_keeps_its_edits() {
    let base = template_pair();
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
        hold_plan("agency-new", Some("gold")),
        set_rate("gold", "studio", 9),
    ];
    let other_edits = [
        rate(80),
        hold_plan("agency-tarek", None),
        set_rate("gold", "studio", 9),
    ];
    let merge = merge_lists(&base, &with(&own_edits), &with(&other_edits));
    assert_eq!(merge.incoming_edits, [hold_plan("agency-tarek", None)]);
    assert_eq!(merge.local_edits, [hold_plan("agency-new", Some("gold"))]);
    let clashes: Vec<_> = merge.conflicts.iter().map(|clash| &clash.entry).collect();
    assert_eq!(clashes, [&rate(0).entry]);
    assert_eq!(merge.lists.entry(&rate(0).entry), rate(60).after);
    let unchanged = merge_lists(&base, &base, &with(&other_edits));
    assert_eq!(unchanged.lists, with(&other_edits));
}

#[test]
fn a_rebase_goes_on_with_a_log_that_began_anew() {
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
        "omar publishes, unaware",
        &change(
            20,
            "omar",
            ConfigVersion::at(LogOffset(3)),
            vec![hold_plan("agency-new", Some("gold"))],
        ),
    );
    let diverged = held
        .state()
        .check_bounds(LogOffset(0), session.state.next_offset());
    session.say(&format!("the reader: {}", diverged.unwrap_err()));
    let taken = held.adopt_state(session.state.clone());
    session.say(&format!("the new log's state: {taken:?}"));
    let rebase = |number, base, version: u64| {
        let version = ConfigVersion::at(LogOffset(version));
        let meta = meta(number, "hala", "log lost");
        let record = RebaseRecord::new(base, version, held.state().lists().clone(), meta);
        StreamRecord::Rebase(record).encode().unwrap()
    };
    let low = rebase(21, session.state.base(), 1);
    let stale = rebase(22, ConfigVersion::NONE, 100);
    session.append("a rebase that moves no version forward", &low);
    session.append("a rebase that does not know of mona's change", &stale);
    let right = rebase(23, session.state.base(), 100);
    session.append("a rebase", &right);
    session.append("the same rebase, its answer lost", &right);
    let taken = held.adopt_state(session.state.clone());
    session.say(&format!("the rebased state: {taken:?}"));
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
    let started: Vec<bool> = found.iter().map(Option::is_some).collect();
    session.say(&format!(
        "a reader that misses the first two records: {started:?}"
    ));
    let last = found.last().unwrap().as_ref().unwrap();
    assert_eq!(last, &session.state);
    insta::assert_snapshot!(session.text);
}

#[test]
fn rules_of_a_later_release_stop_this_one() {
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
fn a_change_must_come_within_the_window_of_its_base() {
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
    let early = change(1, "hala", base, vec![hold_plan("agency-new", Some("tin"))]);
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

/// The lists of the template and services as large as the rules allow.
fn large_lists(timeout_ms: u32) -> ConfigLists {
    let mut pair = template_pair();
    let name = "deals".parse().unwrap();
    let mut rule = pair.allowances.services[&name].clone();
    rule.timeout_ms = timeout_ms;
    let letters = (b'A'..=b'P').map(char::from);
    let method = rule.methods.values().next().copied().unwrap();
    rule.methods = letters
        .map(|letter| (letter.to_string().repeat(16).parse().unwrap(), method))
        .collect();
    for index in 0..250 {
        let service = format!("{index:064}");
        rule.path = format!("/{index:0127}").into();
        pair.allowances
            .services
            .insert(service.parse().unwrap(), rule.clone());
    }
    pair
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
    let remembered: usize = state.history().map(|change| change.before.len()).sum();
    assert!((1900..=2048).contains(&remembered), "{remembered}");
    let bytes = StateSnapshot::of(&state).encode().unwrap();
    let deflated = &bytes[support::SNAPSHOT_HEAD_BYTES..];
    let content = miniz_oxide::inflate::decompress_to_vec(deflated).unwrap();
    assert!(content.len() < quetzal_plans::snapshot::MAX_SNAPSHOT_BYTES / 2);
    assert_eq!(StateSnapshot::decode(&bytes).unwrap().into_state(), state);
}

#[test]
fn readers_that_see_finer_times_agree_with_the_others() {
    let log = template_log();
    let mut finer = log.records[0].clone();
    finer.at += std::time::Duration::from_micros(999);
    let mut state = ConfigState::new();
    state.apply(&finer).unwrap();
    assert_eq!(state, log.state());
}

#[test]
fn refused_records_alone_never_block_publishing() {
    let mut log = template_log();
    let mut state = log.state();
    for _ in 0..2 * quetzal_plans::history::CHANGE_WINDOW {
        state.apply(&log.append(b"noise")).unwrap();
    }
    let wanted: ConfigLists = {
        let mut pair = state.lists().clone();
        pair.set_entry(&hold_plan("agency-new", Some("gold")));
        pair
    };
    let meta = meta(1, "mona", "");
    let own = ChangeRecord::between(&state, state.base(), &wanted, meta).unwrap();
    let verdict = state.apply(&log.append(&own.encode().unwrap())).unwrap();
    assert!(matches!(verdict, ChangeVerdict::Accepted { .. }));
    assert!(state.lists().entry(&service("deals")).is_some());
}
