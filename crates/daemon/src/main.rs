//! The daemon beside each target: proxy, distributor and member.

use std::process::ExitCode;

use quetzal_daemon::command;

fn main() -> ExitCode {
    let command = command::daemon_command().run();
    match command.run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("quetzald: {error}");
            ExitCode::from(error.kind.answer().exit_code)
        }
    }
}
