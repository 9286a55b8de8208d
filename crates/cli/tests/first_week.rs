//! What operators mistype, forget and break off in their first week.

mod support;

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::time::Duration;

use feed::LogFaults;
use support::TestBed;

/// Runs a command that fails; gives its exit code and what it says.
fn fails(bed: &TestBed, line: &str) -> (i32, String) {
    let arguments: Vec<&str> = line.split_whitespace().collect();
    let output = bed.run(&arguments);
    let errors = String::from_utf8(output.stderr).unwrap();
    (output.status.code().unwrap(), one_line(&errors))
}

/// Text whose lines were broken somewhere.
fn one_line(text: &str) -> String {
    let words: Vec<&str> = text.split_whitespace().collect();
    words.join(" ")
}

#[test]
fn a_command_line_that_is_wrong_is_wrong_input() {
    let bed = TestBed::offline();
    for line in [
        "",
        "publsh lists",
        "publish",
        "undo x",
        "publish lists --change abc",
        "timeline --since 5",
    ] {
        let (code, errors) = fails(&bed, line);
        assert_eq!(code, 2, "{line}: {errors}");
        assert!(!errors.is_empty(), "{line}");
    }
    for address in ["localhost:7402", "127.0.0.1"] {
        let (code, errors) = fails(&bed, &format!("status --daemon {address}"));
        assert_eq!(code, 2);
        assert!(errors.contains("such as 127.0.0.1:7402"), "{errors}");
    }
}

#[test]
fn the_help_tells_exit_codes_and_first_steps() {
    let bed = TestBed::offline();
    let output = bed.run(&["--help"]);
    assert_eq!(output.status.code(), Some(0));
    let help = one_line(&String::from_utf8(output.stdout).unwrap());
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
fn a_wrong_folder_is_named_with_the_way_on() {
    let bed = TestBed::offline();
    bed.run(&["init", "lists"]);
    for command in ["check", "diff", "publish", "rebase"] {
        let (code, errors) = fails(&bed, &format!("{command} nowhere"));
        assert_eq!(code, 11);
        assert!(
            errors.contains("nowhere contains no plans.jsonc"),
            "{errors}"
        );
        assert!(errors.contains("quetzal pull nowhere"), "{errors}");
        let (code, errors) = fails(&bed, &format!("{command} lists/plans.jsonc"));
        assert_eq!(code, 11);
        assert!(errors.contains("name the folder"), "{errors}");
    }
}

#[test]
fn advice_is_given_once_and_fits() {
    let bed = TestBed::start();
    bed.run(&["init", "lists"]);
    bed.run(&["publish", "lists"]);
    let asked = [
        ("undo 99", "quetzal history"),
        ("rebase", "--force"),
        ("init lists", "quetzal check lists"),
        ("status --daemon 127.0.0.1:1", "--daemon"),
    ];
    for (line, advice) in asked {
        let (_, errors) = fails(&bed, line);
        assert!(errors.contains(advice), "{line}: {errors}");
        assert!(!errors.contains("hint:"), "{line}: {errors}");
    }
    let none = bed.run(&["history", "-n", "0"]);
    assert!(!String::from_utf8_lossy(&none.stdout).contains("nothing has been published"));
}

#[test]
fn a_publish_that_is_broken_off_counts_once_when_repeated() {
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
    // The append is under way.
    std::thread::sleep(Duration::from_millis(500));
    let id = child.id().to_string();
    let sent = Command::new("kill").args(["-INT", &id]).status();
    assert!(sent.unwrap().success());
    assert!(!child.wait().unwrap().success());
    bed.set_faults(LogFaults::default());
    // What was under way arrives although nobody waits for it.
    bed.await_history(2);
    assert_eq!(bed.read("lists/.quetzal-base"), base);
    let again = bed.run(&["publish", "lists"]);
    assert_eq!(again.status.code(), Some(0));
    let history = bed.json(&["history", "--json"]);
    assert_eq!(history.as_array().unwrap().len(), 2);
    let diff = bed.json(&["diff", "lists", "--json"]);
    assert_eq!(diff["edits"].as_array().unwrap().len(), 0);
    assert_eq!(diff["base"], "1", "the folder follows what was accepted");
}

#[test]
fn an_author_who_has_no_name_is_told_the_option() {
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
