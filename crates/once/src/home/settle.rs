//! Settlement of the calls that a home began or took over.

use std::sync::Arc;

use super::entry::KeyState;
use super::keys::KeyHome;
use super::shard::{SettleEffect, ShardId};
use super::verdict::{HandedOutcome, KeySettlement, RunOutcome, RunTicket};
use crate::key::KeyDigest;
use crate::lease::HolderId;

impl KeyHome {
    /// Records the outcome of a call.
    ///
    /// If the shard is sealed, returns the outcome for the shard's next home;
    /// it must be sent after the shard's pages.
    pub fn settle(&mut self, ticket: RunTicket, outcome: RunOutcome) -> Option<HandedOutcome> {
        if !self.apply_outcome(ticket, &outcome) {
            return None;
        }
        self.forward_outcome(KeySettlement { ticket, outcome })
    }

    /// Records an outcome received from the home that handed the shard over.
    pub fn on_settlement(&mut self, settlement: KeySettlement) -> Option<HandedOutcome> {
        let KeySettlement { ticket, outcome } = settlement;
        let handed = ticket.shard;
        if let Some(staged) = self.staged.get_mut(&handed) {
            let effect = staged
                .shard
                .settle(ticket.digest, &outcome, KeyState::RunningElsewhere);
            self.apply_effect(ticket.digest, effect, &outcome);
            return None;
        }
        let shard = self.find_handed(handed, ticket.digest)?;
        let ticket = RunTicket { shard, ..ticket };
        let current = self.shards.get_mut(&shard)?;
        let effect = current.settle(ticket.digest, &outcome, KeyState::RunningElsewhere);
        self.apply_effect(ticket.digest, effect, &outcome);
        effect?;
        self.forward_outcome(KeySettlement { ticket, outcome })
    }

    /// Returns the shard that stores a handed call.
    ///
    /// A range's shard has a later epoch at each home that takes it over.
    fn find_handed(&self, handed: ShardId, digest: KeyDigest) -> Option<ShardId> {
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

    /// Marks the unsettled calls of a daemon run that has ended as lost.
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
        let effect = shard.settle(ticket.digest, outcome, KeyState::Running);
        self.apply_effect(ticket.digest, effect, outcome);
        effect.is_some()
    }

    /// Stores the answer of a remembered call, or uncounts a removed key.
    fn apply_effect(
        &mut self,
        digest: KeyDigest,
        effect: Option<SettleEffect>,
        outcome: &RunOutcome,
    ) {
        match (effect, outcome) {
            (Some(SettleEffect::Removed), _) => self.key_count -= 1,
            (Some(SettleEffect::Kept), RunOutcome::Done(answer)) => {
                self.answers.put(digest, Arc::clone(answer));
            }
            _ => {}
        }
    }

    fn forward_outcome(&self, settlement: KeySettlement) -> Option<HandedOutcome> {
        let to = self.shards.get(&settlement.ticket.shard)?.successor?;
        Some(HandedOutcome { to, settlement })
    }
}
