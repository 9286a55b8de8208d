//! The operators' command.

use std::process::ExitCode;

use bpaf::{Args, ParseFailure};
use model::ErrorKind;

mod client;
mod cmd;
mod config;
mod demo_target;
mod folder;
mod follow;
mod loss;
mod output;
mod publication;
mod rebase_log;

/// Columns of help and usage.
const USAGE_WIDTH: usize = 100;

fn main() -> ExitCode {
    let command = match cmd::command().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return tell_usage(&failure),
    };
    start_logging();
    match command.run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("quetzal: {error}");
            let answer = error.kind.properties();
            if error.kind == ErrorKind::LogDiverged || !names_way_on(&error.detail) {
                eprintln!("hint: {}", answer.advice);
            }
            ExitCode::from(answer.exit_code)
        }
    }
}

/// Prints the help that was asked for, or what is wrong with the command line.
fn tell_usage(failure: &ParseFailure) -> ExitCode {
    failure.print_message(USAGE_WIDTH);
    if matches!(failure, ParseFailure::Stderr(_)) {
        return ExitCode::from(ErrorKind::RequestInvalid.properties().exit_code);
    }
    ExitCode::SUCCESS
}

/// Whether the detail tells what to do; the advice for its kind would be a second opinion.
/// Only a lost log has a page that must be read first.
fn names_way_on(detail: &str) -> bool {
    detail.contains("quetzal ") || detail.contains(" --")
}

fn start_logging() {
    let environment = env_logger::Env::default().default_filter_or("error");
    env_logger::Builder::from_env(environment).init();
}
