//! At most once: idempotency keys, leases, permits and poison requests.
//!
//! A non-idempotent call carries a key, and one daemon, the key's *home*,
//! decides whether the call runs. The parts are plain state machines without
//! sockets or threads; a daemon feeds them messages and the clock and does
//! what they say:
//!
//! - [`key`] parses keys; [`fingerprint`](mod@print) gives a request its fingerprint.
//! - [`router`] tells any proxy where the home of a key is.
//! - [`home`] remembers keys at their home and gives the verdict.
//! - [`lease`] settles on the log service who is home for callers' own keys.
//! - [`permit`] keeps a home that was paused from starting a call late.
//! - [`poison`] stops requests that crash each target that runs them.
//! - [`proof`] names what an answer proves about whether the call ran.
//!
//! The way of a call: the proxy parses the key, asks [`KeyRouter::home_of`] and
//! forwards to the home; the home asks [`KeyHome::begin`]; on
//! [`KeyVerdict::Run`] it takes a permit from its [`PermitPool`] and sends the
//! call with a [`DispatchCredentials`] to the daemon beside the target, which asks
//! [`PoisonDetector::start`] and [`PermitIssuer::redeem`] before the target sees
//! it; the answer streams back through the home, which settles the ticket with
//! [`KeyHome::settle`].
//!
//! See `examples/payout.rs` for a payout sent twice.

pub mod fingerprint;
pub mod home;
pub mod key;
pub mod lease;
pub mod permit;
pub mod poison;
pub mod proof;
pub mod router;

pub use fingerprint::{PrintHasher, RequestFingerprint};
pub use home::{
    CloseVerdict, HandoverPage, HomeSettings, KeyCall, KeyHome, KeyRefusal, KeySettlement,
    KeyVerdict, RunOutcome, RunTicket, ShardId, StageAnswer, StoredAnswer, UntimedKeys,
};
pub use key::{CallKey, CallerKey, IssuedKey, KeyDigest};
pub use lease::{
    HolderId, KeyRange, LeaseKeeper, LeaseOutput, LeaseSettings, LeaseView, TermUpdate,
};
pub use permit::{DispatchCredentials, DispatchPermit, PermitIssuer, PermitPool};
pub use poison::{PoisonDetector, PoisonMessage, PoisonOutput, SuspectReport};
pub use proof::RunProof;
pub use router::{HolderStatus, HomeAnswer, IssuerMove, KeyRouter};
