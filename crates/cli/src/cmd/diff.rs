//! quetzal diff DIR: shows what publishing the folder would change.

use std::process::ExitCode;

use bpaf::Bpaf;

use crate::client::DaemonClient;
use crate::config::{DaemonArgs, Result, daemon_args};
use crate::folder::{FolderArgs, folder_args, read_base, read_lists};
use crate::output::print_json;

/// Arguments of `diff`.
#[derive(Bpaf, Clone, Debug)]
pub struct DiffArgs {
    #[bpaf(external(daemon_args))]
    daemon: DaemonArgs,
    /// Print JSON
    json: bool,
    #[bpaf(external(folder_args))]
    folder: FolderArgs,
}

/// Compares the folder with the lists that it was made from.
pub fn run(args: &DiffArgs) -> Result<ExitCode> {
    let wanted = read_lists(&args.folder.dir)?;
    let state = DaemonClient::new(&args.daemon).state()?;
    let base = read_base(&args.folder.dir)?;
    let edits = state.lists_at(base)?.edits_to(&wanted);
    if args.json {
        print_json(&edits)?;
        return Ok(ExitCode::SUCCESS);
    }
    println!(
        "upon version {base}; version {} is in force",
        state.version()
    );
    for edit in &edits {
        let verb = if edit.after.is_some() {
            "set"
        } else {
            "remove"
        };
        println!("{verb} {}", edit.entry);
    }
    if edits.is_empty() {
        println!("nothing would change");
    }
    Ok(ExitCode::SUCCESS)
}
