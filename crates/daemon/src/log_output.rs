//! Structured log lines that never hold up what they tell of.
//!
//! Each line is one JSON object. Lines go into a bounded buffer that one
//! thread writes out; a reader that stalls costs lines, not time. Lines of
//! one kind are limited to a rate, so that a flood of one event leaves room
//! for the others. Whatever is dropped is counted and told.

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

/// Bytes that wait for the reader at most.
const BUFFER_BYTES: usize = 256 << 10;
/// Time for which lines are gathered before they are written at once.
const GATHER_TIME: Duration = Duration::from_millis(200);
/// Time for the last lines to be written before the process ends; a reader that stalls
/// holds no stop up.
const CLOSE_TIME: Duration = Duration::from_millis(300);
/// Lines of one kind in a second.
const LINES_PER_SECOND: f64 = 20.0;
/// Lines of one kind at once after a quiet time.
const LINE_BURST: f64 = 60.0;

/// Lines that are written until dropped, which waits for the last of them.
#[derive(Debug)]
pub struct LogOutput(LineBuffer);

impl Drop for LogOutput {
    fn drop(&mut self) {
        if !self.0.close(CLOSE_TIME) {
            eprintln!("quetzald: the last log lines were not taken");
        }
    }
}

/// Starts writing JSON lines to standard output; each names `vm`.
#[must_use]
pub fn start_log_output(vm: &DaemonName) -> LogOutput {
    let output = LogOutput(LineBuffer::default());
    let buffer = output.0.clone();
    let writer = buffer.clone();
    let spawned = thread::Builder::new()
        .name("log-lines".into())
        .spawn(move || writer.write_out(&mut io::stdout()));
    if let Err(error) = spawned {
        eprintln!("quetzald: no thread for log lines: {error}");
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

/// One record as a JSON object.
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

/// Puts the fields of a record into a JSON object.
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

/// Rates of lines by kind; the kind is the text of the event.
#[derive(Debug, Default)]
pub struct LineLimits {
    kinds: HashMap<&'static str, LineRate>,
}

#[derive(Debug)]
struct LineRate {
    tokens: f64,
    filled: Instant,
    dropped: u64,
}

impl LineLimits {
    /// Whether a line of `kind` may be written; tells how many were dropped before it.
    ///
    /// Lines whose text is put together at run time have no kind and always pass.
    pub fn admit(&mut self, kind: Option<&'static str>, now: Instant) -> Option<u64> {
        let Some(kind) = kind else { return Some(0) };
        let rate = self.kinds.entry(kind).or_insert_with(|| LineRate {
            tokens: LINE_BURST,
            filled: now,
            dropped: 0,
        });
        let passed = now.saturating_duration_since(rate.filled).as_secs_f64();
        rate.tokens = (rate.tokens + passed * LINES_PER_SECOND).min(LINE_BURST);
        rate.filled = now;
        if rate.tokens < 1.0 {
            rate.dropped += 1;
            return None;
        }
        rate.tokens -= 1.0;
        Some(std::mem::take(&mut rate.dropped))
    }
}

/// Lines on their way to a reader.
#[derive(Clone, Debug, Default)]
pub struct LineBuffer {
    shared: Arc<BufferShared>,
}

#[derive(Debug, Default)]
struct BufferShared {
    state: Mutex<BufferState>,
    /// Told of new lines and of the end.
    filled: Condvar,
    /// Told when nothing is written any more.
    ended: Condvar,
}

#[derive(Debug, Default)]
struct BufferState {
    bytes: Vec<u8>,
    lost_lines: u64,
    /// Whether the last line has come.
    closed: bool,
    /// Whether nothing is written any more.
    ended: bool,
}

impl LineBuffer {
    /// Writes to `out` what comes into the buffer, until it is closed or `out` fails.
    pub fn write_out(&self, out: &mut impl Write) {
        while let Some(bytes) = self.wait_for_lines() {
            if out.write_all(&bytes).and_then(|()| out.flush()).is_err() {
                break;
            }
            let state = lock(&self.shared.state);
            let gathering = |state: &mut BufferState| !state.closed;
            let waited = self
                .shared
                .filled
                .wait_timeout_while(state, GATHER_TIME, gathering);
            drop(waited.unwrap_or_else(PoisonError::into_inner));
        }
        self.end();
    }

    /// Takes no more lines and waits until those that are there are written; false if that
    /// takes longer than `time`.
    pub fn close(&self, time: Duration) -> bool {
        let mut state = lock(&self.shared.state);
        state.closed = true;
        self.shared.filled.notify_all();
        let writing = |state: &mut BufferState| !state.ended;
        let waited = self.shared.ended.wait_timeout_while(state, time, writing);
        let (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        state.ended
    }

    fn end(&self) {
        lock(&self.shared.state).ended = true;
        self.shared.ended.notify_all();
    }

    /// The next lines; none once the buffer is closed and empty.
    fn wait_for_lines(&self) -> Option<Vec<u8>> {
        let mut state = lock(&self.shared.state);
        while state.bytes.is_empty() {
            if state.closed {
                return None;
            }
            let waited = self.shared.filled.wait(state);
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
        self.shared.filled.notify_one();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
