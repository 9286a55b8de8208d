//! quetzal undo VERSION: takes one accepted version back, as a new version.

use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use model::{ChangeId, ConfigVersion};
use plans::ChangeMeta;
use uuid::Uuid;

use crate::client::DaemonClient;
use crate::cmd::publish::show;
use crate::config::{AuthorArgs, DaemonArgs, Result, author_args, daemon_args};
use crate::follow::{append_change, await_force, await_verdict};

/// Arguments of `undo`.
#[derive(Bpaf, Clone, Debug)]
pub struct UndoArgs {
    #[bpaf(external(daemon_args))]
    daemon: DaemonArgs,
    #[bpaf(external(author_args))]
    author: AuthorArgs,
    /// Seconds to wait until the change is in force everywhere
    #[bpaf(argument("SECONDS"), fallback(15), display_fallback)]
    wait: u64,
    /// Print JSON
    json: bool,
    /// Version to take back
    #[bpaf(positional("VERSION"))]
    version: ConfigVersion,
}

/// Publishes the change that takes the version back.
pub fn run(args: &UndoArgs) -> Result<ExitCode> {
    let client = DaemonClient::new(&args.daemon);
    let state = client.state()?;
    let note = match args.author.note.as_str() {
        "" => format!("undo of version {}", args.version),
        note => note.to_owned(),
    };
    let meta = ChangeMeta {
        id: ChangeId(Uuid::now_v7()),
        author: args.author.author()?,
        note: note.into(),
    };
    let record = state.undo(args.version, meta)?;
    append_change(&client.log()?, &record.encode()?)?;
    let version = await_verdict(&client, record.id)?;
    let wait = Duration::from_secs(args.wait);
    let report = await_force(&client, record.id, version, wait, |_| {})?;
    show(&report, args.json)?;
    Ok(report.exit_code())
}
