//! The `quetzald` command line: settings, their errors, help, exit codes and the settings page.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use quetzal_daemon::DaemonSettings;
use serde_json::Value;

const VALID_SETTINGS: &str = r#"{ // comments are allowed
  "domain": "cairo-a", "log_url": "http://127.0.0.1:7400",
  "caller_address": "[::1]:17401", "operator_address": "[::1]:17402", "peer_address": "[::1]:17403"
}"#;

const INVALID_SETTINGS: &str = r#"{
  "domain": "cairo a",
  "log_url": "ftp://127.0.0.1:7400",
  "caller_address": "127.0.0.1:7402",
  "peer_address": 7,
  "name": "daemon one",
  "worker_threads": 99,
  "trace_memory": 5,
  "header_timeout_ms": "5s",
  "peers": ["127.0.0.1:1", "x"],
  "operator_address": "127.0.0.1:7402",
  "queue_calls": 1.5,
  "queue_calls": 5
}"#;

/// Runs `quetzald` in a temporary folder with `settings` in `daemon.jsonc`; returns the
/// transcript.
fn run(settings: Option<&str>, args: &[&str]) -> String {
    let dir = tempfile::tempdir().unwrap();
    if let Some(text) = settings {
        std::fs::write(dir.path().join("daemon.jsonc"), text).unwrap();
    }
    let output = Command::new(env!("CARGO_BIN_EXE_quetzald"))
        .args(args)
        .current_dir(dir.path())
        .output()
        .unwrap();
    transcript(args, &output)
}

fn transcript(args: &[&str], output: &Output) -> String {
    format!(
        "$ quetzald {}\n{}{}exit {}\n",
        args.join(" "),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
        output.status.code().unwrap(),
    )
}

#[test]
fn the_command_reports_all_errors_at_once() {
    let check = ["--settings", "daemon.jsonc", "--check"];
    insta::assert_snapshot!("check_sound", run(Some(VALID_SETTINGS), &check));
    insta::assert_snapshot!("check_mistakes", run(Some(INVALID_SETTINGS), &check));
    insta::assert_snapshot!("check_empty", run(Some("{}"), &check));
    insta::assert_snapshot!("check_broken_off", run(Some("{ \"domain\": "), &check));
    insta::assert_snapshot!("check_absent", run(None, &check));
    insta::assert_snapshot!("check_unnamed", run(None, &["--check"]));
    insta::assert_snapshot!("start_mistakes", run(Some("[]"), &check[..2]));
    insta::assert_snapshot!("list_settings", run(None, &["--list-settings"]));
    insta::assert_snapshot!("help", run(None, &["--help"]));
    insta::assert_snapshot!("unknown_option", run(None, &["--setings", "x"]));
}

#[test]
fn the_json_list_has_every_setting() {
    let output = Command::new(env!("CARGO_BIN_EXE_quetzald"))
        .args(["--list-settings", "--json"])
        .output()
        .unwrap();
    let list: Value = serde_json::from_slice(&output.stdout).unwrap();
    let row = &list["numbers"][0];
    assert_eq!(row["name"], "worker_threads");
    assert_eq!(row["low"], 1);
    let count = |group: &str| list[group].as_array().unwrap().len();
    let lines = DaemonSettings::help().lines().count();
    assert_eq!(count("texts") + count("numbers"), lines);
}

#[test]
fn a_daemon_without_a_name_is_named_after_its_address() {
    let settings = DaemonSettings::parse("daemon.jsonc", VALID_SETTINGS).unwrap();
    assert_eq!(settings.name.as_str(), "::1:17403");
    let scoped = VALID_SETTINGS.replace("[::1]:17403", "[fe80::1%3]:17403");
    let settings = DaemonSettings::parse("daemon.jsonc", &scoped).unwrap();
    assert_eq!(settings.name.as_str(), "fe80::1-3:17403");
}

/// Compares the table in the settings page with the one generated from the code;
/// `QUETZAL_REWRITE_PAGES=1` updates the page instead.
#[test]
fn the_page_and_the_code_agree() {
    let page = page_path();
    let text = std::fs::read_to_string(&page).unwrap();
    let (before, rest) = text.split_once("<!-- table -->\n").unwrap();
    let (_, after) = rest.split_once("<!-- end -->\n").unwrap();
    let table = DaemonSettings::page_table();
    let expected = format!("{before}<!-- table -->\n{table}<!-- end -->\n{after}");
    if std::env::var_os("QUETZAL_REWRITE_PAGES").is_some() {
        std::fs::write(&page, &expected).unwrap();
        return;
    }
    assert!(text == expected, "docs/SETTINGS.md differs from the code");
}

fn page_path() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/SETTINGS.md")
}
