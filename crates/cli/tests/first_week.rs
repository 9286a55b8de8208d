//! Mistakes of new operators: mistyped commands, wrong folders and interrupted publishes.

mod support;

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::time::Duration;

use feed::LogFaults;
use support::TestBed;

/// Runs a command line and returns its exit code and standard error.
fn run_failing(bed: &TestBed, line: &str) -> (i32, String) {
    let arguments: Vec<&str> = line.split_whitespace().collect();
    let output = bed.run(&arguments);
    let errors = String::from_utf8(output.stderr).unwrap();
    (output.status.code().unwrap(), join_lines(&errors))
}

/// Joins lines that were wrapped to the terminal's width.
fn join_lines(text: &str) -> String {
    let words: Vec<&str> = text.split_whitespace().collect();
    words.join(" ")
}

#[test]
fn an_invalid_command_line_exits_with_code_2() {
    let bed = TestBed::offline();
    for line in [
        "",
        "publsh lists",
        "publish",
        "undo x",
        "publish lists --change abc",
        "timeline --since 5",
    ] {
        let (code, errors) = run_failing(&bed, line);
        assert_eq!(code, 2, "{line}: {errors}");
        assert!(!errors.is_empty(), "{line}");
    }
    for address in ["localhost:7402", "127.0.0.1"] {
        let (code, errors) = run_failing(&bed, &format!("status --daemon {address}"));
        assert_eq!(code, 2);
        assert!(errors.contains("such as 127.0.0.1:7402"), "{errors}");
    }
}

#[test]
fn the_help_lists_exit_codes_and_first_steps() {
    let bed = TestBed::offline();
    let output = bed.run(&["--help"]);
    assert_eq!(output.status.code(), Some(0));
    let help = join_lines(&String::from_utf8(output.stdout).unwrap());
    for text in [
        "quetzal init lists",
        "plans.jsonc",
        "7 unknown whether accepted",
        "10 no daemon",
        "11 this machine",
    ] {
        assert!(help.contains(text), "{text}: {help}");
    }
}

#[test]
fn errors_for_a_wrong_folder_name_it_and_give_advice() {
    let bed = TestBed::offline();
    bed.run(&["init", "lists"]);
    for command in ["check", "diff", "publish", "rebase"] {
        let (code, errors) = run_failing(&bed, &format!("{command} nowhere"));
        assert_eq!(code, 11);
        assert!(
            errors.contains("nowhere contains no plans.jsonc"),
            "{errors}"
        );
        assert!(errors.contains("quetzal pull nowhere"), "{errors}");
        let (code, errors) = run_failing(&bed, &format!("{command} lists/plans.jsonc"));
        assert_eq!(code, 11);
        assert!(errors.contains("name the folder"), "{errors}");
    }
}

#[test]
fn errors_give_specific_advice_without_the_general_hint() {
    let bed = TestBed::start();
    bed.run(&["init", "lists"]);
    bed.run(&["publish", "lists"]);
    let cases = [
        ("undo 99", "quetzal history"),
        ("rebase", "--force"),
        ("init lists", "quetzal check lists"),
        ("status --daemon 127.0.0.1:1", "--daemon"),
    ];
    for (line, advice) in cases {
        let (_, errors) = run_failing(&bed, line);
        assert!(errors.contains(advice), "{line}: {errors}");
        assert!(!errors.contains("hint:"), "{line}: {errors}");
    }
    let none = bed.run(&["history", "-n", "0"]);
    assert!(!String::from_utf8_lossy(&none.stdout).contains("nothing has been published"));
}

#[test]
fn an_interrupted_publish_is_applied_once_when_repeated() {
    let bed = TestBed::start();
    bed.run(&["init", "lists"]);
    bed.run(&["publish", "lists"]);
    let base = bed.read("lists/.quetzal-base");
    bed.edit(
        "lists/allowances.jsonc",
        "\"rate_per_s\": 200",
        "\"rate_per_s\": 250",
    );
    bed.set_faults(LogFaults {
        delay_ms: 1000,
        ..LogFaults::default()
    });
    let mut child = bed
        .command(&["publish", "lists"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let line = lines.next().unwrap().unwrap();
    assert!(line.starts_with("change "), "{line}");
    // By now the append is in progress.
    std::thread::sleep(Duration::from_millis(500));
    let pid = child.id().to_string();
    let kill_status = Command::new("kill").args(["-INT", &pid]).status();
    assert!(kill_status.unwrap().success());
    assert!(!child.wait().unwrap().success());
    bed.set_faults(LogFaults::default());
    // The append takes effect although its client has been interrupted.
    bed.await_history(2);
    assert_eq!(bed.read("lists/.quetzal-base"), base);
    let again = bed.run(&["publish", "lists"]);
    assert_eq!(again.status.code(), Some(0));
    let history = bed.json(&["history", "--json"]);
    assert_eq!(history.as_array().unwrap().len(), 2);
    let diff = bed.json(&["diff", "lists", "--json"]);
    assert_eq!(diff["edits"].as_array().unwrap().len(), 0);
    assert_eq!(
        diff["base"], "1",
        "the folder is updated to the accepted version"
    );
}

#[test]
fn a_missing_author_is_an_error_that_names_the_option() {
    let bed = TestBed::start();
    bed.run(&["init", "lists"]);
    let output = bed
        .command(&["publish", "lists"])
        .env_remove("USER")
        .output()
        .unwrap();
    let errors = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(
        errors.contains("--author") && !errors.contains("hint:"),
        "{errors}"
    );
}
