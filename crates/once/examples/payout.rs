//! A payout that is sent twice runs once: drives the crate's state machines by hand, without I/O.
//!
//! `cargo run -p quetzal-once --example payout`

use std::sync::Arc;

use model::{CustomerName, DaemonId, IncarnationNumber, SystemClock};
use quetzal_once::permit::{PermitRequest, PermitSettings};
use quetzal_once::{
    CallKey, DispatchCredentials, DispatchPermit, HolderId, HomeSettings, KeyCall, KeyDigest,
    KeyHome, KeyVerdict, PermitIssuer, PrintHasher, RunOutcome, StoredAnswer,
};

fn main() {
    let clock = SystemClock::shared();
    let me = holder(1);
    let mut home = KeyHome::new(me, HomeSettings::default(), Arc::clone(&clock));
    let mut issuer = PermitIssuer::new(holder(2), PermitSettings::default(), clock);

    // The caller requests a key from any proxy and sends its payout with the key.
    let key = home.issue().expect("the home is not leaving");
    println!("Idempotency-Key: {key}");
    let call = payout(CallKey::Issued(key));
    for attempt in 1..=2 {
        match home.begin(&call) {
            KeyVerdict::Run(ticket) => {
                let request = PermitRequest {
                    home: me,
                    issuer: DaemonId(2),
                    count: 1,
                };
                let grant = issuer.grant(&request);
                let permit = DispatchPermit {
                    issuer: grant.issuer,
                    number: grant.first,
                };
                let credentials = DispatchCredentials {
                    permit: Some(permit),
                    home: me,
                    term: ticket.term(),
                };
                issuer.redeem(&credentials).expect("the permit is new");
                println!("attempt {attempt}: the target runs the payout");
                home.settle(ticket, RunOutcome::Done(receipt()));
            }
            KeyVerdict::Finished(answer) => {
                let body = String::from_utf8_lossy(&answer.body);
                println!(
                    "attempt {attempt}: {} {body} (its first answer)",
                    answer.status
                );
            }
            KeyVerdict::Running => println!("attempt {attempt}: still running"),
            KeyVerdict::Refused(refusal) => println!("attempt {attempt}: {}", refusal.error),
        }
    }
}

fn holder(daemon: u64) -> HolderId {
    HolderId::new(DaemonId(daemon), IncarnationNumber(1))
}

fn payout(key: CallKey) -> KeyCall {
    let customer: CustomerName = "agency".parse().expect("a valid name");
    let body = br#"{"creator":"amina","cents":125000}"#;
    let mut hasher = PrintHasher::new(&customer, "POST", "/deals/payouts", None);
    hasher.update(body);
    KeyCall {
        digest: KeyDigest::of(&customer, &key),
        key,
        fingerprint: hasher.finish(),
    }
}

fn receipt() -> Arc<StoredAnswer> {
    Arc::new(StoredAnswer {
        status: 201,
        headers: Box::default(),
        body: br#"{"receipt":7}"#[..].into(),
    })
}
