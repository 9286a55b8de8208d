//! Sessions of operators who publish, undo, pull and rebase with the real command.

mod support;

use std::process::Stdio;

use feed::LogFaults;
use support::{TestBed, TestProxy};

/// Runs the command lines in order and returns their transcripts.
fn run_lines(bed: &TestBed, lines: &[&str]) -> String {
    let transcripts = lines.iter().map(|line| {
        let arguments: Vec<&str> = line.split(' ').collect();
        bed.transcript(&arguments)
    });
    transcripts.collect()
}

#[test]
fn lists_are_checked_without_a_daemon() {
    let bed = TestBed::offline();
    let mut text = run_lines(
        &bed,
        &[
            "init lists",
            "init lists",
            "check lists",
            "check lists --json",
        ],
    );
    bed.edit("lists/plans.jsonc", "\"silver\"", "\"silber\"");
    bed.edit(
        "lists/allowances.jsonc",
        "\"rate_per_s\": 20,",
        "\"rate_per_s\": 0,",
    );
    text += &run_lines(
        &bed,
        &[
            "check lists",
            "check lists --json",
            "publish lists",
            "check nowhere",
        ],
    );
    insta::assert_snapshot!(text);
}

#[test]
fn a_deeply_nested_list_is_reported_as_a_mistake() {
    let bed = TestBed::offline();
    run_lines(&bed, &["init lists"]);
    bed.edit("lists/plans.jsonc", "{", &"[".repeat(20_000));
    let text = run_lines(&bed, &["check lists"]);
    assert!(text.contains("nested deeper"), "{text}");
    assert!(text.ends_with("[exit 2]\n\n"), "{text}");
}

#[test]
fn a_change_is_published_and_undone() {
    let bed = TestBed::start();
    let mut text = run_lines(&bed, &["pull lists", "history", "init lists", "diff lists"]);
    text += &run_lines(
        &bed,
        &["publish lists -m first", "publish lists", "diff lists"],
    );
    let before = bed.read("lists/allowances.jsonc");
    bed.edit(
        "lists/allowances.jsonc",
        "\"rate_per_s\": 200",
        "\"rate_per_s\": 250",
    );
    text += &run_lines(
        &bed,
        &[
            "diff lists",
            "publish lists -m more --author omar",
            "history",
            "history -p -n 1",
        ],
    );
    text += &run_lines(
        &bed,
        &[
            "undo 1",
            "undo 1",
            "undo 9",
            "diff lists",
            "pull lists",
            "diff lists",
        ],
    );
    insta::assert_snapshot!(text);
    assert_eq!(bed.read("lists/allowances.jsonc"), before);
    assert!(before.contains("// Longest time for one call."));
}

#[test]
fn operators_race() {
    let bed = TestBed::start();
    run_lines(&bed, &["init a", "publish a"]);
    bed.copy_dir("a", "b");
    bed.copy_dir("a", "c");
    bed.edit(
        "a/allowances.jsonc",
        "\"rate_per_s\": 200",
        "\"rate_per_s\": 250",
    );
    bed.edit(
        "b/plans.jsonc",
        "\"agency-tarek\": { \"plan\": \"silver\" }",
        "\"agency-tarek\": { \"plan\": \"gold\" }",
    );
    bed.edit(
        "c/allowances.jsonc",
        "\"rate_per_s\": 200",
        "\"rate_per_s\": 300",
    );
    bed.edit(
        "c/allowances.jsonc",
        "\"rate_per_s\": 10,",
        "\"rate_per_s\": 11,",
    );
    let mut text = run_lines(
        &bed,
        &["publish a --author mona", "publish b --author omar"],
    );
    text += &run_lines(
        &bed,
        &[
            "diff c",
            "publish c --author hala",
            "pull c",
            "pull c --theirs",
        ],
    );
    text += &run_lines(
        &bed,
        &["diff c", "publish c --author hala", "pull a", "pull b"],
    );
    insta::assert_snapshot!(text);
    let lists = ["a", "b", "c"].map(|dir| bed.read(&format!("{dir}/allowances.jsonc")));
    assert!(lists.iter().all(|list| *list == lists[0]));
    assert!(lists[0].contains("\"rate_per_s\": 250") && lists[0].contains("\"rate_per_s\": 11,"));
}

