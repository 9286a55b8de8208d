//! Fleet-wide limits at one daemon.
//!
//! [`LimitGate::admit`] decides locally from this daemon's share and never
//! waits for another daemon. Shares are exchanged in the background: the
//! daemon reports its demand to the coordinator of each key and receives
//! shares, and it is itself the coordinator of the keys that hash to it.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::time::{Duration, Instant};

use model::{CallCount, CustomerName, DaemonId, ErrorKind, ServiceName, SharedClock};

use crate::coordinator::ShareCoordinator;
use crate::local::LocalKey;
use crate::message::{
    DemandReport, LimitKey, LimitMessage, LimitOutput, MAX_ENTRIES, PlanLimit, ShareGrant,
};
use crate::refusal::LimitRefusal;

/// Result of admission.
///
/// Refusals are `RateExceeded`, `ConcurrencyExceeded`, or `Overloaded` if too many keys are in use.
pub type Result<T> = std::result::Result<T, LimitRefusal>;

/// Maximum number of keys in use at one daemon; new keys replace idle ones.
pub const MAX_LOCAL_KEYS: usize = 8192;

/// Retry delay of a refusal because too many keys are in use.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// An admitted call, to be ended with [`LimitGate::release`].
#[derive(Clone, Copy, Debug)]
#[must_use = "a ticket that is not released counts as a concurrent call forever"]
pub struct LimitTicket {
    key: LimitKey,
    admitted_at: Instant,
}

/// Enforces limits at one daemon.
#[derive(Debug)]
pub struct LimitGate {
    me: DaemonId,
    clock: SharedClock,
    members: Vec<DaemonId>,
    /// Ordered, so that the same inputs always produce the same outputs.
    keys: BTreeMap<LimitKey, LocalEntry>,
    coordinator: ShareCoordinator,
    new_keys: Vec<LimitKey>,
}

/// A key and the daemon that coordinates it.
#[derive(Debug)]
struct LocalEntry {
    local: LocalKey,
    coordinator: DaemonId,
}

impl LimitGate {
    /// Creates a gate that does not know any other daemon yet.
    pub fn new(me: DaemonId, clock: SharedClock) -> Self {
        Self {
            me,
            clock,
            members: Vec::new(),
            keys: BTreeMap::new(),
            coordinator: ShareCoordinator::default(),
            new_keys: Vec::new(),
        }
    }

