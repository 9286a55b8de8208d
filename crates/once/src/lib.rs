//! At-most-once execution of calls: idempotency keys, leases, permits and poison detection.
//!
//! A non-idempotent call carries an idempotency key, and one daemon, the key's
//! *home*, decides whether the call runs. All parts are state machines without
//! I/O or threads: the daemon passes in messages and the time and executes the
//! outputs.
//!
//! - [`key`] parses keys; [`fingerprint`] computes the fingerprint of a request.
//! - [`router`] finds the home of a key for any proxy.
//! - [`home`] remembers keys at their home and decides about calls.
//! - [`lease`] assigns homes for callers' own keys through the log service.
//! - [`permit`] prevents a home that was paused from starting a call late.
//! - [`poison`] stops requests that crash every target that runs them.
//! - [`proof`] states what an answer proves about whether the call ran.
//!
//! A call takes this path:
//!
//! 1. The proxy parses the key, looks up its home with [`KeyRouter::home_of`]
//!    and forwards the call.
//! 2. The home calls [`KeyHome::begin`]. On [`KeyVerdict::Run`] it takes a
//!    permit from its [`PermitPool`] and sends the call with
//!    [`DispatchCredentials`] to the daemon beside the target.
//! 3. That daemon calls [`PoisonDetector::start`] and [`PermitIssuer::redeem`]
//!    before it passes the call to the target.
//! 4. The answer streams back through the home, which settles the ticket with
//!    [`KeyHome::settle`].
//!
//! See `examples/payout.rs` for a payout that is sent twice and runs once.

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
