//! The command line and its subcommands, one module each.
//!
//! The modules document the exit codes specific to their subcommand; [`HELP_FOOTER`] adds
//! the general ones.

use std::process::ExitCode;

use bpaf::Bpaf;

use crate::config::Result;

pub mod check;
pub mod check_mesh;
pub mod demo;
pub mod diff;
pub mod explain;
pub mod history;
pub mod init;
pub mod log;
pub mod publish;
pub mod pull;
pub mod rebase;
pub mod status;
pub mod timeline;
pub mod undo;

/// Exit codes and first steps, shown below the help.
const HELP_FOOTER: &str = "Operators edit plans.jsonc (which plan each customer holds) and \
allowances.jsonc (what each plan may use) in one folder and publish it.\n \
Exit codes: 0 success, 2 invalid input, 3 currently not possible, 5 refused, 6 accepted but not yet everywhere, \
7 unknown whether accepted, 8 log service, 9 log lost records, 10 no daemon answers, \
11 this machine (a file, an address).\n \
First steps: quetzal demo; quetzal init lists; quetzal check lists; quetzal publish lists";

/// Publish the two lists and see where they are in force.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options("quetzal"), version, footer(HELP_FOOTER))]
pub enum Command {
    /// Run a small fleet on this machine and show a publish and some calls
    #[bpaf(command)]
    Demo(#[bpaf(external(demo::demo_args))] demo::DemoArgs),
    /// Write a commented pair of example lists
    #[bpaf(command, footer("Example: quetzal init lists"))]
    Init(#[bpaf(external(init::init_args))] init::InitArgs),
    /// Check the two lists without publishing
    #[bpaf(command, footer("Example: quetzal check lists"))]
    Check(#[bpaf(external(check::check_args))] check::CheckArgs),
    /// Check a configuration of the users' platform before it is sent, and show what it changes
    #[bpaf(
        command("check-mesh"),
        footer("Example: quetzal check-mesh new.json --store 10.0.0.5:7400")
    )]
    CheckMesh(#[bpaf(external(check_mesh::check_mesh_args))] check_mesh::CheckMeshArgs),
    /// Show what publishing would change
    #[bpaf(command, footer("Example: quetzal diff lists"))]
    Diff(#[bpaf(external(diff::diff_args))] diff::DiffArgs),
    /// Publish the two lists and wait until they are in force
    #[bpaf(
        command,
        footer("Example: quetzal publish lists -m \"gold may book more\"")
    )]
    Publish(#[bpaf(external(publish::publish_args))] publish::PublishArgs),
    /// Merge the accepted lists into the folder
    #[bpaf(
        command,
        footer("Example: quetzal pull lists; quetzal pull lists --theirs")
    )]
    Pull(#[bpaf(external(pull::pull_args))] pull::PullArgs),
    /// Revert one version
    #[bpaf(command, footer("Example: quetzal undo 418"))]
    Undo(#[bpaf(external(undo::undo_args))] undo::UndoArgs),
    /// Continue with a new version after the log lost records
    #[bpaf(command, footer("Example: quetzal rebase -m \"log restored\""))]
    Rebase(#[bpaf(external(rebase::rebase_args))] rebase::RebaseArgs),
    /// List the accepted changes
    #[bpaf(command, footer("Example: quetzal history -n 5 --patch"))]
    History(#[bpaf(external(history::history_args))] history::HistoryArgs),
    /// Show which version is in force where, and problems in the fleet
    #[bpaf(command, footer("Example: quetzal status; quetzal status --json"))]
    Status(#[bpaf(external(status::status_args))] status::StatusArgs),
    /// Show events of all daemons in causal order
    #[bpaf(command)]
    Timeline(#[bpaf(external(timeline::timeline_args))] timeline::TimelineArgs),
    /// Show all log lines of the daemons about one request
    #[bpaf(command, footer("Example: quetzal explain 9c41d07be2a35f68 vm-*.log"))]
    Explain(#[bpaf(external(explain::explain_args))] explain::ExplainArgs),
    /// Run an in-memory log service for tests and demonstrations
    #[bpaf(command)]
    Log(#[bpaf(external(log::log_args))] log::LogArgs),
}

impl Command {
    /// Runs the subcommand.
    pub fn run(self) -> Result<ExitCode> {
        match self {
            Self::Demo(args) => demo::run(&args),
            Self::Init(args) => init::run(&args),
            Self::Check(args) => check::run(&args),
            Self::CheckMesh(args) => check_mesh::run(&args),
            Self::Diff(args) => diff::run(&args),
            Self::Publish(args) => publish::run(&args),
            Self::Pull(args) => pull::run(&args),
            Self::Undo(args) => undo::run(&args),
            Self::Rebase(args) => rebase::run(&args),
            Self::History(args) => history::run(&args),
            Self::Status(args) => status::run(&args),
            Self::Timeline(args) => timeline::run(&args),
            Self::Explain(args) => explain::run(&args),
            Self::Log(args) => log::run(&args),
        }
    }
}
