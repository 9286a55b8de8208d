//! Closes an idempotency key permanently, at its current home or an earlier one.
//!
//! Closing is idempotent, so it is retried while a key range moves to another home or when
//! an answer is lost.

use std::sync::Arc;
use std::time::Duration;

use model::{CustomerName, ErrorKind};
use once::{CallKey, CloseVerdict, HomeAnswer, KeyDigest, KeyRefusal, RunProof};
use tokio::time::sleep;

use crate::core::DaemonCore;
use crate::peer_messages::{KeyCloseRequest, PeerRequest};

/// Time for a home to answer.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time for which closing is retried.
const MAX_CLOSE_TIME: Duration = Duration::from_secs(5);
/// Pause between two attempts.
const CLOSE_PAUSE: Duration = Duration::from_millis(100);

/// Closes a customer's key through its home.
pub async fn close_key(
    core: &Arc<DaemonCore>,
    customer: &CustomerName,
    key: CallKey,
) -> CloseVerdict {
    let digest = KeyDigest::of(customer, &key);
    let request = KeyCloseRequest {
        key,
        digest,
        earlier: false,
    };
    let give_up = core.clock.now() + MAX_CLOSE_TIME;
    loop {
        let verdict = close_once(core, &request).await;
        let transient = matches!(&verdict, CloseVerdict::Refused(refusal) if is_transient(refusal));
        if !transient || core.clock.now() >= give_up {
            return verdict;
        }
        sleep(CLOSE_PAUSE).await;
    }
}

/// Returns whether closing may succeed once the key has its next home.
fn is_transient(refusal: &KeyRefusal) -> bool {
    matches!(
        refusal.error.kind,
        ErrorKind::Draining
            | ErrorKind::HomeUnavailable
            | ErrorKind::OutcomeUnknown
            | ErrorKind::PeerUnavailable
    )
}

async fn close_once(core: &Arc<DaemonCore>, request: &KeyCloseRequest) -> CloseVerdict {
    let incarnations = core.incarnations.load();
    let home = core
        .keys
        .home_of(&request.key, request.digest, &incarnations);
    let verdict = match home {
        HomeAnswer::Local => core.keys.home().close(&request.key, request.digest),
        HomeAnswer::Refused(refusal) => CloseVerdict::Refused(refusal),
        HomeAnswer::Remote(holder) => {
            let message = PeerRequest::Close(Box::new(request.clone()));
            let answer = core.ask::<Option<CloseVerdict>>(holder.daemon, &message, CLOSE_TIMEOUT);
            match answer.await {
                Ok(Some(verdict)) => verdict,
                Ok(None) => refused(
                    ErrorKind::HomeUnavailable,
                    "the home knows nothing about the key",
                ),
                Err(error) => refused(error.kind, &error.detail),
            }
        }
    };
    let unknown = matches!(&verdict, CloseVerdict::Refused(refusal)
        if refusal.error.kind == ErrorKind::KeyUnknown);
    if !unknown {
        return verdict;
    }
    close_earlier(core, request).await.unwrap_or(verdict)
}

/// Closes a key that its current home does not know, at the home that knows it from an earlier
/// lease term; asks this daemon first and then the other homes.
async fn close_earlier(core: &Arc<DaemonCore>, request: &KeyCloseRequest) -> Option<CloseVerdict> {
    let request = KeyCloseRequest {
        earlier: true,
        ..request.clone()
    };
    if let Some(verdict) = close_locally(core, &request) {
        return Some(verdict);
    }
    let message = PeerRequest::Close(Box::new(request));
    for home in core.homes.load().iter() {
        if *home == core.keys.own_id {
            continue;
        }
        let answer = core.ask::<Option<CloseVerdict>>(home.daemon, &message, CLOSE_TIMEOUT);
        match answer.await {
            Ok(Some(verdict)) => return Some(verdict),
            Ok(None) => {}
            Err(error) => core.counters.count_error(error.kind),
        }
    }
    None
}

/// Closes a key as its current home, or as an earlier one.
pub fn close_locally(core: &DaemonCore, request: &KeyCloseRequest) -> Option<CloseVerdict> {
    let mut home = core.keys.home();
    if request.earlier {
        return home.recall_close(&request.key, request.digest);
    }
    Some(home.close(&request.key, request.digest))
}

fn refused(kind: ErrorKind, detail: &str) -> CloseVerdict {
    CloseVerdict::Refused(KeyRefusal::new(kind, RunProof::SendingNotRun, detail))
}
