//! Runs the daemon on the users' platform, as the sidecar proxy of the `proxy` crate.

use std::convert::Infallible;
use std::path::PathBuf;
use std::sync::Arc;

use model::{ErrorKind, KindError, SystemClock};
use platform::{PlatformStore, SETTINGS_VARIABLE, edge_protocol, read_settings};
use proxy::{ProxyParts, run_proxy};
use quetzal_daemon::log_output::start_log_output;
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Result of the run.
///
/// Kinds: `SettingInvalid`, `LocalFailed`.
pub type Result<T> = model::Result<T>;

/// Runs until the planned stop after SIGTERM has ended.
pub fn run_on_platform() -> Result<()> {
    // The VM has only a share of one core, so a second thread would only add context switches.
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(local_error)?;
    // The handlers are installed first because an unhandled signal ends the process.
    let signals = runtime.block_on(async { PlatformSignals::new() })?;
    let path = std::env::var_os(SETTINGS_VARIABLE).ok_or_else(|| {
        let detail = format!("the environment variable {SETTINGS_VARIABLE} is not set");
        KindError::new(ErrorKind::SettingInvalid, detail)
    })?;
    let path = PathBuf::from(path);
    let settings = read_settings(&path)?;
    let _output = start_log_output(&settings.vm);
    let parts = ProxyParts {
        store: Arc::new(PlatformStore::new(settings.store_address)),
        edge: edge_protocol(),
        clock: SystemClock::shared(),
        settings,
    };
    runtime.block_on(async {
        let stop = CancellationToken::new();
        let handling_signals = signals.handle(path, stop.clone());
        let running = run_proxy(parts, stop);
        tokio::select! {
            ended = running => ended,
            never = handling_signals => match never {},
        }
    })
}

/// Handlers of the platform's signals, installed at the start of the process.
struct PlatformSignals {
    terminate: Signal,
    reload: Signal,
}

impl PlatformSignals {
    fn new() -> Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).map_err(local_error)?,
            reload: signal(SignalKind::hangup()).map_err(local_error)?,
        })
    }

    /// Cancels `stop` on SIGTERM; on SIGHUP checks the settings file and logs its errors.
    ///
    /// The settings that were read at the start stay in force.
    async fn handle(mut self, path: PathBuf, stop: CancellationToken) -> Infallible {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => {
                    log::info!("SIGTERM");
                    stop.cancel();
                }
                _ = self.reload.recv() => match read_settings(&path) {
                    Ok(_) => log::info!("settings read again"),
                    Err(error) => log::error!(cause:% = error; "settings refused; the old ones stay"),
                },
            }
        }
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "the signature that map_err requires"
)]
fn local_error(error: std::io::Error) -> KindError {
    KindError::new(ErrorKind::LocalFailed, error.to_string())
}
