//! What a process notes for the time line.

use std::fmt;

use derive_more::Display;
use model::{ConfigVersion, DaemonId, IncarnationNumber};
use serde::{Deserialize, Serialize};

use crate::clock::HybridTimestamp;

/// Longest detail in bytes.
pub const MAX_DETAIL_BYTES: usize = 120;

/// What an event is about; the picture gives each class a colour.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum EventClass {
    /// Configuration.
    #[display("configuration")]
    Config,
    /// Members.
    #[display("members")]
    Members,
    /// Targets.
    #[display("targets")]
    Targets,
    /// Planned stops.
    #[display("drain")]
    Drain,
    /// Key homes.
    #[display("leases")]
    Leases,
    /// Faults.
    #[display("faults")]
    Faults,
}

impl EventClass {
    /// Every class, in the order of the legend.
    pub const ALL: [Self; 6] = [
        Self::Config,
        Self::Members,
        Self::Targets,
        Self::Drain,
        Self::Leases,
        Self::Faults,
    ];
}

/// Declares the kinds together with their names and classes.
macro_rules! event_kinds {
    ($($(#[$doc:meta])* $kind:ident => $name:literal, $class:ident;)+) => {
        /// Everything that a process notes.
        #[derive(
            Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        pub enum EventKind {
            $($(#[$doc])* $kind,)+
        }

        impl EventKind {
            /// Every kind, in the order of declaration.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)+];

            /// Short name.
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$kind => $name,)+
                }
            }

            /// What the kind is about.
            pub fn class(self) -> EventClass {
                match self {
                    $(Self::$kind => EventClass::$class,)+
                }
            }
        }
    };
}

event_kinds! {
    /// A version came into force in this process.
    ConfigApplied => "config-applied", Config;
    /// A record of the log was refused.
    ConfigRefused => "config-refused", Config;
    /// A snapshot was written to the log.
    SnapshotWritten => "snapshot-written", Config;
    /// This process began to read the log for its failure domain.
    ReaderTookOver => "reader-took-over", Config;
    /// This process can no longer prove that its configuration is current.
    StaleEntered => "stale-entered", Faults;
    /// The configuration is known to be current again.
    StaleLeft => "stale-left", Config;
    /// The log service does not answer.
    LogDown => "log-down", Faults;
    /// The log service answers again.
    LogUp => "log-up", Config;
    /// The log service lost records or began anew.
    LogDiverged => "log-diverged", Faults;
    /// The process started.
    Started => "started", Members;
    /// A member joined or came back.
    Joined => "joined", Members;
    /// A member stopped as planned.
    Left => "left", Members;
    /// A member did not answer.
    Suspected => "suspected", Members;
    /// A member did not refute a suspicion in time.
    Died => "died", Faults;
    /// A target takes calls.
    TargetReady => "target-ready", Targets;
    /// A target takes no new calls.
    TargetDraining => "target-draining", Targets;
    /// A target is no longer present.
    TargetGone => "target-gone", Targets;
    /// A planned stop of this process began.
    DrainStarted => "drain-started", Drain;
    /// The last call in progress has ended.
    DrainEnded => "drain-ended", Drain;
    /// This process became the home of a range of keys.
    LeaseTaken => "lease-taken", Leases;
    /// This process is no longer the home of a range of keys.
    LeaseLost => "lease-lost", Leases;
    /// A request that crashes targets was stopped.
    PoisonStopped => "poison-stopped", Faults;
    /// Calls are refused; noted when it begins, not for each call.
    RefusalStarted => "refusal-started", Faults;
    /// Calls are no longer refused.
    RefusalEnded => "refusal-ended", Config;
}

impl fmt::Display for EventKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// One event of one process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TraceEvent {
    /// Where it stands in the order of all events.
    pub stamp: HybridTimestamp,
    /// The process.
    pub daemon: DaemonId,
    /// Its run.
    pub incarnation: IncarnationNumber,
    /// The version in force there at the time.
    pub version: ConfigVersion,
    /// What happened.
    pub kind: EventKind,
    /// About whom or what, at most [`MAX_DETAIL_BYTES`].
    pub detail: Box<str>,
}

impl TraceEvent {
    /// Memory that the event takes, in bytes.
    pub fn memory_size(&self) -> usize {
        size_of::<Self>() + self.detail.len()
    }
}

/// `detail`, cut at a character to at most [`MAX_DETAIL_BYTES`].
pub(crate) fn bounded_detail(detail: &str) -> &str {
    let mut end = detail.len().min(MAX_DETAIL_BYTES);
    while !detail.is_char_boundary(end) {
        end -= 1;
    }
    &detail[..end]
}
