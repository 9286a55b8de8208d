//! The closed list of error kinds and the table from kind to answer.
//!
//! A [`KindError`] carries a kind and one line of detail. Whoever must answer
//! (a daemon to a caller, the command to an operator) looks the kind up in
//! [`ErrorKind::properties`] and never decides anew.

use std::fmt;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// What a failing operation of the product returns.
pub type Result<T> = std::result::Result<T, KindError>;

/// An error kind with one line of detail.
#[derive(Clone, Debug, Deserialize, Display, Eq, Error, PartialEq, Serialize)]
#[display("{kind}: {detail}")]
pub struct KindError {
    /// The kind, which decides the answer.
    pub kind: ErrorKind,
    /// What happened, for people.
    pub detail: Box<str>,
}

impl KindError {
    /// An error of `kind`; `detail` is one line.
    pub fn new(kind: ErrorKind, detail: impl Into<Box<str>>) -> Self {
        Self {
            kind,
            detail: detail.into(),
        }
    }
}

/// Fails with `kind` and `detail` unless `held`.
pub fn ensure(held: bool, kind: ErrorKind, detail: &str) -> Result<()> {
    if held {
        return Ok(());
    }
    Err(KindError::new(kind, detail))
}

/// What each kind means for callers, retries and operators.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ErrorProperties {
    /// Short name, as in the `Quetzal-Error` header.
    pub name: &'static str,
    /// HTTP status towards callers.
    pub status: u16,
    /// Whether the call is proven not to have run.
    pub not_run: bool,
    /// Whether another try may succeed without a change by the caller.
    pub retryable: bool,
    /// Exit code of the operators' command.
    pub exit_code: u8,
    /// What the operator does about it.
    pub advice: &'static str,
}

/// Declares the kinds together with their table.
macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident => $name:literal, $status:literal, $not_run:literal,
        $retryable:literal, $exit:literal, $advice:literal;)+) => {
        /// Everything that can go wrong.
        #[derive(
            Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)+
        }

        impl ErrorKind {
            /// Every kind, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)+];

            /// The row of the table for this kind.
            pub fn properties(self) -> ErrorProperties {
                match self {
                    $(Self::$kind => ErrorProperties {
                        name: $name,
                        status: $status,
                        not_run: $not_run,
                        retryable: $retryable,
                        exit_code: $exit,
                        advice: $advice,
                    },)+
                }
            }
        }
    };
}

