//! The record of a scenario: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Writes lines to the record; clones write to the same one.
#[derive(Clone, Debug)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates the file at `path`.
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            started: Instant::now(),
        })
    }

    /// Returns the time since the start.
    pub fn time(&self) -> Duration {
        self.started.elapsed()
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let at = self.time().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // A line that cannot be written is missing from the record; the verdict does not need it.
        drop(writeln!(file, "{at:9.3} {text}"));
    }
}
