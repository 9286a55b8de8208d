//! `quetzal explain REQUEST FILE...`: shows all log lines about one request.
//!
//! Log lines of the request and of the calls made while it ran are sorted by
//! time. The clocks of VMs differ slightly, so lines of different VMs that are
//! milliseconds apart may be in the wrong order; lines of one file with the same
//! time keep their order.
//!
//! Exit codes: 0 lines were found, 2 no line mentions the request.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::Bpaf;
use comfy_table::Table;
use comfy_table::presets::NOTHING;
use model::{ErrorKind, KindError};
use serde_json::{Map, Value};

use crate::config::Result;
use crate::output::outln;

/// Fields that have their own column or do not concern the request.
const OMITTED_FIELDS: [&str; 7] = [
    "time_ms",
    "vm",
    "event",
    "request",
    "level",
    "module",
    "dropped_before",
];

/// Arguments of `explain`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct ExplainArgs {
    /// Id of the request, as its caller sent it
    #[bpaf(positional("REQUEST"))]
    request: String,
    /// Log files of the daemons, in any order
    #[bpaf(positional("FILE"), some("name at least one file"))]
    files: Vec<PathBuf>,
}

/// A log line about the request.
struct RequestLogLine {
    time_ms: u64,
    /// Line number in its file, which orders lines with the same time.
    position: usize,
    fields: Map<String, Value>,
}

/// Reads the files and prints the lines about the request in order.
pub fn run(args: &ExplainArgs) -> Result<ExitCode> {
    let mut lines = Vec::new();
    for file in &args.files {
        read_log_file(file, &args.request, &mut lines)?;
    }
    if lines.is_empty() {
        let detail = format!("no log line mentions the request {}", args.request);
        return Err(KindError::new(ErrorKind::RequestInvalid, detail));
    }
    lines.sort_by_key(|line| (line.time_ms, line.position));
    outln!("{}", render_table(&lines, &args.request));
    Ok(ExitCode::SUCCESS)
}

/// Appends the lines of a log file that concern the request to `lines`.
fn read_log_file(path: &Path, request: &str, lines: &mut Vec<RequestLogLine>) -> Result<()> {
    let read_error = |error: std::io::Error| {
        KindError::new(
            ErrorKind::LocalFailed,
            format!("{}: {error}", path.display()),
        )
    };
    let file = File::open(path).map_err(read_error)?;
    for (position, line) in BufReader::new(file).lines().enumerate() {
        let line = line.map_err(read_error)?;
        // Log collectors may prefix a time or a name to the line that the process wrote.
        let Some(start) = line.find('{') else {
            continue;
        };
        let Ok(Value::Object(fields)) = serde_json::from_str(&line[start..]) else {
            continue;
        };
        if !concerns_request(&fields, request) {
            continue;
        }
        let time_ms = fields.get("time_ms").and_then(Value::as_u64);
        lines.push(RequestLogLine {
            time_ms: time_ms.unwrap_or(0),
            position,
            fields,
        });
    }
    Ok(())
}

/// Returns whether a line is about the request or a call made while it ran.
///
/// The id of such a call is the request's id followed by a dot and a suffix.
fn concerns_request(fields: &Map<String, Value>, request: &str) -> bool {
    let Some(line_request) = fields.get("request").and_then(Value::as_str) else {
        return false;
    };
    let suffix = line_request.strip_prefix(request);
    suffix.is_some_and(|suffix| suffix.is_empty() || suffix.starts_with('.'))
}

fn render_table(lines: &[RequestLogLine], request: &str) -> Table {
    let first_ms = lines.first().map_or(0, |line| line.time_ms);
    let mut table = Table::new();
    table.load_preset(NOTHING);
    table.set_header(["ms", "vm", "request", "event", "inputs and outcome"]);
    for line in lines {
        let text = |name: &str| {
            let value = line.fields.get(name).and_then(Value::as_str);
            value.unwrap_or_default().to_owned()
        };
        let line_request = text("request");
        let label = match line_request.strip_prefix(request) {
            Some("") | None => "itself".to_owned(),
            Some(call) => format!("call {call}"),
        };
        table.add_row([
            (line.time_ms - first_ms).to_string(),
            text("vm"),
            label,
            text("event"),
            format_fields(&line.fields),
        ]);
    }
    table
}

/// Formats the remaining non-empty fields as `name=value`.
fn format_fields(fields: &Map<String, Value>) -> String {
    let shown = fields
        .iter()
        .filter(|(name, value)| !OMITTED_FIELDS.contains(&name.as_str()) && !is_blank(value));
    let pairs = shown.map(|(name, value)| match value {
        Value::String(text) => format!("{name}={text}"),
        other => format!("{name}={other}"),
    });
    pairs.collect::<Vec<_>>().join(" ")
}

fn is_blank(value: &Value) -> bool {
    value.as_str().is_some_and(str::is_empty)
}
