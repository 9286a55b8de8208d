//! quetzal history: lists the accepted changes that are remembered.

use std::process::ExitCode;

use bpaf::Bpaf;

use crate::client::DaemonClient;
use crate::config::{DaemonArgs, Result, daemon_args};
use crate::output::print_json;

/// Arguments of `history`.
#[derive(Bpaf, Clone, Debug)]
pub struct HistoryArgs {
    #[bpaf(external(daemon_args))]
    daemon: DaemonArgs,
    /// Show what each change did
    #[bpaf(short('p'))]
    patch: bool,
    /// Print JSON
    json: bool,
}

/// Prints the changes, newest first.
pub fn run(args: &HistoryArgs) -> Result<ExitCode> {
    let state = DaemonClient::new(&args.daemon).state()?;
    if args.json {
        let changes: Vec<_> = state.history().rev().collect();
        print_json(&changes)?;
        return Ok(ExitCode::SUCCESS);
    }
    for change in state.history().rev() {
        let at = humantime::format_rfc3339_seconds(change.at);
        println!(
            "{:>6}  {at}  {}  {}",
            change.version.to_string(),
            change.author,
            change.note
        );
        if args.patch {
            for line in state.diff_of(change.version).unwrap_or_default().lines() {
                println!("        {line}");
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}
