//! Takes part in rollouts: counts runs, passes counts and shares on, and decides under a lease.
//!
//! Counts travel with the question for the configuration towards the deciding daemon,
//! shares with its answer. A share that changes is announced down the tree at once.
//! Readers of the store know the orders, so one of them decides; the others ask it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mesh::rollout::decision::{RolloutDecision, RolloutInput, RolloutStage, RolloutStep};
use mesh::rollout::lease::{LEASE_TERM, RENEW_INTERVAL, RolloutLease};
use mesh::rollout::share::{MAX_ROLLOUTS, MAX_SHARE_AGE, RolloutShare, RolloutShares, ShareStamp};
use mesh::rollout::tally::usual_time;
use mesh::{RolloutBounds, RolloutOrder, RolloutRecord, RolloutState, RouteKey};
use model::{DaemonId, IncarnationNumber, LogOffset, ServiceName, TargetVersion};
use route::VersionSplit;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::core::ProxyCore;
use crate::message::{PeerRequest, RolloutCounts, RolloutReport};
use crate::store::RolloutPage;

/// Interval of decisions.
const STEP_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which a reader asks the deciding daemon.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(400);
/// Number of pauses, and their length, by which readers begin one after another.
const START_PAUSES: u64 = 4;
const START_PAUSE: Duration = Duration::from_millis(150);
/// Maximum number of reports that are kept, several for each target of the largest services.
const MAX_REPORTS: usize = 2048;

/// Daemon, its incarnation, and the service and version of its target.
type ReportKey = (DaemonId, IncarnationNumber, ServiceName, TargetVersion);

/// What a daemon knows of rollouts.
#[derive(Debug, Default)]
pub struct RolloutBook {
    shares: RolloutShares,
    /// Counts of the target beside this daemon.
    own: Option<RolloutReport>,
    /// Counts that other daemons reported.
    reports: HashMap<ReportKey, RolloutReport>,
    /// The newest order of each service and the time since boot at which it was seen.
    orders: HashMap<ServiceName, (RolloutOrder, Duration)>,
}

impl RolloutBook {
    /// Records orders that were read from the store at `now`.
    pub fn record_orders(&mut self, orders: Vec<RolloutOrder>, now: Duration) {
        for order in orders {
            let known = self.orders.get(&order.service).map(|(known, _)| known);
            if known.is_some_and(|known| known.offset == order.offset) {
                continue;
            }
            if let Some(known) = known {
                log::warn!(
                    service:% = order.service, before:% = known.version, version:% = order.version;
                    "order of a rollout replaced"
                );
            } else if self.orders.len() >= MAX_ROLLOUTS {
                log::warn!(service:% = order.service; "order ignored: too many rollouts");
                continue;
            }
            log::info!(
                service:% = order.service, version:% = order.version, order:% = order.offset,
                duration_ms = order.duration.as_millis() as u64;
                "rollout ordered"
            );
            self.orders.insert(order.service.clone(), (order, now));
        }
    }

    /// Returns the orders whose rollouts have not ended.
    fn open_orders(&self) -> Vec<(RolloutOrder, Duration)> {
        let orders = self.orders.values();
        let open = orders.filter(|(order, _)| {
            self.shares.get(&order.service).is_none_or(|share| {
                share.stamp.order < order.offset
                    || share.stamp.order == order.offset && share.state == RolloutState::Running
            })
        });
        open.cloned().collect()
    }

    /// Adds reports of other daemons, whose counts only grow.
    pub fn merge(&mut self, reports: Vec<RolloutReport>, own: DaemonId) {
        for report in reports {
            if report.daemon == own || !self.is_wanted(&report) {
                continue;
            }
            let key = (
                report.daemon,
                report.incarnation,
                report.service.clone(),
                report.version.clone(),
            );
            let progress = |report: &RolloutReport| {
                let tally = &report.tally;
                (report.order, tally.sent().saturating_add(tally.ended()))
            };
            let is_newer = match self.reports.get(&key) {
                Some(known) => progress(&report) > progress(known),
                None => self.reports.len() < MAX_REPORTS,
            };
            if is_newer {
                self.reports.insert(key, report);
            }
        }
    }

    fn is_wanted(&self, report: &RolloutReport) -> bool {
        let share = self.shares.get(&report.service);
        share.is_some_and(|share| {
            share.state == RolloutState::Running && share.stamp.order == report.order
        })
    }

