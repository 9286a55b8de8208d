//! `quetzal status`: shows which version is in force where, which proxies lag
//! and why, which daemons drain, and whether the log service is up.

use std::process::ExitCode;

use bpaf::Bpaf;
use comfy_table::Table;
use comfy_table::presets::NOTHING;
use daemon::status::{MemberReport, StatusReport};

use crate::client::DaemonClient;
use crate::config::{DaemonArgs, Result, daemon_args};
use crate::output::{outln, print_json};

/// Maximum number of members listed; the rest are only counted.
const MAX_ROWS: usize = 40;

/// Arguments of `status`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct StatusArgs {
    #[bpaf(external(daemon_args))]
    daemon: DaemonArgs,
    /// Print JSON
    json: bool,
}

/// Prints the status of the daemon and the fleet.
pub fn run(args: &StatusArgs) -> Result<ExitCode> {
    let status = DaemonClient::new(&args.daemon).status()?;
    if args.json {
        print_json(&status)?;
        return Ok(ExitCode::SUCCESS);
    }
    print_fleet(&status);
    print_services(&status);
    print_members(&status.members);
    Ok(ExitCode::SUCCESS)
}

fn print_fleet(status: &StatusReport) {
    outln!(
        "daemon   {} in {}, version {}, configuration {}",
        status.name,
        status.domain,
        status.version,
        status.freshness
    );
    match &status.log {
        Some(log) => outln!("log      {} is {log}", status.log_url),
        None => outln!("log      {} is read by other daemons", status.log_url),
    }
    let fleet = &status.fleet;
    outln!(
        "fleet    version {} in force on {} of {} proxies",
        status.version,
        fleet.in_force(status.version),
        fleet.members
    );
    for domain in &fleet.silent_domains {
        println!("silent   no log reader of failure domain {domain} reports");
    }
    for line in fleet.lagging_lines(status.version) {
        outln!("lagging  {line}");
    }
}

/// Prints the services, the targets of this daemon (`beside`) and the daemons that decide whether
/// calls with an idempotency key run (`homes`).
fn print_services(status: &StatusReport) {
    for service in &status.services {
        let ejected = match service.ejected.as_slice() {
            [] => String::new(),
            ejected => format!(", ejected after failures: {}", ejected.join(", ")),
        };
        outln!(
            "service  {}: {} targets ready, shedding {:.1}{ejected}",
            service.service,
            service.ready,
            service.shedding
        );
    }
    for target in &status.beside {
        outln!(
            "beside   {}: {} calls run, {} wait, {}% fail",
            target.target,
            target.in_flight,
            target.queued,
            target.failing
        );
    }
    if !status.homes.is_empty() {
        outln!("homes    of callers' keys: {}", status.homes.join(", "));
    }
}

fn print_members(members: &[MemberReport]) {
    let mut table = Table::new();
    table.load_preset(NOTHING);
    table.set_header(["DAEMON", "DOMAIN", "STATE", "TARGETS"]);
    for member in members.iter().take(MAX_ROWS) {
        let state = if member.draining {
            "draining"
        } else {
            &member.state
        };
        let targets: Vec<String> = member
            .targets
            .iter()
            .map(|target| format!("{}/{} {}", target.service, target.target, target.state))
            .collect();
        table.add_row([
            &*member.name,
            member.domain.as_str(),
            state,
            &targets.join(", "),
        ]);
    }
    outln!("{table}");
    if members.len() > MAX_ROWS {
        outln!("and {} more; see --json", members.len() - MAX_ROWS);
    }
}
