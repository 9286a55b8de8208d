//! Where the home of a key is.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use model::{ErrorKind, SharedClock};
use serde::{Deserialize, Serialize};

use crate::home::KeyRefusal;
use crate::key::{CallKey, KeyDigest};
use crate::lease::{HolderId, LeaseView};
use crate::proof::RunProof;

/// Most issuers whose keys were handed over.
const MAX_MOVED: usize = 4096;
/// Longest chain of homes that handed keys on.
const MAX_HOPS: usize = 64;

/// Whether a run of a daemon can be reached, as the members say.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HolderStatus {
    /// It is present.
    Present,
    /// It does not answer, but may be alive.
    Unreachable,
    /// A later incarnation was seen, or it was dead for longer than keys are admitted.
    Gone,
}

/// Where a call with a key goes.
#[derive(Clone, Debug, PartialEq)]
pub enum HomeAnswer {
    /// To the home of this daemon.
    Local,
    /// To another daemon's home.
    Remote(HolderId),
    /// Nowhere; answer with the refusal.
    Refused(KeyRefusal),
}

/// Tells daemons that an issuer's keys have another home.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct IssuerMove {
    /// Who issued the keys.
    pub issuer: HolderId,
    /// Who decides about them now.
    pub successor: HolderId,
}

/// Finds the homes of keys; every proxy has one.
#[derive(Debug)]
pub struct KeyRouter {
    me: HolderId,
    clock: SharedClock,
    keep: Duration,
    view: LeaseView,
    moved: HashMap<HolderId, (HolderId, Instant)>,
}

impl KeyRouter {
    /// A router that knows no range's holder yet.
    ///
    /// `keep` is how long a move of issued keys is remembered: no shorter than
    /// keys are admitted.
    pub fn new(me: HolderId, keep: Duration, clock: SharedClock) -> Self {
        Self {
            me,
            clock,
            keep,
            view: LeaseView::default(),
            moved: HashMap::new(),
        }
    }

    /// The holders as far as they are known, to be passed on.
    pub fn view(&self) -> &LeaseView {
        &self.view
    }

    /// Takes a view from this daemon's keeper or from a peer; returns whether it is newer.
    pub fn on_view(&mut self, view: LeaseView) -> bool {
        let newer = view.next > self.view.next && view.is_valid();
        if newer {
            self.view = view;
        }
        newer
    }

    /// Takes note that an issuer's keys moved; returns whether that is new.
    ///
    /// A leaving home hands all issued keys, its own and those it took over, to
    /// one successor, so that following the moves from run to run finds them.
    pub fn on_move(&mut self, change: IssuerMove) -> bool {
        let now = self.clock.now();
        let keep = self.keep;
        self.moved
            .retain(|_, (_, seen)| now.saturating_duration_since(*seen) < keep);
        if self.moved.len() >= MAX_MOVED || self.moved.contains_key(&change.issuer) {
            return false;
        }
        self.moved.insert(change.issuer, (change.successor, now));
        true
    }

    /// Every move that is remembered, for a daemon that has just joined.
    pub fn moves(&self) -> impl Iterator<Item = IssuerMove> {
        self.moved
            .iter()
            .map(|(issuer, (successor, _))| IssuerMove {
                issuer: *issuer,
                successor: *successor,
            })
    }

    /// Where the call with `key` goes; `status_of` asks the members.
    pub fn home_of(
        &self,
        key: &CallKey,
        digest: KeyDigest,
        status_of: impl Fn(HolderId) -> HolderStatus,
    ) -> HomeAnswer {
        let home = match key {
            CallKey::Issued(key) => Some(self.follow_moves(key.issuer)),
            CallKey::Caller(_) => self.view.row(digest.range()).map(|row| row.holder),
        };
        let Some(home) = home else {
            return unavailable("no home holds the key's range");
        };
        if home == self.me {
            return HomeAnswer::Local;
        }
        match (status_of(home), key) {
            (HolderStatus::Present, _) => HomeAnswer::Remote(home),
            (HolderStatus::Gone, CallKey::Issued(_)) => HomeAnswer::Refused(KeyRefusal::new(
                ErrorKind::KeyClosed,
                RunProof::MayHaveRun,
                "the key's home is gone; the call never runs again",
            )),
            _ => unavailable("the key's home cannot be reached"),
        }
    }

    fn follow_moves(&self, issuer: HolderId) -> HolderId {
        let mut home = issuer;
        for _ in 0..MAX_HOPS {
            match self.moved.get(&home) {
                Some((successor, _)) => home = *successor,
                None => break,
            }
        }
        home
    }
}

fn unavailable(detail: &str) -> HomeAnswer {
    HomeAnswer::Refused(KeyRefusal::new(
        ErrorKind::HomeUnavailable,
        RunProof::SendingNotRun,
        detail,
    ))
}
