//! quetzal timeline: what happened on all daemons, in one order by cause.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use daemon::timeline::MAX_TIMELINE_EVENTS;
use model::{DaemonName, DomainName, ErrorKind, KindError, ServiceName};
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
    /// Most events, shared over the daemons, of each the newest
    #[bpaf(argument("COUNT"), fallback(MAX_TIMELINE_EVENTS), display_fallback)]
    events: u32,
    /// Only events that name this service
    #[bpaf(argument("NAME"), optional)]
    service: Option<ServiceName>,
    /// Only events of this failure domain
    #[bpaf(argument("NAME"), optional)]
    domain: Option<DomainName>,
    /// Only events of the daemon of this name
    #[bpaf(argument("NAME"), optional)]
    process: Option<DaemonName>,
    /// Write one self-contained page with a picture instead of text
    #[bpaf(argument("FILE"), optional)]
    html: Option<PathBuf>,
    /// Print JSON
    json: bool,
}

/// Gathers, merges and prints.
pub fn run(args: &TimelineArgs) -> Result<ExitCode> {
    let gathered = DaemonClient::new(&args.daemon).timeline(&args.parameters())?;
    let dropped: u64 = gathered.reports.iter().map(|report| report.dropped).sum();
    if dropped > 0 {
        eprintln!(
            "{dropped} older events are not shown; \
             narrow with --since, --service, --domain or --process"
        );
    }
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

impl TimelineArgs {
    /// The parameters of the question; names hold no letter that would need escaping.
    fn parameters(&self) -> String {
        let since = self.since.as_millis();
        let events = self.events.clamp(1, MAX_TIMELINE_EVENTS);
        let service = self.service.as_ref().map(|name| ("service", name.as_str()));
        let domain = self.domain.as_ref().map(|name| ("domain", name.as_str()));
        let process = self.process.as_ref().map(|name| ("process", name.as_str()));
        let mut parameters = format!("since_ms={since}&events={events}");
        for (name, value) in [service, domain, process].into_iter().flatten() {
            parameters.extend(["&", name, "=", value]);
        }
        parameters
    }
}
