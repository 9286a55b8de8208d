//! Closing a key for good, at its home or an earlier one.
//!
//! Closing is idempotent, so it is simply sent again while a range moves from
//! one home to the next or an answer is lost.

use std::sync::Arc;
use std::time::Duration;

use model::{CustomerName, ErrorKind};
use once::{CallKey, CloseVerdict, HomeAnswer, KeyDigest, KeyRefusal, RunProof};
use tokio::time::sleep;

use crate::core::DaemonCore;
use crate::peer_messages::{KeyCloseRequest, PeerRequest};

/// Time for a home to answer.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time for which a closing is sent again.
const CLOSE_PATIENCE: Duration = Duration::from_secs(5);
/// Pause before a closing is sent again.
const CLOSE_PAUSE: Duration = Duration::from_millis(100);

/// Closes a customer's key through its home.
pub async fn close_key(
    core: &Arc<DaemonCore>,
    customer: &CustomerName,
    key: CallKey,
) -> CloseVerdict {
    let digest = KeyDigest::of(customer, &key);
    let closing = KeyCloseRequest {
        key,
        digest,
        earlier: false,
    };
    let give_up = core.clock.now() + CLOSE_PATIENCE;
    loop {
        let verdict = close_once(core, &closing).await;
        let passing = matches!(&verdict, CloseVerdict::Refused(refusal) if is_passing(refusal));
        if !passing || core.clock.now() >= give_up {
            return verdict;
        }
        sleep(CLOSE_PAUSE).await;
    }
}

/// Whether the refusal may end as soon as the key has its next home.
fn is_passing(refusal: &KeyRefusal) -> bool {
    matches!(
        refusal.error.kind,
        ErrorKind::Draining
            | ErrorKind::HomeUnavailable
            | ErrorKind::OutcomeUnknown
            | ErrorKind::PeerUnavailable
    )
}

async fn close_once(core: &Arc<DaemonCore>, closing: &KeyCloseRequest) -> CloseVerdict {
    let runs = core.runs.load();
    let home = core.keys.home_of(&closing.key, closing.digest, &runs);
    let verdict = match home {
        HomeAnswer::Local => core.keys.home().close(&closing.key, closing.digest),
        HomeAnswer::Refused(refusal) => CloseVerdict::Refused(refusal),
        HomeAnswer::Remote(holder) => {
            let request = PeerRequest::Close(Box::new(closing.clone()));
            let asked = core.ask::<Option<CloseVerdict>>(holder.daemon, &request, CLOSE_TIMEOUT);
            match asked.await {
                Ok(Some(verdict)) => verdict,
                Ok(None) => refused(ErrorKind::HomeUnavailable, "the home cannot tell"),
                Err(error) => refused(error.kind, &error.detail),
            }
        }
    };
    let unknown = matches!(&verdict, CloseVerdict::Refused(refusal)
        if refusal.error.kind == ErrorKind::KeyUnknown);
    if !unknown {
        return verdict;
    }
    close_earlier(core, closing).await.unwrap_or(verdict)
}

/// Closes a key that its home is too new to judge, at a home of an earlier term.
async fn close_earlier(core: &Arc<DaemonCore>, closing: &KeyCloseRequest) -> Option<CloseVerdict> {
    let closing = KeyCloseRequest {
        earlier: true,
        ..closing.clone()
    };
    if let Some(verdict) = close_locally(core, &closing) {
        return Some(verdict);
    }
    let request = PeerRequest::Close(Box::new(closing));
    for home in core.homes.load().iter() {
        if *home == core.keys.me {
            continue;
        }
        let asked = core.ask::<Option<CloseVerdict>>(home.daemon, &request, CLOSE_TIMEOUT);
        match asked.await {
            Ok(Some(verdict)) => return Some(verdict),
            Ok(None) => {}
            Err(error) => core.counters.count_error(error.kind),
        }
    }
    None
}

/// Closes a key that this daemon decides about, or once did.
pub fn close_locally(core: &DaemonCore, closing: &KeyCloseRequest) -> Option<CloseVerdict> {
    let mut home = core.keys.home();
    if closing.earlier {
        return home.recall_close(&closing.key, closing.digest);
    }
    Some(home.close(&closing.key, closing.digest))
}

fn refused(kind: ErrorKind, detail: &str) -> CloseVerdict {
    CloseVerdict::Refused(KeyRefusal::new(kind, RunProof::SendingNotRun, detail))
}
