//! Longer probe timeouts for members behind slow links.
//!
//! A late answer proves that the member is alive and that its link is slow, so
//! later probes of the same member wait longer. Once several members of one
//! failure domain have answered late, probes of the whole domain wait longer,
//! until one of its members answers in time.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::{DaemonId, DomainName};

use crate::table::MemberTable;

/// Round-trip time from which a link counts as slow.
const SLOW_ROUND_TRIP: Duration = Duration::from_millis(200);
/// Upper bound of the timeout for a slow link.
const MAX_TIMEOUT: Duration = Duration::from_secs(4);
/// Number of members with a slow link from which their domain counts as slow.
const DOMAIN_QUORUM: usize = 2;
/// Time for which a slow round trip is kept.
const RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of members kept.
const MAX_SLOW_MEMBERS: usize = 256;

#[derive(Clone, Copy, Debug)]
struct SlowRoundTrip {
    round_trip: Duration,
    at: Instant,
}

/// Members that answered late, and domains that have answered in time since.
#[derive(Debug, Default)]
pub struct SlowLinks {
    slow_round_trips: BTreeMap<DaemonId, SlowRoundTrip>,
    last_prompt_answers: BTreeMap<DomainName, Instant>,
}

impl SlowLinks {
    /// Records the round-trip time of a direct answer.
    pub fn record_round_trip(
        &mut self,
        id: DaemonId,
        round_trip: Duration,
        now: Instant,
        table: &MemberTable,
    ) {
        if round_trip < SLOW_ROUND_TRIP {
            self.slow_round_trips.remove(&id);
            self.record_prompt_answer(id, now, table);
            return;
        }
        self.slow_round_trips
            .retain(|_, slow| now.duration_since(slow.at) < RETENTION);
        if self.slow_round_trips.len() < MAX_SLOW_MEMBERS {
            self.slow_round_trips.insert(
                id,
                SlowRoundTrip {
                    round_trip,
                    at: now,
                },
            );
        }
    }

    /// Returns the timeout for a probe of `id`, at least `usual`.
    pub fn timeout_for(&self, id: DaemonId, usual: Duration, table: &MemberTable) -> Duration {
        if self.slow_round_trips.is_empty() {
            return usual;
        }
        let own = self.slow_round_trips.get(&id).map(|slow| slow.round_trip);
        let round_trip = own.or_else(|| {
            table
                .domain(id)
                .and_then(|name| self.domain_round_trip(name, table))
        });
        let extended = round_trip.map_or(usual, |time| time.mul_f64(1.5).min(MAX_TIMEOUT));
        usual.max(extended)
    }

    /// Records that an answer arrived in time, so the link to its domain has recovered.
    fn record_prompt_answer(&mut self, id: DaemonId, now: Instant, table: &MemberTable) {
        if self.slow_round_trips.is_empty() {
            self.last_prompt_answers.clear();
        } else if let Some(domain) = table.domain(id) {
            self.last_prompt_answers.insert(domain.clone(), now);
        }
    }

    fn domain_round_trip(&self, domain: &DomainName, table: &MemberTable) -> Option<Duration> {
        let last_prompt = self.last_prompt_answers.get(domain);
        let round_trips = || {
            self.slow_round_trips
                .iter()
                .filter(|(id, _)| table.domain(**id) == Some(domain))
                .filter(|(_, slow)| last_prompt.is_none_or(|at| slow.at > *at))
                .map(|(_, slow)| slow.round_trip)
        };
        (round_trips().count() >= DOMAIN_QUORUM)
            .then(|| round_trips().max())
            .flatten()
    }
}
