//! quetzal pull DIR: fetches the accepted lists.

use std::process::ExitCode;

use bpaf::Bpaf;
use model::{ErrorKind, KindError};

use crate::client::DaemonClient;
use crate::config::{DaemonArgs, Result, daemon_args};
use crate::folder::{FolderArgs, folder_args, has_lists, read_base, read_lists, write_lists};

/// Arguments of `pull`.
#[derive(Bpaf, Clone, Debug)]
pub struct PullArgs {
    #[bpaf(external(daemon_args))]
    daemon: DaemonArgs,
    /// Overwrite edits in the folder that were not published
    force: bool,
    #[bpaf(external(folder_args))]
    folder: FolderArgs,
}

/// Writes the accepted lists, unless that would lose edits.
pub fn run(args: &PullArgs) -> Result<ExitCode> {
    let dir = &args.folder.dir;
    let state = DaemonClient::new(&args.daemon).state()?;
    if has_lists(dir) && !args.force {
        let base = read_base(dir)?;
        let kept = state
            .lists_at(base)
            .is_ok_and(|lists| read_lists(dir).is_ok_and(|found| found == lists));
        if !kept {
            let detail = "the folder holds edits that were not published; use --force to lose them";
            return Err(KindError::new(ErrorKind::RequestInvalid, detail));
        }
    }
    write_lists(dir, state.lists(), state.base())?;
    println!("version {} is in {}", state.version(), dir.display());
    Ok(ExitCode::SUCCESS)
}
