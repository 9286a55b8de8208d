//! Runs the daemon on the users' platform.

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

/// Results of the run; kinds: `SettingInvalid`, `LocalFailed`.
pub type Result<T> = model::Result<T>;

/// Runs until SIGTERM and the planned stop that follows.
pub fn run_on_platform() -> Result<()> {
    // One thread: the VM has a part of one core, and a second thread only adds switches.
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(local)?;
    // First of all: a signal that nobody waits for ends the process.
    let signals = runtime.block_on(async { PlatformSignals::new() })?;
    let path = std::env::var_os(SETTINGS_VARIABLE).ok_or_else(|| {
        let detail = format!("{SETTINGS_VARIABLE} does not name a settings file");
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
        let following = signals.follow(path, stop.clone());
        let running = run_proxy(parts, stop);
        tokio::select! {
            ended = running => ended,
            never = following => match never {},
        }
    })
}

/// The signals of the platform, caught since the process began.
struct PlatformSignals {
    terminate: Signal,
    reload: Signal,
}

impl PlatformSignals {
    fn new() -> Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).map_err(local)?,
            reload: signal(SignalKind::hangup()).map_err(local)?,
        })
    }

    /// Stops on SIGTERM; on SIGHUP reads the settings again and tells what is wrong with them.
    async fn follow(mut self, path: PathBuf, stop: CancellationToken) -> Infallible {
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
    reason = "the shape that map_err takes"
)]
fn local(error: std::io::Error) -> KindError {
    KindError::new(ErrorKind::LocalFailed, error.to_string())
}
