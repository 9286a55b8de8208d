//! What came of the calls that a home began or took over.

use std::sync::Arc;

use super::entry::KeyState;
use super::keys::KeyHome;
use super::shard::{SettleEffect, ShardId};
use super::verdict::{HandedOutcome, KeySettlement, RunOutcome, RunTicket};
use crate::key::KeyDigest;
use crate::lease::HolderId;

impl KeyHome {
    /// Records what came of a call.
    ///
    /// Of a sealed book the outcome also goes to the book's next home, after
    /// the book's pages.
    pub fn settle(&mut self, ticket: RunTicket, outcome: RunOutcome) -> Option<HandedOutcome> {
        if !self.apply_outcome(ticket, &outcome) {
            return None;
        }
        self.pass_on(KeySettlement { ticket, outcome })
    }

    /// Takes an outcome from the home that handed the book over.
    pub fn on_settlement(&mut self, settlement: KeySettlement) -> Option<HandedOutcome> {
        let KeySettlement { ticket, outcome } = settlement;
        let handed = ticket.shard;
        if let Some(staged) = self.staged.get_mut(&handed) {
            let gone = staged
                .shard
                .settle(ticket.digest, &outcome, KeyState::RunningElsewhere);
            self.keep_answer(ticket.digest, gone, &outcome);
            return None;
        }
        let shard = self.taken_over(handed, ticket.digest)?;
        let ticket = RunTicket { shard, ..ticket };
        let target = self.shards.get_mut(&shard)?;
        let settled = target.settle(ticket.digest, &outcome, KeyState::RunningElsewhere);
        self.keep_answer(ticket.digest, settled, &outcome);
        settled?;
        self.pass_on(KeySettlement { ticket, outcome })
    }

    /// The book in which a handed call stands; a range's goes on under later epochs.
    fn taken_over(&self, handed: ShardId, digest: KeyDigest) -> Option<ShardId> {
        let ShardId::Range(term) = handed else {
            return self.shards.contains_key(&handed).then_some(handed);
        };
        let awaits = |state| matches!(state, KeyState::RunningElsewhere | KeyState::Lost);
        let found = self.range_shards(term.range).find(|(_, shard)| {
            let entry = shard.entries.get(&digest);
            entry.is_some_and(|entry| awaits(entry.state))
        });
        found.map(|(id, _)| *id)
    }

    /// Takes note that a daemon's run is over: what it began and never settled is lost.
    pub fn on_holder_gone(&mut self, holder: HolderId) {
        for shard in self.shards.values_mut() {
            if shard.predecessor == Some(holder) {
                shard.mark_elsewhere_lost();
            }
        }
        for staged in self.staged.values_mut() {
            if staged.from == holder {
                staged.shard.mark_elsewhere_lost();
            }
        }
    }

    fn apply_outcome(&mut self, ticket: RunTicket, outcome: &RunOutcome) -> bool {
        let Some(shard) = self.shards.get_mut(&ticket.shard) else {
            return false;
        };
        let settled = shard.settle(ticket.digest, outcome, KeyState::Running);
        self.keep_answer(ticket.digest, settled, outcome);
        settled.is_some()
    }

    fn keep_answer(
        &mut self,
        digest: KeyDigest,
        settled: Option<SettleEffect>,
        outcome: &RunOutcome,
    ) {
        match (settled, outcome) {
            (Some(SettleEffect::Removed), _) => self.key_count -= 1,
            (Some(SettleEffect::Kept), RunOutcome::Done(answer)) => {
                self.answers.put(digest, Arc::clone(answer));
            }
            _ => {}
        }
    }

    fn pass_on(&self, settlement: KeySettlement) -> Option<HandedOutcome> {
        let to = self.shards.get(&settlement.ticket.shard)?.successor?;
        Some(HandedOutcome { to, settlement })
    }
}
