//! `quetzal timeline`: shows the events of all daemons in causal order.

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

/// Options of `timeline`.
#[derive(Bpaf, Clone, Debug)]
pub struct TimelineArgs {
    #[bpaf(external(daemon_args))]
    daemon: DaemonArgs,
    /// How far to look back, such as 5m or 30s
    #[bpaf(argument::<humantime::Duration>("SPAN"), fallback(Duration::from_secs(300).into()), display_fallback)]
    since: humantime::Duration,
    /// Maximum number of events, shared among the daemons; the newest are kept
    #[bpaf(argument("COUNT"), fallback(MAX_TIMELINE_EVENTS), display_fallback)]
    events: u32,
    /// Only events that name this service
    #[bpaf(argument("NAME"), optional)]
    service: Option<ServiceName>,
    /// Only events of this failure domain
    #[bpaf(argument("NAME"), optional)]
    domain: Option<DomainName>,
    /// Only events of the daemon with this name
    #[bpaf(argument("NAME"), optional)]
    process: Option<DaemonName>,
    /// Write a self-contained HTML page with a chart instead of text
    #[bpaf(argument("FILE"), optional)]
    html: Option<PathBuf>,
    /// Print JSON
    json: bool,
}

/// Fetches the events of the fleet, merges them and prints the timeline.
pub fn run(args: &TimelineArgs) -> Result<ExitCode> {
    let fleet = DaemonClient::new(&args.daemon).timeline(&args.parameters())?;
    let dropped: u64 = fleet.reports.iter().map(|report| report.dropped).sum();
    if dropped > 0 {
        eprintln!(
            "{dropped} older events are not shown; \
             narrow with --since, --service, --domain or --process"
        );
    }
    if args.json {
        print_json(&fleet)?;
        return Ok(ExitCode::SUCCESS);
    }
    let timeline = merge_reports(fleet.reports, fleet.silent);
    let Some(file) = &args.html else {
        print!("{}", render_text(&timeline));
        return Ok(ExitCode::SUCCESS);
    };
    std::fs::write(file, render_page(&timeline)?).map_err(|error| {
        KindError::new(
            ErrorKind::LocalFailed,
            format!("{}: {error}", file.display()),
        )
    })?;
    println!("wrote {}", file.display());
    Ok(ExitCode::SUCCESS)
}

impl TimelineArgs {
    /// Returns the query string; names contain no characters that need escaping.
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
