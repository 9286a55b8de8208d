//! Fleet-wide limits at one daemon.
//!
//! [`LimitGate::admit`] decides locally, from this daemon's share; it never
//! waits for another daemon. The shares are exchanged behind it: the daemon
//! reports its demand to the keeper of each key and receives shares, and is
//! itself the keeper of the keys that hash to it.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::time::{Duration, Instant};

use model::{CallCount, CustomerName, DaemonId, ErrorKind, ServiceName, SharedClock};

use crate::keeper::ShareKeeper;
use crate::local::LocalKey;
use crate::message::{
    DemandReport, LimitKey, LimitMessage, LimitOutput, MAX_ENTRIES, PlanLimit, ShareGrant,
};
use crate::refusal::LimitRefusal;

/// Results of admission; see [`LimitRefusal`].
///
/// Kinds: `RateExceeded`, `ConcurrencyExceeded`, `Overloaded` when too many keys are in use.
pub type Result<T> = std::result::Result<T, LimitRefusal>;

/// Keys in use at one daemon; idle ones make room for new ones.
pub const MAX_LOCAL_KEYS: usize = 8192;

/// Wait that a refusal names when too many keys are in use.
const FULL_WAIT: Duration = Duration::from_secs(1);

/// An admitted call; ends with [`LimitGate::release`].
#[derive(Clone, Copy, Debug)]
#[must_use = "a ticket that is not released counts as a call at once for ever"]
pub struct LimitTicket {
    key: LimitKey,
    admitted: Instant,
}

/// Limits at one daemon.
#[derive(Debug)]
pub struct LimitGate {
    me: DaemonId,
    clock: SharedClock,
    members: Vec<DaemonId>,
    /// In order, so that equal histories give equal outputs.
    keys: BTreeMap<LimitKey, LocalEntry>,
    keeper: ShareKeeper,
    fresh: Vec<LimitKey>,
}

/// A key with the daemon that keeps it.
#[derive(Debug)]
struct LocalEntry {
    local: LocalKey,
    keeper: DaemonId,
}

impl LimitGate {
    /// A gate that knows no other daemon yet.
    pub fn new(me: DaemonId, clock: SharedClock) -> Self {
        Self {
            me,
            clock,
            members: Vec::new(),
            keys: BTreeMap::new(),
            keeper: ShareKeeper::default(),
            fresh: Vec::new(),
        }
    }

    /// Takes over which daemons are alive; this one always counts.
    pub fn set_members(&mut self, members: &[DaemonId]) {
        let mut members = members.to_vec();
        members.push(self.me);
        members.sort_unstable();
        members.dedup();
        if members == self.members {
            return;
        }
        let former = std::mem::replace(&mut self.members, members);
        let now = self.clock.now();
        self.keeper.on_members(self.me, former, &self.members, now);
        for (key, entry) in &mut self.keys {
            let keeper = key.coordinator(&self.members).unwrap_or(self.me);
            if keeper != entry.keeper {
                entry.keeper = keeper;
                entry.local.report_soon();
            }
        }
    }

