//! Heartbeats of the log readers of this failure domain.
//!
//! Every reader is the root of a distribution tree and sends heartbeats down
//! it. The table of live roots decides where acknowledgements go and when the
//! next daemon in rank takes over reading.

use std::time::{Duration, Instant};

use model::{DaemonId, IncarnationNumber};
use smallvec::SmallVec;

/// Maximum number of roots that are tracked.
const MAX_ROOTS: usize = 4;

/// Time without a heartbeat after which a root is dropped.
const ROOT_LIFETIME: Duration = Duration::from_secs(3);

/// Reader that has sent a heartbeat recently.
#[derive(Clone, Copy, Debug)]
struct LiveRoot {
    root: DaemonId,
    run: IncarnationNumber,
    number: u32,
    since: Instant,
    received_at: Instant,
}

/// Live readers of this failure domain.
#[derive(Debug, Default)]
pub struct RootTable {
    roots: SmallVec<[LiveRoot; MAX_ROOTS]>,
}

impl RootTable {
    /// Records a heartbeat and returns whether it is new and should be forwarded.
    pub fn record(
        &mut self,
        root: DaemonId,
        run: IncarnationNumber,
        number: u32,
        now: Instant,
    ) -> bool {
        if let Some(known) = self.roots.iter_mut().find(|known| known.root == root) {
            let newer = (run, number) > (known.run, known.number);
            if newer {
                (known.run, known.number, known.received_at) = (run, number, now);
            }
            return newer;
        }
        if self.roots.len() >= MAX_ROOTS {
            return false;
        }
        self.roots.push(LiveRoot {
            root,
            run,
            number,
            since: now,
            received_at: now,
        });
        true
    }

    /// Drops roots that sent no heartbeat for [`ROOT_LIFETIME`].
    pub fn expire(&mut self, now: Instant) {
        self.roots
            .retain(|known| now.saturating_duration_since(known.received_at) < ROOT_LIFETIME);
    }

    /// Returns the live roots, each with the time of its first heartbeat.
    pub fn live(&self) -> SmallVec<[(DaemonId, Instant); MAX_ROOTS]> {
        self.roots
            .iter()
            .map(|known| (known.root, known.since))
            .collect()
    }

    /// Returns the roots that sent a heartbeat within `window`.
    pub fn received_within(&self, window: Duration, now: Instant) -> RootList {
        self.roots
            .iter()
            .filter(|known| now.saturating_duration_since(known.received_at) < window)
            .map(|known| known.root)
            .collect()
    }

    /// Returns the time of the latest heartbeat from any root.
    pub fn last_received_at(&self) -> Option<Instant> {
        self.roots.iter().map(|known| known.received_at).max()
    }
}

/// Short list of roots.
pub type RootList = SmallVec<[DaemonId; MAX_ROOTS]>;
