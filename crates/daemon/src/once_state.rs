//! State of idempotency keys, permits and requests that crash targets, at one daemon.
//!
//! Holds the state machines of the `once` crate, each behind its own lock: the key home, the
//! permits held and issued, the router to other homes, and the detector of requests that
//! crash targets.

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

/// Incarnations of live daemons.
pub type LiveIncarnations = BTreeMap<DaemonId, IncarnationNumber>;

/// State machines for keys, permits and requests that crash targets.
#[derive(Debug)]
pub struct OnceState {
    /// Id and incarnation of this daemon.
    pub own_id: HolderId,
    home: Mutex<KeyHome>,
    permit_pool: Mutex<PermitPool>,
    issuer: Mutex<PermitIssuer>,
    router: Mutex<KeyRouter>,
    poison: Mutex<PoisonDetector>,
    crash_report_lock: tokio::sync::Mutex<()>,
}

impl OnceState {
    /// Returns the state of a daemon that starts.
    pub fn new(me: HolderId, untimed_keys: UntimedKeys, clock: &SharedClock) -> Self {
        let settings = HomeSettings {
            untimed_keys,
            ..HomeSettings::default()
        };
        let shared = || Arc::clone(clock);
        Self {
            own_id: me,
            router: Mutex::new(KeyRouter::new(me, settings.issued_window, shared())),
            home: Mutex::new(KeyHome::new(me, settings, shared())),
            permit_pool: Mutex::new(PermitPool::new(me, shared())),
            issuer: Mutex::new(PermitIssuer::new(me, PermitSettings::default(), shared())),
            poison: Mutex::new(PoisonDetector::new(me, PoisonSettings::default(), shared())),
            crash_report_lock: tokio::sync::Mutex::default(),
        }
    }

    /// Returns the key home.
    pub fn home(&self) -> MutexGuard<'_, KeyHome> {
        self.home.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the permits held for calls that this daemon sends.
    pub fn permit_pool(&self) -> MutexGuard<'_, PermitPool> {
        self.permit_pool
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the issuer of permits for this daemon's targets.
    pub fn issuer(&self) -> MutexGuard<'_, PermitIssuer> {
        self.issuer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the router that finds the home of a key.
    pub fn router(&self) -> MutexGuard<'_, KeyRouter> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the detector of requests that crash targets.
    pub fn poison(&self) -> MutexGuard<'_, PoisonDetector> {
        self.poison.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the lock that is held while other daemons are informed of a crash.
    ///
    /// Other requests that were in flight during the same crash wait for it.
    pub fn crash_report_lock(&self) -> &tokio::sync::Mutex<()> {
        &self.crash_report_lock
    }

    /// Returns the home of `key`, given the incarnations of live daemons.
    pub fn home_of(&self, key: &CallKey, digest: KeyDigest, live: &LiveIncarnations) -> HomeAnswer {
        self.router()
            .home_of(key, digest, |holder| holder_status(holder, live))
    }

    /// Issues a key whose home is this daemon.
    ///
    /// Kinds: `Draining`.
    pub fn issue(&self) -> model::Result<CallKey> {
        let key = self.home().issue();
        let draining =
            || KindError::new(ErrorKind::Draining, "this daemon is handing over its keys");
        key.map(CallKey::Issued).ok_or_else(draining)
    }
}

fn holder_status(holder: HolderId, live: &LiveIncarnations) -> HolderStatus {
    match live.get(&holder.daemon) {
        Some(incarnation) if *incarnation == holder.incarnation => HolderStatus::Present,
        Some(incarnation) if *incarnation > holder.incarnation => HolderStatus::Gone,
        _ => HolderStatus::Unreachable,
    }
}
