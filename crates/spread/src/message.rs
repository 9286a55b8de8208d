//! Messages between distributors, and the actions a distributor requests of its owner.
//!
//! Ages are sent as elapsed time, never as timestamps, since the clocks of two
//! machines are not comparable. An age in a response is counted from the time
//! the request was sent, so it never appears younger than it is.

use std::time::Duration;

use derive_more::Display;
use feed::port::Result as LogResult;
use model::{
    ConfigVersion, DaemonId, DomainName, ErrorKind, IncarnationNumber, LogOffset, RecordCount,
    StreamName,
};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::acks::{AckSum, FleetSummary};
use crate::replica::{HeadUpdate, MAX_UPDATE_BYTES, ReplicaHead};
use crate::roster::RosterHash;

/// Result of validating a message.
pub type Result<T> = model::Result<T>;

model::number_types! {
    /// Elapsed time on the wire, in whole milliseconds.
    AgeMillis(u32),
}

impl From<Duration> for AgeMillis {
    fn from(age: Duration) -> Self {
        Self(u32::try_from(age.as_millis()).unwrap_or(u32::MAX))
    }
}

impl From<AgeMillis> for Duration {
    fn from(age: AgeMillis) -> Self {
        Self::from_millis(u64::from(age.0))
    }
}

/// Number of a request to a peer, which the peer repeats in its response.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct QuestionNumber(pub u32);

/// Evidence that a daemon has about the state of the log.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FreshnessEvidence {
    /// Time since the sender's head was last proven to be the end of the log.
    pub proof_age: Option<AgeMillis>,
    /// Time since the log was last known to be down for all required domains.
    pub outage_age: Option<AgeMillis>,
}

/// Position and age of a snapshot that is in the log.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotInfo {
    /// Position of the snapshot's head.
    pub position: ConfigVersion,
    /// Time since the snapshot was appended.
    pub age: AgeMillis,
}

/// Report on a failure domain, exchanged between the readers of different domains. A
/// daemon that is not a reader sends one only as a response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DomainReport {
    /// Failure domain of the sender.
    pub domain: DomainName,
    /// Head of the sender.
    pub head: ReplicaHead,
    /// Evidence of the sender about the log.
    pub view: FreshnessEvidence,
    /// Time since the sender last found the log down or diverged, if it still is;
    /// `None` if the sender is not a reader.
    pub down_age: Option<AgeMillis>,
    /// Aggregated acknowledgements of the sender's domain; `None` if the sender is
    /// not a reader.
    pub sum: Option<AckSum>,
    /// Live readers of the sender's domain.
    pub readers: ReaderList,
    /// Newest snapshot known to the sender.
    pub snapshot: Option<SnapshotInfo>,
}

impl DomainReport {
    fn check(&self) -> Result<()> {
        let bounded = self.readers.len() <= MAX_REPORTED_READERS;
        model::ensure(
            bounded,
            ErrorKind::FrameInvalid,
            "too many readers in a report",
        )?;
        self.sum.as_ref().map_or(Ok(()), AckSum::check)
    }
}

/// Message between two distributors.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SpreadMessage {
    /// Heartbeat of a reader, forwarded down its tree.
    Beat {
        /// Reader that is the root of the tree.
        root: DaemonId,
        /// Incarnation of the reader.
        run: IncarnationNumber,
        /// Sequence number of the heartbeat within the incarnation.
        number: u32,
        /// Head of the sender, not of the root.
        head: ReplicaHead,
        /// State of the fleet as known to the root; absent in most heartbeats.
        summary: Option<FleetSummary>,
    },
    /// Aggregated acknowledgements of the sender's subtree.
    Ack {
        /// Root of the tree.
        root: DaemonId,
        /// Number of this request.
        question: QuestionNumber,
        /// Head of the sender.
        head: ReplicaHead,
        /// Hash of the domain's members as known to the sender.
        view: RosterHash,
        /// Aggregate over the sender and its descendants.
        sum: AckSum,
    },
    /// Compares heads with a random peer.
    Compare {
        /// Number of this request.
        question: QuestionNumber,
        /// Head of the sender.
        head: ReplicaHead,
    },
    /// Response to `Ack` and `Compare`.
    Compared {
        /// Number of the request.
        question: QuestionNumber,
        /// Head of the sender.
        head: ReplicaHead,
        /// Evidence of the sender about the log.
        view: FreshnessEvidence,
    },
    /// Requests an update that starts from the sender's head.
    Pull {
        /// Head of the sender.
        base: ReplicaHead,
    },
    /// Update from one head to a newer one.
    Update(HeadUpdate),
    /// The sender has no transfer tokens left.
    Busy {
        /// Time after which to retry.
        retry_after: AgeMillis,
    },
    /// The sender has nothing newer, or the update is too large to send.
    NoUpdate {
        /// Head of the sender; `None` if it has no configuration itself.
        head: Option<ReplicaHead>,
    },
    /// Report of a reader to a reader of another domain.
    Report {
        /// Number of this request.
        question: QuestionNumber,
        /// Report on the sender's domain.
        report: DomainReport,
    },
    /// Response to `Report`, with the receiver's own report.
    Reported {
        /// Number of the request.
        question: QuestionNumber,
        /// Report on the sender's domain.
        report: DomainReport,
    },
}