    /// Returns the counts to send towards the deciding daemon.
    pub fn counts(&mut self) -> RolloutCounts {
        let mut reports = std::mem::take(&mut self.reports);
        reports.retain(|_, report| self.is_wanted(report));
        self.reports = reports;
        let own = self.own.iter().filter(|report| self.is_wanted(report));
        RolloutCounts {
            reports: own.chain(self.reports.values()).cloned().collect(),
            known: self.digest(),
        }
    }

    /// Returns the statements for a daemon that knows those with the digest `known`.
    pub fn statements_for(&self, known: u64, now: Duration) -> Option<Vec<RolloutShare>> {
        let statements = self.shares.statements(now);
        let running = statements
            .iter()
            .any(|share| share.state == RolloutState::Running);
        (running || known != self.digest()).then_some(statements)
    }

    fn digest(&self) -> u64 {
        let statements = self.shares.statements(Duration::ZERO);
        statements.iter().fold(0, |digest, share| {
            let text = format!("{} {:?} {}", share.service, share.stamp, share.state);
            digest ^ xxhash_rust::xxh3::xxh3_64(text.as_bytes())
        })
    }

    /// Sums the counts of a rollout by version.
    fn input(&self, order: &RolloutOrder) -> RolloutInput {
        let mut input = RolloutInput::default();
        let all = self.own.iter().chain(self.reports.values());
        for report in
            all.filter(|report| report.order == order.offset && report.service == order.service)
        {
            if report.version == order.version {
                input.new.add(&report.tally);
            } else {
                input.old.add(&report.tally);
            }
        }
        input
    }

    fn own_for(&mut self, core: &ProxyCore, target: OwnTarget) -> Option<&mut RolloutReport> {
        let share = self.shares.get(&target.service)?;
        if share.state != RolloutState::Running {
            return None;
        }
        let order = share.stamp.order;
        let same = self.own.as_ref().is_some_and(|own| {
            own.order == order && own.service == target.service && own.version == target.version
        });
        if !same {
            let previous = self.own.replace(RolloutReport {
                daemon: core.id,
                incarnation: core.incarnation,
                order,
                service: target.service,
                version: target.version,
                tally: mesh::rollout::tally::VersionTally::default(),
            });
            // The target before may have had the other version.
            if let Some(report) = previous {
                let key = (
                    report.daemon,
                    report.incarnation,
                    report.service.clone(),
                    report.version.clone(),
                );
                self.reports.insert(key, report);
            }
        }
        self.own.as_mut()
    }
}

/// Service and version of the target beside the daemon.
#[derive(Clone, Debug)]
struct OwnTarget {
    service: ServiceName,
    version: TargetVersion,
}

/// A run that counts for a rollout; one that is dropped, since its caller left, counts as failed.
#[derive(Debug)]
pub struct CountedRun {
    core: Arc<ProxyCore>,
    target: Option<OwnTarget>,
    route: RouteKey,
    since: Instant,
}

/// How a counted run ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CountedEnd {
    /// The target answered; the pace is its own figure of how long work takes there.
    Answered {
        /// Whether the answer is a failure.
        failed: bool,
        /// Time until the answer.
        time: Duration,
        /// Work time of the target, as a multiple of the usual one.
        pace: Option<f64>,
    },
    /// The run failed without an answer.
    Failed,
    /// Says nothing of the version: the target refused the request, or a nested call failed.
    Uncounted,
}

impl CountedRun {
    /// Counts a request that is sent to the target beside the daemon.
    pub fn begin(core: &Arc<ProxyCore>, route: RouteKey) -> Self {
        let mut target = None;
        if core.settings.rollout.is_some() {
            target = core.local_target().report().and_then(|report| {
                Some(OwnTarget {
                    service: report.service.clone(),
                    version: report.version.clone()?,
                })
            });
        }
        if let Some(known) = target.clone()
            && let Some(own) = core.rollouts().own_for(core, known)
        {
            own.tally.record_sent(route);
        }
        Self {
            core: Arc::clone(core),
            target,
            route,
            since: core.clock.now(),
        }
    }

    /// Returns the time since the request was sent.
    pub fn elapsed(&self) -> Duration {
        self.core.clock.now().saturating_duration_since(self.since)
    }

    /// Counts the end of the run.
    pub fn end(mut self, end: CountedEnd) {
        self.record(end);
    }

    fn record(&mut self, end: CountedEnd) {
        let Some(target) = self.target.take() else {
            return;
        };
        let core = Arc::clone(&self.core);
        let mut book = core.rollouts();
        let Some(own) = book.own_for(&core, target) else {
            return;
        };
        match end {
            CountedEnd::Answered { failed, time, pace } => {
                let time = (!failed).then(|| usual_time(time, pace));
                own.tally.record_end(self.route, failed, time);
            }
            CountedEnd::Failed => own.tally.record_end(self.route, true, None),
            CountedEnd::Uncounted => {}
        }
    }
}

