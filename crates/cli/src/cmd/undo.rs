//! `quetzal undo VERSION`: reverts one accepted version by publishing a new one.
//!
//! Refused if the same entries have been changed since. Exit codes are those of
//! `publish`.

use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use model::{ChangeId, ConfigVersion, KindError};
use plans::ChangeMeta;
use uuid::Uuid;

use crate::client::DaemonClient;
use crate::config::{AuthorArgs, DaemonArgs, Result, author_args, daemon_args};
use crate::folder::FolderBase;
use crate::follow::follow_rollout;
use crate::output::outln;
use crate::publication::{ConfigLog, print_refusal};

/// Arguments of `undo`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct UndoArgs {
    #[bpaf(external(daemon_args))]
    daemon: DaemonArgs,
    #[bpaf(external(author_args))]
    author: AuthorArgs,
    /// Seconds to wait until the change is in force everywhere
    #[bpaf(argument("SECONDS"), fallback(15), display_fallback)]
    wait: u64,
    /// Id of an undo whose outcome is unknown, to publish it again
    #[bpaf(argument("ID"), optional)]
    change: Option<ChangeId>,
    /// Print JSON
    json: bool,
    /// Version to revert
    #[bpaf(positional("VERSION"))]
    version: ConfigVersion,
}

/// Publishes the change that reverts the version.
pub fn run(args: &UndoArgs) -> Result<ExitCode> {
    let client = DaemonClient::new(&args.daemon);
    let log = ConfigLog::open(&client, FolderBase::default())?;
    let state = log.state();
    let note = match args.author.note.as_str() {
        "" => format!("undo of version {}", args.version),
        note => note.to_owned(),
    };
    let meta = ChangeMeta {
        id: args.change.unwrap_or_else(|| ChangeId(Uuid::now_v7())),
        author: args.author.author()?,
        note: note.into(),
    };
    let change = state
        .undo(args.version, meta)
        .map_err(|error| add_history_advice(&error))?;
    if let Some(refusal) = state.preview(&change) {
        return Err(print_refusal(&refusal));
    }
    if !args.json {
        outln!("change {} by {}: {}", change.id, change.author, change.note);
        for edit in &change.edits {
            outln!("  {}", edit.entry);
        }
    }
    let publication = log.publish(&change)?;
    follow_rollout(
        &client,
        &publication,
        Duration::from_secs(args.wait),
        args.json,
    )
}

/// Adds to an error where to find the versions that can be reverted.
fn add_history_advice(error: &KindError) -> KindError {
    let detail = format!("{}; see quetzal history", error.detail);
    KindError::new(error.kind, detail)
}
