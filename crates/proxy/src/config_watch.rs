//! Follows the configuration: from the store, and from other daemons while it is away.

use std::sync::Arc;
use std::time::Duration;

use mesh::MeshConfig;
use model::{ErrorKind, LogOffset};
use rand::seq::IteratorRandom;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::core::ProxyCore;
use crate::message::PeerHead;

/// Longest wait of one read. With the time for its answer it bounds how long a store that
/// went silent is trusted: below the 3 s after which the platform counts it as stable again.
const READ_WAIT: Duration = Duration::from_secs(2);
/// Pause between reads, so that versions in quick succession come in one answer.
const READ_PACE: Duration = Duration::from_millis(500);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Time for another daemon to answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// Follows the configuration until `token` is cancelled.
pub async fn watch_config(core: Arc<ProxyCore>, token: CancellationToken) {
    tokio::select! {
        () = follow(&core) => {}
        () = token.cancelled() => {}
    }
}

async fn follow(core: &Arc<ProxyCore>) {
    let mut next: Option<LogOffset> = None;
    let mut lost = false;
    loop {
        let read = match next {
            None => core.store.newest_config().await,
            // A store that was lost is asked for what it has: a read that waits
            // could hang past its return.
            Some(from) if lost => core.store.next_config(from, Duration::ZERO).await,
            Some(from) => core.store.next_config(from, READ_WAIT).await,
        };
        match read {
            Ok(page) => {
                core.metrics.set_store(true);
                if std::mem::take(&mut lost) {
                    log::info!("store regained");
                }
                next = Some(page.next);
                if let Some(config) = page.newest {
                    offer(core, config, "store");
                }
                sleep(READ_PACE).await;
            }
            Err(error) if error.kind == ErrorKind::LogExpired => {
                log::info!(cause:% = error; "history of the configuration expired; reading the newest");
                next = None;
            }
            Err(error) => {
                core.metrics.set_store(false);
                if !std::mem::replace(&mut lost, true) {
                    log::warn!(cause:% = error; "store lost");
                }
                ask_peer(core).await;
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Puts `config` in force if it is newer.
fn offer(core: &ProxyCore, config: MeshConfig, source: &str) {
    let version = config.version;
    let offered = core.keeper().offer(config);
    match offered {
        Ok(Some(table)) => log::info!(
            version:% = version, source, routes = table.config().routes.len();
            "configuration in force"
        ),
        Ok(None) => log::debug!(version:% = version, source; "configuration is not newer"),
        Err(error) => {
            log::error!(version:% = version, source, cause:% = error; "configuration refused");
        }
    }
}

/// Asks any other daemon for a newer configuration.
async fn ask_peer(core: &ProxyCore) {
    let peers = core.peers();
    let chosen = peers.values().choose(&mut rand::rng()).copied();
    let Some(address) = chosen else { return };
    let have = core.keeper().version();
    let question = PeerHead::Config { have };
    let asking = core.pool.ask::<Option<MeshConfig>>(address, &question);
    match timeout(PEER_TIMEOUT, asking).await {
        Ok(Ok(Some(config))) => offer(core, config, "peer"),
        Ok(Ok(None)) => {}
        Ok(Err(error)) => log::debug!(peer:% = address, cause:% = error; "peer did not answer"),
        Err(_) => log::debug!(peer:% = address; "peer did not answer in time"),
    }
}
