//! quetzal explain REQUEST FILE...: tells one request's story from the daemons' log lines.
//!
//! Lines of the request and of the calls that its run made are put in order of
//! time. Clocks of VMs differ by a little, so lines of different VMs that are
//! milliseconds apart may stand in the wrong order; lines of one VM never do.
//!
//! Exit codes: 0 told, 2 no line names the request.

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

/// Fields that have a column of their own or say nothing about the request.
const SHOWN_FIELDS: [&str; 7] = [
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
    /// Files with log lines of the daemons, in any order
    #[bpaf(positional("FILE"), some("name at least one file"))]
    files: Vec<PathBuf>,
}

/// One line about the request.
struct StoryLine {
    time_ms: u64,
    /// Position among the lines of its file, which orders lines of one moment.
    position: usize,
    fields: Map<String, Value>,
}

/// Reads the files and prints the request's lines in order.
pub fn run(args: &ExplainArgs) -> Result<ExitCode> {
    let mut story = Vec::new();
    for file in &args.files {
        read_story(file, &args.request, &mut story)?;
    }
    if story.is_empty() {
        let detail = format!("no line names the request {}", args.request);
        return Err(KindError::new(ErrorKind::RequestInvalid, detail));
    }
    story.sort_by_key(|line| (line.time_ms, line.position));
    outln!("{}", render(&story, &args.request));
    Ok(ExitCode::SUCCESS)
}

fn read_story(path: &Path, request: &str, story: &mut Vec<StoryLine>) -> Result<()> {
    let failed = |error: std::io::Error| {
        KindError::new(
            ErrorKind::LocalFailed,
            format!("{}: {error}", path.display()),
        )
    };
    let file = File::open(path).map_err(failed)?;
    for (position, line) in BufReader::new(file).lines().enumerate() {
        let line = line.map_err(failed)?;
        // Collectors put a time or a name in front of what a process wrote.
        let Some(start) = line.find('{') else {
            continue;
        };
        let Ok(Value::Object(fields)) = serde_json::from_str(&line[start..]) else {
            continue;
        };
        if !names(&fields, request) {
            continue;
        }
        let time_ms = fields.get("time_ms").and_then(Value::as_u64);
        story.push(StoryLine {
            time_ms: time_ms.unwrap_or(0),
            position,
            fields,
        });
    }
    Ok(())
}

/// Whether a line is about the request or a call that its run made.
fn names(fields: &Map<String, Value>, request: &str) -> bool {
    let Some(named) = fields.get("request").and_then(Value::as_str) else {
        return false;
    };
    let rest = named.strip_prefix(request);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
}

fn render(story: &[StoryLine], request: &str) -> Table {
    let first = story.first().map_or(0, |line| line.time_ms);
    let mut table = Table::new();
    table.load_preset(NOTHING);
    table.set_header(["ms", "vm", "request", "event", "inputs and outcome"]);
    for line in story {
        let text = |name: &str| {
            let value = line.fields.get(name).and_then(Value::as_str);
            value.unwrap_or_default().to_owned()
        };
        let named = text("request");
        let label = match named.strip_prefix(request) {
            Some("") | None => "itself".to_owned(),
            Some(call) => format!("call {call}"),
        };
        table.add_row([
            (line.time_ms - first).to_string(),
            text("vm"),
            label,
            text("event"),
            describe(&line.fields),
        ]);
    }
    table
}

/// The remaining fields that say something.
fn describe(fields: &Map<String, Value>) -> String {
    let told = fields
        .iter()
        .filter(|(name, value)| !SHOWN_FIELDS.contains(&name.as_str()) && !is_blank(value));
    let words = told.map(|(name, value)| match value {
        Value::String(text) => format!("{name}={text}"),
        other => format!("{name}={other}"),
    });
    words.collect::<Vec<_>>().join(" ")
}

fn is_blank(value: &Value) -> bool {
    value.as_str().is_some_and(str::is_empty)
}
