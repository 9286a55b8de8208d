//! Membership messages and their encoding.
//!
//! Every message carries the sender's stamp and address, so that the receiver
//! can answer a sender that it does not know yet, and a bounded list of updates
//! about members. Decoding validates sizes and counts.

use std::net::SocketAddr;
use std::sync::Arc;

use model::{DaemonId, ErrorKind, IncarnationNumber, KindError, ensure};
use serde::{Deserialize, Serialize};

use crate::digest::{MemberHeartbeat, MemberRecord, MemberStamp};
use crate::packing::{PackedUpdates, pack_updates, unpack_updates};

/// Result of decoding a message; errors are of kind `FrameTooLarge` or `FrameInvalid`.
pub type Result<T> = model::Result<T>;

/// Maximum size of an encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 32 * 1024;
/// Maximum bytes of updates piggybacked on a message of another purpose.
pub const PIGGYBACK_BYTES: usize = 600;
/// Maximum bytes of updates in one message of an anti-entropy exchange.
pub const BULK_BYTES: usize = 16 * 1024;
/// Number of hash buckets into which members are divided to compare views.
pub const BUCKET_COUNT: usize = 64;

/// A membership message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberMessage {
    /// Version of the sender's own record.
    pub stamp: MemberStamp,
    /// The sender's peer address.
    pub address: SocketAddr,
    /// Whether the sender lacks the receiver's record.
    pub wants_record: bool,
    /// The type-specific part.
    pub body: MessageBody,
    /// Updates about members, the most urgent first.
    pub updates: Vec<MemberUpdate>,
}

/// Number of a probe, chosen by the prober.
pub type ProbeNumber = u32;

/// The type of a message and its type-specific content.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MessageBody {
    /// A probe; the receiver answers with an ack.
    Ping {
        /// Repeated in the ack.
        probe: ProbeNumber,
        /// Hash of the sender's view of live members.
        view: u64,
    },
    /// The answer to a ping, or the forwarded answer to an indirect probe.
    Ack {
        /// Number of the probe that this answers.
        probe: ProbeNumber,
        /// Hash of the sender's view of live members.
        view: u64,
    },
    /// Asks the receiver for an indirect probe of another member.
    PingRequest {
        /// Repeated in the ack.
        probe: ProbeNumber,
        /// The member to probe.
        subject: DaemonId,
        /// Its peer address.
        address: SocketAddr,
    },
    /// Carries only updates.
    Gossip,
    /// Starts an anti-entropy exchange: hashes of the sender's live members, one for each bucket.
    SyncOffer {
        /// The [`BUCKET_COUNT`] hashes.
        buckets: Vec<u32>,
    },
    /// Answers an offer: summary of the sender's live members in the buckets that differ.
    SyncSummary {
        /// The summary.
        summary: ViewSummary,
    },
    /// Answers a summary: the updates carry what the receiver lacked.
    SyncRecords {
        /// Summary of the sender's live members, if it requests what it lacks.
        summary: Option<ViewSummary>,
    },
}

/// Summary of the live members in some buckets, each a hash of its id and stamp.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ViewSummary {
    /// Bit set of the buckets covered.
    pub differing: u64,
    /// Hashes of the members' stamps, ascending.
    pub hashes: Vec<u32>,
    /// Hashes of further versions whose content the sender knows, ascending: the first version
    /// with the content of each record that heartbeats have renewed since, and of each dead member.
    pub contents: Vec<u32>,
}

/// An update about one member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberUpdate {
    /// The member published this record.
    Alive(Arc<MemberRecord>),
    /// The member published a new version of content that is already known.
    Heartbeat(MemberHeartbeat),
    /// `by` got no answer from the member.
    Suspect {
        /// The member's id.
        id: DaemonId,
        /// The version that a refutation must exceed.
        stamp: MemberStamp,
        /// The member whose probe failed.
        by: DaemonId,
    },
    /// The member did not refute a suspicion in time.
    Dead {
        /// The member's id.
        id: DaemonId,
        /// The version that a refutation must exceed.
        stamp: MemberStamp,
        /// The member that declared it dead.
        by: DaemonId,
    },
    /// The member shut down as planned; this incarnation never returns.
    Left {
        /// The member's id.
        id: DaemonId,
        /// Its last version.
        stamp: MemberStamp,
    },
}

impl MemberUpdate {
    /// Returns the id of the member that the update is about.
    pub fn id(&self) -> DaemonId {
        match self {
            Self::Alive(record) => record.id,
            Self::Heartbeat(heartbeat) => heartbeat.id,
            Self::Suspect { id, .. } | Self::Dead { id, .. } | Self::Left { id, .. } => *id,
        }
    }

    /// Whether a member that has one of the two updates learns nothing from the other.
    pub fn is_equivalent(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Dead { .. }, Self::Dead { .. }) => {
                self.id() == other.id() && self.stamp() == other.stamp()
            }
            _ => self == other,
        }
    }

    /// Whether the update comes from its subject, and not from another member about it.
    pub fn is_self_reported(&self) -> bool {
        matches!(self, Self::Alive(_) | Self::Heartbeat(_))
    }

    /// Returns the version of the member's record that the update refers to.
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

/// Returns the encoded size of `value`, in bytes.
pub fn encoded_len(value: &impl Serialize) -> usize {
    bincode::serde::encode_to_vec(value, bincode::config::standard()).map_or(0, |bytes| bytes.len())
}

/// Returns the bytes that `update` adds to a message, not counting the list of names.
pub fn update_len(update: &MemberUpdate) -> usize {
    let packed = pack_updates(std::slice::from_ref(update), IncarnationNumber(0));
    encoded_len(&packed.updates)
}

/// Wire format of a message.
#[derive(Deserialize, Serialize)]
struct MessageFrame<Body> {
    stamp: MemberStamp,
    address: SocketAddr,
    wants_record: bool,
    body: Body,
    updates: PackedUpdates,
}

/// Encodes `message` as a frame.
pub fn encode_message(message: &MemberMessage) -> Vec<u8> {
    let frame = MessageFrame {
        stamp: message.stamp,
        address: message.address,
        wants_record: message.wants_record,
        body: &message.body,
        updates: pack_updates(&message.updates, message.stamp.incarnation),
    };
    bincode::serde::encode_to_vec(&frame, bincode::config::standard())
        .expect("encoding a message does not fail")
}

/// Decodes the message in `frame` and validates its size and counts.
pub fn decode_message(frame: &[u8]) -> Result<MemberMessage> {
    ensure(
        frame.len() <= MAX_MESSAGE_BYTES,
        ErrorKind::FrameTooLarge,
        "the membership message exceeds the maximum size",
    )?;
    let config = bincode::config::standard().with_limit::<{ 8 * MAX_MESSAGE_BYTES }>();
    let (decoded, used) = bincode::serde::decode_from_slice(frame, config)
        .map_err(|error| KindError::new(ErrorKind::FrameInvalid, error.to_string()))?;
    let decoded: MessageFrame<MessageBody> = decoded;
    let check = |valid: bool, detail: &str| ensure(valid, ErrorKind::FrameInvalid, detail);
    check(used == frame.len(), "trailing bytes after the message")?;
    if let MessageBody::SyncOffer { buckets } = &decoded.body {
        check(buckets.len() == BUCKET_COUNT, "wrong number of buckets")?;
    }
    Ok(MemberMessage {
        stamp: decoded.stamp,
        address: decoded.address,
        wants_record: decoded.wants_record,
        body: decoded.body,
        updates: unpack_updates(decoded.updates, decoded.stamp.incarnation)?,
    })
}
