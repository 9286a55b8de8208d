//! quetzal pull DIR: brings what was accepted into the folder.
//!
//! Edits of the folder that were not published stay, and so do its comments.
//! Where the folder and another author changed one entry, nothing is written
//! until the operator says whose value it shall be.
//!
//! Exit codes: 0 the folder is up to date, 5 entries were changed by both.

use std::path::Path;
use std::process::ExitCode;

use bpaf::Bpaf;
use model::{ErrorKind, KindError};
use plans::merge::{ListMerge, MergeConflict, merge_lists};
use plans::{ConfigLists, ConfigState, EntryEdit};

use crate::client::DaemonClient;
use crate::config::{DaemonArgs, Result, daemon_args};
use crate::folder::{FolderArgs, FolderBase, ListFolder, create_lists, folder_args, has_lists};
use crate::output::outln;

/// Arguments of `pull`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct PullArgs {
    #[bpaf(external(daemon_args))]
    daemon: DaemonArgs,
    #[bpaf(external(clash_choice), optional)]
    choice: Option<ClashChoice>,
    #[bpaf(external(folder_args))]
    folder: FolderArgs,
}

/// Whose value an entry gets that both changed.
#[derive(Bpaf, Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClashChoice {
    /// Keep the folder's value of entries that others changed too
    Mine,
    /// Take the accepted value of entries that the folder changed too
    Theirs,
    /// Take the accepted lists whole; edits that were not published are lost
    Force,
}

/// Merges the accepted lists into the folder.
pub fn run(args: &PullArgs) -> Result<ExitCode> {
    let dir = &args.folder.dir;
    let client = DaemonClient::new(&args.daemon);
    let state = client.state()?;
    if state.version().offset().is_none() {
        return Err(nothing_held(dir, &state));
    }
    let base = FolderBase::at(&state, state.base());
    if !has_lists(dir) || args.choice == Some(ClashChoice::Force) {
        create_lists(dir, state.lists(), base)?;
        return Ok(finish(dir, &state));
    }
    let folder = ListFolder::open(dir)?;
    let state = client.state_from(folder.base.version.max(state.base()))?;
    folder.base.check(&state)?;
    let merge = merge_folder(&folder, &state)?;
    if args.choice.is_none() && !merge.conflicts.is_empty() {
        return Err(show_clashes(&merge.conflicts));
    }
    let lists = settle(&merge, args.choice);
    folder.update(&lists, base)?;
    for edit in &merge.incoming_edits {
        outln!("took {}", edit.entry);
    }
    for edit in state.lists().edits_to(&lists) {
        outln!("not published: {}", edit.entry);
    }
    Ok(finish(dir, &state))
}

/// The error where the daemon holds no lists: nothing was published, or they are lost.
fn nothing_held(dir: &Path, state: &ConfigState) -> KindError {
    let folder = has_lists(dir).then(|| ListFolder::open(dir));
    let checked = folder.map_or(Ok(()), |folder| folder?.base.check(state));
    let detail = "no lists are in force here; if none were published yet, \
                  begin with quetzal init DIR, else see quetzal status";
    let absent = || KindError::new(ErrorKind::ConfigAbsent, detail);
    checked.err().unwrap_or_else(absent)
}

/// Merges by the lists from which the folder was made, as far as they are remembered.
fn merge_folder(folder: &ListFolder, state: &ConfigState) -> Result<ListMerge> {
    let base = if folder.lists == *state.lists() {
        state.lists().clone()
    } else {
        state.lists_at(folder.base.version).map_err(|error| {
            let advice = "--force takes the accepted lists and loses the folder's edits";
            KindError::new(error.kind, format!("{}; {advice}", error.detail))
        })?
    };
    Ok(merge_lists(&base, &folder.lists, state.lists()))
}

/// The merged lists with the chosen values for clashes.
fn settle(merge: &ListMerge, choice: Option<ClashChoice>) -> ConfigLists {
    let mut lists = merge.lists.clone();
    if choice != Some(ClashChoice::Theirs) {
        return lists;
    }
    for clash in &merge.conflicts {
        lists.set_entry(&EntryEdit {
            entry: clash.entry.clone(),
            after: clash.accepted.clone(),
        });
    }
    lists
}

fn show_clashes(clashes: &[MergeConflict]) -> KindError {
    eprintln!("accepted (-) and in the folder (+):");
    for clash in clashes {
        eprint!("{}", clash.diff());
    }
    let count = clashes.len();
    let entries = if count == 1 {
        "entry was"
    } else {
        "entries were"
    };
    let detail = format!("{count} {entries} changed by both; pull with --mine or --theirs");
    KindError::new(ErrorKind::ChangeConflict, detail)
}

fn finish(dir: &Path, state: &ConfigState) -> ExitCode {
    outln!("version {} is in {}", state.version(), dir.display());
    ExitCode::SUCCESS
}
