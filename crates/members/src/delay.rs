//! Round trips that are longer than probes usually wait.
//!
//! An answer that comes late proves that the member lives and that its link
//! is slow. Later probes of the same member wait longer, and once several
//! members of one failure domain answer late, so do probes of that domain.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::{DaemonId, DomainName};

use crate::table::MemberTable;

/// Round trip from which a link counts as slow.
const SLOW_TRIP: Duration = Duration::from_millis(200);
/// Longest wait that a slow link earns.
const MAX_WAIT: Duration = Duration::from_secs(4);
/// Members with a slow link that make their domain slow.
const DOMAIN_QUORUM: usize = 2;
/// How long a slow round trip is remembered.
const RETENTION: Duration = Duration::from_secs(120);
/// Most members remembered.
const MAX_SLOW: usize = 256;

#[derive(Clone, Copy, Debug)]
struct SlowTrip {
    trip: Duration,
    at: Instant,
}

/// Members whose answers came late.
#[derive(Debug, Default)]
pub struct SlowLinks {
    trips: BTreeMap<DaemonId, SlowTrip>,
}

impl SlowLinks {
    /// Notes the round trip of a direct answer.
    pub fn note(&mut self, id: DaemonId, trip: Duration, now: Instant) {
        if trip < SLOW_TRIP {
            self.trips.remove(&id);
            return;
        }
        self.trips
            .retain(|_, slow| now.duration_since(slow.at) < RETENTION);
        if self.trips.len() < MAX_SLOW {
            self.trips.insert(id, SlowTrip { trip, at: now });
        }
    }

    /// How long to wait for `id` instead of `usual`.
    pub fn wait_for(&self, id: DaemonId, usual: Duration, table: &MemberTable) -> Duration {
        if self.trips.is_empty() {
            return usual;
        }
        let own = self.trips.get(&id).map(|slow| slow.trip);
        let trip = own.or_else(|| {
            table
                .domain(id)
                .and_then(|name| self.domain_trip(name, table))
        });
        let earned = trip.map_or(usual, |trip| trip.mul_f64(1.5).min(MAX_WAIT));
        usual.max(earned)
    }

    fn domain_trip(&self, domain: &DomainName, table: &MemberTable) -> Option<Duration> {
        let trips = || {
            self.trips
                .iter()
                .filter(|(id, _)| table.domain(**id) == Some(domain))
                .map(|(_, slow)| slow.trip)
        };
        (trips().count() >= DOMAIN_QUORUM)
            .then(|| trips().max())
            .flatten()
    }
}
