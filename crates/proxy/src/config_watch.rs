//! Keeps the configuration up to date, from the store or through other daemons.
//!
//! [`mesh::TreePosition`] assigns the roles: readers read the store, followers ask
//! their parent. A follower whose parent's knowledge is too old reads the store
//! itself. A reader that has lost the store asks other daemons, and any daemon
//! asks one that announces a newer configuration.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use mesh::config_tree::{StoreBackoff, max_source_age};
use mesh::{ConfigUpdate, EraTagged, MeshVersion, QuotaReport, TreePosition};
use model::{DaemonId, ErrorKind, LogOffset};
use rand::Rng;
use rand::seq::IteratorRandom;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::core::ProxyCore;
use crate::message::{ConfigAnswer, PeerRequest};
use crate::quota_exchange::{record_parent_answer, subtree_report};
use crate::rollout_watch::apply_shares;

/// Maximum wait of one read. A reader's knowledge is up to this old, so it stays below the
/// time within which a configuration must be in force.
const READ_WAIT: Duration = Duration::from_millis(600);
/// Pause after a read that found a configuration, so that versions in quick succession come
/// in one answer.
const READ_PAUSE: Duration = Duration::from_millis(300);
/// Time since the last read after which the newest version is read instead of all later ones.
const CATCH_UP_TIME: Duration = Duration::from_secs(5);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Interval at which a follower asks its parent.
const ASK_INTERVAL: Duration = Duration::from_millis(400);
/// Time for another daemon to answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);

/// From whom a daemon gets its configuration, and when the store last confirmed it.
#[derive(Debug, Default)]
pub struct ConfigSource {
    position: Mutex<TreePosition>,
    /// Latest proof that the store confirmed the configuration in force.
    confirmed: Mutex<Option<StoreConfirmation>>,
    /// Last announcement of a newer configuration: its sender and the version.
    announced: Mutex<Option<(DaemonId, MeshVersion)>>,
    changed: Notify,
}

impl ConfigSource {
    /// Sets from whom this daemon gets the configuration and to whom it announces new ones.
    pub fn set_tree_position(&self, position: TreePosition) {
        let role_changed = {
            let mut current = lock(&self.position);
            // For example, a reader now knows its first other daemon; `read_first` waits for that.
            let gains_receivers = current.receivers.is_empty() && !position.receivers.is_empty();
            let role_changed = gains_receivers || current.parent != position.parent;
            *current = position;
            role_changed
        };
        if role_changed {
            self.changed.notify_one();
        }
    }

    /// Returns the time since the store confirmed the configuration in force, including time for
    /// which the VM was suspended; `now` is the time since boot.
    pub fn confirmed_age(&self, now: Duration) -> Option<Duration> {
        lock(&self.confirmed).map(|confirmation| confirmation.age_at(now))
    }

    /// Records that another daemon has a newer configuration.
    pub fn record_newer_config(&self, from: DaemonId, version: MeshVersion) {
        *lock(&self.announced) = Some((from, version));
        self.changed.notify_one();
    }

    /// Returns the position of this daemon in the tree.
    pub(crate) fn position(&self) -> TreePosition {
        lock(&self.position).clone()
    }

    /// Records that at time `at` since boot, the store had confirmed the configuration in force
    /// `age` before.
    fn confirm(&self, at: Duration, age: Duration) {
        let mut confirmed = lock(&self.confirmed);
        let newer = StoreConfirmation { at, age };
        let is_newer = confirmed.is_none_or(|known| newer.age_at(at) < known.age_at(at));
        if is_newer {
            *confirmed = Some(newer);
        }
    }

    fn take_announcement(&self) -> Option<(DaemonId, MeshVersion)> {
        lock(&self.announced).take()
    }
}

/// A proof that the store confirmed a configuration, directly or through other daemons.
#[derive(Clone, Copy, Debug)]
struct StoreConfirmation {
    /// Time since boot at which the proof was asked for.
    at: Duration,
    /// Age of the proof at that time, which may be longer than the VM has run.
    age: Duration,
}

impl StoreConfirmation {
    fn age_at(self, now: Duration) -> Duration {
        (now + self.age).saturating_sub(self.at)
    }
}

/// Keeps the configuration up to date until `token` is cancelled.
pub async fn watch_config(core: Arc<ProxyCore>, token: CancellationToken) {
    let mut watch = ConfigWatch {
        core,
        next: None,
        read_at: None,
        store_lost: false,
        parent_trusted: false,
        backoff: StoreBackoff::default(),
    };
    tokio::select! {
        () = watch.run() => {}
        () = token.cancelled() => {}
    }
}

