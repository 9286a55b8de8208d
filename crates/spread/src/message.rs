//! Messages between distributors, and what a distributor asks of its owner.
//!
//! Ages travel as elapsed time, never as a point in time: clocks of machines
//! are not compared. An age that arrives in an answer is counted from the
//! moment the question was sent, so that it never appears younger than it is.

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

/// Results of checking a message.
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

/// Ties an answer to its question.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct QuestionNumber(pub u32);

/// What a daemon can prove about the log.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FreshnessEvidence {
    /// Since when the sender's head may no longer be the log's.
    pub proof_age: Option<AgeMillis>,
    /// Since when one of the domains may no longer find the log down.
    pub outage_age: Option<AgeMillis>,
}

/// A snapshot known to be in the log.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotInfo {
    /// The head's position.
    pub position: ConfigVersion,
    /// Time since the append.
    pub age: AgeMillis,
}

/// What a reader tells the readers of other domains.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DomainReport {
    /// The reader's domain.
    pub domain: DomainName,
    /// The reader's head.
    pub head: ReplicaHead,
    /// What the reader can prove.
    pub view: FreshnessEvidence,
    /// Time since the reader last found the log down, if it is down for it.
    pub down_age: Option<AgeMillis>,
    /// Sum over the reader's domain.
    pub sum: Option<AckSum>,
    /// Readers heard in the sender's domain.
    pub readers: ReaderList,
    /// Newest snapshot known to the reader.
    pub snapshot: Option<SnapshotInfo>,
}

impl DomainReport {
    fn check(&self) -> Result<()> {
        let few = self.readers.len() <= MAX_REPORTED_READERS;
        model::ensure(few, ErrorKind::FrameInvalid, "too many readers")?;
        self.sum.as_ref().map_or(Ok(()), AckSum::check)
    }
}

/// A message between two distributors.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SpreadMessage {
    /// A reader is alive; travels down its tree.
    Beat {
        /// The reader, root of the tree.
        root: DaemonId,
        /// The reader's run.
        run: IncarnationNumber,
        /// Number of the beat within the run.
        number: u32,
        /// Head of the sender, not of the root.
        head: ReplicaHead,
        /// The fleet as the root knows it, if that changed.
        summary: Option<FleetSummary>,
    },
    /// Sum over the sender's subtree.
    Ack {
        /// Root of the tree.
        root: DaemonId,
        /// Number of this question.
        question: QuestionNumber,
        /// Head of the sender.
        head: ReplicaHead,
        /// The members as the sender knows them.
        view: RosterHash,
        /// Sum over the sender and all below it.
        sum: AckSum,
    },
    /// Compares heads with a random peer.
    Compare {
        /// Number of this question.
        question: QuestionNumber,
        /// Head of the sender.
        head: ReplicaHead,
    },
    /// Answers `Ack` and `Compare`.
    Compared {
        /// Number of the question.
        question: QuestionNumber,
        /// Head of the sender.
        head: ReplicaHead,
        /// What the sender can prove.
        view: FreshnessEvidence,
    },
    /// Asks for an update.
    Pull {
        /// Head of the sender.
        base: ReplicaHead,
    },
    /// Brings a peer from one head to another.
    Update(HeadUpdate),
    /// The sender has spent its transfer tokens.
    Busy {
        /// When to ask again.
        retry_after: AgeMillis,
    },
    /// The sender has nothing newer.
    NoUpdate {
        /// Head of the sender; none if it has no configuration itself.
        head: Option<ReplicaHead>,
    },
    /// A reader reports to the reader of another domain.
    Report {
        /// Number of this question.
        question: QuestionNumber,
        /// The report.
        report: DomainReport,
    },
    /// Answers `Report`.
    Reported {
        /// Number of the question.
        question: QuestionNumber,
        /// The report.
        report: DomainReport,
    },
}

impl SpreadMessage {
    /// Checks the bounds of what a peer sent.
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
    let small = update.body.0.len() <= MAX_UPDATE_BYTES;
    model::ensure(small, ErrorKind::FrameTooLarge, "an update is too large")?;
    model::ensure(
        update.target.is_newer_than(&update.base),
        ErrorKind::FrameInvalid,
        "an update leads to an older head",
    )
}

