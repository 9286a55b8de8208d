//! The operators' command.

use std::process::ExitCode;

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

fn main() -> ExitCode {
    let command = cmd::command().run();
    start_logging();
    match command.run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("quetzal: {error}");
            let answer = error.kind.answer();
            eprintln!("hint: {}", answer.advice);
            ExitCode::from(answer.exit_code)
        }
    }
}

fn start_logging() {
    let environment = env_logger::Env::default().default_filter_or("error");
    env_logger::Builder::from_env(environment).init();
}
