//! `quetzal history`: lists the accepted changes that the daemons still remember.

use std::process::ExitCode;

use bpaf::Bpaf;
use model::{AuthorName, ChangeId, ConfigVersion};
use plans::{AcceptedChange, ConfigState};
use serde::Serialize;

use crate::client::DaemonClient;
use crate::config::{DaemonArgs, Result, daemon_args};
use crate::output::{outln, print_json};

/// Maximum number of entries listed per change.
const MAX_LISTED_ENTRIES: usize = 3;

/// Arguments of `history`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct HistoryArgs {
    #[bpaf(external(daemon_args))]
    daemon: DaemonArgs,
    /// Maximum number of changes to list
    #[bpaf(short('n'), long, argument("COUNT"), fallback(20), display_fallback)]
    limit: usize,
    /// Show the edits of each change
    #[bpaf(short('p'), long)]
    patch: bool,
    /// Print JSON
    json: bool,
}

/// An accepted change, as listed.
#[derive(Serialize)]
struct HistoryRow {
    version: ConfigVersion,
    change: ChangeId,
    at: String,
    author: AuthorName,
    note: Box<str>,
    entries: Vec<String>,
    /// Edits of the change, if requested.
    diff: Option<String>,
}

impl HistoryRow {
    fn new(state: &ConfigState, change: &AcceptedChange, patch: bool) -> Self {
        let entries = change.before.iter().map(|edit| edit.entry.to_string());
        let diff = patch.then(|| state.diff_of(change.version).unwrap_or_default());
        Self {
            version: change.version,
            change: change.id,
            at: humantime::format_rfc3339_seconds(change.at).to_string(),
            author: change.author.clone(),
            note: change.note.clone(),
            entries: entries.collect(),
            diff,
        }
    }

    fn print(&self) {
        let version = self.version.to_string();
        let (at, author, note) = (&self.at, &self.author, &self.note);
        outln!("{version:>6}  {at}  {author}  {note}");
        if let Some(diff) = &self.diff {
            for line in diff.lines() {
                outln!("        {line}");
            }
            return;
        }
        for entry in self.entries.iter().take(MAX_LISTED_ENTRIES) {
            outln!("        {entry}");
        }
        if self.entries.len() > MAX_LISTED_ENTRIES {
            outln!(
                "        and {} more",
                self.entries.len() - MAX_LISTED_ENTRIES
            );
        }
    }
}

/// Prints the changes, newest first.
pub fn run(args: &HistoryArgs) -> Result<ExitCode> {
    let state = DaemonClient::new(&args.daemon).state()?;
    let changes = state.history().rev().take(args.limit);
    let rows: Vec<HistoryRow> = changes
        .map(|change| HistoryRow::new(&state, change, args.patch))
        .collect();
    if args.json {
        print_json(&rows)?;
        return Ok(ExitCode::SUCCESS);
    }
    for row in &rows {
        row.print();
    }
    if state.history().next().is_none() {
        outln!("nothing has been published yet");
    }
    Ok(ExitCode::SUCCESS)
}