#[test]
fn publishing_does_not_revert_changes_by_others() {
    let bed = TestBed::start();
    run_lines(&bed, &["init a", "publish a"]);
    bed.copy_dir("a", "b");
    bed.edit(
        "a/allowances.jsonc",
        "\"rate_per_s\": 200",
        "\"rate_per_s\": 250",
    );
    bed.edit(
        "b/allowances.jsonc",
        "\"rate_per_s\": 10,",
        "\"rate_per_s\": 11,",
    );
    run_lines(&bed, &["publish a", "publish b"]);
    bed.edit(
        "b/allowances.jsonc",
        "\"rate_per_s\": 11,",
        "\"rate_per_s\": 12,",
    );
    let diff = bed.json(&["diff", "b", "--json"]);
    assert_eq!(diff["edits"].as_array().unwrap().len(), 1);
    let report = bed.json(&["publish", "b", "--json"]);
    assert_eq!(report["version"], "3");
    assert_eq!(report["in_force"], 1);
    run_lines(&bed, &["pull fresh"]);
    let fresh = bed.read("fresh/allowances.jsonc");
    assert!(fresh.contains("\"rate_per_s\": 250") && fresh.contains("\"rate_per_s\": 12,"));
}

#[test]
fn a_change_is_applied_once_if_the_answer_to_its_append_is_lost() {
    let bed = TestBed::start();
    run_lines(&bed, &["init lists"]);
    bed.set_faults(LogFaults {
        lost_answers: 1,
        ..LogFaults::default()
    });
    let text = run_lines(&bed, &["publish lists -m first", "history"]);
    insta::assert_snapshot!(text);
}

#[test]
fn in_an_outage_nothing_is_appended() {
    let bed = TestBed::start();
    run_lines(&bed, &["init lists"]);
    bed.set_faults(LogFaults {
        outage: true,
        ..LogFaults::default()
    });
    assert_eq!(bed.run(&["publish", "lists"]).status.code(), Some(8));
    bed.set_faults(LogFaults::default());
    assert_eq!(bed.json(&["history", "--json"]), serde_json::json!([]));
    assert_eq!(bed.run(&["publish", "lists"]).status.code(), Some(0));
}

#[test]
fn a_change_of_unknown_outcome_is_applied_once_when_published_again() {
    let bed = TestBed::start();
    run_lines(&bed, &["init lists"]);
    let read_only_log = TestProxy::rejecting_appends(bed.log_address());
    let url = read_only_log.url();
    let failed = bed.run(&["publish", "lists", "--log", &url]);
    assert_eq!(failed.status.code(), Some(7));
    let errors = String::from_utf8(failed.stderr).unwrap();
    let id = errors.split("--change ").nth(1).unwrap();
    let id = id.lines().next().unwrap();
    for _ in 0..2 {
        let again = bed.run(&["publish", "lists", "--change", id, "--json"]);
        assert_eq!(again.status.code(), Some(0));
    }
    let history = bed.json(&["history", "--json"]);
    assert_eq!(history.as_array().unwrap().len(), 1);
    assert_eq!(history[0]["change"], id);
}