impl Drop for CountedRun {
    fn drop(&mut self) {
        self.record(CountedEnd::Failed);
    }
}

/// Applies statements that were received, or asked for, at `at` since boot; passes on those that
/// changed.
pub fn apply_shares(core: &ProxyCore, statements: Vec<RolloutShare>, at: Duration) {
    if core.settings.rollout.is_none() || statements.is_empty() {
        return;
    }
    let now = core.clock.since_boot();
    let mut changed = Vec::new();
    let current = {
        let mut book = core.rollouts();
        for share in statements {
            if book.shares.apply(share.clone(), at) {
                changed.push(share);
            }
        }
        book.shares.statements(now)
    };
    refresh_splits(core, &current);
    for share in &changed {
        log::info!(
            service:% = share.service, version:% = share.version, state:% = share.state,
            share = share.share, targets = share.targets, decider:% = share.decider;
            "share of a new version"
        );
    }
    if !changed.is_empty() {
        let later = now.saturating_sub(at);
        for share in &mut changed {
            share.age += later;
        }
        let request = PeerRequest::Rollout(changed);
        let peers = core.peers();
        let receivers = core.config_source.position().receivers;
        for address in receivers.iter().filter_map(|id| peers.get(id)) {
            core.send_message(*address, &request);
        }
    }
}

/// Passes the shares to the target selection.
fn refresh_splits(core: &ProxyCore, statements: &[RolloutShare]) {
    let rollback = core.settings.rollout.map(|bounds| bounds.rollback);
    // Half of the bound is left for the counts to arrive.
    let max_age = MAX_SHARE_AGE.min(rollback.unwrap_or(MAX_SHARE_AGE) / 2);
    let now = core.clock.now();
    let mut picker = core.picker();
    for share in statements {
        let fresh_until =
            (share.state == RolloutState::Running).then(|| now + max_age.saturating_sub(share.age));
        let split = VersionSplit {
            version: share.version.clone(),
            share: share.share,
            targets: share.targets,
            fresh_until,
        };
        picker.set_split(&share.service, Some(split));
    }
}

/// Takes part in rollouts until `token` is cancelled.
pub async fn watch_rollouts(core: Arc<ProxyCore>, token: CancellationToken) {
    let Some(bounds) = core.settings.rollout else {
        return;
    };
    core.picker().hold_new_versions();
    let mut watch = RolloutWatch {
        core,
        bounds,
        services: HashMap::new(),
        page: None,
        read_at: Duration::ZERO,
        exchanged_at: Duration::ZERO,
        store_lost: false,
    };
    let watching = async {
        loop {
            sleep(STEP_INTERVAL).await;
            watch.tick().await;
        }
    };
    tokio::select! {
        () = watching => {}
        () = token.cancelled() => {}
    }
}

/// Part of this daemon in the rollout of one service.
#[derive(Debug, Default)]
struct ServiceRollout {
    lease: RolloutLease,
    /// Offset of the record under which this daemon holds the lease.
    record: LogOffset,
    decision: Option<RolloutDecision>,
    /// State and step of the last record of this daemon.
    written: Option<(RolloutState, RolloutStage)>,
    number: u32,
}

struct RolloutWatch {
    core: Arc<ProxyCore>,
    bounds: RolloutBounds,
    services: HashMap<ServiceName, ServiceRollout>,
    /// Status records as last read; none if they must be read again before a write.
    page: Option<RolloutPage>,
    read_at: Duration,
    exchanged_at: Duration,
    store_lost: bool,
}

impl RolloutWatch {
    async fn tick(&mut self) {
        let now = self.core.clock.since_boot();
        let is_reader = self.core.config_source.position().is_reader();
        if is_reader && now.saturating_sub(self.exchanged_at) >= EXCHANGE_INTERVAL {
            self.exchanged_at = now;
            self.ask_deciders();
        }
        let open = self.core.rollouts().open_orders();
        self.services
            .retain(|service, _| open.iter().any(|(order, _)| order.service == *service));
        for (order, seen_at) in open {
            let now = self.core.clock.since_boot();
            let rollout = self.services.entry(order.service.clone()).or_default();
            let decides = rollout.lease.is_held(now)
                && rollout
                    .decision
                    .as_ref()
                    .is_some_and(|decision| decision.order() == &order);
            if decides {
                self.decide(&order).await;
            } else if is_reader {
                self.try_lease(&order, seen_at).await;
            }
        }
    }

