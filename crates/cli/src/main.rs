//! Command-line tool that operators use to publish and inspect the configuration.

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

/// Width of help and usage texts in columns.
const USAGE_WIDTH: usize = 100;

fn main() -> ExitCode {
    let command = match cmd::command().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return print_usage(&failure),
    };
    start_logging();
    match command.run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("quetzal: {error}");
            let properties = error.kind.properties();
            if error.kind == ErrorKind::LogDiverged || !contains_advice(&error.detail) {
                eprintln!("hint: {}", properties.advice);
            }
            ExitCode::from(properties.exit_code)
        }
    }
}

/// Prints the requested help, or the error in the command line.
fn print_usage(failure: &ParseFailure) -> ExitCode {
    failure.print_message(USAGE_WIDTH);
    if matches!(failure, ParseFailure::Stderr(_)) {
        return ExitCode::from(ErrorKind::RequestInvalid.properties().exit_code);
    }
    ExitCode::SUCCESS
}

/// Returns whether the detail itself says what to do, so that the general advice for its kind
/// is left out.
///
/// The advice for `LogDiverged` is always printed, since it names the documentation to read
/// before acting.
fn contains_advice(detail: &str) -> bool {
    detail.contains("quetzal ") || detail.contains(" --")
}

fn start_logging() {
    let environment = env_logger::Env::default().default_filter_or("error");
    env_logger::Builder::from_env(environment).init();
}
