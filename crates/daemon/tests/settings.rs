//! `quetzald` as a command: settings, mistakes, help, exit codes, and the page.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use quetzal_daemon::DaemonSettings;
use serde_json::Value;

const SOUND: &str = r#"{ // comments are allowed
  "domain": "cairo-a", "log_url": "http://127.0.0.1:7400",
  "caller_address": "[::1]:17401", "operator_address": "[::1]:17402", "peer_address": "[::1]:17403"
}"#;

const MISTAKES: &str = r#"{
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

/// Runs `quetzald` in a folder of its own, with `settings` in daemon.jsonc.
fn run(settings: Option<&str>, words: &[&str]) -> String {
    let dir = tempfile::tempdir().unwrap();
    if let Some(text) = settings {
        std::fs::write(dir.path().join("daemon.jsonc"), text).unwrap();
    }
    let output = Command::new(env!("CARGO_BIN_EXE_quetzald"))
        .args(words)
        .current_dir(dir.path())
        .output()
        .unwrap();
    transcript(words, &output)
}

fn transcript(words: &[&str], output: &Output) -> String {
    format!(
        "$ quetzald {}\n{}{}exit {}\n",
        words.join(" "),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
        output.status.code().unwrap(),
    )
}

#[test]
fn the_command_tells_everything_at_once() {
    let check = ["--settings", "daemon.jsonc", "--check"];
    insta::assert_snapshot!("check_sound", run(Some(SOUND), &check));
    insta::assert_snapshot!("check_mistakes", run(Some(MISTAKES), &check));
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
fn programs_read_the_same_list() {
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
fn a_daemon_without_a_name_takes_its_address() {
    let settings = DaemonSettings::parse("daemon.jsonc", SOUND).unwrap();
    assert_eq!(settings.name.as_str(), "::1:17403");
    let scoped = SOUND.replace("[::1]:17403", "[fe80::1%3]:17403");
    let settings = DaemonSettings::parse("daemon.jsonc", &scoped).unwrap();
    assert_eq!(settings.name.as_str(), "fe80::1-3:17403");
}

/// The page holds the table of the code; `QUETZAL_REWRITE_PAGES=1` writes it there.
#[test]
fn the_page_and_the_code_agree() {
    let page = page_path();
    let text = std::fs::read_to_string(&page).unwrap();
    let (before, rest) = text.split_once("<!-- table -->\n").unwrap();
    let (_, after) = rest.split_once("<!-- end -->\n").unwrap();
    let table = DaemonSettings::page_table();
    let wanted = format!("{before}<!-- table -->\n{table}<!-- end -->\n{after}");
    if std::env::var_os("QUETZAL_REWRITE_PAGES").is_some() {
        std::fs::write(&page, &wanted).unwrap();
        return;
    }
    assert!(text == wanted, "docs/SETTINGS.md parts from the code");
}

fn page_path() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/SETTINGS.md")
}