struct ConfigWatch {
    core: Arc<ProxyCore>,
    /// Offset of the next read of the store; none before the first and after it became invalid.
    next: Option<EraTagged<LogOffset>>,
    /// Time of the last successful read of the store.
    read_at: Option<Instant>,
    /// Whether the store was unavailable at the last read.
    store_lost: bool,
    /// Whether the parent answered the last question and its knowledge was recent enough.
    parent_trusted: bool,
    /// Limits how often a follower reads the store.
    backoff: StoreBackoff,
}

impl ConfigWatch {
    async fn run(&mut self) {
        loop {
            let core = Arc::clone(&self.core);
            // A reader has usually read the announced version itself by now.
            let announced = core.config_source.take_announcement();
            if let Some((from, _)) =
                announced.filter(|announced| core.config().version() < Some(announced.1))
            {
                self.ask(from).await;
                continue;
            }
            match core.config_source.position().parent {
                Some(parent) if self.next.is_some() => {
                    self.follow_parent(parent).await;
                    let pause = ASK_INTERVAL.mul_f32(rand::rng().random_range(0.8..1.2));
                    self.pause(pause).await;
                }
                Some(_) | None if core.table().is_none() => self.read_first().await,
                // A follower reads the store once as well, to know the offset if it has to read
                // the store later.
                Some(_) | None => self.read_store(READ_WAIT).await,
            }
        }
    }

    /// Reads the store, or asks another daemon if one becomes known before the store answers.
    async fn read_first(&mut self) {
        let core = Arc::clone(&self.core);
        tokio::select! {
            () = self.read_store(READ_WAIT) => {}
            () = core.config_source.changed.notified() => self.ask_any_peer().await,
        }
    }

    /// Waits for `time`, or until a newer configuration is announced or the role changes.
    async fn pause(&self, time: Duration) {
        tokio::select! {
            () = sleep(time) => {}
            () = self.core.config_source.changed.notified() => {}
        }
    }

    /// Asks the parent, then another daemon, then the store, until the configuration in force is
    /// confirmed.
    async fn follow_parent(&mut self, parent: DaemonId) {
        let answered = self.ask(parent).await;
        let age = self
            .core
            .config_source
            .confirmed_age(self.core.clock.since_boot());
        let trusted = answered && self.is_confirmed();
        if self.parent_trusted != trusted {
            self.parent_trusted = trusted;
            let age_ms = age.unwrap_or_default().as_millis() as u64;
            log::info!(parent:% = parent, answered, age_ms, trusted; "source of the configuration");
        }
        if !trusted {
            self.ask_any_peer().await;
        }
        if !self.is_confirmed() && self.backoff.is_over(self.core.clock.now()) {
            self.read_store(Duration::ZERO).await;
        }
    }

    /// Returns whether the store confirmed the configuration in force recently enough.
    fn is_confirmed(&self) -> bool {
        let age = self
            .core
            .config_source
            .confirmed_age(self.core.clock.since_boot());
        let max_age = max_source_age(self.core.settings.config_apply_limit);
        age.is_some_and(|age| age <= max_age)
    }

    /// Reads the store once; after a failure it asks another daemon and pauses.
    async fn read_store(&mut self, wait: Duration) {
        let (started, asked_at) = (self.core.clock.now(), self.core.clock.since_boot());
        let store = &self.core.store;
        let recent = self
            .read_at
            .is_some_and(|at| started.saturating_duration_since(at) < CATCH_UP_TIME);
        // An offset of an earlier era may now belong to another record.
        let latest = self.core.store_eras().latest();
        let from = self
            .next
            .filter(|tagged| recent && tagged.is_current(latest));
        let from = from.map(|tagged| tagged.value);
        // After a failure the read does not wait, since a waiting read could hang past the
        // recovery of the store.
        let may_wait = from.is_some() && !self.store_lost;
        let read_wait = if may_wait { wait } else { Duration::ZERO };
        let result = match from {
            None => store.newest_config().await,
            Some(from) => store.next_config(from, read_wait).await,
        };
        match result {
            Ok(page) => {
                self.core.metrics.set_store_up(true);
                self.read_at = Some(started);
                self.backoff.on_answered();
                if std::mem::take(&mut self.store_lost) {
                    log::info!("store regained");
                }
                if self.core.observe_store_era(page.era) {
                    log::info!("answer of an earlier era of the store; reading again");
                    return;
                }
                let era_changed = self.next.is_some_and(|tagged| !tagged.is_current(page.era));
                if from.is_some() && era_changed {
                    // The offset belonged to an earlier era, so records before it may have been
                    // skipped.
                    self.next = None;
                    return;
                }
                self.next = Some(EraTagged {
                    value: page.next,
                    era: page.era,
                });
                self.core
                    .rollouts()
                    .record_orders(page.orders, self.core.clock.since_boot());
                let newest = page.newest.as_ref().map(|config| config.version);
                let found = newest.is_some();
                if let Some(config) = page.newest {
                    self.apply(ConfigUpdate::Whole(Arc::new(config)), "store");
                }
                // An answer without records after the whole wait confirms the state at its end, any
                // other one only the state at the beginning of the read.
                let waited = self.core.clock.since_boot().saturating_sub(asked_at);
                let is_whole_wait = !found && waited >= read_wait;
                let confirmed_for = if is_whole_wait {
                    read_wait
                } else {
                    Duration::ZERO
                };
                // A configuration that was refused is not in force.
                if self.core.config().version() >= newest {
                    self.core
                        .config_source
                        .confirm(asked_at + confirmed_for, Duration::ZERO);
                }
                if found {
                    self.pause(READ_PAUSE).await;
                }
            }
            Err(error) if error.kind == ErrorKind::LogExpired => {
                log::info!(cause:% = error; "history of the configuration expired; reading the newest");
                self.next = None;
            }
            Err(error) => {
                self.core.metrics.set_store_up(false);
                let now = self.core.clock.now();
                self.backoff.on_failed(now, rand::rng().random());
                if !std::mem::replace(&mut self.store_lost, true) {
                    log::warn!(cause:% = error; "store lost");
                }
                self.ask_any_peer().await;
                self.pause(RETRY_PAUSE).await;
            }
        }
    }

