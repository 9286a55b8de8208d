//! `quetzal diff DIR`: shows what publishing the folder would change.
//!
//! Exit codes: 0 the change would currently be accepted, 5 it would be refused.

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
use crate::publication::print_refusal;

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

/// Effect of publishing the folder.
#[derive(Serialize)]
struct DiffReport {
    /// Version that the folder is based on.
    base: ConfigVersion,
    /// Version in force.
    version: ConfigVersion,
    edits: Vec<EntryEdit>,
    /// Reason for which the change would be refused.
    refusal: Option<ChangeRefusal>,
}

/// Compares the folder with the lists that it is based on.
pub fn run(args: &DiffArgs) -> Result<ExitCode> {
    let folder = ListFolder::open(&args.folder.dir)?;
    let state = DaemonClient::new(&args.daemon).state_at_least(folder.base.version)?;
    folder.base.check(&state)?;
    let before = state.lists_at(folder.base.version)?;
    let edits = before.edits_to(&folder.lists);
    let report = DiffReport {
        base: folder.base.version,
        version: state.version(),
        refusal: preview_refusal(&state, folder.base.version, &edits)?,
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
    Err(print_refusal(refusal))
}

/// Returns the refusal that the edits would currently get.
fn preview_refusal(
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
        let old = before.entry(&edit.entry);
        let text = diff_entry(&edit.entry, old.as_ref(), edit.after.as_ref());
        outln!("{}", text.trim_end());
    }
    if report.edits.is_empty() {
        outln!("nothing to publish");
    }
}
