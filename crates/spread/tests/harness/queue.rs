//! Events of a simulated fleet, ordered by time.

use std::time::Duration;

use feed::port::{ReadReply, Result as LogResult};
use model::{IncarnationNumber, LogOffset};
use quetzal_spread::{LogAppend, LogRead, LogTag};

/// Event of the simulation.
///
/// `PollEnd` is the end of the wait time of the long poll with this number, and
/// `Members` the announcement of the live members to the daemons.
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
    /// Returns the index of the daemon that handles the event, if there is one.
    pub fn target(&self) -> Option<usize> {
        match self {
            Self::Tick(index, _)
            | Self::Deliver { to: index, .. }
            | Self::ReadDone(index, ..)
            | Self::AppendDone(index, ..) => Some(*index),
            Self::Read(..) | Self::Append(..) | Self::PollEnd(_) | Self::Members => None,
        }
    }
}

/// Scheduled event; `number` orders events with equal times.
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