#[test]
fn edits_made_after_a_publish_are_kept_when_it_is_repeated() {
    let bed = TestBed::start();
    run_lines(&bed, &["init lists"]);
    let id = "0198c0de-0000-7000-8000-000000000001";
    bed.copy_dir("lists", "late");
    assert_eq!(
        bed.run(&["publish", "lists", "--change", id]).status.code(),
        Some(0)
    );
    bed.edit(
        "late/allowances.jsonc",
        "\"rate_per_s\": 200",
        "\"rate_per_s\": 250",
    );
    let text = bed.transcript(&["publish", "late", "--change", id]);
    assert!(
        text.contains("not published: allowance of plan gold for service catalog"),
        "{text}"
    );
    let diff = bed.json(&["diff", "late", "--json"]);
    assert_eq!(diff["edits"].as_array().unwrap().len(), 1);
    assert_eq!(diff["base"], "0");
}

#[test]
fn nothing_is_published_on_a_log_that_lost_records() {
    let bed = TestBed::start();
    run_lines(&bed, &["init lists", "publish lists"]);
    bed.edit(
        "lists/allowances.jsonc",
        "\"rate_per_s\": 200",
        "\"rate_per_s\": 250",
    );
    // The empty log of another environment stands for this log after it lost its records.
    let other = TestBed::start();
    let url = format!("http://{}", other.log_address());
    let text = bed.transcript(&["publish", "lists", "--log", &url]);
    assert!(
        text.contains("log-diverged") && text.contains("[exit 9]"),
        "{text}"
    );
    let state = other.run(&["pull", "lists"]);
    assert_eq!(state.status.code(), Some(3));
}

#[test]
fn publishing_continues_after_a_rebase_of_a_log_that_lost_records() {
    let bed = TestBed::start();
    let mut text = run_lines(&bed, &["init lists", "publish lists -m first"]);
    bed.edit(
        "lists/allowances.jsonc",
        "\"rate_per_s\": 200",
        "\"rate_per_s\": 250",
    );
    text += &run_lines(&bed, &["publish lists -m more", "rebase -m early"]);
    bed.truncate_log(1);
    bed.await_status_text("diverged");
    bed.copy_dir("lists", "late");
    text += &run_lines(&bed, &["publish lists -m lost", "rebase -m restored"]);
    bed.await_status_text("configuration current");
    text += &run_lines(&bed, &["rebase late", "history", "pull lists"]);
    bed.edit(
        "lists/allowances.jsonc",
        "\"rate_per_s\": 250",
        "\"rate_per_s\": 300",
    );
    text += &run_lines(&bed, &["publish lists -m next", "history"]);
    insta::assert_snapshot!(text);
}

#[test]
fn the_next_daemon_is_used_if_the_first_does_not_answer() {
    let bed = TestBed::start();
    let daemons = format!("127.0.0.1:1,{}", bed.operator_address());
    run_lines(&bed, &["init lists"]);
    for line in [
        "publish lists",
        "diff lists",
        "pull lists",
        "history",
        "status",
    ] {
        let mut arguments: Vec<&str> = line.split(' ').collect();
        arguments.extend(["--daemon", &daemons]);
        assert_eq!(bed.run(&arguments).status.code(), Some(0), "{line}");
    }
}

#[test]
fn an_error_names_the_daemon_that_does_not_answer() {
    let bed = TestBed::offline();
    run_lines(&bed, &["init lists"]);
    for line in [
        "publish lists",
        "diff lists",
        "pull lists",
        "history",
        "status",
        "undo 1",
    ] {
        let arguments: Vec<&str> = line.split(' ').collect();
        let output = bed.run(&arguments);
        assert_eq!(output.status.code(), Some(10), "{line}");
        let errors = String::from_utf8(output.stderr).unwrap();
        assert!(errors.contains("127.0.0.1:1"), "{errors}");
    }
}

#[test]
fn a_closed_pipe_ends_the_command_without_an_error() {
    let bed = TestBed::offline();
    run_lines(&bed, &["init lists"]);
    let mut child = bed
        .command(&["check", "lists", "--json"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    drop(child.stdout.take());
    let output = child.wait_with_output().unwrap();
    assert_eq!(output.status.code(), Some(0));
    assert!(output.stderr.is_empty());
}
