//! The record of a case: what was sent, answered and run.

use std::fs;
use std::path::PathBuf;
use std::time::Instant;

use quetzal_soak::caller::Answer;

use crate::server::Run;

/// Lines of the record, with the time since the start of the case.
pub struct Record {
    started: Instant,
    path: PathBuf,
    lines: String,
}

impl Record {
    /// Creates an empty record that is written to `path`.
    pub fn new(path: PathBuf) -> Self {
        Self {
            started: Instant::now(),
            path,
            lines: String::new(),
        }
    }

    /// Adds a line.
    pub fn note(&mut self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.started.elapsed().as_secs_f64());
        print!("{line}");
        self.lines.push_str(&line);
        drop(fs::write(&self.path, &self.lines));
    }

    /// Adds a request and its answer; status 0 is a connection that ended without one.
    pub fn answer(&mut self, sent: &str, answer: &Answer) {
        let retry = answer.header("retry-after").to_owned();
        self.note(&format!(
            "sent {sent} -> {} {}{}",
            answer.status,
            answer.header("x-quetzal-error"),
            if retry.is_empty() {
                String::new()
            } else {
                format!(" (retry after {retry} s)")
            }
        ));
    }

    /// Adds what a server ran.
    pub fn run(&mut self, server: &str, run: &Run) {
        let at = run.at.saturating_duration_since(self.started).as_secs_f64();
        self.note(&format!(
            "server {server} began at {at:.3} s: {} id {} tenant {} key {}",
            run.path,
            run.header("x-request-id"),
            run.header("x-tenant"),
            run.header("authorization")
        ));
    }
}
