//! Events that processes record for the timeline, by kind and class.

use std::fmt;

use derive_more::Display;
use model::{ConfigVersion, DaemonId, IncarnationNumber};
use serde::{Deserialize, Serialize};

use crate::clock::HybridTimestamp;

/// Maximum length of an event's detail in bytes.
pub const MAX_DETAIL_BYTES: usize = 120;

/// Area of the system that events concern; the chart draws each class in its own colour.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum EventClass {
    /// Versions of the configuration and access to the log that holds them.
    #[display("configuration")]
    Config,
    /// Membership of the fleet.
    #[display("members")]
    Members,
    /// Availability of targets.
    #[display("targets")]
    Targets,
    /// Planned shutdowns.
    #[display("drain")]
    Drain,
    /// Leases on ranges of idempotency keys.
    #[display("leases")]
    Leases,
    /// Failures and refused calls.
    #[display("faults")]
    Faults,
}

impl EventClass {
    /// All classes, in legend order.
    pub const ALL: [Self; 6] = [
        Self::Config,
        Self::Members,
        Self::Targets,
        Self::Drain,
        Self::Leases,
        Self::Faults,
    ];
}

/// Declares the event kinds with their names and classes.
macro_rules! event_kinds {
    ($($(#[$doc:meta])* $kind:ident => $name:literal, $class:ident;)+) => {
        /// Kind of a recorded event.
        #[derive(
            Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        pub enum EventKind {
            $($(#[$doc])* $kind,)+
        }

        impl EventKind {
            /// All kinds, in declaration order.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)+];

            /// Returns the kind's name as shown to operators.
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$kind => $name,)+
                }
            }

            /// Returns the kind's class.
            pub fn class(self) -> EventClass {
                match self {
                    $(Self::$kind => EventClass::$class,)+
                }
            }
        }
    };
}

event_kinds! {
    /// A configuration version came into force in this process.
    ConfigApplied => "config-applied", Config;
    /// A log record was refused.
    ConfigRefused => "config-refused", Config;
    /// A snapshot was written to the log.
    SnapshotWritten => "snapshot-written", Config;
    /// This process became the log reader of its failure domain.
    ReaderTookOver => "reader-took-over", Config;
    /// This process can no longer prove that its configuration is current.
    StaleEntered => "stale-entered", Faults;
    /// The configuration is known to be current again.
    StaleLeft => "stale-left", Config;
    /// The log service stopped answering.
    LogDown => "log-down", Faults;
    /// The log service answers again.
    LogUp => "log-up", Config;
    /// The log service lost records or was reset.
    LogDiverged => "log-diverged", Faults;
    /// The process started.
    Started => "started", Members;
    /// A member joined or rejoined.
    Joined => "joined", Members;
    /// A member left in a planned shutdown.
    Left => "left", Members;
    /// A member did not answer a probe.
    Suspected => "suspected", Members;
    /// A member did not refute a suspicion in time.
    Died => "died", Faults;
    /// A target accepts calls.
    TargetReady => "target-ready", Targets;
    /// A target accepts no new calls.
    TargetDraining => "target-draining", Targets;
    /// A target is no longer present.
    TargetGone => "target-gone", Targets;
    /// A planned shutdown of this process began.
    DrainStarted => "drain-started", Drain;
    /// The last call in progress ended during a planned shutdown.
    DrainEnded => "drain-ended", Drain;
    /// This process acquired the lease on a range of keys.
    LeaseTaken => "lease-taken", Leases;
    /// This process lost the lease on a range of keys.
    LeaseLost => "lease-lost", Leases;
    /// A request that crashes targets was stopped.
    PoisonStopped => "poison-stopped", Faults;
    /// Calls are refused; recorded once when this begins, not per call.
    RefusalStarted => "refusal-started", Faults;
    /// Calls are no longer refused.
    RefusalEnded => "refusal-ended", Config;
}

impl fmt::Display for EventKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// An event recorded by a process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TraceEvent {
    /// Position in the causal order of all events.
    pub stamp: HybridTimestamp,
    /// Process that recorded the event.
    pub daemon: DaemonId,
    /// Incarnation of that process.
    pub incarnation: IncarnationNumber,
    /// Configuration version in force in the process at the time.
    pub version: ConfigVersion,
    /// What happened.
    pub kind: EventKind,
    /// What the event is about, such as a target or member, at most [`MAX_DETAIL_BYTES`] long.
    pub detail: Box<str>,
}

impl TraceEvent {
    /// Returns the memory used by the event, in bytes.
    pub fn memory_size(&self) -> usize {
        size_of::<Self>() + self.detail.len()
    }
}

/// Truncates `detail` at a character boundary to at most [`MAX_DETAIL_BYTES`].
pub(crate) fn truncate_detail(detail: &str) -> &str {
    let mut end = detail.len().min(MAX_DETAIL_BYTES);
    while !detail.is_char_boundary(end) {
        end -= 1;
    }
    &detail[..end]
}
