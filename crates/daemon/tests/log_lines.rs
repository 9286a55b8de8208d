//! Log lines: told in the docs, bounded by kind, and never in the way.

use std::collections::BTreeSet;
use std::io::{self, Write};
use std::path::Path;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use quetzal_daemon::log_output::{LineBuffer, LineLimits};

/// The texts of all log macros in the files of `folder`.
fn events_of(folder: &Path) -> BTreeSet<String> {
    let mut events = BTreeSet::new();
    for entry in std::fs::read_dir(folder).expect("the folder is there") {
        let path = entry.expect("an entry").path();
        if path.extension().is_none_or(|extension| extension != "rs") {
            continue;
        }
        let text = std::fs::read_to_string(&path).expect("a source file");
        for call in text.split("log::").skip(1) {
            let macro_call = ["error!", "warn!", "info!", "debug!"];
            if !macro_call.iter().any(|name| call.starts_with(name)) {
                continue;
            }
            // The text is the last argument: a quote with the closing bracket behind it.
            let quotes: Vec<usize> = call.match_indices('"').map(|(at, _)| at).collect();
            let end = quotes
                .iter()
                .position(|&at| call[at + 1..].trim_start().starts_with(')'));
            let end = end.expect("a call has a text");
            let last = &call[quotes[end - 1] + 1..quotes[end]];
            events.insert(last.to_owned());
        }
    }
    events
}

#[test]
fn the_page_tells_every_event_and_no_other() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut events = events_of(&root.join("crates/proxy/src"));
    events.extend(events_of(&root.join("platform/src")));
    let binary = std::fs::read_to_string(root.join("crates/daemon/src/on_platform.rs"));
    let binary = binary.expect("a source file");
    for event in [
        "SIGTERM",
        "settings read again",
        "settings refused; the old ones stay",
    ] {
        assert!(binary.contains(event));
        events.insert(event.to_owned());
    }
    let page = std::fs::read_to_string(root.join("docs/LOGS.md")).expect("the page");
    let told: BTreeSet<String> = page
        .lines()
        .filter(|line| line.starts_with("| `"))
        .flat_map(|line| {
            let first = line.split('|').nth(1).unwrap_or_default();
            first.split('`').skip(1).step_by(2).map(str::to_owned)
        })
        .collect();
    assert_eq!(told, events);
}

#[test]
fn a_flood_of_one_kind_leaves_room_for_the_others() {
    let mut limits = LineLimits::default();
    let now = Instant::now();
    let passed = (0..1000)
        .filter(|_| limits.admit(Some("flood"), now).is_some())
        .count();
    assert_eq!(passed, 60);
    assert_eq!(limits.admit(Some("other"), now), Some(0));
    let later = now + Duration::from_secs(1);
    assert_eq!(limits.admit(Some("flood"), later), Some(940));
}

/// A reader that takes nothing until its sender is gone, and keeps what it was given.
struct StalledReader {
    go: mpsc::Receiver<()>,
    given: Vec<u8>,
}

impl Write for StalledReader {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.given.extend_from_slice(buf);
        // Nothing is ever sent: the wait ends with the sender, and the writer with it.
        let _ = self.go.recv();
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_stalls_costs_lines_and_no_time() {
    let mut buffer = LineBuffer::default();
    let writer = buffer.clone();
    let (go, waits) = mpsc::channel();
    let stalled = thread::spawn(move || {
        writer.write_out(&mut StalledReader {
            go: waits,
            given: Vec::new(),
        });
    });
    let line = [b'x'; 1024];
    // Far more than the buffer holds; each write returns though nobody reads.
    for _ in 0..2000 {
        buffer.write_all(&line).expect("it never fails");
    }
    drop(go);
    stalled.join().expect("the writer ends with its reader");
}

#[test]
fn lost_lines_are_counted_and_told() {
    let mut buffer = LineBuffer::default();
    for _ in 0..2000 {
        buffer.write_all(&[b'x'; 1024]).expect("it never fails");
    }
    let (go, waits) = mpsc::channel();
    drop(go);
    let mut reader = StalledReader {
        go: waits,
        given: Vec::new(),
    };
    buffer.write_out(&mut reader);
    let text = String::from_utf8_lossy(&reader.given);
    assert!(text.contains(r#""event":"log lines lost","lines":1744"#));
}

#[test]
fn the_last_lines_before_an_end_are_written() {
    let mut buffer = LineBuffer::default();
    let writer = buffer.clone();
    let writing = thread::spawn(move || {
        let mut out = Vec::new();
        writer.write_out(&mut out);
        out
    });
    buffer.write_all(b"first\n").expect("taken");
    // The writer has just written, and gathers lines before it writes again.
    thread::sleep(Duration::from_millis(50));
    buffer.write_all(b"stopped\n").expect("taken");
    assert!(buffer.close(Duration::from_secs(5)), "nothing is left");
    let out = writing.join().expect("no panic");
    assert_eq!(String::from_utf8_lossy(&out), "first\nstopped\n");
}

#[test]
fn a_reader_that_stalls_holds_no_end_up() {
    let mut buffer = LineBuffer::default();
    buffer.write_all(b"nobody reads this\n").expect("taken");
    assert!(!buffer.close(Duration::from_millis(20)));
}
