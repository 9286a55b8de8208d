//! Settings of the distributor.

use std::time::Duration;

use model::{RecordCount, StreamName};
use serde::{Deserialize, Serialize};

/// Which domains must witness an outage of the log before calls go on without it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum OutageQuorum {
    /// Readers of every known failure domain; a region that is cut off refuses.
    #[default]
    Every,
    /// Readers of more than half of the known failure domains.
    Majority,
}

/// Settings of the distributor.
///
/// The defaults carry 720 daemons in 5 failure domains.
#[derive(Clone, Debug)]
pub struct SpreadSettings {
    /// Stream of operators' change records.
    pub config_stream: StreamName,
    /// Stream of snapshots.
    pub snapshot_stream: StreamName,
    /// Daemons of a failure domain that read the log.
    pub readers: usize,
    /// Children of one daemon in a distribution tree.
    pub fan_out: usize,
    /// Time between two beats of a reader.
    pub heartbeat_interval: Duration,
    /// Time between two acknowledgements to a parent, if nothing changes, in a
    /// tree of four levels; up to twice that where the tree is flatter.
    pub ack_interval: Duration,
    /// Shortest time between two acknowledgements to a parent.
    pub min_ack_interval: Duration,
    /// Mean time between two comparisons with a random peer.
    pub compare_interval: Duration,
    /// Time between two reports to the readers of another domain, if nothing changes.
    pub report_interval: Duration,
    /// Silence of all readers after which the next in rank reads.
    pub takeover_timeout: Duration,
    /// Further silence for each rank behind.
    pub takeover_stagger: Duration,
    /// How long the log may hold a read that finds nothing.
    pub poll_wait: Duration,
    /// Time beyond the wait after which a read has failed.
    pub read_timeout: Duration,
    /// Shortest time between two reads.
    pub min_read_interval: Duration,
    /// Time between two checks that the log still holds our last record.
    pub verify_interval: Duration,
    /// First pause after a failed read; doubles up to [`Self::max_backoff`].
    pub min_backoff: Duration,
    /// Longest pause after failed reads.
    pub max_backoff: Duration,
    /// Most records of one read.
    pub read_limit: RecordCount,
    /// Age of the last proof of freshness from which a daemon counts as cut off.
    pub cut_off_after: Duration,
    /// Age up to which a witnessed outage of the log counts.
    pub outage_max_age: Duration,
    /// Who must witness an outage of the log.
    pub outage_quorum: OutageQuorum,
    /// How long a failure domain that vanished still counts for the quorum.
    pub domain_retention: Duration,
    /// How long a daemon that starts asks its peers before it reads the log.
    pub startup_peer_wait: Duration,
    /// Changes after which a snapshot is due.
    pub snapshot_changes: u64,
    /// Age of the log's newest snapshot after which the next is due; well
    /// below the retention of the log.
    pub snapshot_age: Duration,
    /// Further delay for each reader behind the first in rank.
    pub snapshot_stagger: Duration,
    /// Updates above this size need a transfer token, in bytes.
    pub large_update_bytes: usize,
    /// Transfer tokens a daemon gains each second, and the most that it saves.
    pub transfer_tokens: u32,
}

/// Levels of a tree for which the acknowledgement interval is meant.
const FULL_DEPTH: u32 = 4;

impl SpreadSettings {
    /// Time between two acknowledgements in a tree of this depth.
    ///
    /// Proofs of freshness come down one level in that time, so flat trees
    /// may take longer for each level.
    pub fn ack_interval_at(&self, depth: u32) -> Duration {
        let longest = self.ack_interval * 2;
        (self.ack_interval * FULL_DEPTH / depth.max(1)).clamp(self.ack_interval, longest)
    }
}

impl Default for SpreadSettings {
    fn default() -> Self {
        Self {
            config_stream: stream("config"),
            snapshot_stream: stream("snapshots"),
            readers: 2,
            fan_out: 4,
            heartbeat_interval: Duration::from_millis(500),
            ack_interval: Duration::from_secs(1),
            min_ack_interval: Duration::from_millis(200),
            compare_interval: Duration::from_secs(2),
            report_interval: Duration::from_secs(3),
            takeover_timeout: Duration::from_millis(1100),
            takeover_stagger: Duration::from_millis(150),
            poll_wait: Duration::from_secs(1),
            read_timeout: Duration::from_secs(3),
            min_read_interval: Duration::from_millis(100),
            verify_interval: Duration::from_secs(30),
            min_backoff: Duration::from_millis(250),
            max_backoff: Duration::from_secs(4),
            read_limit: RecordCount(256),
            cut_off_after: Duration::from_secs(10),
            outage_max_age: Duration::from_secs(20),
            outage_quorum: OutageQuorum::Every,
            domain_retention: Duration::from_secs(24 * 3600),
            startup_peer_wait: Duration::from_secs(1),
            snapshot_changes: 64,
            snapshot_age: Duration::from_secs(900),
            snapshot_stagger: Duration::from_secs(15),
            large_update_bytes: 16 << 10,
            transfer_tokens: 4,
        }
    }
}

fn stream(name: &str) -> StreamName {
    name.parse().expect("the name is sound")
}
