//! One request's story out of the log lines of three daemons.

use std::process::Command;

/// Lines of the daemon beside the caller, of the one beside the target, and of another.
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
    let dir = tempfile::tempdir().expect("a folder for the files");
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
fn a_failed_request_is_followed_to_the_call_that_found_no_room() {
    let (story, _, code) = explain("ab12");
    assert_eq!(code, Some(0));
    let events: Vec<Vec<&str>> = story
        .lines()
        .skip(1)
        .map(|line| line.split_whitespace().collect())
        .collect();
    let places: Vec<&str> = events.iter().map(|words| words[1]).collect();
    assert_eq!(places, ["vm-c", "vm-b", "vm-b", "vm-a", "vm-a"], "{story}");
    assert!(story.contains("kind=queue-full queued=31"), "{story}");
    assert!(story.contains("cause=a call found no room"), "{story}");
    assert!(!story.contains("ab123"), "another request: {story}");
}

#[test]
fn an_unknown_request_is_told_as_such() {
    let (_, told, code) = explain("ffff");
    assert_eq!(code, Some(2));
    assert!(
        told.contains("no line names the request ffff"),
        "told: {told}"
    );
}
