//! quetzal publish DIR: publishes the two lists and follows them until they
//! are in force.
//!
//! Exit codes: 0 in force everywhere, 2 mistakes in the lists, 5 refused,
//! 6 accepted but not yet everywhere, 7 unknown whether accepted, 8 the log
//! service took nothing.

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
use crate::follow::follow;
use crate::output::{outln, print_json};
use crate::publication::{ConfigLog, show_refusal};

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
    /// Identity of a change whose outcome is unknown, to publish it again
    #[bpaf(argument("ID"), optional)]
    change: Option<ChangeId>,
    /// Print JSON
    json: bool,
    #[bpaf(external(folder_args))]
    folder: FolderArgs,
}

/// Publishes and follows.
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
        return say_nothing_to_do(state.version(), args.json);
    }
    let before = state.lists_at(folder.base.version)?;
    if args.change.is_none() && is_in_force(state, &change) {
        // A publish that was broken off came through.
        catch_up(&folder, &before, state, state.base())?;
        return say_nothing_to_do(state.version(), args.json);
    }
    // What is bound to be refused need not use up the log.
    if let Some(refusal) = state.preview(&change) {
        return Err(show_refusal(&refusal));
    }
    if !args.json {
        let (id, author, base) = (change.id, &change.author, folder.base.version);
        outln!("change {id} by {author} upon version {base}");
    }
    let publication = log.publish(&change)?;
    catch_up(&folder, &before, &publication.state, publication.version)?;
    follow(
        &client,
        &publication,
        Duration::from_secs(args.wait),
        args.json,
    )
}

/// Brings the folder to the accepted version, with what others changed before it.
///
/// Without this the next change would be made upon lists that lack the others'
/// changes, and take them back. Edits that a repeated change did not hold stay.
fn catch_up(
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

/// Whether the lists hold every edit already.
fn is_in_force(state: &ConfigState, change: &ChangeRecord) -> bool {
    let lists = state.lists();
    let mut edits = change.edits.iter();
    edits.all(|edit| lists.entry(&edit.entry) == edit.after)
}

fn say_nothing_to_do(version: ConfigVersion, json: bool) -> Result<ExitCode> {
    if json {
        print_json(&json!({ "version": version, "edits": 0 }))?;
    } else {
        outln!("nothing to publish; version {version} is in force");
    }
    Ok(ExitCode::SUCCESS)
}
