//! Lookup of the home of a key.
//!
//! Every proxy routes by the lease holders from a [`LeaseView`] and by the
//! moves of issued keys that leaving daemons announced.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use model::{ErrorKind, SharedClock};
use serde::{Deserialize, Serialize};

use crate::home::KeyRefusal;
use crate::key::{CallKey, KeyDigest};
use crate::lease::{HolderId, LeaseView};
use crate::proof::RunProof;

/// Maximum number of issuers whose moves are remembered.
const MAX_MOVED_ISSUERS: usize = 4096;
/// Maximum number of moves that are followed for one key.
const MAX_HOPS: usize = 64;

/// Reachability of a daemon run, by the member list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HolderStatus {
    /// It is a live member.
    Present,
    /// It does not answer, but may be alive.
    Unreachable,
    /// A later incarnation is known, or it has been dead for longer than keys are admitted.
    Gone,
}

/// Result of looking up the home of a key.
#[derive(Clone, Debug, PartialEq)]
pub enum HomeAnswer {
    /// This daemon is the home.
    Local,
    /// Another daemon is the home.
    Remote(HolderId),
    /// No home can take the call; answer with the refusal.
    Refused(KeyRefusal),
}

/// Announces that an issuer's keys moved to another home.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct IssuerMove {
    /// Daemon run that issued the keys.
    pub issuer: HolderId,
    /// Daemon run that decides about them now.
    pub successor: HolderId,
}

/// Finds the homes of keys.
#[derive(Debug)]
pub struct KeyRouter {
    me: HolderId,
    clock: SharedClock,
    retention: Duration,
    view: LeaseView,
    moves_by_issuer: HashMap<HolderId, (HolderId, Instant)>,
}

impl KeyRouter {
    /// Creates a router that does not know the holder of any range yet.
    ///
    /// `retention` is how long a move of issued keys is remembered; it must be
    /// at least as long as keys are admitted.
    pub fn new(me: HolderId, retention: Duration, clock: SharedClock) -> Self {
        Self {
            me,
            clock,
            retention,
            view: LeaseView::default(),
            moves_by_issuer: HashMap::new(),
        }
    }

    /// Returns the latest known holders, for sending to other daemons.
    pub fn view(&self) -> &LeaseView {
        &self.view
    }

    /// Adopts a view from this daemon's keeper or from a peer; returns whether it was newer.
    pub fn on_view(&mut self, view: LeaseView) -> bool {
        let newer = view.next > self.view.next && view.is_valid();
        if newer {
            self.view = view;
        }
        newer
    }

    /// Records that an issuer's keys moved; returns false if that was known or the table is full.
    ///
    /// A leaving home hands all issued keys, its own and those it took over, to
    /// one successor, so following the moves from run to run finds every key.
    pub fn on_move(&mut self, issuer_move: IssuerMove) -> bool {
        let now = self.clock.now();
        let retention = self.retention;
        self.moves_by_issuer
            .retain(|_, (_, seen)| now.saturating_duration_since(*seen) < retention);
        if self.moves_by_issuer.len() >= MAX_MOVED_ISSUERS
            || self.moves_by_issuer.contains_key(&issuer_move.issuer)
        {
            return false;
        }
        self.moves_by_issuer
            .insert(issuer_move.issuer, (issuer_move.successor, now));
        true
    }

    /// Returns every remembered move, for a daemon that has just joined.
    pub fn moves(&self) -> impl Iterator<Item = IssuerMove> {
        self.moves_by_issuer
            .iter()
            .map(|(issuer, (successor, _))| IssuerMove {
                issuer: *issuer,
                successor: *successor,
            })
    }

    /// Looks up the home of `key`; `status_of` returns a member's reachability.
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
            match self.moves_by_issuer.get(&home) {
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
