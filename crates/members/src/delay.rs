//! Round trips that are longer than probes usually wait.
//!
//! An answer that comes late proves that the member lives and that its link
//! is slow. Later probes of the same member wait longer, and once several
//! members of one failure domain answer late, so do probes of that domain,
//! until one of them answers in time.

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
    prompt: BTreeMap<DomainName, Instant>,
}

impl SlowLinks {
    /// Notes the round trip of a direct answer.
    pub fn record_round_trip(
        &mut self,
        id: DaemonId,
        trip: Duration,
        now: Instant,
        table: &MemberTable,
    ) {
        if trip < SLOW_TRIP {
            self.trips.remove(&id);
            self.note_prompt(id, now, table);
            return;
        }
        self.trips
            .retain(|_, slow| now.duration_since(slow.at) < RETENTION);
        if self.trips.len() < MAX_SLOW {
            self.trips.insert(id, SlowTrip { trip, at: now });
        }
    }

    /// How long to wait for `id` instead of `usual`.
    pub fn timeout_for(&self, id: DaemonId, usual: Duration, table: &MemberTable) -> Duration {
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

    /// An answer in time says that the link to its domain is sound again.
    fn note_prompt(&mut self, id: DaemonId, now: Instant, table: &MemberTable) {
        if self.trips.is_empty() {
            self.prompt.clear();
        } else if let Some(domain) = table.domain(id) {
            self.prompt.insert(domain.clone(), now);
        }
    }

    fn domain_trip(&self, domain: &DomainName, table: &MemberTable) -> Option<Duration> {
        let prompt = self.prompt.get(domain);
        let trips = || {
            self.trips
                .iter()
                .filter(|(id, _)| table.domain(**id) == Some(domain))
                .filter(|(_, slow)| prompt.is_none_or(|at| slow.at > *at))
                .map(|(_, slow)| slow.trip)
        };
        (trips().count() >= DOMAIN_QUORUM)
            .then(|| trips().max())
            .flatten()
    }
}
