//! Error kinds, and the status, exit code and advice for each.
//!
//! A [`KindError`] carries a kind and one line of detail. Daemons that respond
//! to callers and the command-line tool both take the response from
//! [`ErrorKind::properties`], so that a kind is handled the same everywhere.

use std::fmt;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// The result type of fallible operations in all crates.
pub type Result<T> = std::result::Result<T, KindError>;

/// An error kind with one line of detail.
#[derive(Clone, Debug, Deserialize, Display, Eq, Error, PartialEq, Serialize)]
#[display("{kind}: {detail}")]
pub struct KindError {
    /// Kind of the error, which decides how it is handled.
    pub kind: ErrorKind,
    /// Human-readable description of what happened.
    pub detail: Box<str>,
}

impl KindError {
    /// Creates an error; `detail` is a single line.
    pub fn new(kind: ErrorKind, detail: impl Into<Box<str>>) -> Self {
        Self {
            kind,
            detail: detail.into(),
        }
    }
}

/// Returns an error of `kind` with `detail` unless `condition` holds.
pub fn ensure(condition: bool, kind: ErrorKind, detail: &str) -> Result<()> {
    if condition {
        return Ok(());
    }
    Err(KindError::new(kind, detail))
}

/// How callers, retries and operators treat an error kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ErrorProperties {
    /// Short name, sent in the `Quetzal-Error` header.
    pub name: &'static str,
    /// HTTP status sent to callers.
    pub status: u16,
    /// Whether the call is guaranteed not to have run.
    pub not_run: bool,
    /// Whether a retry of the unchanged call may succeed.
    pub retryable: bool,
    /// Exit code of the command-line tool.
    pub exit_code: u8,
    /// What an operator should do about the error.
    pub advice: &'static str,
}

/// Declares [`ErrorKind`] together with the properties of each kind.
macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident => $name:literal, $status:literal, $not_run:literal,
        $retryable:literal, $exit:literal, $advice:literal;)+) => {
        /// Cause of a failed operation.
        #[derive(
            Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)+
        }

        impl ErrorKind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)+];

            /// Returns the properties of this kind.
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