impl SpreadMessage {
    /// Validates a message received from a peer.
    ///
    /// Kinds: `FrameTooLarge`, `FrameInvalid`.
    pub fn check(&self) -> Result<()> {
        match self {
            Self::Beat { summary, .. } => summary.as_ref().map_or(Ok(()), FleetSummary::check),
            Self::Ack { sum, .. } => sum.check(),
            Self::Update(update) => check_update(update),
            Self::Report { report, .. } | Self::Reported { report, .. } => report.check(),
            Self::Compare { .. }
            | Self::Compared { .. }
            | Self::Pull { .. }
            | Self::Busy { .. }
            | Self::NoUpdate { .. } => Ok(()),
        }
    }
}

fn check_update(update: &HeadUpdate) -> Result<()> {
    let bounded = update.body.0.len() <= MAX_UPDATE_BYTES;
    model::ensure(bounded, ErrorKind::FrameTooLarge, "the update is too large")?;
    model::ensure(
        update.target.is_newer_than(&update.base),
        ErrorKind::FrameInvalid,
        "the update does not lead to a newer head",
    )
}

/// Matches the result of a log read or append to its request.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Ord, PartialEq, PartialOrd)]
pub struct LogTag(pub u64);

/// Read of the log that the owner executes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogRead {
    /// Tag to return with the result.
    pub tag: LogTag,
    /// Stream to read.
    pub stream: StreamName,
    /// Offset of the first record to read.
    pub from: LogOffset,
    /// Maximum number of records to return.
    pub limit: RecordCount,
    /// Maximum time for which the log may wait for a record.
    pub wait: Duration,
}

/// Append to the log that the owner executes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogAppend {
    /// Tag to return with the result.
    pub tag: LogTag,
    /// Stream to append to.
    pub stream: StreamName,
    /// Body of the record.
    pub body: Box<[u8]>,
}

/// State change that operators should see.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum SpreadAlarm {
    /// This daemon starts to serve its first configuration, given by its next offset.
    #[display("now serving, next offset {_0}")]
    Serving(LogOffset),
    /// This reader cannot read the log.
    #[display("log down: {_0}")]
    LogDown(ErrorKind),
    /// This reader can read the log again.
    #[display("log up")]
    LogUp,
    /// The log ends before this daemon's head or has a different record there.
    #[display(
        "log diverged: it ends or differs at {log_next}, \
         the next offset of this daemon is {held_next}"
    )]
    LogDiverged {
        /// Offset at which the log ends or differs.
        log_next: LogOffset,
        /// Next offset of this daemon.
        held_next: LogOffset,
    },
    /// This daemon adopted a state that a rebase moved past its previous one.
    #[display("log rebased to version {version}, it continues at {next}")]
    LogRebased {
        /// Offset at which the log continues.
        next: LogOffset,
        /// Version that the rebase created, or a later one.
        version: ConfigVersion,
    },
    /// Records expired before this daemon read them.
    #[display(
        "records before {first} expired, the next offset of this daemon is {held_next}; \
         if no peer and no snapshot has them, run quetzal rebase"
    )]
    LogGap {
        /// Lowest offset that the log retains.
        first: LogOffset,
        /// Next offset of this daemon.
        held_next: LogOffset,
    },
    /// The replica cannot fold a record that needs a newer release.
    #[display("cannot apply the record at {_0}; a newer release is needed")]
    LogStuck(LogOffset),
    /// An invalid message from a peer was dropped.
    #[display("message from {peer} refused: {kind}")]
    MessageRefused {
        /// Sender of the message.
        peer: DaemonId,
        /// Kind of the validation error.
        kind: ErrorKind,
    },
    /// A peer has a different state at the same position.
    #[display("daemon {peer} has a different state at {next}")]
    PeerContradicts {
        /// Peer with the different state.
        peer: DaemonId,
        /// Next offset of the peer.
        next: LogOffset,
    },
    /// An update or snapshot was unusable.
    #[display("update refused: {_0}")]
    UpdateRefused(ErrorKind),
    /// This daemon started to read the log.
    #[display("reading the log")]
    ReaderStarted,
    /// This daemon stopped reading the log.
    #[display("no longer reading the log")]
    ReaderStopped,
    /// The freshness of this daemon changed.
    #[display("freshness: {_0}")]
    FreshnessChanged(crate::freshness::FreshnessState),
}

/// Action requested of the owner; to be executed in order.
#[derive(Clone, Debug, PartialEq)]
pub enum SpreadOutput {
    /// Send a message to a peer; it may be lost.
    Send {
        /// Peer to send to.
        to: DaemonId,
        /// Message to send.
        message: SpreadMessage,
    },
    /// Read the log and return the result.
    ReadLog(LogRead),
    /// Append to the log and return the result.
    Append(LogAppend),
    /// Build a table from the changed replica, swap it in, then call `on_in_force`.
    Applied(ConfigVersion),
    /// Log and count a state change.
    Alarm(SpreadAlarm),
}

/// Outputs of one call; usually few.
pub type OutputList = Vec<SpreadOutput>;

/// Short list of readers of one domain.
pub type ReaderList = SmallVec<[DaemonId; 2]>;

/// Maximum number of readers listed in a report.
pub const MAX_REPORTED_READERS: usize = 4;

/// List of peers, such as the children in a tree.
pub type PeerList = SmallVec<[DaemonId; 8]>;

/// Result of an append: the offset of the record.
pub type AppendResult = LogResult<LogOffset>;
