//! Learns from other daemons which requests crash targets.
//!
//! A crash is told to all daemons at the moment at which it is found. A daemon
//! that starts later, or that was cut off, has missed the message and would let
//! the request crash further targets. So a daemon asks some of the others when
//! it starts, when its own target has crashed, and when another daemon has
//! refused a request that this one knew nothing of.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use model::DaemonId;
use rand::seq::IteratorRandom;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::core::ProxyCore;
use crate::message::{PeerRequest, SuspectAnswer};

/// Pauses before each round of questions after the start. Those that are asked may have started at
/// the same time; with each round more of them have learned what the others know.
const START_PAUSES: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(300),
    Duration::from_secs(1),
    Duration::from_secs(3),
];
/// Number of daemons that are asked in one round.
const ASKED_DAEMONS: usize = 3;
/// Time for an answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of reports that are taken from one answer.
const MAX_REPORTS: usize = 32;
/// Interval at which suspects past their retention are dropped.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Asks other daemons for their suspects after the start, and drops old ones, until `token` is
/// cancelled.
pub async fn watch_suspects(core: Arc<ProxyCore>, token: CancellationToken) {
    let learning = async {
        wait_for_peers(&core).await;
        for pause in START_PAUSES {
            sleep(pause).await;
            learn_suspects(Arc::clone(&core)).await;
        }
    };
    let expiring = async {
        loop {
            sleep(EXPIRY_INTERVAL).await;
            core.poison().on_tick();
        }
    };
    tokio::select! {
        ((), ()) = async { tokio::join!(learning, expiring) } => {}
        () = token.cancelled() => {}
    }
}

/// Asks some of the other daemons for their suspects.
pub async fn learn_suspects(core: Arc<ProxyCore>) {
    let peers = core.peers();
    let asked = peers
        .keys()
        .copied()
        .choose_multiple(&mut rand::rng(), ASKED_DAEMONS);
    let asking = asked
        .into_iter()
        .map(|daemon| core.tasks.spawn(ask_suspects(Arc::clone(&core), daemon)));
    let asking: Vec<_> = asking.collect();
    for asked in asking {
        // The task logs a failure.
        let _ended = asked.await;
    }
}

/// Asks `daemon` for its suspects.
pub async fn ask_suspects(core: Arc<ProxyCore>, daemon: DaemonId) {
    let Some(address) = core.peers().get(&daemon).copied() else {
        return;
    };
    match request_suspects(&core, address).await {
        Ok(answer) => {
            for report in answer.reports.iter().take(MAX_REPORTS) {
                let outputs = core.poison().on_report(report);
                core.send_poison(outputs);
            }
        }
        Err(cause) => {
            log::debug!(peer:% = daemon, cause:% = cause; "peer did not tell its suspects");
        }
    }
}

async fn request_suspects(core: &ProxyCore, address: SocketAddr) -> Result<SuspectAnswer, String> {
    let asking = core.pool.request(address, &PeerRequest::Suspects);
    let answered = timeout(ASK_TIMEOUT, asking).await;
    let answered = answered.map_err(|elapsed| elapsed.to_string())?;
    answered.map_err(|error| error.to_string())
}

/// Waits until another daemon is known.
async fn wait_for_peers(core: &ProxyCore) {
    loop {
        // Created before the check, so that a change in between still wakes it.
        let changed = core.routing_changed.notified();
        if !core.peers().is_empty() {
            return;
        }
        changed.await;
    }
}
