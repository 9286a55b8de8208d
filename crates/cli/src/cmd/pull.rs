//! `quetzal pull DIR`: merges the accepted lists into the folder.
//!
//! Unpublished edits and comments in the folder are kept. If the folder and
//! another author changed the same entry, nothing is written until the operator
//! chooses one of the values.
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

/// Value to use for entries that both the folder and others changed.
#[derive(Bpaf, Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClashChoice {
    /// Keep the folder's value of entries that others have also changed
    Mine,
    /// Take the accepted value of entries that were also changed in the folder
    Theirs,
    /// Replace the folder's lists by the accepted ones; unpublished edits are lost
    Force,
}

/// Merges the accepted lists into the folder.
pub fn run(args: &PullArgs) -> Result<ExitCode> {
    let dir = &args.folder.dir;
    let client = DaemonClient::new(&args.daemon);
    let state = client.state()?;
    if state.version().offset().is_none() {
        return Err(no_lists_error(dir, &state));
    }
    let base = FolderBase::at(&state, state.base());
    if !has_lists(dir) || args.choice == Some(ClashChoice::Force) {
        create_lists(dir, state.lists(), base)?;
        return Ok(print_version(dir, &state));
    }
    let folder = ListFolder::open(dir)?;
    let state = client.state_at_least(folder.base.version.max(state.base()))?;
    folder.base.check(&state)?;
    let merge = merge_folder(&folder, &state)?;
    if args.choice.is_none() && !merge.conflicts.is_empty() {
        return Err(print_conflicts(&merge.conflicts));
    }
    let lists = resolve_conflicts(&merge, args.choice);
    folder.update(&lists, base)?;
    for edit in &merge.incoming_edits {
        outln!("took {}", edit.entry);
    }
    for edit in state.lists().edits_to(&lists) {
        outln!("not published: {}", edit.entry);
    }
    Ok(print_version(dir, &state))
}

/// Returns the error for a daemon without lists: none were published, or they were lost.
fn no_lists_error(dir: &Path, state: &ConfigState) -> KindError {
    let folder = has_lists(dir).then(|| ListFolder::open(dir));
    let checked = folder.map_or(Ok(()), |folder| folder?.base.check(state));
    let detail = "no lists are in force; if none have been published yet, \
                  start with quetzal init DIR, else see quetzal status";
    let absent = || KindError::new(ErrorKind::ConfigAbsent, detail);
    checked.err().unwrap_or_else(absent)
}

/// Merges the accepted lists into the folder's, with the lists of its base as common ancestor.
///
/// Fails if the folder was edited and its base is no longer remembered.
fn merge_folder(folder: &ListFolder, state: &ConfigState) -> Result<ListMerge> {
    let base = if folder.lists == *state.lists() {
        state.lists().clone()
    } else {
        state.lists_at(folder.base.version).map_err(|error| {
            let advice = "--force takes the accepted lists and discards the folder's edits";
            KindError::new(error.kind, format!("{}; {advice}", error.detail))
        })?
    };
    Ok(merge_lists(&base, &folder.lists, state.lists()))
}

/// Returns the merged lists with the chosen value for each conflict.
fn resolve_conflicts(merge: &ListMerge, choice: Option<ClashChoice>) -> ConfigLists {
    let mut lists = merge.lists.clone();
    if choice != Some(ClashChoice::Theirs) {
        return lists;
    }
    for conflict in &merge.conflicts {
        lists.set_entry(&EntryEdit {
            entry: conflict.entry.clone(),
            after: conflict.accepted.clone(),
        });
    }
    lists
}

/// Prints the conflicts and returns the error that asks for a choice.
fn print_conflicts(conflicts: &[MergeConflict]) -> KindError {
    eprintln!("accepted (-) and in the folder (+):");
    for conflict in conflicts {
        eprint!("{}", conflict.diff());
    }
    let count = conflicts.len();
    let entries = if count == 1 {
        "entry was"
    } else {
        "entries were"
    };
    let detail = format!("{count} {entries} changed by both; pull with --mine or --theirs");
    KindError::new(ErrorKind::ChangeConflict, detail)
}

/// Prints the version that the folder now contains.
fn print_version(dir: &Path, state: &ConfigState) -> ExitCode {
    outln!("version {} is in {}", state.version(), dir.display());
    ExitCode::SUCCESS
}
