//! Settings of the distributor.

use std::time::Duration;

use model::{RecordCount, StreamName};
use serde::{Deserialize, Serialize};

/// Failure domains that must report an outage of the log before calls continue without it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum OutageQuorum {
    /// Every known failure domain; a region that is cut off from the rest refuses
    /// non-idempotent calls.
    #[default]
    Every,
    /// More than half of the known failure domains.
    Majority,
}

/// Settings of the distributor.
///
/// The defaults support 720 daemons in 5 failure domains.
#[derive(Clone, Debug)]
pub struct SpreadSettings {
    /// Stream of operators' change records.
    pub config_stream: StreamName,
    /// Stream of snapshots.
    pub snapshot_stream: StreamName,
    /// Number of daemons per failure domain that read the log.
    pub readers: usize,
    /// Number of children of a daemon in a distribution tree.
    pub fan_out: usize,
    /// Time between two heartbeats of a reader.
    pub heartbeat_interval: Duration,
    /// Time between two acknowledgements to a parent if nothing changes, in a tree
    /// with four or more levels below the root; up to twice as long in flatter trees.
    pub ack_interval: Duration,
    /// Minimum time between two acknowledgements to a parent.
    pub min_ack_interval: Duration,
    /// Mean time between two comparisons with a random peer.
    pub compare_interval: Duration,
    /// Time between two reports to the readers of another domain if nothing changes.
    pub report_interval: Duration,
    /// Time without heartbeats from any reader after which the next daemon in rank
    /// takes over.
    pub takeover_timeout: Duration,
    /// Additional takeover delay per further rank.
    pub takeover_stagger: Duration,
    /// Maximum time for which the log may wait for new records in a read.
    pub poll_wait: Duration,
    /// Time beyond the requested wait after which a read fails.
    pub read_timeout: Duration,
    /// Minimum time between two reads.
    pub min_read_interval: Duration,
    /// Time between two checks that the log still holds this daemon's last record.
    pub verify_interval: Duration,
    /// Delay after the first failed read; doubles up to [`Self::max_backoff`].
    pub min_backoff: Duration,
    /// Maximum delay after failed reads.
    pub max_backoff: Duration,
    /// Maximum number of records per read.
    pub read_limit: RecordCount,
    /// Age of the latest proof of freshness after which a daemon is cut off, and the time
    /// after which a starting daemon serves a loaded configuration without a proof.
    pub cut_off_after: Duration,
    /// Maximum age at which evidence of a log outage is valid.
    pub outage_max_age: Duration,
    /// Failure domains that must report an outage of the log.
    pub outage_quorum: OutageQuorum,
    /// Time for which a failure domain without members still counts for the quorum.
    pub domain_retention: Duration,
    /// Time for which a starting daemon asks its peers before it reads the log.
    pub startup_peer_wait: Duration,
    /// Difference in position from the newest snapshot at which the next one is due.
    /// Each record counts, also a refused one; a rebase counts as far as it moves
    /// the position.
    pub snapshot_records: u64,
    /// Age of the newest snapshot in the log after which the next one is due; well
    /// below the retention time of the log.
    pub snapshot_age: Duration,
    /// Additional snapshot delay per further rank of the writer.
    pub snapshot_stagger: Duration,
    /// Size above which an update needs a transfer token, in bytes.
    pub large_update_bytes: usize,
    /// Transfer tokens gained per second, and the maximum number saved.
    pub transfer_tokens: u32,
}

/// Depth of a tree from which on [`SpreadSettings::ack_interval`] applies unchanged.
const REFERENCE_DEPTH: u32 = 4;

impl SpreadSettings {
    /// Returns the time between two acknowledgements in a tree of this depth.
    ///
    /// The response to an acknowledgement carries the parent's proof of freshness. A
    /// proof thus descends one level per interval, and flatter trees can use longer
    /// intervals.
    pub fn ack_interval_at(&self, depth: u32) -> Duration {
        let max_interval = self.ack_interval * 2;
        (self.ack_interval * REFERENCE_DEPTH / depth.max(1)).clamp(self.ack_interval, max_interval)
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
            snapshot_records: 64,
            snapshot_age: Duration::from_secs(900),
            snapshot_stagger: Duration::from_secs(15),
            large_update_bytes: 16 << 10,
            transfer_tokens: 4,
        }
    }
}

fn stream(name: &str) -> StreamName {
    name.parse().expect("the stream name is valid")
}
