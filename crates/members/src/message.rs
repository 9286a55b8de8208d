//! Messages between members.
//!
//! Every message carries its sender's stamp and address, so that the receiver
//! can answer a sender it does not know yet, and a bounded list of updates
//! about members. What arrives is checked for size and counts before use.

use std::net::SocketAddr;
use std::sync::Arc;

use model::{DaemonId, ErrorKind, IncarnationNumber, KindError, ensure};
use serde::{Deserialize, Serialize};

use crate::digest::{MemberHeartbeat, MemberRecord, MemberStamp};
use crate::packing::{PackedUpdates, pack_updates, unpack_updates};

/// Results of decoding; kinds: `FrameTooLarge`, `FrameInvalid`.
pub type Result<T> = model::Result<T>;

/// Largest message in bytes.
pub const MAX_MESSAGE_BYTES: usize = 32 * 1024;
/// Bytes of updates that ride on one message of another purpose.
pub const PIGGYBACK_BYTES: usize = 600;
/// Bytes of updates or summaries in one message made for them.
pub const BULK_BYTES: usize = 16 * 1024;
/// Buckets into which members are spread for comparison.
pub const BUCKET_COUNT: usize = 64;

/// A message from one member to another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberMessage {
    /// The sender's newest edition.
    pub stamp: MemberStamp,
    /// Where the sender is reached.
    pub address: SocketAddr,
    /// Whether the sender lacks the receiver's record.
    pub wants_record: bool,
    /// The purpose.
    pub body: MessageBody,
    /// What the sender knows of members, news first.
    pub updates: Vec<MemberUpdate>,
}

/// Number of a probe, chosen by whoever probes.
pub type ProbeNumber = u32;

/// What a message is for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MessageBody {
    /// Asks the receiver to answer with an ack.
    Ping {
        /// Repeated in the ack.
        probe: ProbeNumber,
        /// Hash of the sender's live members.
        view: u64,
    },
    /// Answers a ping, or passes on the answer of a probed member.
    Ack {
        /// The probe answered.
        probe: ProbeNumber,
        /// Hash of the live members of whoever sends this.
        view: u64,
    },
    /// Asks the receiver to probe another member.
    PingRequest {
        /// Repeated in the ack.
        probe: ProbeNumber,
        /// Whom to probe.
        subject: DaemonId,
        /// Where to reach it.
        address: SocketAddr,
    },
    /// Carries updates only.
    Gossip,
    /// Hashes of the sender's live members, one for each bucket.
    SyncOffer {
        /// The hashes, [`BUCKET_COUNT`] of them.
        buckets: Vec<u32>,
    },
    /// The sender's live members in the buckets that differ from an offer.
    SyncSummary {
        /// The members.
        summary: ViewSummary,
    },
    /// What the receiver lacked is in the updates.
    SyncRecords {
        /// The sender's live members, if it asks for what it lacks.
        summary: Option<ViewSummary>,
    },
}

/// The live members of some buckets, each as a hash of its id and edition.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ViewSummary {
    /// One bit for each bucket listed.
    pub differing: u64,
    /// Hashes of the members' editions, ascending.
    pub hashes: Vec<u32>,
    /// Hashes of content whose first edition is not listed but known: renewed since, or of
    /// members held for dead; ascending.
    pub contents: Vec<u32>,
}

/// One piece of knowledge about a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberUpdate {
    /// The member told this about itself.
    Alive(Arc<MemberRecord>),
    /// The member told this edition of content that is known already.
    Heartbeat(MemberHeartbeat),
    /// The member has not answered `by`.
    Suspect {
        /// The member.
        id: DaemonId,
        /// The edition that it must exceed to refute this.
        stamp: MemberStamp,
        /// Who probed it.
        by: DaemonId,
    },
    /// The member's suspicion was not refuted in time.
    Dead {
        /// The member.
        id: DaemonId,
        /// The edition that it must exceed to refute this.
        stamp: MemberStamp,
        /// Who decided so.
        by: DaemonId,
    },
    /// The member stopped as planned; this incarnation never returns.
    Left {
        /// The member.
        id: DaemonId,
        /// Its last edition.
        stamp: MemberStamp,
    },
}

impl MemberUpdate {
    /// The member that this is about.
    pub fn id(&self) -> DaemonId {
        match self {
            Self::Alive(record) => record.id,
            Self::Heartbeat(heartbeat) => heartbeat.id,
            Self::Suspect { id, .. } | Self::Dead { id, .. } | Self::Left { id, .. } => *id,
        }
    }

    /// Whether whoever knows one of the two learns nothing from the other.
    pub fn is_equivalent(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Dead { .. }, Self::Dead { .. }) => {
                self.id() == other.id() && self.stamp() == other.stamp()
            }
            _ => self == other,
        }
    }

    /// Whether the member itself tells this, rather than others about it.
    pub fn is_self_reported(&self) -> bool {
        matches!(self, Self::Alive(_) | Self::Heartbeat(_))
    }

    /// The edition that this is about.
    pub fn stamp(&self) -> MemberStamp {
        match self {
            Self::Alive(record) => record.stamp,
            Self::Heartbeat(heartbeat) => heartbeat.stamp,
            Self::Suspect { stamp, .. } | Self::Dead { stamp, .. } | Self::Left { stamp, .. } => {
                *stamp
            }
        }
    }
}

/// Encoded size in bytes of a value that travels.
pub fn encoded_len(value: &impl Serialize) -> usize {
    bincode::serde::encode_to_vec(value, bincode::config::standard()).map_or(0, |bytes| bytes.len())
}

/// Bytes that `update` adds to a message, names that others share left out.
pub fn update_len(update: &MemberUpdate) -> usize {
    let packed = pack_updates(std::slice::from_ref(update), IncarnationNumber(0));
    encoded_len(&packed.updates)
}

/// A message as it travels.
#[derive(Deserialize, Serialize)]
struct MessageFrame<Body> {
    stamp: MemberStamp,
    address: SocketAddr,
    wants_record: bool,
    body: Body,
    updates: PackedUpdates,
}

/// The frame for `message`.
pub fn encode_message(message: &MemberMessage) -> Vec<u8> {
    let frame = MessageFrame {
        stamp: message.stamp,
        address: message.address,
        wants_record: message.wants_record,
        body: &message.body,
        updates: pack_updates(&message.updates, message.stamp.incarnation),
    };
    bincode::serde::encode_to_vec(&frame, bincode::config::standard())
        .expect("a message in memory has an encoding")
}

/// The message in `frame`, checked for size and counts.
pub fn decode_message(frame: &[u8]) -> Result<MemberMessage> {
    ensure(
        frame.len() <= MAX_MESSAGE_BYTES,
        ErrorKind::FrameTooLarge,
        "a membership message is too large",
    )?;
    let config = bincode::config::standard().with_limit::<{ 8 * MAX_MESSAGE_BYTES }>();
    let (read, used) = bincode::serde::decode_from_slice(frame, config)
        .map_err(|error| KindError::new(ErrorKind::FrameInvalid, error.to_string()))?;
    let read: MessageFrame<MessageBody> = read;
    let invalid = |held: bool, detail: &str| ensure(held, ErrorKind::FrameInvalid, detail);
    invalid(used == frame.len(), "bytes follow the message")?;
    if let MessageBody::SyncOffer { buckets } = &read.body {
        invalid(buckets.len() == BUCKET_COUNT, "wrong count of buckets")?;
    }
    Ok(MemberMessage {
        stamp: read.stamp,
        address: read.address,
        wants_record: read.wants_record,
        body: read.body,
        updates: unpack_updates(read.updates, read.stamp.incarnation)?,
    })
}