// Columns: name, HTTP status, not run, retryable, exit code, advice for operators.
error_kinds! {
    /// The request violates HTTP or a rule of this proxy.
    RequestInvalid => "request-invalid", 400, true, false, 2, "Correct the caller.";
    /// A non-idempotent call has no `Idempotency-Key`.
    KeyMissing => "key-missing", 428, true, false, 2, "Have the caller send an Idempotency-Key.";
    /// The key has no timestamp and no daemon issued it, so a single run cannot be guaranteed.
    KeyUntimed => "key-untimed", 400, true, false, 2, "Have the caller use a UUIDv7, or a key issued by POST /.quetzal/keys.";
    /// The customer is unknown or its key is wrong.
    CustomerUnknown => "customer-unknown", 401, true, false, 2, "Check the customer's entry in plans.jsonc.";
    /// The customer's plan does not allow the call.
    PlanForbids => "plan-forbids", 403, true, false, 2, "Allow it in allowances.jsonc and publish.";
    /// No route matches the path.
    RouteUnknown => "route-unknown", 404, true, false, 2, "Check the service's path in allowances.jsonc.";
    /// The service does not offer the method.
    MethodUnknown => "method-unknown", 405, true, false, 2, "Check the service's methods in allowances.jsonc.";
    /// The call rate of the plan is exceeded.
    RateExceeded => "rate-exceeded", 429, true, true, 3, "Wait, or raise the plan's rate.";
    /// The plan's limit on concurrent calls is reached.
    ConcurrencyExceeded => "concurrency-exceeded", 429, true, true, 3, "Wait, or raise the plan's limit on concurrent calls.";
    /// Calls of this class are shed because of overload.
    Overloaded => "overloaded", 503, true, true, 3, "Add targets, or wait until the load falls.";
    /// No target is available.
    TargetAbsent => "target-absent", 503, true, true, 3, "Check the service's targets with quetzal status.";
    /// The target's queue is full.
    QueueFull => "queue-full", 503, true, true, 3, "Add targets of the service.";
    /// The call would have to wait at this target and may be sent to another one.
    TargetBusy => "target-busy", 503, true, true, 3, "None; the call is sent to another target.";
    /// The daemon or target is draining.
    Draining => "draining", 503, true, true, 3, "None; the call is retried elsewhere.";
    /// The deadline passed before the call ran.
    DeadlineExceeded => "deadline-exceeded", 504, true, false, 3, "Raise the service's timeout if this is frequent.";
    /// The call may have run; its outcome is unknown.
    OutcomeUnknown => "outcome-unknown", 502, false, false, 4, "Send the call again with the same Idempotency-Key.";
    /// The call crashed targets before and is blocked.
    PoisonRequest => "poison-request", 422, true, false, 2, "Inspect the request; the block expires after a time.";
    /// It is unknown whether the call with this key ran; it will not run now.
    KeyUnknown => "key-unknown", 409, false, false, 4, "Check in the service's records whether it ran before sending a new key.";
    /// The key's home, the daemon that issued the key or its successor, is gone or was restarted;
    /// the call may have run and will not run again.
    KeyClosed => "key-closed", 410, false, false, 4, "Check in the service's records whether it ran before sending a new key.";
    /// The key was closed before the call ran, so the call never runs.
    KeyWithdrawn => "key-withdrawn", 410, true, false, 2, "Have the caller send a new key.";
    /// The timestamp of the key is ahead of the log's clock.
    KeyEarly => "key-early", 425, true, true, 3, "Correct the caller's clock.";
    /// The call completed, but its response is no longer stored.
    AnswerForgotten => "answer-forgotten", 410, false, false, 4, "Check the service's records; the call ran once.";
    /// The key's home has no room for another key.
    HomeFull => "home-full", 503, true, true, 3, "Wait, or add key homes.";
    /// The key was already used for another request.
    KeyReused => "key-reused", 422, true, false, 2, "Have the caller use a separate key for each request.";
    /// The call with this key is still running.
    KeyRunning => "key-running", 409, false, true, 3, "Retry later with the same key.";
    /// No home for the key holds a valid lease.
    HomeUnavailable => "home-unavailable", 503, true, true, 3, "Check the log service and the key homes with quetzal status.";
    /// The dispatch permit is missing, expired, used, revoked, or of another home or an earlier
    /// lease term.
    PermitInvalid => "permit-invalid", 503, true, true, 3, "None; the home fetches new permits.";
    /// This daemon is disconnected and cannot verify that its configuration is current.
    ConfigStale => "config-stale", 503, true, true, 3, "Check this daemon's connections with quetzal status.";
    /// This daemon has not received a configuration yet.
    ConfigAbsent => "config-absent", 503, true, true, 3, "Check the log service and this daemon's peers.";
    /// The body exceeds the maximum size.
    BodyTooLarge => "body-too-large", 413, true, false, 2, "Raise the body limit in the settings.";
    /// The headers exceed the maximum size.
    HeadersTooLarge => "headers-too-large", 431, true, false, 2, "Correct the caller.";
    /// The sender was idle for too long.
    IdleTimeout => "idle-timeout", 408, false, true, 3, "Check the caller's network connection.";
    /// The caller disconnected.
    CallerGone => "caller-gone", 499, false, false, 3, "None.";
    /// The listener has reached its connection limit.
    ConnectionsExceeded => "connections-exceeded", 503, true, true, 3, "Raise the listener's limit or find the idle callers.";
    /// The target disconnected or sent an invalid HTTP response.
    TargetFailed => "target-failed", 502, false, false, 4, "Check the target's own log.";
    /// A name has an invalid character or length.
    NameInvalid => "name-invalid", 400, true, false, 2, "Correct the name.";
    /// The configuration lists contain errors.
    ListInvalid => "list-invalid", 400, true, false, 2, "Correct the named lines and check again.";
    /// Another operator changed the same entry first.
    ChangeConflict => "change-conflict", 409, true, false, 5, "Pull, look at the other's change, and publish again.";
    /// The change violates the rules by which configuration changes are evaluated.
    ChangeRefused => "change-refused", 409, true, false, 5, "Correct the lists and publish again.";
    /// The change was accepted but is not yet in force everywhere.
    NotEverywhere => "not-everywhere", 202, false, true, 6, "Check the lagging proxies with quetzal status.";
    /// It is unknown whether the change was accepted.
    ChangeUnknown => "change-unknown", 504, false, true, 7, "Publish again with the same change id; it is applied once.";
    /// The log service does not respond or is unavailable.
    LogUnavailable => "log-unavailable", 503, true, true, 8, "Check the log service; traffic is not affected.";
    /// The log service rejected the request because of its rate limit.
    LogOverRate => "log-over-rate", 429, true, true, 8, "Wait; check for other clients of the log service.";
    /// The record at the offset has expired from the log.
    LogExpired => "log-expired", 410, true, false, 8, "None; readers continue from a snapshot.";
    /// The log lost records or was recreated.
    LogDiverged => "log-diverged", 409, true, false, 9, "Stop publishing and follow the page on a lost log.";
    /// A record enables a version of the evaluation rules that this release does not implement.
    RulesUnknown => "rules-unknown", 503, true, false, 9, "Upgrade the daemon that reports this.";
    /// The response of the log service cannot be decoded.
    LogAnswerInvalid => "log-answer-invalid", 502, false, true, 8, "Check the address of the log service.";
    /// A frame from a peer exceeds the maximum size.
    FrameTooLarge => "frame-too-large", 413, true, false, 10, "Check for daemons of different releases.";
    /// A frame from a peer cannot be decoded.
    FrameInvalid => "frame-invalid", 400, true, false, 10, "Check for daemons of different releases.";
    /// The hash or offset of a snapshot does not match its state.
    SnapshotInvalid => "snapshot-invalid", 409, true, true, 10, "None; another snapshot is used.";
    /// The peer closed the connection or does not respond.
    PeerUnavailable => "peer-unavailable", 503, true, true, 10, "Check the peer's VM.";
    /// A setting is unknown, missing or out of range.
    SettingInvalid => "setting-invalid", 400, true, false, 2, "Correct the named settings.";
    /// A local file or socket operation failed.
    LocalFailed => "local-failed", 500, false, false, 11, "Check the named file or address.";
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.properties().name)
    }
}
