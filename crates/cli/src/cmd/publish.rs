//! quetzal publish DIR: publishes the two lists and follows them until they
//! are in force.
//!
//! Exit codes: 0 in force everywhere, 2 mistakes in the lists, 5 refused,
//! 6 accepted but not yet everywhere, 7 unknown whether accepted.

use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use model::ChangeId;
use plans::{ChangeMeta, ChangeRecord};
use uuid::Uuid;

use crate::client::DaemonClient;
use crate::config::{AuthorArgs, DaemonArgs, Result, author_args, daemon_args};
use crate::folder::{FolderArgs, folder_args, read_base, read_lists, write_base};
use crate::follow::{FollowReport, append_change, await_force, await_verdict};
use crate::output::print_json;

/// Arguments of `publish`.
#[derive(Bpaf, Clone, Debug)]
pub struct PublishArgs {
    #[bpaf(external(daemon_args))]
    daemon: DaemonArgs,
    #[bpaf(external(author_args))]
    author: AuthorArgs,
    /// Seconds to wait until the change is in force everywhere
    #[bpaf(argument("SECONDS"), fallback(15), display_fallback)]
    wait: u64,
    /// Identity of a change whose outcome is unknown, to publish it again
    #[bpaf(argument("ID"), optional)]
    change: Option<ChangeId>,
    /// Print JSON
    json: bool,
    #[bpaf(external(folder_args))]
    folder: FolderArgs,
}

/// Publishes and follows.
pub fn run(args: &PublishArgs) -> Result<ExitCode> {
    let dir = &args.folder.dir;
    let wanted = read_lists(dir)?;
    let client = DaemonClient::new(&args.daemon);
    let state = client.state()?;
    let base = read_base(dir)?;
    let meta = ChangeMeta {
        id: args.change.unwrap_or_else(|| ChangeId(Uuid::now_v7())),
        author: args.author.author()?,
        note: args.author.note.as_str().into(),
    };
    let author = meta.author.clone();
    let record = ChangeRecord::between(&state, base, &wanted, meta)?;
    if record.edits.is_empty() {
        println!(
            "nothing to publish: version {} holds it already",
            state.version()
        );
        return Ok(ExitCode::SUCCESS);
    }
    if !args.json {
        println!("change {} by {author} upon version {base}", record.id);
    }
    append_change(&client.log()?, &record.encode()?)?;
    let version = await_verdict(&client, record.id)?;
    write_base(dir, version)?;
    let wait = Duration::from_secs(args.wait);
    let report = await_force(&client, record.id, version, wait, |report| {
        if !args.json {
            println!("{}", report.line());
        }
    })?;
    show(&report, args.json)?;
    Ok(report.exit_code())
}

/// Prints how far a change got.
pub fn show(report: &FollowReport, json: bool) -> Result<()> {
    if json {
        return print_json(report);
    }
    println!("{}", report.line());
    if !report.is_everywhere() {
        for line in &report.lagging {
            println!("  {line}");
        }
    }
    Ok(())
}
