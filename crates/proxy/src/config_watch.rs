//! Follows the configuration: as a reader of the store, or through other daemons.
//!
//! [`mesh::TreePosition`] says who is what. A follower that can't trust its
//! parent reads the store itself; a reader that has lost the store asks other
//! daemons, and so does whoever is told that one of them has news.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use mesh::config_tree::{StoreBackoff, max_source_age};
use mesh::{ConfigUpdate, EraTagged, MeshVersion, TreePosition};
use model::{DaemonId, ErrorKind, LogOffset};
use rand::Rng;
use rand::seq::IteratorRandom;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::core::ProxyCore;
use crate::message::{ConfigAnswer, PeerRequest};

/// Longest wait of one read. Followers take the reader's knowledge to be this old, so it
/// stays below the time within which a configuration must be in force.
const READ_WAIT: Duration = Duration::from_millis(600);
/// Pause between reads that found something, so that versions in quick succession come in
/// one answer.
const READ_PACE: Duration = Duration::from_millis(300);
/// Time after which a read begins with the newest version, not with all since the last one.
const CATCH_UP_TIME: Duration = Duration::from_secs(5);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Time between two questions of a follower to its parent.
const ASK_INTERVAL: Duration = Duration::from_millis(400);
/// Time for another daemon to answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);

/// What a daemon knows of where its configuration comes from.
#[derive(Debug, Default)]
pub struct ConfigSource {
    plan: Mutex<TreePosition>,
    /// When the store confirmed what is in force, directly or through others.
    confirmed: Mutex<Option<Instant>>,
    /// Who told of news last, and of which version.
    news: Mutex<Option<(DaemonId, MeshVersion)>>,
    woken: Notify,
}

impl ConfigSource {
    /// Takes over a new place.
    pub fn set_plan(&self, plan: TreePosition) {
        let news = {
            let mut held = lock(&self.plan);
            let first = held.receivers.is_empty() && !plan.receivers.is_empty();
            let news = first || held.parent != plan.parent;
            *held = plan;
            news
        };
        if news {
            self.woken.notify_one();
        }
    }

    /// Time since the store confirmed what is in force.
    pub fn confirmed_age(&self, now: Instant) -> Option<Duration> {
        lock(&self.confirmed).map(|at| now.saturating_duration_since(at))
    }

    /// Notes that another daemon has a newer configuration.
    pub fn note_newer_config(&self, from: DaemonId, version: MeshVersion) {
        *lock(&self.news) = Some((from, version));
        self.woken.notify_one();
    }

    fn plan(&self) -> TreePosition {
        lock(&self.plan).clone()
    }

    fn confirm(&self, at: Instant) {
        let mut confirmed = lock(&self.confirmed);
        *confirmed = (*confirmed).max(Some(at));
    }

    fn take_news(&self) -> Option<(DaemonId, MeshVersion)> {
        lock(&self.news).take()
    }
}

/// Follows the configuration until `token` is cancelled.
pub async fn watch_config(core: Arc<ProxyCore>, token: CancellationToken) {
    let mut watch = ConfigWatch {
        core,
        next: None,
        read_at: None,
        lost: false,
        parent_trusted: false,
        backoff: StoreBackoff::default(),
    };
    tokio::select! {
        () = watch.follow() => {}
        () = token.cancelled() => {}
    }
}

struct ConfigWatch {
    core: Arc<ProxyCore>,
    /// Where the next read of the store goes on; none before the first.
    next: Option<EraTagged<LogOffset>>,
    /// When the store was read last.
    read_at: Option<Instant>,
    /// Whether the store did not answer the last read.
    lost: bool,
    /// Whether the parent answered last and its knowledge was young enough.
    parent_trusted: bool,
    /// When the store may be read in place of other daemons.
    backoff: StoreBackoff,
}

impl ConfigWatch {
    async fn follow(&mut self) {
        loop {
            let core = Arc::clone(&self.core);
            // A reader mostly has what it is told of by the time its own read has ended.
            let news = core.config_source.take_news();
            if let Some((from, _)) = news.filter(|news| core.config().version() < Some(news.1)) {
                self.ask(from).await;
                continue;
            }
            match core.config_source.plan().parent {
                Some(parent) if self.next.is_some() => {
                    self.follow_parent(parent).await;
                    let pause = ASK_INTERVAL.mul_f32(rand::rng().random_range(0.8..1.2));
                    self.pause(pause).await;
                }
                Some(_) | None if core.table().is_none() => self.read_first().await,
                // Where the log stands is told by the store whoever reads it later.
                Some(_) | None => self.read_on(READ_WAIT).await,
            }
        }
    }

    /// Reads the store, or asks another daemon if one is known before the store answers.
    async fn read_first(&mut self) {
        let core = Arc::clone(&self.core);
        tokio::select! {
            () = self.read_on(READ_WAIT) => {}
            () = core.config_source.woken.notified() => self.ask_anybody().await,
        }
    }

    /// Waits for `time`, or until there are news or another place.
    async fn pause(&self, time: Duration) {
        tokio::select! {
            () = sleep(time) => {}
            () = self.core.config_source.woken.notified() => {}
        }
    }

