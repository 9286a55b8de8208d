//! Applies the quotas of organisations and exchanges their sums with other daemons.
//!
//! The sums of a follower travel with its configuration poll (`config_watch`) and
//! the answer to it. Readers send theirs to one another with a message of its own,
//! in which all daemons also report jumps.

use std::sync::Arc;
use std::time::Duration;

use mesh::quota::{EXCHANGE_INTERVAL, MemberCounts, URGENT_INTERVAL};
use mesh::{OrganisationRule, QuotaReport, TreePosition};
use rand::Rng;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::core::ProxyCore;
use crate::message::PeerRequest;

/// Admits a request of `organisation`. The error is the time after which it may be sent again.
pub fn admit_quota(core: &ProxyCore, organisation: &OrganisationRule) -> Result<(), Duration> {
    let Some(mut ledger) = core.quota() else {
        return Ok(());
    };
    let now = core.clock.since_boot();
    let admitted = ledger.admit(now, organisation, rand::rng().random());
    drop(ledger);
    admitted.map_err(|refusal| {
        let name = organisation.name.as_str();
        if refusal.started {
            log::warn!(organisation = name; "organisation is over its quota; refusing requests");
        }
        core.metrics.count_quota_refusal(name);
        refusal.retry_after
    })
}

/// Gives back the credit of a request that was admitted at time `admitted_at` since boot and has
/// not run.
pub fn refund_quota(core: &ProxyCore, organisation: &OrganisationRule, admitted_at: Duration) {
    if let Some(mut ledger) = core.quota() {
        ledger.refund(core.clock.since_boot(), admitted_at, &organisation.name);
    }
}

/// Returns the sums to send to the parent.
pub fn subtree_report(core: &ProxyCore) -> Option<QuotaReport> {
    let now = core.clock.since_boot();
    core.quota()?.subtree_report(now, rand::rng().random())
}

/// Records the answer of the parent to a report that was sent at time `asked_at` since boot.
pub fn record_parent_answer(core: &ProxyCore, asked_at: Duration, answer: &QuotaReport) {
    if let Some(mut ledger) = core.quota() {
        ledger.on_parent_answer(core.clock.since_boot(), asked_at, answer);
    }
}

/// Records the report of a child and returns the sums of all daemons outside of its subtree.
pub fn answer_child(core: &ProxyCore, report: &QuotaReport) -> Option<QuotaReport> {
    let now = core.clock.since_boot();
    core.quota()?
        .on_child_report(now, report, rand::rng().random())
}

/// Records a report that is not part of a configuration poll.
pub fn record_report(core: &ProxyCore, report: &QuotaReport) {
    if let Some(mut ledger) = core.quota() {
        ledger.on_report(core.clock.since_boot(), report);
    }
}

/// Sets the position in the tree and the numbers of members. Before the daemon has joined, it does
/// not know how many there are.
pub fn set_quota_members(core: &ProxyCore, position: &TreePosition, counts: MemberCounts) {
    if !core.has_joined() {
        return;
    }
    if let Some(mut ledger) = core.quota() {
        ledger.set_members(core.clock.since_boot(), position, counts);
    }
}

/// Sends the sums of a reader to the other readers, and jumps of sums to neighbours in the tree,
/// until `token` is cancelled.
pub async fn exchange_quotas(core: Arc<ProxyCore>, token: CancellationToken) {
    if core.quota().is_none() {
        return;
    }
    let exchanging = async {
        let mut exchange_at = core.clock.now();
        loop {
            if core.clock.now() >= exchange_at {
                exchange_once(&core);
                let pause = EXCHANGE_INTERVAL.mul_f32(rand::rng().random_range(0.8..1.1));
                exchange_at = core.clock.now() + pause;
            }
            report_jumps(&core);
            sleep(URGENT_INTERVAL).await;
        }
    };
    tokio::select! {
        () = exchanging => {}
        () = token.cancelled() => {}
    }
}

fn exchange_once(core: &ProxyCore) {
    let (Some(table), Some(mut ledger)) = (core.table(), core.quota()) else {
        return;
    };
    let now = core.clock.since_boot();
    let organisations = table
        .config()
        .organisation_rules()
        .iter()
        .map(AsRef::as_ref);
    let ended = ledger.tick(now, organisations);
    let readers = ledger.other_readers().to_vec();
    let report = if readers.is_empty() {
        None
    } else {
        ledger.subtree_report(now, rand::rng().random())
    };
    drop(ledger);
    for name in ended {
        log::info!(organisation = name.as_str(); "organisation is within its quota again");
    }
    let Some(report) = report else {
        return;
    };
    let peers = core.peers();
    let request = PeerRequest::Quota(report);
    for address in readers.iter().filter_map(|id| peers.get(id)) {
        core.send_message(*address, &request);
    }
}

fn report_jumps(core: &ProxyCore) {
    let Some(mut ledger) = core.quota() else {
        return;
    };
    let reports = ledger.urgent_reports(core.clock.since_boot(), rand::rng().random());
    drop(ledger);
    let peers = core.peers();
    for (receiver, report) in reports {
        if let Some(address) = peers.get(&receiver) {
            core.send_message(*address, &PeerRequest::Quota(report));
        }
    }
}