    /// Sets the daemons that are alive; this daemon is always included.
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
        self.coordinator
            .on_members(self.me, former, &self.members, now);
        for (key, entry) in &mut self.keys {
            let coordinator = key.coordinator(&self.members).unwrap_or(self.me);
            if coordinator != entry.coordinator {
                entry.coordinator = coordinator;
                entry.local.force_report();
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
            self.evict_idle_key()?;
        }
        let members = self.members.len();
        let entry = match self.keys.entry(key) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(vacant) => {
                self.new_keys.push(key);
                vacant.insert(LocalEntry {
                    local: LocalKey::new(limit, members, key.daemon_hash(self.me), now),
                    coordinator: key.coordinator(&self.members).unwrap_or(self.me),
                })
            }
        };
        entry.local.admit(limit, members, now)?;
        Ok(LimitTicket {
            key,
            admitted_at: now,
        })
    }

    /// Removes the least recently used key without calls in flight.
    ///
    /// Refuses the call if there is none.
    fn evict_idle_key(&mut self) -> Result<()> {
        let idle = self
            .keys
            .iter()
            .filter(|(_, entry)| entry.local.in_flight() == CallCount(0));
        let oldest = idle.min_by_key(|(_, entry)| entry.local.last_call_at());
        let Some(key) = oldest.map(|(key, _)| *key) else {
            return Err(LimitRefusal::new(ErrorKind::Overloaded, FULL_RETRY_AFTER));
        };
        self.keys.remove(&key);
        Ok(())
    }

    /// Ends an admitted call.
    pub fn release(&mut self, ticket: LimitTicket) {
        let now = self.clock.now();
        if let Some(entry) = self.keys.get_mut(&ticket.key) {
            let duration = now.saturating_duration_since(ticket.admitted_at);
            entry.local.release(duration, now);
        }
    }

    /// Returns reports on the keys added since this or [`LimitGate::on_tick`] was last invoked.
    ///
    /// This is cheap; invoke it after every admission, also after refused ones.
    pub fn report_new_keys(&mut self) -> Vec<LimitOutput> {
        if self.new_keys.is_empty() {
            return Vec::new();
        }
        let now = self.clock.now();
        let new_keys = std::mem::take(&mut self.new_keys);
        let reports = self.due_reports(new_keys, now);
        self.send_reports(reports, now)
    }

    /// Returns the reports and grants that are due; call it every [`TICK_INTERVAL`](crate::TICK_INTERVAL).
    pub fn on_tick(&mut self) -> Vec<LimitOutput> {
        let now = self.clock.now();
        self.new_keys.clear();
        self.keys.retain(|_, entry| !entry.local.is_expired(now));
        let keys = self.keys.keys().copied().collect();
        let reports = self.due_reports(keys, now);
        let mut outputs = self.send_reports(reports, now);
        let grants = self.coordinator.on_tick(self.members.len(), now);
        outputs.extend(self.send_grants(grants, now));
        outputs
    }

    fn due_reports(&mut self, keys: Vec<LimitKey>, now: Instant) -> Vec<(DaemonId, DemandReport)> {
        let members = self.members.len();
        let due = keys.into_iter().filter_map(|key| {
            let entry = self.keys.get_mut(&key)?;
            let report = entry.local.report(key, members, now)?;
            Some((entry.coordinator, report))
        });
        due.collect()
    }

    fn send_reports(
        &mut self,
        reports: Vec<(DaemonId, DemandReport)>,
        now: Instant,
    ) -> Vec<LimitOutput> {
        let (own, others) = reports.into_iter().partition(|(to, _)| *to == self.me);
        self.handle_own_reports(own, now);
        batch_by_receiver(others, LimitMessage::Report)
    }

    /// Processes the reports to this daemon itself, without a message.
    fn handle_own_reports(&mut self, reports: Vec<(DaemonId, DemandReport)>, now: Instant) {
        let members = self.members.len();
        for (_, report) in reports {
            let grant = self
                .coordinator
                .on_report(self.me, self.me, &report, members, now);
            if let Some(grant) = grant {
                self.apply_grant(grant, now);
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
            self.apply_grant(grant, now);
        }
        batch_by_receiver(others, LimitMessage::Grant)
    }

    fn apply_grant(&mut self, grant: ShareGrant, now: Instant) {
        if let Some(entry) = self.keys.get_mut(&grant.key) {
            entry.local.on_grant(grant, now);
        }
    }

    /// Processes a message from another daemon.
    pub fn on_message(&mut self, from: DaemonId, message: LimitMessage) -> Vec<LimitOutput> {
        let now = self.clock.now();
        let members = self.members.len();
        match message {
            LimitMessage::Report(reports) => {
                let reports = reports.iter().take(MAX_ENTRIES);
                let grants = reports.filter_map(|report| {
                    let grant = self
                        .coordinator
                        .on_report(self.me, from, report, members, now)?;
                    Some((from, grant))
                });
                batch_by_receiver(grants.collect(), LimitMessage::Grant)
            }
            LimitMessage::Grant(grants) => {
                for grant in grants.into_iter().take(MAX_ENTRIES) {
                    self.apply_grant(grant, now);
                }
                Vec::new()
            }
        }
    }

    /// Returns the number of keys in use at this daemon.
    pub fn local_keys(&self) -> usize {
        self.keys.len()
    }

    /// Returns the number of shares of all daemons that this daemon coordinates.
    pub fn coordinated_shares(&self) -> usize {
        self.coordinator.shares()
    }
}

/// Batches entries into messages by receiver, in the order of daemon ids.
fn batch_by_receiver<T>(
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
