//! quetzal diff DIR: shows what publishing the folder would change.
//!
//! Exit codes: 0 it would be accepted as things stand, 5 it would be refused.

use std::process::ExitCode;

use bpaf::Bpaf;
use model::{ChangeId, ConfigVersion};
use plans::entry::diff_entry;
use plans::{ChangeMeta, ChangeRecord, ChangeRefusal, ConfigLists, ConfigState, EntryEdit};
use serde::Serialize;
use uuid::Uuid;

use crate::client::DaemonClient;
use crate::config::{DaemonArgs, Result, daemon_args};
use crate::folder::{FolderArgs, ListFolder, folder_args};
use crate::output::{outln, print_json};
use crate::publication::show_refusal;

/// Arguments of `diff`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct DiffArgs {
    #[bpaf(external(daemon_args))]
    daemon: DaemonArgs,
    /// Print JSON
    json: bool,
    #[bpaf(external(folder_args))]
    folder: FolderArgs,
}

/// What publishing would do.
#[derive(Serialize)]
struct DiffReport {
    /// The version from which the folder was made.
    base: ConfigVersion,
    /// The version in force.
    version: ConfigVersion,
    edits: Vec<EntryEdit>,
    /// Why it would be refused.
    refusal: Option<ChangeRefusal>,
}

/// Compares the folder with the lists from which it was made.
pub fn run(args: &DiffArgs) -> Result<ExitCode> {
    let folder = ListFolder::open(&args.folder.dir)?;
    let state = DaemonClient::new(&args.daemon).state_from(folder.base.version)?;
    folder.base.check(&state)?;
    let before = state.lists_at(folder.base.version)?;
    let edits = before.edits_to(&folder.lists);
    let report = DiffReport {
        base: folder.base.version,
        version: state.version(),
        refusal: predict(&state, folder.base.version, &edits)?,
        edits,
    };
    if args.json {
        print_json(&report)?;
    } else {
        print_edits(&report, &before);
    }
    let Some(refusal) = &report.refusal else {
        return Ok(ExitCode::SUCCESS);
    };
    if args.json {
        return Ok(ExitCode::from(refusal.kind.properties().exit_code));
    }
    Err(show_refusal(refusal))
}

/// The refusal that the edits would meet now.
fn predict(
    state: &ConfigState,
    base: ConfigVersion,
    edits: &[EntryEdit],
) -> Result<Option<ChangeRefusal>> {
    if edits.is_empty() {
        return Ok(None);
    }
    let meta = ChangeMeta {
        id: ChangeId(Uuid::nil()),
        author: "diff".parse()?,
        note: "".into(),
    };
    Ok(state.preview(&ChangeRecord::new(base, edits.to_vec(), meta)))
}

fn print_edits(report: &DiffReport, before: &ConfigLists) {
    let (base, version) = (report.base, report.version);
    outln!("made from version {base}; version {version} is in force");
    for edit in &report.edits {
        let held = before.entry(&edit.entry);
        let text = diff_entry(&edit.entry, held.as_ref(), edit.after.as_ref());
        outln!("{}", text.trim_end());
    }
    if report.edits.is_empty() {
        outln!("nothing to publish");
    }
}
