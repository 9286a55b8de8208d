//! What daemons tell one another about demand and shares.
//!
//! Entries carry a hash in place of names and whole numbers in place of
//! floats: at 720 daemons their size is most of the cost of fleet-wide limits.

use std::time::Duration;

use derive_more::Display;
use model::{CallCount, CallRate, CustomerName, DaemonId, ServiceName};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// Entries of one message; the rest of a longer one is ignored.
pub const MAX_ENTRIES: usize = 1024;

/// What a plan allows a customer on one service, over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlanLimit {
    /// Calls a second.
    pub rate: CallRate,
    /// Calls at once.
    pub concurrency: CallCount,
}

/// A customer's use of one service, as a hash of both names.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
#[display("{_0:016x}")]
pub struct LimitKey(u64);

impl LimitKey {
    /// The key of `customer` on `service`.
    pub fn new(customer: &CustomerName, service: &ServiceName) -> Self {
        let mut hash = Xxh3::new();
        hash.update(customer.as_bytes());
        hash.update(&[0]);
        hash.update(service.as_bytes());
        Self(hash.digest())
    }

    /// The daemon that keeps the shares of this key: the highest hash of key and daemon.
    pub fn coordinator(self, members: &[DaemonId]) -> Option<DaemonId> {
        let rank = |daemon: &DaemonId| (self.seed(*daemon), *daemon);
        members.iter().copied().max_by_key(rank)
    }

    /// A number that differs for each key and daemon.
    pub(crate) fn seed(self, daemon: DaemonId) -> u64 {
        xxh3_64_with_seed(&daemon.0.to_le_bytes(), self.0)
    }
}

/// A rate or a number of calls at once, in thousandths.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Thousandths(pub u32);

impl From<f64> for Thousandths {
    fn from(value: f64) -> Self {
        Self((value * 1e3) as u32)
    }
}

impl From<Thousandths> for f64 {
    fn from(value: Thousandths) -> Self {
        Self::from(value.0) / 1e3
    }
}

/// What a daemon needs of one key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DemandReport {
    /// The key.
    pub key: LimitKey,
    /// The plan's rate, as this daemon's configuration has it.
    pub limit_rate: Thousandths,
    /// The plan's calls at once.
    pub limit_calls: CallCount,
    /// Calls a second that come, refused ones included; zero gives the share back.
    pub rate: Thousandths,
    /// Calls at once that come, likewise.
    pub calls: Thousandths,
    /// The share of the rate that this daemon holds now.
    pub held: Thousandths,
}

/// A daemon's share of one key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShareGrant {
    /// The key.
    pub key: LimitKey,
    /// Calls a second.
    pub rate: Thousandths,
    /// Calls at once; a fraction is the share of times that one more may run.
    pub calls: Thousandths,
    /// Milliseconds until the next report is due; the share lapses after [`GRANT_LIFETIME_INTERVALS`].
    pub interval_ms: u32,
}

/// Intervals after which a share lapses that no further grant confirms.
pub const GRANT_LIFETIME_INTERVALS: u32 = 3;

impl ShareGrant {
    /// Time until the next report is due.
    pub fn interval(&self) -> Duration {
        Duration::from_millis(self.interval_ms.into())
    }
}

/// A message between daemons about limits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LimitMessage {
    /// Demand, to the keeper of the keys.
    Report(Vec<DemandReport>),
    /// Shares, from the keeper.
    Grant(Vec<ShareGrant>),
}

/// What the daemon must do for the limits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LimitOutput {
    /// Send a message.
    Send {
        /// The receiver.
        to: DaemonId,
        /// The message.
        message: LimitMessage,
    },
}
