//! quetzal timeline: what happened on all daemons, in one order by cause.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use model::{ErrorKind, KindError};
use trace::{merge_reports, render_page, render_text};

use crate::client::DaemonClient;
use crate::config::{DaemonArgs, Result, daemon_args};
use crate::output::print_json;

/// Arguments of `timeline`.
#[derive(Bpaf, Clone, Debug)]
pub struct TimelineArgs {
    #[bpaf(external(daemon_args))]
    daemon: DaemonArgs,
    /// How far to look back, such as 5m or 30s
    #[bpaf(argument::<humantime::Duration>("SPAN"), fallback(Duration::from_secs(300).into()), display_fallback)]
    since: humantime::Duration,
    /// Write one self-contained page with a picture instead of text
    #[bpaf(argument("FILE"), optional)]
    html: Option<PathBuf>,
    /// Print JSON
    json: bool,
}

/// Gathers, merges and prints.
pub fn run(args: &TimelineArgs) -> Result<ExitCode> {
    let gathered = DaemonClient::new(&args.daemon).timeline(*args.since)?;
    if args.json {
        print_json(&gathered)?;
        return Ok(ExitCode::SUCCESS);
    }
    let line = merge_reports(gathered.reports, gathered.silent);
    let Some(file) = &args.html else {
        print!("{}", render_text(&line));
        return Ok(ExitCode::SUCCESS);
    };
    std::fs::write(file, render_page(&line)?).map_err(|error| {
        KindError::new(
            ErrorKind::LocalFailed,
            format!("{}: {error}", file.display()),
        )
    })?;
    println!("wrote {}", file.display());
    Ok(ExitCode::SUCCESS)
}