    /// Sends the counts to the daemons that decide about running rollouts, and receives the shares.
    fn ask_deciders(&self) {
        let core = &self.core;
        let now = core.clock.since_boot();
        let statements = core.rollouts().shares.statements(now);
        let running = statements
            .into_iter()
            .filter(|share| share.state == RolloutState::Running && share.decider != core.id);
        let peers = core.peers();
        let mut addresses: Vec<SocketAddr> = running
            .filter_map(|share| peers.get(&share.decider).copied())
            .collect();
        addresses.sort_unstable();
        addresses.dedup();
        for address in addresses {
            let core = Arc::clone(core);
            self.core.tasks.spawn(async move {
                let asked_at = core.clock.since_boot();
                match crate::config_watch::ask_peer(&core, address, None).await {
                    Ok(answer) => apply_shares(&core, answer.rollout.unwrap_or_default(), asked_at),
                    Err(cause) => {
                        log::debug!(peer:% = address, cause = &*cause; "decider did not answer");
                    }
                }
            });
        }
    }

    /// Reads the status records if they are old; returns whether they are known.
    async fn read_records(&mut self) -> bool {
        let now = self.core.clock.since_boot();
        if self.page.is_some() && now.saturating_sub(self.read_at) < RENEW_INTERVAL {
            return true;
        }
        match self.core.store.rollout_records().await {
            Ok(page) => {
                self.page = Some(page);
                self.read_at = now;
                self.store_lost = false;
                true
            }
            Err(error) => {
                self.page = None;
                if !std::mem::replace(&mut self.store_lost, true) {
                    log::warn!(cause:% = error; "status of rollouts not read");
                }
                false
            }
        }
    }

    /// Follows the status record of an order, and begins or takes over where nobody decides.
    async fn try_lease(&mut self, order: &RolloutOrder, seen_at: Duration) {
        if !self.read_records().await {
            return;
        }
        let now = self.core.clock.since_boot();
        let records = self.page.iter().flat_map(|page| &page.records);
        let mut records = records.filter(|(_, record)| record.service == order.service);
        let found = records
            .find(|(_, record)| record.order == order.offset && record.version == order.version)
            .cloned();
        let replaced = self.page.iter().flat_map(|page| &page.records);
        let mut replaced = replaced
            .filter(|(_, record)| record.service == order.service && record.order > order.offset);
        if replaced.next().is_some() {
            // Another daemon has read a later order, which will arrive here as well.
            return;
        }
        let rollout = self.services.entry(order.service.clone()).or_default();
        match found {
            Some((offset, record)) if record.state != RolloutState::Running => {
                self.state_record(&record, offset);
            }
            Some((offset, record)) => {
                rollout.lease.on_read(offset, now);
                if record.decider != self.core.id {
                    // Its share is unknown here until it is asked.
                    self.announce_decider(&record, offset);
                }
                let rollout = self.services.entry(order.service.clone()).or_default();
                if rollout.lease.is_expired(now) {
                    let kept = rollout.decision.take().filter(|decision| {
                        decision.order() == order && record.decider == self.core.id
                    });
                    // The record was first seen when its lease began to run out.
                    let seen = now.saturating_sub(LEASE_TERM);
                    let decision =
                        kept.unwrap_or_else(|| RolloutDecision::resume(&record, self.bounds, seen));
                    log::info!(service:% = order.service, before:% = record.decider; "rollout taken over");
                    rollout.decision = Some(decision);
                    self.write(order).await;
                }
            }
            None => {
                let pause = START_PAUSE * (self.core.id.0 % START_PAUSES) as u32;
                if now.saturating_sub(seen_at) >= pause {
                    let decision = RolloutDecision::new(order.clone(), self.bounds, seen_at);
                    rollout.decision = Some(decision);
                    self.write(order).await;
                }
            }
        }
    }

    /// Makes one step of a rollout for which this daemon holds the lease.
    async fn decide(&mut self, order: &RolloutOrder) {
        let now = self.core.clock.since_boot();
        let mut input = self.core.rollouts().input(order);
        let (new, old) = self
            .core
            .picker()
            .count_versions(&order.service, &order.version);
        (input.new_targets, input.old_targets) = (new, old);
        let Some(rollout) = self.services.get_mut(&order.service) else {
            return;
        };
        let Some(decision) = &mut rollout.decision else {
            return;
        };
        let step = decision.step(&input, now);
        let reached = (step.state, decision.stage());
        let is_due = rollout.written != Some(reached) || rollout.lease.is_renewal_due(now);
        // A rollback takes effect before it is written, a completion after it.
        if rollout
            .written
            .is_none_or(|(state, _)| state == RolloutState::Running)
        {
            self.publish(order, &step, RolloutState::Running);
        }
        if !is_due {
            return;
        }
        if self.page.is_none() && !self.read_records().await {
            return;
        }
        if self.was_taken_over(order) {
            return;
        }
        if self.write(order).await && step.state != RolloutState::Running {
            log::info!(
                service:% = order.service, version:% = order.version, state:% = step.state,
                reason = &*step.reason;
                "rollout ended"
            );
            self.publish(order, &step, step.state);
        }
    }