// Columns: name, status, not run, retryable, exit code, what the operator does.
error_kinds! {
    /// The request breaks a rule of HTTP or of the product.
    RequestInvalid => "request-invalid", 400, true, false, 2, "Correct the caller.";
    /// A non-idempotent call came without an `Idempotency-Key`.
    KeyMissing => "key-missing", 428, true, false, 2, "Have the caller send an Idempotency-Key.";
    /// The key carries no time and was not issued, so it cannot be kept to one run.
    KeyUntimed => "key-untimed", 400, true, false, 2, "Have the caller use a UUIDv7, or a key issued by POST /.quetzal/keys.";
    /// The customer is unknown or its key is wrong.
    CustomerUnknown => "customer-unknown", 401, true, false, 2, "Check the customer's entry in plans.jsonc.";
    /// The customer's plan does not allow the call.
    PlanForbids => "plan-forbids", 403, true, false, 2, "Allow it in allowances.jsonc and publish.";
    /// No route matches the path.
    RouteUnknown => "route-unknown", 404, true, false, 2, "Check the service's path in allowances.jsonc.";
    /// The service does not offer the method.
    MethodUnknown => "method-unknown", 405, true, false, 2, "Check the service's methods in allowances.jsonc.";
    /// The plan's rate is used up.
    RateExceeded => "rate-exceeded", 429, true, true, 3, "Wait, or raise the plan's rate.";
    /// The plan's calls at once are used up.
    ConcurrencyExceeded => "concurrency-exceeded", 429, true, true, 3, "Wait, or raise the plan's calls at once.";
    /// The fleet sheds this kind of call.
    Overloaded => "overloaded", 503, true, true, 3, "Add targets, or wait until the load falls.";
    /// No present and willing target.
    TargetAbsent => "target-absent", 503, true, true, 3, "Check the service's targets with quetzal status.";
    /// The target's queue is full.
    QueueFull => "queue-full", 503, true, true, 3, "Add targets of the service.";
    /// The daemon or target is draining.
    Draining => "draining", 503, true, true, 3, "None; the call is tried elsewhere.";
    /// The deadline passed before the call ran.
    DeadlineExceeded => "deadline-exceeded", 504, true, false, 3, "Raise the service's timeout if this is usual.";
    /// The call may have run; its outcome is lost.
    OutcomeUnknown => "outcome-unknown", 502, false, false, 4, "Send the call again with the same Idempotency-Key.";
    /// The call crashed targets before and is stopped.
    PoisonRequest => "poison-request", 422, true, false, 2, "Look at the request; it is forgotten after a time.";
    /// Nobody can tell whether the call with this key ran; it will not run now.
    KeyUnknown => "key-unknown", 409, false, false, 4, "Look in the service's records whether it ran before a fresh key is sent.";
    /// The key's home is gone; the call never runs again and may have run.
    KeyClosed => "key-closed", 410, false, false, 4, "Look in the service's records whether it ran before a fresh key is sent.";
    /// The key was closed before the call ran; it never runs.
    KeyWithdrawn => "key-withdrawn", 410, true, false, 2, "Have the caller send a fresh key.";
    /// The key's time lies ahead of the log's clock.
    KeyEarly => "key-early", 425, true, true, 3, "Correct the caller's clock.";
    /// The call ran to its end; its answer is no longer held.
    AnswerForgotten => "answer-forgotten", 410, false, false, 4, "Look in the service's records; the call ran once.";
    /// The key's home can remember no further key.
    HomeFull => "home-full", 503, true, true, 3, "Wait, or add key homes.";
    /// The key was used for another request.
    KeyReused => "key-reused", 422, true, false, 2, "Have the caller use one key for each request.";
    /// The call with this key is still running.
    KeyRunning => "key-running", 409, false, true, 3, "Send the call again with the same key later.";
    /// No home for the key holds a valid lease.
    HomeUnavailable => "home-unavailable", 503, true, true, 3, "Check the log service and the key homes with quetzal status.";
    /// A dispatch permit is too old or from another epoch.
    PermitInvalid => "permit-invalid", 503, true, true, 3, "None; the home fetches fresh permits.";
    /// This daemon is cut off and cannot prove that its configuration is current.
    ConfigStale => "config-stale", 503, true, true, 3, "Check this daemon's links with quetzal status.";
    /// This daemon holds no configuration yet.
    ConfigAbsent => "config-absent", 503, true, true, 3, "Check the log service and this daemon's peers.";
    /// The body is larger than allowed.
    BodyTooLarge => "body-too-large", 413, true, false, 2, "Raise the body limit in the settings.";
    /// The headers are larger than allowed.
    HeadersTooLarge => "headers-too-large", 431, true, false, 2, "Correct the caller.";
    /// The sender stalled for too long.
    IdleTimeout => "idle-timeout", 408, false, true, 3, "Check the caller's link.";
    /// The caller left.
    CallerGone => "caller-gone", 499, false, false, 3, "None.";
    /// The listener's connections are used up.
    ConnectionsExceeded => "connections-exceeded", 503, true, true, 3, "Raise the listener's limit or find the idle callers.";
    /// The target broke off or answered no HTTP.
    TargetFailed => "target-failed", 502, false, false, 4, "Look at the target's own log.";
    /// A name has a wrong character or length.
    NameInvalid => "name-invalid", 400, true, false, 2, "Correct the name.";
    /// The two lists contain errors.
    ListInvalid => "list-invalid", 400, true, false, 2, "Correct the named lines and check again.";
    /// Another operator changed the same entry first.
    ChangeConflict => "change-conflict", 409, true, false, 5, "Pull, look at the other's change, and publish again.";
    /// The record was refused by the rules.
    ChangeRefused => "change-refused", 409, true, false, 5, "Correct the lists and publish again.";
    /// Accepted, but not yet in force everywhere.
    NotEverywhere => "not-everywhere", 202, false, true, 6, "Look at the proxies that lag with quetzal status.";
    /// Whether the change was accepted is unknown.
    ChangeUnknown => "change-unknown", 504, false, true, 7, "Publish again with the same change id; it counts once.";
    /// The log service does not answer or is in an outage.
    LogUnavailable => "log-unavailable", 503, true, true, 8, "Look at the log service; traffic goes on.";
    /// The log service refused the rate.
    LogOverRate => "log-over-rate", 429, true, true, 8, "Wait; look for other users of the log service.";
    /// The offset has expired from the log.
    LogExpired => "log-expired", 410, true, false, 8, "None; readers go on from a snapshot.";
    /// The log lost records or began anew.
    LogDiverged => "log-diverged", 409, true, false, 9, "Stop publishing and follow the page on a lost log.";
    /// The stream permits rules that this release does not know.
    RulesUnknown => "rules-unknown", 503, true, false, 9, "Update the daemon that says so.";
    /// The log service answered what the port cannot read.
    LogAnswerInvalid => "log-answer-invalid", 502, false, true, 8, "Check the address of the log service.";
    /// A frame from a peer is larger than allowed.
    FrameTooLarge => "frame-too-large", 413, true, false, 10, "Look for mixed releases.";
    /// A frame from a peer cannot be read.
    FrameInvalid => "frame-invalid", 400, true, false, 10, "Look for mixed releases.";
    /// A snapshot's hash or offset does not match its state.
    SnapshotInvalid => "snapshot-invalid", 409, true, true, 10, "None; another snapshot is used.";
    /// The peer closed or does not answer.
    PeerUnavailable => "peer-unavailable", 503, true, true, 10, "Look at the peer's machine.";
    /// A setting is unknown, missing or out of range.
    SettingInvalid => "setting-invalid", 400, true, false, 2, "Correct the named settings.";
    /// A file or socket of this machine failed.
    LocalFailed => "local-failed", 500, false, false, 11, "Look at the named file or address.";
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.properties().name)
    }
}
