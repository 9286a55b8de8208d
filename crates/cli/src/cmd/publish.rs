//! `quetzal publish DIR`: publishes the two lists and waits until they are in
//! force.
//!
//! Exit codes: 0 in force everywhere, 2 mistakes in the lists, 5 refused,
//! 6 accepted but not yet in force everywhere, 7 unknown whether accepted,
//! 8 the log service accepted nothing.

use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use model::{ChangeId, ConfigVersion};
use plans::merge::merge_lists;
use plans::{ChangeMeta, ChangeRecord, ConfigLists, ConfigState};
use serde_json::json;
use uuid::Uuid;

use crate::client::DaemonClient;
use crate::config::{AuthorArgs, DaemonArgs, Result, author_args, daemon_args};
use crate::folder::{FolderArgs, FolderBase, ListFolder, folder_args};
use crate::follow::follow_rollout;
use crate::output::{outln, print_json};
use crate::publication::{ConfigLog, print_refusal};

/// Arguments of `publish`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct PublishArgs {
    #[bpaf(external(daemon_args))]
    daemon: DaemonArgs,
    #[bpaf(external(author_args))]
    author: AuthorArgs,
    /// Seconds to wait until the change is in force everywhere
    #[bpaf(argument("SECONDS"), fallback(15), display_fallback)]
    wait: u64,
    /// Id of a change whose outcome is unknown, to publish it again
    #[bpaf(argument("ID"), optional)]
    change: Option<ChangeId>,
    /// Print JSON
    json: bool,
    #[bpaf(external(folder_args))]
    folder: FolderArgs,
}

/// Publishes the folder and waits for the rollout.
pub fn run(args: &PublishArgs) -> Result<ExitCode> {
    let folder = ListFolder::open(&args.folder.dir)?;
    let client = DaemonClient::new(&args.daemon);
    let log = ConfigLog::open(&client, folder.base)?;
    let state = log.state();
    let meta = ChangeMeta {
        id: args.change.unwrap_or_else(|| ChangeId(Uuid::now_v7())),
        author: args.author.author()?,
        note: args.author.note.as_str().into(),
    };
    let change = ChangeRecord::between(state, folder.base.version, &folder.lists, meta)?;
    if change.edits.is_empty() {
        return report_nothing_to_publish(state.version(), args.json);
    }
    let before = state.lists_at(folder.base.version)?;
    if args.change.is_none() && is_in_force(state, &change) {
        // An earlier publish was interrupted after its append and has been accepted.
        update_folder(&folder, &before, state, state.base())?;
        return report_nothing_to_publish(state.version(), args.json);
    }
    // A change that will be refused is not appended, to save the log's append rate.
    if let Some(refusal) = state.preview(&change) {
        return Err(print_refusal(&refusal));
    }
    if !args.json {
        let (id, author, base) = (change.id, &change.author, folder.base.version);
        outln!("change {id} by {author} upon version {base}");
    }
    let publication = log.publish(&change)?;
    update_folder(&folder, &before, &publication.state, publication.version)?;
    follow_rollout(
        &client,
        &publication,
        Duration::from_secs(args.wait),
        args.json,
    )
}

/// Updates the folder to the accepted version, including earlier changes by others.
///
/// Otherwise the next change would be based on lists without those changes and
/// revert them. Edits that a repeated change did not include are kept.
fn update_folder(
    folder: &ListFolder,
    before: &ConfigLists,
    state: &ConfigState,
    version: ConfigVersion,
) -> Result<()> {
    let accepted = state.lists_at(version)?;
    let merge = merge_lists(before, &folder.lists, &accepted);
    for edit in accepted.edits_to(&merge.lists) {
        eprintln!("not published: {}", edit.entry);
    }
    folder.update(&merge.lists, FolderBase::at(state, version))
}

/// Returns whether the accepted lists already contain every edit.
fn is_in_force(state: &ConfigState, change: &ChangeRecord) -> bool {
    let lists = state.lists();
    let mut edits = change.edits.iter();
    edits.all(|edit| lists.entry(&edit.entry) == edit.after)
}

/// Prints that the folder has no edits to publish.
fn report_nothing_to_publish(version: ConfigVersion, json: bool) -> Result<ExitCode> {
    if json {
        print_json(&json!({ "version": version, "edits": 0 }))?;
    } else {
        outln!("nothing to publish; version {version} is in force");
    }
    Ok(ExitCode::SUCCESS)
}
