//! Events of a fleet in the order of their times.

use std::time::Duration;

use feed::port::{ReadReply, Result as LogResult};
use model::{IncarnationNumber, LogOffset};
use quetzal_spread::{LogAppend, LogRead, LogTag};

/// What happens to a fleet at a point in time.
pub enum Event<M> {
    Tick(usize, IncarnationNumber),
    Deliver { from: usize, to: usize, message: M },
    Read(usize, IncarnationNumber, LogRead),
    ReadDone(usize, IncarnationNumber, LogTag, LogResult<ReadReply>),
    Append(usize, IncarnationNumber, LogAppend),
    AppendDone(usize, IncarnationNumber, LogTag, LogResult<LogOffset>),
    PollEnd(u64),
    Members,
}

impl<M> Event<M> {
    /// The daemon that the event happens to.
    pub fn target(&self) -> Option<usize> {
        match self {
            Self::Tick(place, _)
            | Self::Deliver { to: place, .. }
            | Self::ReadDone(place, ..)
            | Self::AppendDone(place, ..) => Some(*place),
            Self::Read(..) | Self::Append(..) | Self::PollEnd(_) | Self::Members => None,
        }
    }
}

/// An event and its place in the order; the number decides between equal times.
pub struct Queued<M> {
    pub at: Duration,
    pub number: u64,
    pub event: Event<M>,
}

impl<M> PartialEq for Queued<M> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl<M> Eq for Queued<M> {}

impl<M> PartialOrd for Queued<M> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<M> Ord for Queued<M> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}