    /// Gives the lease up if another daemon has written the status since this one did.
    fn was_taken_over(&mut self, order: &RolloutOrder) -> bool {
        let (Some(rollout), Some(page)) = (self.services.get_mut(&order.service), &self.page)
        else {
            return true;
        };
        let mut records = page.records.iter();
        let later = records
            .find(|(offset, record)| record.service == order.service && *offset > rollout.record);
        if let Some((_, record)) = later {
            log::warn!(service:% = order.service, by:% = record.decider; "rollout decided elsewhere");
            *rollout = ServiceRollout::default();
        }
        later.is_some()
    }

    /// Writes the status record on condition that nobody else has written. Returns whether it did.
    async fn write(&mut self, order: &RolloutOrder) -> bool {
        let started = self.core.clock.since_boot();
        let Some(rollout) = self.services.get_mut(&order.service) else {
            return false;
        };
        let (Some(decision), Some(page)) = (&rollout.decision, &mut self.page) else {
            return false;
        };
        let (exposed, bad) = decision.counts();
        let record = RolloutRecord {
            service: order.service.clone(),
            order: order.offset,
            version: order.version.clone(),
            duration: order.duration,
            state: decision.state(),
            stage: decision.stage(),
            age: decision.age(started),
            exposed,
            bad,
            decider: self.core.id,
            reason: decision.reason().into(),
        };
        let reached = (record.state, record.stage);
        match self.core.store.put_rollout(record, page.end).await {
            Ok(Some(offset)) => {
                page.end = offset.next();
                rollout.lease.on_written(offset, started);
                rollout.record = offset;
                rollout.number = 0;
                rollout.written = Some(reached);
                true
            }
            Ok(None) => {
                // Another rollout may have been written, so the lease may still be held.
                self.page = None;
                false
            }
            Err(error) => {
                self.page = None;
                log::warn!(service:% = order.service, cause:% = error; "status of a rollout not written");
                false
            }
        }
    }

    /// States the share of a rollout that this daemon decides.
    fn publish(&mut self, order: &RolloutOrder, step: &RolloutStep, state: RolloutState) {
        let era = self.core.store_eras().latest();
        let Some(rollout) = self.services.get_mut(&order.service) else {
            return;
        };
        rollout.number += 1;
        let share = RolloutShare {
            service: order.service.clone(),
            version: order.version.clone(),
            stamp: ShareStamp {
                era,
                order: order.offset,
                lease: rollout.record,
                number: rollout.number,
            },
            decider: self.core.id,
            state,
            share: step.share as f32,
            targets: step.targets,
            age: Duration::ZERO,
        };
        apply_shares(&self.core, vec![share], self.core.clock.since_boot());
    }

    /// States the end of a rollout that another daemon has written.
    fn state_record(&self, record: &RolloutRecord, offset: LogOffset) {
        let completed = record.state == RolloutState::Completed;
        let share = self.statement_of(record, offset, if completed { 1.0 } else { 0.0 });
        apply_shares(&self.core, vec![share], self.core.clock.since_boot());
    }

    /// Records who decides, with a share of zero that any statement of the decider replaces.
    fn announce_decider(&self, record: &RolloutRecord, offset: LogOffset) {
        let known = self.core.rollouts().shares.get(&record.service).cloned();
        let is_known = known.is_some_and(|share| {
            let is_later = share.stamp.lease >= offset || share.decider == record.decider;
            share.stamp.order == record.order && is_later
        });
        if !is_known {
            let share = self.statement_of(record, offset, 0.0);
            apply_shares(&self.core, vec![share], self.core.clock.since_boot());
        }
    }

    fn statement_of(&self, record: &RolloutRecord, offset: LogOffset, share: f32) -> RolloutShare {
        RolloutShare {
            service: record.service.clone(),
            version: record.version.clone(),
            stamp: ShareStamp {
                era: self.core.store_eras().latest(),
                order: record.order,
                lease: offset,
                number: 0,
            },
            decider: record.decider,
            state: record.state,
            share,
            targets: u32::MAX,
            age: Duration::ZERO,
        }
    }
}
