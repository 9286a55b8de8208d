//! Planned shutdown of a daemon, which hands its keys over first.

use std::time::{Duration, Instant};

use crate::once::home::{HandedOutcome, ShardId};
use crate::once::{HandoverPage, HolderId, IssuerMove, StageAnswer};
use model::ClockPort;

use super::node::{Message, Node};

/// A shard that is being sent to its next home.
pub(super) struct ShardHandover {
    pub(super) pages: Vec<HandoverPage>,
    pub(super) to: HolderId,
    pub(super) complete: bool,
    pub(super) sent: Instant,
    pub(super) next: usize,
}

impl Node {
    pub(super) fn hand_over(&mut self) {
        // The handover starts once this daemon is no longer one of the homes.
        if self.peers.is_empty() || self.peers.contains(&self.id) {
            return;
        }
        for (to, terms) in self.keeper.terms_to_hand_over() {
            for term in terms {
                self.hand_over_shard(ShardId::Range(term), to);
            }
        }
        let successor = self.peers[0];
        for shard in self.home.shards_to_hand_over() {
            if matches!(shard, ShardId::Issuer(_)) {
                self.hand_over_shard(shard, successor);
            }
        }
        self.send_pages();
        self.send_outcomes();
        let done = self.handovers.values().all(|handover| handover.complete);
        let idle = self.pending_calls.is_empty()
            && self.running.is_empty()
            && self.unsent_outcomes.is_empty();
        let sent = self.outbox.is_empty() && self.calls.is_empty();
        if done && idle && sent && self.keeper.held().next().is_none() {
            self.alive = false;
        }
    }

    fn hand_over_shard(&mut self, shard: ShardId, to: HolderId) {
        if self.handovers.contains_key(&shard) {
            return;
        }
        let Ok(pages) = self.home.seal(shard, to) else {
            return;
        };
        let handover = ShardHandover {
            pages,
            to,
            complete: false,
            sent: self.clock.now(),
            next: 0,
        };
        self.handovers.insert(shard, handover);
        self.send_page(shard);
    }

    fn send_page(&mut self, shard: ShardId) {
        let now = self.clock.now();
        if let Some(handover) = self.handovers.get_mut(&shard)
            && let Some(page) = handover.pages.get(handover.next)
        {
            handover.sent = now;
            self.outbox.push((handover.to, Message::Page(page.clone())));
        }
    }

    /// Resends pages that were not answered for 1 s.
    fn send_pages(&mut self) {
        let now = self.clock.now();
        let unanswered = |handover: &ShardHandover| {
            !handover.complete
                && now.saturating_duration_since(handover.sent) > Duration::from_secs(1)
        };
        let shards: Vec<ShardId> = self
            .handovers
            .iter()
            .filter(|(_, handover)| unanswered(handover))
            .map(|(shard, _)| *shard)
            .collect();
        for shard in shards {
            self.send_page(shard);
        }
    }

    pub(super) fn on_staged(&mut self, shard: ShardId, answer: StageAnswer) {
        let Some(handover) = self.handovers.get_mut(&shard) else {
            return;
        };
        match answer {
            StageAnswer::Next(number) => {
                handover.next = number as usize;
                self.send_page(shard);
            }
            StageAnswer::Whole if !handover.complete => {
                handover.complete = true;
                let to = handover.to;
                match shard {
                    ShardId::Range(term) => {
                        self.keeper.release([term].into_iter().collect(), to);
                    }
                    ShardId::Issuer(issuer) => self.new_moves.push(IssuerMove {
                        issuer,
                        successor: to,
                    }),
                }
                self.send_outcomes();
            }
            StageAnswer::Whole => {}
        }
    }

    /// Sends the outcomes whose shards have been handed over completely.
    pub(super) fn send_outcomes(&mut self) {
        let handovers = &self.handovers;
        let complete = |unsent: &mut HandedOutcome| {
            let handover = handovers.get(&unsent.settlement.ticket.shard);
            handover.is_some_and(|handover| handover.complete)
        };
        for unsent in self.unsent_outcomes.extract_if(.., complete) {
            self.outbox
                .push((unsent.to, Message::Settled(unsent.settlement)));
        }
    }
}