    /// Admits a call of `customer` to `service` under `limit`, or refuses it.
    pub fn admit(
        &mut self,
        customer: &CustomerName,
        service: &ServiceName,
        limit: PlanLimit,
    ) -> Result<LimitTicket> {
        let now = self.clock.now();
        let key = LimitKey::new(customer, service);
        if self.keys.len() >= MAX_LOCAL_KEYS && !self.keys.contains_key(&key) {
            self.make_room()?;
        }
        let members = self.members.len();
        let entry = match self.keys.entry(key) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(place) => {
                self.fresh.push(key);
                place.insert(LocalEntry {
                    local: LocalKey::new(limit, members, key.seed(self.me), now),
                    keeper: key.coordinator(&self.members).unwrap_or(self.me),
                })
            }
        };
        entry.local.admit(limit, members, now)?;
        Ok(LimitTicket { key, admitted: now })
    }

    /// Forgets the key whose last call is longest ago, if it has no call in flight.
    fn make_room(&mut self) -> Result<()> {
        let idle = self
            .keys
            .iter()
            .filter(|(_, entry)| entry.local.in_flight() == CallCount(0));
        let oldest = idle.min_by_key(|(_, entry)| entry.local.last_call());
        let Some(key) = oldest.map(|(key, _)| *key) else {
            return Err(LimitRefusal::new(ErrorKind::Overloaded, FULL_WAIT));
        };
        self.keys.remove(&key);
        Ok(())
    }

    /// Ends an admitted call.
    pub fn release(&mut self, ticket: LimitTicket) {
        let now = self.clock.now();
        if let Some(entry) = self.keys.get_mut(&ticket.key) {
            let duration = now.saturating_duration_since(ticket.admitted);
            entry.local.release(duration, now);
        }
    }

    /// Reports on keys that were new since the last tick; cheap, call it after refused calls too.
    pub fn report_new_keys(&mut self) -> Vec<LimitOutput> {
        if self.fresh.is_empty() {
            return Vec::new();
        }
        let now = self.clock.now();
        let fresh = std::mem::take(&mut self.fresh);
        let reports = self.due_reports(fresh, now);
        self.send_reports(reports, now)
    }

    /// Reports and grants that are due; call it every [`TICK_INTERVAL`](crate::TICK_INTERVAL).
    pub fn on_tick(&mut self) -> Vec<LimitOutput> {
        let now = self.clock.now();
        self.fresh.clear();
        self.keys.retain(|_, entry| !entry.local.is_forgotten(now));
        let keys = self.keys.keys().copied().collect();
        let reports = self.due_reports(keys, now);
        let mut outputs = self.send_reports(reports, now);
        let pushed = self.keeper.on_tick(self.members.len(), now);
        outputs.extend(self.send_grants(pushed, now));
        outputs
    }

    fn due_reports(&mut self, keys: Vec<LimitKey>, now: Instant) -> Vec<(DaemonId, DemandReport)> {
        let members = self.members.len();
        let due = keys.into_iter().filter_map(|key| {
            let entry = self.keys.get_mut(&key)?;
            let report = entry.local.report(key, members, now)?;
            Some((entry.keeper, report))
        });
        due.collect()
    }

    fn send_reports(
        &mut self,
        reports: Vec<(DaemonId, DemandReport)>,
        now: Instant,
    ) -> Vec<LimitOutput> {
        let (own, others) = reports.into_iter().partition(|(to, _)| *to == self.me);
        self.keep_own(own, now);
        group(others, LimitMessage::Report)
    }

    /// Answers this daemon's own reports without a message.
    fn keep_own(&mut self, reports: Vec<(DaemonId, DemandReport)>, now: Instant) {
        let members = self.members.len();
        for (_, report) in reports {
            let grant = self
                .keeper
                .on_report(self.me, self.me, &report, members, now);
            if let Some(grant) = grant {
                self.take_grant(grant, now);
            }
        }
    }

    fn send_grants(
        &mut self,
        grants: Vec<(DaemonId, ShareGrant)>,
        now: Instant,
    ) -> Vec<LimitOutput> {
        let (own, others): (Vec<_>, Vec<_>) =
            grants.into_iter().partition(|(to, _)| *to == self.me);
        for (_, grant) in own {
            self.take_grant(grant, now);
        }
        group(others, LimitMessage::Grant)
    }

    fn take_grant(&mut self, grant: ShareGrant, now: Instant) {
        if let Some(entry) = self.keys.get_mut(&grant.key) {
            entry.local.on_grant(grant, now);
        }
    }

    /// Takes in a message from another daemon.
    pub fn on_message(&mut self, from: DaemonId, message: LimitMessage) -> Vec<LimitOutput> {
        let now = self.clock.now();
        let members = self.members.len();
        match message {
            LimitMessage::Report(reports) => {
                let reports = reports.iter().take(MAX_ENTRIES);
                let grants = reports.filter_map(|report| {
                    let grant = self.keeper.on_report(self.me, from, report, members, now)?;
                    Some((from, grant))
                });
                group(grants.collect(), LimitMessage::Grant)
            }
            LimitMessage::Grant(grants) => {
                for grant in grants.into_iter().take(MAX_ENTRIES) {
                    self.take_grant(grant, now);
                }
                Vec::new()
            }
        }
    }

    /// Keys in use here.
    pub fn local_keys(&self) -> usize {
        self.keys.len()
    }

    /// Daemons' shares that are kept here.
    pub fn coordinated_shares(&self) -> usize {
        self.keeper.shares()
    }
}

/// One message for each receiver, in the order of ids.
fn group<T>(
    mut entries: Vec<(DaemonId, T)>,
    message: impl Fn(Vec<T>) -> LimitMessage,
) -> Vec<LimitOutput> {
    entries.sort_by_key(|(to, _)| *to);
    let mut outputs = Vec::new();
    let mut batch = Vec::new();
    let mut entries = entries.into_iter().peekable();
    while let Some((to, entry)) = entries.next() {
        batch.push(entry);
        let last = entries.peek().is_none_or(|(next, _)| *next != to);
        if last || batch.len() == MAX_ENTRIES {
            let message = message(std::mem::take(&mut batch));
            outputs.push(LimitOutput::Send { to, message });
        }
    }
    outputs
}