    /// Asks a random other daemon.
    async fn ask_any_peer(&self) {
        let peers = self.core.peers();
        let chosen = peers.keys().choose(&mut rand::rng()).copied();
        if let Some(id) = chosen {
            self.ask(id).await;
        }
    }

    /// Asks another daemon for a newer configuration. Returns whether it answered.
    async fn ask(&self, id: DaemonId) -> bool {
        let Some(address) = self.core.peers().get(&id).copied() else {
            return false;
        };
        let asked_at = self.core.clock.since_boot();
        let is_parent = self.core.config_source.position().parent == Some(id);
        let quota = if is_parent {
            subtree_report(&self.core)
        } else {
            None
        };
        let answer = match ask_peer(&self.core, address, quota).await {
            Ok(answer) => answer,
            Err(detail) => {
                log::debug!(peer:% = id, cause = &*detail; "peer did not tell its configuration");
                return false;
            }
        };
        self.core.observe_store_era(answer.era);
        if is_parent && let Some(sums) = &answer.quota {
            record_parent_answer(&self.core, asked_at, sums);
        }
        apply_shares(&self.core, answer.rollout.unwrap_or_default(), asked_at);
        let newest = answer.update.as_ref().map(ConfigUpdate::version);
        if let Some(update) = answer.update {
            self.apply(update, "peer");
        }
        if let Some(age) = answer.age
            && self.core.config().version() >= newest
        {
            self.core.config_source.confirm(asked_at, age);
        }
        true
    }

    /// Puts `update` in force if it is newer, and announces it to the receivers in the tree.
    fn apply(&self, update: ConfigUpdate, source: &str) {
        let version = update.version();
        let applied = self.core.config().apply_update(update);
        match applied {
            Ok(Some(table)) => {
                log::info!(
                    version:% = version, source, routes = table.config().routes.len(),
                    organisations = table.config().organisation_rules().len(),
                    keys_required = table.keys().is_some();
                    "configuration in force"
                );
                // Drops the admission state of idle routes, among them those that no longer exist.
                self.core.throttle().evict_idle();
                self.core.routing_changed.notify_waiters();
                self.announce_version();
            }
            Ok(None) => log::debug!(version:% = version, source; "configuration is not newer"),
            Err(error) => {
                log::error!(version:% = version, source, cause:% = error; "configuration refused");
            }
        }
    }

    fn announce_version(&self) {
        let Some(version) = self.core.config().version() else {
            return;
        };
        let request = PeerRequest::News {
            from: self.core.id,
            version,
        };
        let peers = self.core.peers();
        let receivers = self.core.config_source.position().receivers;
        for address in receivers.iter().filter_map(|id| peers.get(id)) {
            self.core.send_message(*address, &request);
        }
    }
}

/// Asks the daemon at `address` for its configuration and the shares of rollouts.
pub(crate) async fn ask_peer(
    core: &ProxyCore,
    address: SocketAddr,
    quota: Option<QuotaReport>,
) -> Result<ConfigAnswer, Box<str>> {
    let have = core.config().version();
    let rollout = (core.settings.rollout.is_some()).then(|| core.rollouts().counts());
    let question = PeerRequest::Config {
        have,
        quota,
        rollout,
    };
    let asking = core.pool.request::<ConfigAnswer>(address, &question);
    match timeout(ASK_TIMEOUT, asking).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(error)) => Err(error.to_string().into()),
        Err(elapsed) => Err(elapsed.to_string().into()),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
