//! Log output: every event is documented, each kind of event is rate-limited, and a reader
//! that stalls does not block the daemon.

use std::collections::BTreeSet;
use std::io::{self, Write};
use std::path::Path;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use quetzal_daemon::log_output::{LineBuffer, LineLimits};

/// Returns the message texts of all log macros in the source files of `folder`.
fn logged_events(folder: &Path) -> BTreeSet<String> {
    let mut events = BTreeSet::new();
    for entry in std::fs::read_dir(folder).expect("the folder exists") {
        let path = entry.expect("a folder entry").path();
        if path.extension().is_none_or(|extension| extension != "rs") {
            continue;
        }
        let text = std::fs::read_to_string(&path).expect("a source file");
        for call in text.split("log::").skip(1) {
            let macro_call = ["error!", "warn!", "info!", "debug!"];
            if !macro_call.iter().any(|name| call.starts_with(name)) {
                continue;
            }
            // The message is the last argument: its closing quote precedes the closing parenthesis.
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
fn the_page_lists_every_event_and_no_other() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut events = logged_events(&root.join("crates/proxy/src"));
    events.extend(logged_events(&root.join("platform/src")));
    let source = std::fs::read_to_string(root.join("crates/daemon/src/on_platform.rs"));
    let source = source.expect("a source file");
    for event in [
        "SIGTERM",
        "settings read again",
        "settings refused; the old ones stay",
    ] {
        assert!(source.contains(event));
        events.insert(event.to_owned());
    }
    let page = std::fs::read_to_string(root.join("docs/LOGS.md")).expect("the page");
    let documented: BTreeSet<String> = page
        .lines()
        .filter(|line| line.starts_with("| `"))
        .flat_map(|line| {
            let first = line.split('|').nth(1).unwrap_or_default();
            first.split('`').skip(1).step_by(2).map(str::to_owned)
        })
        .collect();
    assert_eq!(documented, events);
}

#[test]
fn a_flood_of_one_kind_does_not_suppress_other_kinds() {
    let mut limits = LineLimits::default();
    let now = Instant::now();
    let passed = (0..1000)
        .filter(|_| limits.admit(Some("flood"), now).is_some())
        .count();
    // The maximum burst of lines of one kind.
    assert_eq!(passed, 60);
    // An admitted line is returned with the number of lines of its kind dropped before it.
    assert_eq!(limits.admit(Some("other"), now), Some(0));
    let later = now + Duration::from_secs(1);
    assert_eq!(limits.admit(Some("flood"), later), Some(940));
}

/// An output that blocks until the sender of `release` is dropped and then fails; records what
/// was written to it.
struct StalledReader {
    release: mpsc::Receiver<()>,
    received: Vec<u8>,
}

impl Write for StalledReader {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.received.extend_from_slice(buf);
        // Nothing is ever sent: the wait ends when the sender is dropped, and the error then ends
        // the writer.
        let _ = self.release.recv();
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_stalled_reader_loses_lines_but_blocks_no_caller() {
    let mut buffer = LineBuffer::default();
    let writer = buffer.clone();
    let (release, released) = mpsc::channel();
    let stalled = thread::spawn(move || {
        writer.write_out(&mut StalledReader {
            release: released,
            received: Vec::new(),
        });
    });
    let line = [b'x'; 1024];
    // Far more than the buffer holds; each write returns although nothing is read.
    for _ in 0..2000 {
        buffer.write_all(&line).expect("writes never fail");
    }
    drop(release);
    stalled
        .join()
        .expect("the writer ends when its reader fails");
}

#[test]
fn lost_lines_are_counted_and_reported() {
    let mut buffer = LineBuffer::default();
    for _ in 0..2000 {
        buffer.write_all(&[b'x'; 1024]).expect("writes never fail");
    }
    let (release, released) = mpsc::channel();
    drop(release);
    let mut reader = StalledReader {
        release: released,
        received: Vec::new(),
    };
    buffer.write_out(&mut reader);
    let text = String::from_utf8_lossy(&reader.received);
    // The buffer of 256 KB holds 256 of the 2,000 lines.
    assert!(text.contains(r#""event":"log lines lost","lines":1744"#));
}

#[test]
fn lines_logged_before_closing_are_written() {
    let mut buffer = LineBuffer::default();
    let writer = buffer.clone();
    let writing = thread::spawn(move || {
        let mut out = Vec::new();
        writer.write_out(&mut out);
        out
    });
    buffer.write_all(b"first\n").expect("writes never fail");
    // The writer has just written and collects lines before it writes again.
    thread::sleep(Duration::from_millis(50));
    buffer.write_all(b"stopped\n").expect("writes never fail");
    assert!(
        buffer.close(Duration::from_secs(5)),
        "all lines are written"
    );
    let out = writing.join().expect("the writer does not panic");
    assert_eq!(String::from_utf8_lossy(&out), "first\nstopped\n");
}

#[test]
fn a_stalled_reader_does_not_delay_closing() {
    let mut buffer = LineBuffer::default();
    buffer
        .write_all(b"nobody reads this\n")
        .expect("writes never fail");
    assert!(!buffer.close(Duration::from_millis(20)));
}
