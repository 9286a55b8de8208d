//! Learns from other daemons which requests crash targets.
//!
//! A crash is told to all daemons at the moment at which it is found. A daemon
//! that starts later, or that was cut off, has missed the message and would let
//! the request crash further targets. So a daemon asks some of the others when
//! it starts, when its own target has crashed, and when another daemon has
//! refused a request that this one knew nothing of.
//!
//! When all daemons are lost at once, nobody is left to ask. So a daemon that
//! saw one of the crashes also writes what it knows to the store, from which all
//! read it with the records of the members when they start.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use model::DaemonId;
use once::poison::{SuspectRecord, SuspectReport};
use once::{HolderId, RequestFingerprint};
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::core::ProxyCore;
use crate::message::{PeerRequest, SuspectAnswer};
use crate::store::{SharedStore, SuspectSlot};

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
/// Number of places in the store for records about requests.
const STORE_SLOTS: u8 = 64;
/// Pauses before each try to write a record.
const WRITE_PAUSES: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_secs(1),
    Duration::from_secs(3),
    Duration::from_secs(10),
];
/// Interval at which suspects past their retention are dropped.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// What the store keeps of a request that crashes targets.
#[derive(Debug, Deserialize, Serialize)]
struct StoredSuspect {
    record: SuspectRecord,
    /// Wall time of the last crash, in Unix milliseconds.
    crashed_at: u64,
}

/// Writes a stopped request to the store, in a background task, if this daemon saw one of its
/// crashes.
pub fn store_suspect(core: &ProxyCore, fingerprint: RequestFingerprint) {
    let report = core.poison().report_for(fingerprint);
    let holder = HolderId::new(core.id, core.incarnation);
    let saw_crash = |record: &SuspectRecord| {
        let mut crashes = record.crashes.iter();
        crashes.any(|crash| crash.reporter == holder)
    };
    // The first record is that of the request itself.
    let record = report.records.into_iter().next();
    let Some(record) = record.filter(|record| record.is_confirmed() && saw_crash(record)) else {
        return;
    };
    let crashed_at = wall_millis(core).saturating_sub(record.age.as_millis() as u64);
    let slot = SuspectSlot((fingerprint.0 % u128::from(STORE_SLOTS)) as u8);
    let store = Arc::clone(&core.store);
    core.tasks.spawn(async move {
        let body = wire::encode_message(&StoredSuspect { record, crashed_at });
        if let Err(error) = write_suspect(&store, slot, body).await {
            log::warn!(print:% = fingerprint, cause:% = error; "suspect not stored");
        }
    });
}

async fn write_suspect(
    store: &SharedStore,
    slot: SuspectSlot,
    body: model::Result<Vec<u8>>,
) -> model::Result<()> {
    let body = body?;
    let mut result = Ok(());
    for pause in WRITE_PAUSES {
        sleep(pause).await;
        result = store.put_suspect(slot, body.clone().into()).await;
        if result.is_ok() {
            break;
        }
    }
    result
}

/// Applies the records of the store.
pub fn apply_stored_suspects(core: &ProxyCore, records: &[Box<[u8]>]) {
    for body in records.iter().take(usize::from(STORE_SLOTS)) {
        match wire::decode_message::<StoredSuspect>(body) {
            Ok(stored) => {
                let passed = wall_millis(core).saturating_sub(stored.crashed_at);
                let record = SuspectRecord {
                    age: Duration::from_millis(passed),
                    ..stored.record
                };
                apply_report(
                    core,
                    &SuspectReport {
                        records: vec![record],
                    },
                );
            }
            Err(error) => log::warn!(cause:% = error; "stored suspect unreadable"),
        }
    }
}

fn apply_report(core: &ProxyCore, report: &SuspectReport) {
    let outputs = core.poison().on_report(report);
    core.send_poison(outputs);
}

fn wall_millis(core: &ProxyCore) -> u64 {
    let wall = core.clock.wall().duration_since(UNIX_EPOCH);
    wall.map_or(0, |time| time.as_millis() as u64)
}

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
                apply_report(&core, report);
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
