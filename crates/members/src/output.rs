//! Actions that a [`MemberNode`](crate::MemberNode) requests of its daemon, and its counters.

use std::net::SocketAddr;

use model::{DaemonId, LogOffset, RecordCount, StreamName};

use crate::join::PlannedRead;
use crate::message::MemberMessage;
use crate::record::{StreamRecord, members_stream};
use crate::table::MemberState;

/// A change of a member's state or record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberChange {
    /// The member's id.
    pub id: DaemonId,
    /// Previous state; `None` for a member that was unknown.
    pub before: Option<MemberState>,
    /// Current state; equal to `before` if only the record changed.
    pub state: MemberState,
}

/// An action for the daemon to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberOutput {
    /// Send a message to a member.
    Send {
        /// The receiver.
        to: DaemonId,
        /// The receiver's peer address.
        address: SocketAddr,
        /// The message.
        message: MemberMessage,
    },
    /// Send a message to whichever daemon answers at an address.
    Contact {
        /// The address.
        address: SocketAddr,
        /// The message.
        message: MemberMessage,
    },
    /// Append to the log; report failures to [`on_append_failed`](crate::MemberNode::on_append_failed).
    Append {
        /// The stream.
        stream: StreamName,
        /// The encoded record.
        body: Box<[u8]>,
    },
    /// Read the stream `members`; pass the answer to [`on_read_answer`](crate::MemberNode::on_read_answer).
    ReadMembers {
        /// First offset to read; `u64::MAX` returns no records, only the end of the stream.
        from: LogOffset,
        /// Maximum number of records to return.
        limit: RecordCount,
    },
    /// A member's state or record changed.
    Changed(MemberChange),
    /// A later incarnation of this daemon exists; this one must stop.
    Superseded,
}

/// Counters since the start, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MemberCounts {
    /// Probes by this daemon of live members that got no answer.
    pub failed_probes: u64,
    /// Suspect or dead claims about this daemon that it refuted.
    pub refutations: u64,
    /// Messages dropped because the sender's incarnation had ended.
    pub stale_messages: u64,
    /// Anti-entropy exchanges started.
    pub syncs: u64,
    /// Members that this daemon declared dead itself.
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
