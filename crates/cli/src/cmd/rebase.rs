//! `quetzal rebase`: continues with a new version after the log lost records, was
//! reset, or expired records that no daemon had read.
//!
//! Appends the lists that are in force, or those of a folder, with a version
//! higher than any known to the fleet. Exit codes are those of `publish`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use daemon::status::StatusReport;
use model::{ChangeId, ConfigVersion, LogOffset};
use plans::ChangeMeta;
use uuid::Uuid;

use crate::client::DaemonClient;
use crate::config::{AuthorArgs, DaemonArgs, Result, author_args, daemon_args};
use crate::folder::{FolderBase, ListFolder};
use crate::follow::follow_rollout;
use crate::loss::{LogLoss, RebaseContext};
use crate::output::outln;
use crate::rebase_log::RebaseLog;

/// Gap left above the highest known version, for versions that only unreachable daemons hold.
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
    /// Rebase even if no loss is reported or changes may be reverted
    force: bool,
    /// Print JSON
    json: bool,
    /// Folder with the lists to continue with, instead of those in force
    #[bpaf(positional("DIR"), optional)]
    dir: Option<PathBuf>,
}

/// Appends the rebase and waits for its rollout.
pub fn run(args: &RebaseArgs) -> Result<ExitCode> {
    let client = DaemonClient::new(&args.daemon);
    let folder = args.dir.as_deref().map(ListFolder::open).transpose()?;
    let status = client.status()?;
    let reported = LogLoss::reported(&status);
    let state = client.state_at_least(highest_version(&status))?;
    let known = folder
        .as_ref()
        .map_or(state.base(), |folder| folder.base.version.max(state.base()));
    let same_log_state = Some(&state).filter(|_| reported == LogLoss::None);
    let log = RebaseLog::open(&client, known, same_log_state)?;
    let context = RebaseContext {
        loss: reported.or_from_folder(folder.as_ref(), &log),
        status: &status,
        state: &state,
        folder: folder.as_ref(),
        log: &log,
    };
    context.check(args.force)?;
    let (version, missing) = (
        version_above(context.highest_possible_version()),
        context.possibly_missing(),
    );
    let lists = folder
        .as_ref()
        .map_or(state.lists(), |folder| &folder.lists);
    let meta = ChangeMeta {
        id: ChangeId(Uuid::now_v7()),
        author: args.author.author()?,
        note: args.author.note.as_str().into(),
    };
    if missing > 0 {
        eprintln!("lost: up to {missing} changes whose records no daemon has read");
    }
    if !args.json {
        let (id, author) = (meta.id, &meta.author);
        outln!("rebase {id} by {author} to version {version}");
    }
    let publication = log.rebase(version, lists.clone(), meta)?;
    if let Some(folder) = folder {
        let base = FolderBase::at(&publication.state, version);
        folder.update(&folder.lists, base)?;
    }
    follow_rollout(
        &client,
        &publication,
        Duration::from_secs(args.wait),
        args.json,
    )
}

/// Returns the highest version in the fleet that the daemon knows of.
fn highest_version(status: &StatusReport) -> ConfigVersion {
    let versions = status.fleet.versions.iter().map(|count| count.version);
    let laggards = status.fleet.laggards.iter().map(|lag| lag.version);
    let highest = versions.chain(laggards).max().unwrap_or_default();
    highest.max(status.version)
}

/// Returns the version to rebase to, which skips [`VERSION_MARGIN`] versions after `highest`.
fn version_above(highest: ConfigVersion) -> ConfigVersion {
    ConfigVersion::at(LogOffset(highest.number() + VERSION_MARGIN))
}
