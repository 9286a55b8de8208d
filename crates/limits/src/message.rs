//! Messages between daemons about demand and shares.
//!
//! Entries hold a hash instead of names and integers instead of floats: with
//! 720 daemons their size is most of the cost of fleet-wide limits.

use std::time::Duration;

use derive_more::Display;
use model::{CallCount, CallRate, CustomerName, DaemonId, ServiceName};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// Maximum number of entries per message; further entries are ignored.
pub const MAX_ENTRIES: usize = 1024;

/// Limits of a customer's plan for one service, across the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlanLimit {
    /// Maximum number of calls per second.
    pub rate: CallRate,
    /// Maximum number of concurrent calls.
    pub concurrency: CallCount,
}

/// Identifies a customer's use of one service by a hash of both names.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
#[display("{_0:016x}")]
pub struct LimitKey(u64);

impl LimitKey {
    /// Returns the key of `customer` on `service`.
    pub fn new(customer: &CustomerName, service: &ServiceName) -> Self {
        let mut hash = Xxh3::new();
        hash.update(customer.as_bytes());
        hash.update(&[0]);
        hash.update(service.as_bytes());
        Self(hash.digest())
    }

    /// Returns the daemon that divides the limits of this key, by rendezvous hashing.
    pub fn coordinator(self, members: &[DaemonId]) -> Option<DaemonId> {
        let rank = |daemon: &DaemonId| (self.daemon_hash(*daemon), *daemon);
        members.iter().copied().max_by_key(rank)
    }

    /// Returns the hash of this key and `daemon`.
    pub(crate) fn daemon_hash(self, daemon: DaemonId) -> u64 {
        xxh3_64_with_seed(&daemon.0.to_le_bytes(), self.0)
    }
}

/// A rate or concurrency as a fixed-point number, in thousandths.
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

/// Demand of one daemon for one key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DemandReport {
    /// Key of the customer and service.
    pub key: LimitKey,
    /// Rate limit of the plan in this daemon's configuration.
    pub limit_rate: Thousandths,
    /// Concurrency limit of the plan.
    pub limit_calls: CallCount,
    /// Arriving calls per second, including refused ones.
    ///
    /// The daemon gives up its share if both this and `calls` are zero.
    pub rate: Thousandths,
    /// Demanded concurrency, including refused calls.
    pub calls: Thousandths,
    /// Share of the rate that this daemon holds now.
    pub held: Thousandths,
}

/// Share of one key, granted to one daemon.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShareGrant {
    /// Key of the customer and service.
    pub key: LimitKey,
    /// Calls per second.
    pub rate: Thousandths,
    /// Concurrent calls; the fractional part is how often one more call is admitted.
    pub calls: Thousandths,
    /// Milliseconds until the next report is due.
    ///
    /// The share expires after [`GRANT_LIFETIME_INTERVALS`] of these intervals.
    pub interval_ms: u32,
}

/// Number of report intervals after which a share expires unless it is granted again.
pub const GRANT_LIFETIME_INTERVALS: u32 = 3;

impl ShareGrant {
    /// Returns the time until the next report is due.
    pub fn interval(&self) -> Duration {
        Duration::from_millis(self.interval_ms.into())
    }
}

/// A message between daemons about limits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LimitMessage {
    /// Demand, sent to the coordinator of the keys.
    Report(Vec<DemandReport>),
    /// Shares, sent by the coordinator.
    Grant(Vec<ShareGrant>),
}

/// Action that the daemon must take for the limits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LimitOutput {
    /// Send a message.
    Send {
        /// Daemon that receives the message.
        to: DaemonId,
        /// Message to send.
        message: LimitMessage,
    },
}