    /// Asks the parent, then another daemon, then the store, until one's knowledge is young.
    async fn follow_parent(&mut self, parent: DaemonId) {
        let answered = self.ask(parent).await;
        let age = self.core.config_source.confirmed_age(self.core.clock.now());
        let trusted = answered && self.is_confirmed();
        if self.parent_trusted != trusted {
            self.parent_trusted = trusted;
            let age_ms = age.unwrap_or_default().as_millis() as u64;
            log::info!(parent:% = parent, answered, age_ms, trusted; "source of the configuration");
        }
        if !trusted {
            self.ask_anybody().await;
        }
        if !self.is_confirmed() && self.backoff.is_over(self.core.clock.now()) {
            self.read_on(Duration::ZERO).await;
        }
    }

    /// Whether the store confirmed a short time ago what is in force.
    fn is_confirmed(&self) -> bool {
        let age = self.core.config_source.confirmed_age(self.core.clock.now());
        let bound = max_source_age(self.core.settings.config_apply_limit);
        age.is_some_and(|age| age <= bound)
    }

    /// Reads the store once, and again soon if that fails.
    async fn read_on(&mut self, wait: Duration) {
        let begun = self.core.clock.now();
        let store = &self.core.store;
        let recent = self
            .read_at
            .is_some_and(|at| begun.saturating_duration_since(at) < CATCH_UP_TIME);
        // Offsets of an earlier era are given out again for other records.
        let latest = self.core.store_eras().latest();
        let from = self.next.filter(|mark| recent && mark.is_current(latest));
        let from = from.map(|mark| mark.value);
        // A store that was lost is asked for what it has: a read that waits could hang
        // past its return.
        let waits = from.is_some() && !self.lost;
        let waited = if waits { wait } else { Duration::ZERO };
        let read = match from {
            None => store.newest_config().await,
            Some(from) => store.next_config(from, waited).await,
        };
        match read {
            Ok(page) => {
                self.core.metrics.set_store_up(true);
                self.read_at = Some(begun);
                self.backoff.on_answered();
                if std::mem::take(&mut self.lost) {
                    log::info!("store regained");
                }
                if self.core.observe_store_era(page.era) {
                    log::info!("answer of an earlier era of the store; reading again");
                    return;
                }
                let crossed = self.next.is_some_and(|mark| !mark.is_current(page.era));
                if from.is_some() && crossed {
                    // The offset belonged to an earlier era: records before it may be missing.
                    self.next = None;
                    return;
                }
                self.next = Some(EraTagged {
                    value: page.next,
                    era: page.era,
                });
                let found = page.newest.is_some();
                if let Some(config) = page.newest {
                    self.take(ConfigUpdate::Whole(Arc::new(config)), "store");
                }
                // An answer without records proves what held when the wait had ended, one
                // with records only what held when the read began.
                let proven = if found { begun } else { begun + waited };
                self.core
                    .config_source
                    .confirm(proven.min(self.core.clock.now()));
                if found {
                    self.pause(READ_PACE).await;
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
                if !std::mem::replace(&mut self.lost, true) {
                    log::warn!(cause:% = error; "store lost");
                }
                self.ask_anybody().await;
                self.pause(RETRY_PAUSE).await;
            }
        }
    }

    /// Asks any other daemon.
    async fn ask_anybody(&self) {
        let peers = self.core.peers();
        let chosen = peers.keys().choose(&mut rand::rng()).copied();
        if let Some(id) = chosen {
            self.ask(id).await;
        }
    }

    /// Asks another daemon for a newer configuration; whether it answered.
    async fn ask(&self, id: DaemonId) -> bool {
        let Some(address) = self.core.peers().get(&id).copied() else {
            return false;
        };
        let begun = self.core.clock.now();
        let answer = match ask_peer(&self.core, address).await {
            Ok(answer) => answer,
            Err(detail) => {
                log::debug!(peer:% = id, cause = &*detail; "peer did not tell its configuration");
                return false;
            }
        };
        self.core.observe_store_era(answer.era);
        if let Some(update) = answer.update {
            self.take(update, "peer");
        }
        if let Some(at) = answer.age.and_then(|age| begun.checked_sub(age)) {
            self.core.config_source.confirm(at);
        }
        true
    }

    /// Puts `update` in force if it is newer, and tells those who hear from here.
    fn take(&self, update: ConfigUpdate, source: &str) {
        let version = update.version();
        let taken = self.core.config().update(update);
        match taken {
            Ok(Some(table)) => {
                log::info!(
                    version:% = version, source, routes = table.config().routes.len();
                    "configuration in force"
                );
                // Routes that are no more get no requests.
                self.core.throttle().evict_idle();
                self.core.routing_changed.notify_waiters();
                self.tell_news();
            }
            Ok(None) => log::debug!(version:% = version, source; "configuration is not newer"),
            Err(error) => {
                log::error!(version:% = version, source, cause:% = error; "configuration refused");
            }
        }
    }

    fn tell_news(&self) {
        let Some(version) = self.core.config().version() else {
            return;
        };
        let head = PeerRequest::News {
            from: self.core.id,
            version,
        };
        let peers = self.core.peers();
        let told = self.core.config_source.plan().receivers;
        for address in told.iter().filter_map(|id| peers.get(id)) {
            self.core.send_message(*address, &head);
        }
    }
}

async fn ask_peer(core: &ProxyCore, address: SocketAddr) -> Result<ConfigAnswer, Box<str>> {
    let have = core.config().version();
    let question = PeerRequest::Config { have };
    let asking = core.pool.ask::<ConfigAnswer>(address, &question);
    match timeout(ASK_TIMEOUT, asking).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(error)) => Err(error.to_string().into()),
        Err(elapsed) => Err(elapsed.to_string().into()),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
