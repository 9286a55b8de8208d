//! Beats of the readers: who is alive as a root, and when to take over.

use std::time::{Duration, Instant};

use model::{DaemonId, IncarnationNumber};
use smallvec::SmallVec;

/// Roots whose beats are followed.
const MAX_ROOTS: usize = 4;

/// Silence after which a root no longer counts.
const ROOT_LIFETIME: Duration = Duration::from_secs(3);

/// A reader that was heard.
#[derive(Clone, Copy, Debug)]
struct HeardRoot {
    root: DaemonId,
    run: IncarnationNumber,
    number: u32,
    since: Instant,
    heard_at: Instant,
}

/// The readers heard in this domain.
#[derive(Debug, Default)]
pub struct RootTable {
    roots: SmallVec<[HeardRoot; MAX_ROOTS]>,
}

impl RootTable {
    /// Takes a beat; tells whether it is new and should be passed on.
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
                (known.run, known.number, known.heard_at) = (run, number, now);
            }
            return newer;
        }
        if self.roots.len() >= MAX_ROOTS {
            return false;
        }
        self.roots.push(HeardRoot {
            root,
            run,
            number,
            since: now,
            heard_at: now,
        });
        true
    }

    /// Forgets roots that fell silent.
    pub fn expire(&mut self, now: Instant) {
        self.roots
            .retain(|known| now.saturating_duration_since(known.heard_at) < ROOT_LIFETIME);
    }

    /// Live roots and since when each is heard.
    pub fn live(&self) -> SmallVec<[(DaemonId, Instant); MAX_ROOTS]> {
        self.roots
            .iter()
            .map(|known| (known.root, known.since))
            .collect()
    }

    /// Roots heard within `window`.
    pub fn heard_within(&self, window: Duration, now: Instant) -> PeerRoots {
        self.roots
            .iter()
            .filter(|known| now.saturating_duration_since(known.heard_at) < window)
            .map(|known| known.root)
            .collect()
    }

    /// When a root was last heard.
    pub fn last_heard(&self) -> Option<Instant> {
        self.roots.iter().map(|known| known.heard_at).max()
    }
}

/// A few roots.
pub type PeerRoots = SmallVec<[DaemonId; MAX_ROOTS]>;
