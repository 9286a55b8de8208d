//! What this daemon knows of idempotency keys, permits and poison requests.
//!
//! Holds the state machines of `once` behind one lock each: the home of keys,
//! permits held and issued, the way to other homes, and crashes of targets.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use model::{DaemonId, IncarnationNumber};
use model::{ErrorKind, KindError, SharedClock};
use once::permit::PermitSettings;
use once::poison::PoisonSettings;
use once::router::HolderStatus;
use once::{
    CallKey, HolderId, HomeAnswer, HomeSettings, KeyDigest, KeyHome, KeyRouter, PermitIssuer,
    PermitPool, PoisonDetector, UntimedKeys,
};

/// Runs of live daemons.
pub type LiveIncarnations = BTreeMap<DaemonId, IncarnationNumber>;

/// Keys, permits and poison requests at one daemon.
#[derive(Debug)]
pub struct OnceState {
    /// This run of the daemon.
    pub me: HolderId,
    home: Mutex<KeyHome>,
    permit_pool: Mutex<PermitPool>,
    issuer: Mutex<PermitIssuer>,
    router: Mutex<KeyRouter>,
    poison: Mutex<PoisonDetector>,
    reporting: tokio::sync::Mutex<()>,
}

impl OnceState {
    /// A desk that knows nothing yet.
    pub fn new(me: HolderId, untimed_keys: UntimedKeys, clock: &SharedClock) -> Self {
        let settings = HomeSettings {
            untimed_keys,
            ..HomeSettings::default()
        };
        let shared = || Arc::clone(clock);
        Self {
            me,
            router: Mutex::new(KeyRouter::new(me, settings.issued_window, shared())),
            home: Mutex::new(KeyHome::new(me, settings, shared())),
            permit_pool: Mutex::new(PermitPool::new(me, shared())),
            issuer: Mutex::new(PermitIssuer::new(me, PermitSettings::default(), shared())),
            poison: Mutex::new(PoisonDetector::new(me, PoisonSettings::default(), shared())),
            reporting: tokio::sync::Mutex::default(),
        }
    }

    /// The home of keys.
    pub fn home(&self) -> MutexGuard<'_, KeyHome> {
        self.home.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Permits held for calls from here.
    pub fn permit_pool(&self) -> MutexGuard<'_, PermitPool> {
        self.permit_pool
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Permits issued for the targets beside this daemon.
    pub fn issuer(&self) -> MutexGuard<'_, PermitIssuer> {
        self.issuer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The way to the homes of keys.
    pub fn router(&self) -> MutexGuard<'_, KeyRouter> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests that crash targets.
    pub fn poison(&self) -> MutexGuard<'_, PoisonDetector> {
        self.poison.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Held while daemons are told of a crash; requests that share it wait for it.
    pub fn reporting(&self) -> &tokio::sync::Mutex<()> {
        &self.reporting
    }

    /// Where a call with `key` is decided, given the runs of live daemons.
    pub fn home_of(&self, key: &CallKey, digest: KeyDigest, runs: &LiveIncarnations) -> HomeAnswer {
        self.router()
            .home_of(key, digest, |holder| status_of(holder, runs))
    }

    /// Issues a key that this daemon decides about.
    ///
    /// Kinds: `Draining`.
    pub fn issue(&self) -> model::Result<CallKey> {
        let key = self.home().issue();
        let refused = || KindError::new(ErrorKind::Draining, "this daemon hands its keys over");
        key.map(CallKey::Issued).ok_or_else(refused)
    }
}

fn status_of(holder: HolderId, runs: &LiveIncarnations) -> HolderStatus {
    match runs.get(&holder.daemon) {
        Some(run) if *run == holder.incarnation => HolderStatus::Present,
        Some(run) if *run > holder.incarnation => HolderStatus::Gone,
        _ => HolderStatus::Unreachable,
    }
}
