//! Tests of `quetzal explain` on log lines of three daemons.

use std::process::Command;

/// Log lines of the caller's daemon, of the target's daemon, and of a third one.
const LINES: [&str; 3] = [
    concat!(
        "  4.1 vm-a {\"time_ms\":1004,\"vm\":\"vm-a\",\"level\":\"INFO\",\"event\":\"attempt ended\",",
        "\"request\":\"ab12\",\"end\":\"failed\",\"next\":\"deliver\",\"kind\":\"\"}\n",
        "{\"time_ms\":1005,\"vm\":\"vm-a\",\"event\":\"request ended\",\"request\":\"ab12\",\"end\":\"failed\"}\n",
        "{\"time_ms\":1005,\"vm\":\"vm-a\",\"event\":\"request ended\",\"request\":\"ab123\",\"end\":\"served\"}\n",
    ),
    concat!(
        "{\"time_ms\":1001,\"vm\":\"vm-b\",\"event\":\"request ended\",\"request\":\"ab12.9f\",",
        "\"end\":\"queue-full\",\"left_ms\":180}\n",
        "{\"time_ms\":1003,\"vm\":\"vm-b\",\"event\":\"run ended\",\"request\":\"ab12\",\"end\":\"failed\",",
        "\"cause\":\"a call found no room\",\"queued\":4}\n",
        "not a line of a daemon {\n",
    ),
    "{\"time_ms\":1000,\"vm\":\"vm-c\",\"event\":\"run ended\",\"request\":\"ab12.9f\",\"end\":\"refused\",\"kind\":\"queue-full\",\"queued\":31}\n",
];

fn explain(request: &str) -> (String, String, Option<i32>) {
    let dir = tempfile::tempdir().expect("the folder is created");
    let mut command = Command::new(env!("CARGO_BIN_EXE_quetzal"));
    command.args(["explain", request]);
    for (number, lines) in LINES.iter().enumerate() {
        let path = dir.path().join(format!("{number}.log"));
        std::fs::write(&path, lines).expect("the file is written");
        command.arg(path);
    }
    let output = command.output().expect("the command runs");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    (
        text(output.stdout),
        text(output.stderr),
        output.status.code(),
    )
}

#[test]
fn lines_of_a_failed_request_include_the_nested_call_that_was_refused() {
    let (output, _, code) = explain("ab12");
    assert_eq!(code, Some(0));
    let rows: Vec<Vec<&str>> = output
        .lines()
        .skip(1)
        .map(|line| line.split_whitespace().collect())
        .collect();
    let vms: Vec<&str> = rows.iter().map(|words| words[1]).collect();
    assert_eq!(vms, ["vm-c", "vm-b", "vm-b", "vm-a", "vm-a"], "{output}");
    assert!(output.contains("kind=queue-full queued=31"), "{output}");
    assert!(output.contains("cause=a call found no room"), "{output}");
    assert!(!output.contains("ab123"), "another request: {output}");
}

#[test]
fn an_unknown_request_is_an_error() {
    let (_, errors, code) = explain("ffff");
    assert_eq!(code, Some(2));
    assert!(
        errors.contains("no log line mentions the request ffff"),
        "stderr: {errors}"
    );
}