/// Ties the answer of a read or append to the one that asked.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Ord, PartialEq, PartialOrd)]
pub struct LogTag(pub u64);

/// A read of the log that the owner is to make.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogRead {
    /// Goes back with the answer.
    pub tag: LogTag,
    /// The stream.
    pub stream: StreamName,
    /// First offset wanted.
    pub from: LogOffset,
    /// Most records wanted.
    pub limit: RecordCount,
    /// How long the log may wait for a record.
    pub wait: Duration,
}

/// An append to the log that the owner is to make.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogAppend {
    /// Goes back with the answer.
    pub tag: LogTag,
    /// The stream.
    pub stream: StreamName,
    /// The record.
    pub body: Box<[u8]>,
}

/// A change of state that staff should see.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum SpreadAlarm {
    /// This daemon's first configuration is in force.
    #[display("serving from {_0}")]
    Serving(LogOffset),
    /// The log does not answer this reader.
    #[display("log down: {_0}")]
    LogDown(ErrorKind),
    /// The log answers again.
    #[display("log up")]
    LogUp,
    /// The log is shorter than our head or holds another record there.
    #[display("log diverged: it ends at {log_next}, this daemon holds {held_next}")]
    LogDiverged {
        /// Where the log ends or differs.
        log_next: LogOffset,
        /// Next offset of this daemon.
        held_next: LogOffset,
    },
    /// This daemon goes on with a state that a rebase moved past the one held.
    #[display("log rebased: version {version}, it goes on at {next}")]
    LogRebased {
        /// Where the log goes on.
        next: LogOffset,
        /// The version that the rebase made, or a later one.
        version: ConfigVersion,
    },
    /// Records expired before this daemon read them.
    #[display(
        "records before {first} expired, this daemon holds {held_next}; \
         if no peer and no snapshot has them, lead on with quetzal rebase"
    )]
    LogGap {
        /// Lowest offset kept.
        first: LogOffset,
        /// Next offset of this daemon.
        held_next: LogOffset,
    },
    /// The replica cannot fold a record, which needs a newer release.
    #[display("cannot read the record at {_0}; a newer release is needed")]
    LogStuck(LogOffset),
    /// A message of a peer broke a bound and was dropped.
    #[display("message of {peer} refused: {kind}")]
    MessageRefused {
        /// The peer.
        peer: DaemonId,
        /// What was wrong.
        kind: ErrorKind,
    },
    /// A peer holds another state at the same offset.
    #[display("daemon {peer} holds another state at {next}")]
    PeerContradicts {
        /// The peer.
        peer: DaemonId,
        /// The offset.
        next: LogOffset,
    },
    /// An update or snapshot was not usable.
    #[display("update refused: {_0}")]
    UpdateRefused(ErrorKind),
    /// This daemon began to read the log.
    #[display("reading the log")]
    ReaderStarted,
    /// This daemon stopped reading the log.
    #[display("no longer reading the log")]
    ReaderStopped,
    /// The freshness of this daemon changed.
    #[display("freshness: {_0}")]
    FreshnessChanged(crate::freshness::FreshnessState),
}

/// What a distributor asks of its owner; to be done in order.
#[derive(Clone, Debug, PartialEq)]
pub enum SpreadOutput {
    /// Send a message to a peer; it may be lost.
    Send {
        /// The peer.
        to: DaemonId,
        /// The message.
        message: SpreadMessage,
    },
    /// Read the log and hand back the answer.
    ReadLog(LogRead),
    /// Append to the log and hand back the answer.
    Append(LogAppend),
    /// The replica changed; build the table, swap it, then call `on_in_force`.
    Applied(ConfigVersion),
    /// Log and count a change of state.
    Alarm(SpreadAlarm),
}

/// Outputs of one call; short in the usual case.
pub type OutputList = Vec<SpreadOutput>;

/// A few readers of one domain.
pub type ReaderList = SmallVec<[DaemonId; 2]>;

/// Readers that a report names at most.
pub const MAX_REPORTED_READERS: usize = 4;

/// Members that a message goes to.
pub type PeerList = SmallVec<[DaemonId; 8]>;

/// What an append came to.
pub type AppendResult = LogResult<LogOffset>;
