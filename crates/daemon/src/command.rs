//! Command line of `quetzald`.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::Bpaf;
use model::{ErrorKind, KindError};
use plans::lists::ListProblem;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tokio_util::sync::CancellationToken;

use crate::run::{RunningDaemon, StopOutcome};
use crate::settings::DaemonSettings;

/// Result of the command.
pub type Result<T> = model::Result<T>;

/// Exit code of a stop that aborted calls.
const FORCED_STOP_EXIT_CODE: u8 = 12;

/// Text after the options in the help.
const HELP_FOOTER: &str = "\
Examples:
  quetzald --list-settings
  quetzald --list-settings --json
  quetzald --settings daemon.jsonc --check
  quetzald --settings daemon.jsonc

A minimal settings file:
  { \"domain\": \"cairo-a\", \"log_url\": \"http://127.0.0.1:7400\",
  \"caller_address\": \"127.0.0.1:7401\",
  \"operator_address\": \"127.0.0.1:7402\",
  \"peer_address\": \"127.0.0.1:7403\" }

SIGTERM or SIGINT drains and stops; a second one aborts the calls that still run.

Exit codes:
  0   stopped after all calls ended, or the settings are valid
  1   the command line is invalid
  2   the settings are invalid or missing
  11  a local file or address could not be used
  12  stopped with calls aborted";

/// Runs the daemon next to a target: proxy, configuration distributor and cluster member.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version, footer(help_footer()))]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a flag of the command line"
)]
pub struct DaemonCommand {
    /// Settings file, JSON with comments
    #[bpaf(argument("FILE"), complete_shell(bpaf::ShellComp::File { mask: None }))]
    settings: Option<PathBuf>,
    /// Check the settings and exit
    check: bool,
    /// List all settings with unit, default and range
    list_settings: bool,
    /// Print the list of settings as JSON
    json: bool,
    /// Run on the users' platform, with the settings file named in its environment
    platform: bool,
}

/// Returns the footer with its line breaks; without the added space bpaf would join lines
/// or cut off the end.
fn help_footer() -> bpaf::Doc {
    let mut doc = bpaf::Doc::default();
    doc.text(&HELP_FOOTER.replace('\n', "\n "));
    doc
}

impl DaemonCommand {
    /// Returns whether the daemon is to run on the users' platform.
    pub fn runs_on_platform(&self) -> bool {
        self.platform
    }

    /// Runs the command to completion.
    pub fn run(self) -> Result<ExitCode> {
        if self.list_settings && self.json {
            println!("{:#}", DaemonSettings::help_json());
            return Ok(ExitCode::SUCCESS);
        }
        if self.list_settings {
            print!("{}", DaemonSettings::help());
            return Ok(ExitCode::SUCCESS);
        }
        let settings = match self.read_settings()? {
            Ok(settings) => settings,
            Err(problems) => {
                for problem in problems {
                    eprintln!("{problem}");
                }
                return Ok(ExitCode::from(
                    ErrorKind::SettingInvalid.properties().exit_code,
                ));
            }
        };
        if self.check {
            println!("the settings are valid");
            return Ok(ExitCode::SUCCESS);
        }
        start_logging();
        run_daemon(settings)
    }

    fn read_settings(&self) -> Result<std::result::Result<DaemonSettings, Vec<ListProblem>>> {
        let Some(file) = &self.settings else {
            return Err(KindError::new(
                ErrorKind::SettingInvalid,
                "no settings file given; use --settings FILE",
            ));
        };
        let text = read_file(file)?;
        let name = file.to_string_lossy();
        Ok(DaemonSettings::parse(&name, &text))
    }
}

fn read_file(file: &Path) -> Result<String> {
    std::fs::read_to_string(file).map_err(|error| {
        KindError::new(
            ErrorKind::LocalFailed,
            format!("{}: {error}", file.display()),
        )
    })
}

fn start_logging() {
    let environment = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(environment).init();
}

fn run_daemon(settings: DaemonSettings) -> Result<ExitCode> {
    let local_error =
        |error: std::io::Error| KindError::new(ErrorKind::LocalFailed, error.to_string());
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(local_error)?;
    let daemon = RunningDaemon::start(settings)?;
    log::info!(
        "daemon {} started; operator address {}",
        daemon.core().id,
        daemon.operator_address()
    );
    let stop = daemon.stop_token().clone();
    let force = CancellationToken::new();
    let handle = signals.handle();
    let outcome = std::thread::scope(|scope| {
        let signal_thread = scope.spawn(|| {
            for _ in signals.forever() {
                if stop.is_cancelled() {
                    force.cancel();
                }
                stop.cancel();
            }
        });
        daemon.wait_for_stop();
        let outcome = daemon.stop(&force);
        handle.close();
        // The thread only waits for signals and cannot fail.
        drop(signal_thread.join());
        outcome
    });
    Ok(match outcome {
        StopOutcome::Drained => ExitCode::SUCCESS,
        StopOutcome::Forced => ExitCode::from(FORCED_STOP_EXIT_CODE),
    })
}
