//! What a [`MemberNode`](crate::MemberNode) asks its daemon to do, and what it counts.

use std::net::SocketAddr;

use model::{DaemonId, LogOffset, RecordCount, StreamName};

use crate::join::PlannedRead;
use crate::message::MemberMessage;
use crate::record::{StreamRecord, members_stream};
use crate::table::MemberState;

/// A change of what is held of one member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberChange {
    /// The member.
    pub id: DaemonId,
    /// The state before; none for a member not known before.
    pub before: Option<MemberState>,
    /// The state now; unchanged when only the record is newer.
    pub state: MemberState,
}

/// What the daemon is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberOutput {
    /// Send to a member.
    Send {
        /// The member.
        to: DaemonId,
        /// Where it is reached.
        address: SocketAddr,
        /// The message.
        message: MemberMessage,
    },
    /// Send to whichever daemon is reached at an address of the settings.
    Contact {
        /// The address.
        address: SocketAddr,
        /// The message.
        message: MemberMessage,
    },
    /// Append to the log; failures go to [`on_append_failed`](crate::MemberNode::on_append_failed).
    Append {
        /// The stream.
        stream: StreamName,
        /// The record.
        body: Box<[u8]>,
    },
    /// Read the stream `members`; the answer goes to [`on_read_answer`](crate::MemberNode::on_read_answer).
    ReadMembers {
        /// Where to read; the highest offset asks for the end of the stream only.
        from: LogOffset,
        /// Most records to return.
        limit: RecordCount,
    },
    /// A member's state or record changed.
    Changed(MemberChange),
    /// A later run of this daemon exists; this one must stop.
    Superseded,
}

/// Counts since the start, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MemberCounts {
    /// Own probes without answer.
    pub failed_probes: u64,
    /// Accusations of this daemon that it refuted.
    pub refutations: u64,
    /// Messages dropped because of a stale incarnation.
    pub stale_messages: u64,
    /// Exchanges of summaries begun.
    pub syncs: u64,
    /// Members that this daemon itself declared dead.
    pub declared_dead: u64,
}

impl MemberOutput {
    pub(crate) fn append(record: &StreamRecord) -> Self {
        Self::Append {
            stream: members_stream(),
            body: record.encode(),
        }
    }

    pub(crate) fn read(read: PlannedRead) -> Self {
        Self::ReadMembers {
            from: read.from,
            limit: read.limit,
        }
    }
}
