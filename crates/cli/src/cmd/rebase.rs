//! quetzal rebase: leads the fleet on after the log lost records or began anew.
//!
//! Appends the lists that are in force, or those of a folder, with a version
//! above every version known to the fleet. Exit codes are those of `publish`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use daemon::status::StatusReport;
use model::{ChangeId, ConfigVersion, ErrorKind, LogOffset, ensure};
use plans::{ChangeMeta, ConfigState, ListPair};
use uuid::Uuid;

use crate::client::DaemonClient;
use crate::config::{AuthorArgs, DaemonArgs, Result, author_args, daemon_args};
use crate::folder::ListFolder;
use crate::follow::follow;
use crate::output::outln;
use crate::rebase_log::RebaseLog;

/// Versions left free above the highest one known, for daemons that are not heard.
const VERSION_MARGIN: u64 = 1000;

/// Arguments of `rebase`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct RebaseArgs {
    #[bpaf(external(daemon_args))]
    daemon: DaemonArgs,
    #[bpaf(external(author_args))]
    author: AuthorArgs,
    /// Seconds to wait until the version is in force everywhere
    #[bpaf(argument("SECONDS"), fallback(30), display_fallback)]
    wait: u64,
    /// Rebase though no daemon reports that the log is diverged
    force: bool,
    /// Print JSON
    json: bool,
    /// Folder with the lists to go on with, if not those in force
    #[bpaf(positional("DIR"), optional)]
    dir: Option<PathBuf>,
}

/// Appends the rebase and follows it.
pub fn run(args: &RebaseArgs) -> Result<ExitCode> {
    let client = DaemonClient::new(&args.daemon);
    let status = client.status()?;
    let needed = args.force || is_diverged(&status);
    let detail = "no daemon reports that the log is diverged; ask another one, or use --force";
    ensure(needed, ErrorKind::ChangeRefused, detail)?;
    let state = client.state_from(highest_version(&status))?;
    let folder = args.dir.as_deref().map(ListFolder::open).transpose()?;
    let lists = choose_lists(&state, folder.as_ref())?;
    let log = RebaseLog::open(&client, state.head())?;
    let version = version_above(state.base().max(log.base()));
    let meta = ChangeMeta {
        id: ChangeId(Uuid::now_v7()),
        author: args.author.author()?,
        note: args.author.note.as_str().into(),
    };
    if !args.json {
        let (id, author) = (meta.id, &meta.author);
        outln!("rebase {id} by {author} to version {version}");
    }
    let publication = log.rebase(version, lists, meta)?;
    if let Some(folder) = folder {
        folder.update(&folder.lists, version)?;
    }
    follow(
        &client,
        &publication,
        Duration::from_secs(args.wait),
        args.json,
    )
}

/// Whether the daemon finds the log diverged or heard of one that does.
fn is_diverged(status: &StatusReport) -> bool {
    let own = status.log.as_deref();
    let mut laggards = status.fleet.laggards.iter();
    own.is_some_and(|log| log.contains("diverged"))
        || laggards.any(|lag| lag.reason.contains("diverged"))
}

/// The highest version that the daemon knows of in the fleet.
fn highest_version(status: &StatusReport) -> ConfigVersion {
    let versions = status.fleet.versions.iter().map(|count| count.version);
    let laggards = status.fleet.laggards.iter().map(|lag| lag.version);
    let highest = versions.chain(laggards).max().unwrap_or_default();
    highest.max(status.version)
}

/// The folder's lists if they hold all that was accepted, else those in force.
fn choose_lists(state: &ConfigState, folder: Option<&ListFolder>) -> Result<ListPair> {
    let Some(folder) = folder else {
        return Ok(state.lists().clone());
    };
    let (base, version) = (folder.base, state.version());
    let detail = format!("the folder holds version {base}, in force is {version}; pull first");
    ensure(base >= version, ErrorKind::ChangeConflict, &detail)?;
    Ok(folder.lists.clone())
}

fn version_above(highest: ConfigVersion) -> ConfigVersion {
    ConfigVersion::at(LogOffset(highest.number() + VERSION_MARGIN))
}
