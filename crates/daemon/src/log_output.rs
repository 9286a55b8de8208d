//! Structured log output that never blocks the code that logs.
//!
//! Each line is one JSON object. Lines go into a bounded buffer that one thread writes to
//! standard output; if the reader stalls, lines are dropped. The lines of each event are
//! rate limited, so that a flood of one event does not displace others. Dropped lines are
//! counted and reported.

use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use env_logger::{Builder, Env, Target};
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use model::DaemonName;
use serde_json::{Map, Value as Json};

/// Maximum number of buffered bytes.
const BUFFER_BYTES: usize = 256 << 10;
/// Time for which lines are collected before they are written together.
const COLLECT_TIME: Duration = Duration::from_millis(200);
/// Time for the last lines to be written before the process ends; limited so that a stalled
/// reader does not delay the stop.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Sustained rate of lines of one event.
const LINES_PER_SECOND: f64 = 20.0;
/// Maximum burst of lines of one event.
const MAX_LINE_BURST: f64 = 60.0;

/// Keeps log output running; dropping it waits for a limited time until the last lines are
/// written.
#[derive(Debug)]
pub struct LogOutput(LineBuffer);

impl Drop for LogOutput {
    fn drop(&mut self) {
        if !self.0.close(CLOSE_TIMEOUT) {
            eprintln!("quetzald: the last log lines could not be written in time");
        }
    }
}

/// Starts writing JSON lines to standard output, each with the field `vm`.
#[must_use]
pub fn start_log_output(vm: &DaemonName) -> LogOutput {
    let output = LogOutput(LineBuffer::default());
    let buffer = output.0.clone();
    let writer = buffer.clone();
    let spawned = thread::Builder::new()
        .name("log-lines".into())
        .spawn(move || writer.write_out(&mut io::stdout()));
    if let Err(error) = spawned {
        eprintln!("quetzald: cannot start the thread for log lines: {error}");
        output.0.end();
        return output;
    }
    let vm = vm.clone();
    let limits = Mutex::new(LineLimits::default());
    Builder::from_env(Env::default().default_filter_or("info"))
        .format(move |out, record| {
            let now = Instant::now();
            let Some(dropped) = lock(&limits).admit(record.args().as_str(), now) else {
                return Ok(());
            };
            writeln!(out, "{}", render(record, &vm, dropped))
        })
        .target(Target::Pipe(Box::new(buffer)))
        .init();
    output
}

/// Returns a log record as a JSON object.
fn render(record: &Record<'_>, vm: &DaemonName, dropped: u64) -> Json {
    let mut fields = Map::new();
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    let time_ms = wall.map_or(0, |time| time.as_millis() as u64);
    fields.insert("time_ms".into(), time_ms.into());
    fields.insert("vm".into(), vm.as_str().into());
    fields.insert("level".into(), record.level().as_str().into());
    fields.insert("event".into(), record.args().to_string().into());
    let module = record.target().rsplit("::").next();
    fields.insert("module".into(), module.unwrap_or_default().into());
    if dropped > 0 {
        fields.insert("dropped_before".into(), dropped.into());
    }
    let mut visitor = FieldVisitor(&mut fields);
    if record.key_values().visit(&mut visitor).is_err() {
        fields.insert("fields_lost".into(), true.into());
    }
    Json::Object(fields)
}

/// Copies the key-value pairs of a record into a JSON object.
struct FieldVisitor<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(flag) = value.to_bool() {
            flag.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}

/// Rate limits of lines by kind; the kind is the text of the event.
#[derive(Debug, Default)]
pub struct LineLimits {
    kinds: HashMap<&'static str, LineRate>,
}

#[derive(Debug)]
struct LineRate {
    tokens: f64,
    refilled_at: Instant,
    dropped: u64,
}

impl LineLimits {
    /// Returns the number of lines dropped before this one, or `None` if it must be dropped.
    ///
    /// Lines whose text is formatted at run time have no kind and are never dropped.
    pub fn admit(&mut self, kind: Option<&'static str>, now: Instant) -> Option<u64> {
        let Some(kind) = kind else { return Some(0) };
        let rate = self.kinds.entry(kind).or_insert_with(|| LineRate {
            tokens: MAX_LINE_BURST,
            refilled_at: now,
            dropped: 0,
        });
        let elapsed = now
            .saturating_duration_since(rate.refilled_at)
            .as_secs_f64();
        rate.tokens = (rate.tokens + elapsed * LINES_PER_SECOND).min(MAX_LINE_BURST);
        rate.refilled_at = now;
        if rate.tokens < 1.0 {
            rate.dropped += 1;
            return None;
        }
        rate.tokens -= 1.0;
        Some(std::mem::take(&mut rate.dropped))
    }
}

/// Bounded buffer of lines that wait to be written.
#[derive(Clone, Debug, Default)]
pub struct LineBuffer {
    shared: Arc<BufferShared>,
}

#[derive(Debug, Default)]
struct BufferShared {
    state: Mutex<BufferState>,
    /// Notified when lines are added or the buffer is closed.
    changed: Condvar,
    /// Notified when the writer has ended.
    ended: Condvar,
}

#[derive(Debug, Default)]
struct BufferState {
    bytes: Vec<u8>,
    lost_lines: u64,
    /// Whether no more lines will be added.
    closed: bool,
    /// Whether the writer has ended.
    ended: bool,
}

impl LineBuffer {
    /// Writes buffered lines to `out` until the buffer is closed or `out` fails.
    pub fn write_out(&self, out: &mut impl Write) {
        while let Some(bytes) = self.wait_for_lines() {
            if out.write_all(&bytes).and_then(|()| out.flush()).is_err() {
                break;
            }
            let state = lock(&self.shared.state);
            let collecting = |state: &mut BufferState| !state.closed;
            let waited = self
                .shared
                .changed
                .wait_timeout_while(state, COLLECT_TIME, collecting);
            drop(waited.unwrap_or_else(PoisonError::into_inner));
        }
        self.end();
    }

    /// Closes the buffer and waits until its lines are written; returns `false` if that takes
    /// longer than `time`.
    pub fn close(&self, time: Duration) -> bool {
        let mut state = lock(&self.shared.state);
        state.closed = true;
        self.shared.changed.notify_all();
        let writing = |state: &mut BufferState| !state.ended;
        let waited = self.shared.ended.wait_timeout_while(state, time, writing);
        let (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        state.ended
    }

    fn end(&self) {
        lock(&self.shared.state).ended = true;
        self.shared.ended.notify_all();
    }

    /// Waits for lines; returns `None` once the buffer is closed and empty.
    fn wait_for_lines(&self) -> Option<Vec<u8>> {
        let mut state = lock(&self.shared.state);
        while state.bytes.is_empty() {
            if state.closed {
                return None;
            }
            let waited = self.shared.changed.wait(state);
            state = waited.unwrap_or_else(PoisonError::into_inner);
        }
        let mut bytes = std::mem::take(&mut state.bytes);
        let lost = std::mem::take(&mut state.lost_lines);
        if lost > 0 {
            let line = format!("{{\"event\":\"log lines lost\",\"lines\":{lost}}}\n");
            bytes.extend_from_slice(line.as_bytes());
        }
        Some(bytes)
    }
}

impl Write for LineBuffer {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut state = lock(&self.shared.state);
        if state.bytes.len() + buf.len() > BUFFER_BYTES {
            state.lost_lines += 1;
        } else {
            state.bytes.extend_from_slice(buf);
        }
        drop(state);
        self.shared.changed.notify_one();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
