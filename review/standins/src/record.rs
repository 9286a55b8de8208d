//! The record of a run: what was sent, answered and run, with times since its start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Writes one line per event to `record.txt`.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    output: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let output = BufWriter::new(File::create(folder.join("record.txt"))?);
        Ok(Self {
            started: Instant::now(),
            output: Arc::new(Mutex::new(output)),
        })
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn line(&self, text: impl std::fmt::Display) {
        let at = self.now().as_secs_f64();
        let mut output = self.output.lock().expect("not poisoned");
        writeln!(output, "{at:9.3} {text}").expect("a writable record");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl std::fmt::Display) {
        println!("{text}");
        self.line(text);
        self.output
            .lock()
            .expect("not poisoned")
            .flush()
            .expect("a writable record");
    }
}
