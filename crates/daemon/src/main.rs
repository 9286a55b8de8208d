//! The `quetzald` binary.

mod on_platform;

use std::process::ExitCode;

use quetzal_daemon::command;

fn main() -> ExitCode {
    let command = command::daemon_command().run();
    let ended = if command.runs_on_platform() {
        on_platform::run_on_platform().map(|()| ExitCode::SUCCESS)
    } else {
        command.run()
    };
    match ended {
        Ok(code) => code,
        Err(error) => {
            eprintln!("quetzald: {error}");
            ExitCode::from(error.kind.properties().exit_code)
        }
    }
}
