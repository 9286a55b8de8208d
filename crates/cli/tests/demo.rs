//! Tests of `quetzal demo`, the first command in the readme, and of other commands run
//! against it.

use std::io::{BufRead, BufReader, Write};
use std::process::{Child, Command, Stdio};

fn quetzal() -> Command {
    Command::new(env!("CARGO_BIN_EXE_quetzal"))
}

/// Replaces text that varies between runs: ports, times, and which catalog target answered.
fn normalize(text: &str) -> String {
    let mut normalized = String::new();
    for line in text.lines() {
        let line = match line.split_once(" proxies in ") {
            Some((before, _)) => format!("{before} proxies in <time>"),
            None => line.to_owned(),
        };
        let line = match line.split_once("127.0.0.1:") {
            Some((before, after)) => {
                let rest = after.trim_start_matches(|c: char| c.is_ascii_digit());
                format!("{before}127.0.0.1:<port>{rest}")
            }
            None => line,
        };
        let line = if line.contains("by catalog-") {
            line.replace("by catalog-2", "by catalog-1")
        } else {
            line
        };
        normalized.push_str(&line);
        normalized.push('\n');
    }
    normalized
}

#[test]
fn the_demo_prints_the_whole_session() {
    let output = quetzal().arg("demo").output().unwrap();
    assert!(output.status.success(), "{output:?}");
    insta::assert_snapshot!(normalize(&String::from_utf8_lossy(&output.stdout)));
}

/// A running `quetzal demo --keep`, stopped when dropped.
struct RunningDemo {
    child: Child,
    daemon: String,
}

impl RunningDemo {
    fn start() -> Self {
        let mut child = quetzal()
            .args(["demo", "--keep"])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let mut lines = lines.map_while(Result::ok);
        let daemon = lines.find_map(|line| {
            let (_, address) = line.split_once("export QUETZAL_DAEMON=")?;
            Some(address.to_owned())
        });
        // Drains the remaining output so that the demo never blocks on a full pipe.
        std::thread::spawn(move || lines.for_each(drop));
        Self {
            child,
            daemon: daemon.unwrap(),
        }
    }

    fn run(&self, arguments: &[&str]) -> String {
        let mut command = quetzal();
        let output = command
            .args(arguments)
            .env("QUETZAL_DAEMON", &self.daemon)
            .output()
            .unwrap();
        assert!(output.status.success(), "{output:?}");
        String::from_utf8_lossy(&output.stdout).into_owned()
    }
}

impl Drop for RunningDemo {
    fn drop(&mut self) {
        drop(
            self.child
                .stdin
                .take()
                .map(|mut stdin| stdin.write_all(b"\n")),
        );
        drop(self.child.wait());
    }
}

#[test]
fn status_history_and_timeline_show_the_demo_changes() {
    let demo = RunningDemo::start();
    let status = demo.run(&["status"]);
    assert!(
        status.contains("version 1 in force on 4 of 4 proxies"),
        "{status}"
    );
    assert!(status.contains("catalog/catalog-1 ready"), "{status}");
    let history = demo.run(&["history"]);
    assert!(history.contains("nile-brands books deals"), "{history}");
    let timeline = demo.run(&["timeline", "--since", "5m"]);
    for daemon in ["daemon-1", "daemon-2", "daemon-3", "daemon-4"] {
        let applied = timeline
            .lines()
            .filter(|line| line.contains(daemon) && line.contains("config-applied"));
        assert_eq!(applied.count(), 2, "{timeline}");
    }
    let scratch = tempfile::tempdir().unwrap();
    let filtered = demo.run(&["timeline", "--service", "deals", "--process", "daemon-3"]);
    assert!(filtered.contains("target-ready"), "{filtered}");
    assert!(
        filtered.lines().all(|line| line.contains("daemon-3")),
        "{filtered}"
    );
    let newest = demo.run(&["timeline", "--domain", "cairo-a", "--events", "2"]);
    let events = newest.lines().filter(|line| line.contains("  version "));
    assert_eq!(events.count(), 2, "{newest}");
    let page = scratch.path().join("timeline.html");
    demo.run(&["timeline", "--html", page.to_str().unwrap()]);
    let page = std::fs::read_to_string(page).unwrap();
    assert!(
        page.contains("<svg") && !page.contains("http-equiv"),
        "{}",
        &page[..200]
    );
}
