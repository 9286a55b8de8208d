//! A daemon that hands its keys over before it ends.

use std::time::{Duration, Instant};

use crate::once::home::{HandedOutcome, ShardId};
use crate::once::{HandoverPage, HolderId, IssuerMove, StageAnswer};
use model::ClockPort;

use super::node::{Message, Node};

/// A book on its way to its next home.
pub(super) struct Handing {
    pub(super) pages: Vec<HandoverPage>,
    pub(super) to: HolderId,
    pub(super) whole: bool,
    pub(super) sent: Instant,
    pub(super) next: usize,
}

impl Node {
    pub(super) fn hand_over(&mut self) {
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
        self.send_late();
        let done = self.handings.values().all(|handing| handing.whole);
        let idle = self.flights.is_empty() && self.running.is_empty() && self.late.is_empty();
        let sent = self.outbox.is_empty() && self.calls.is_empty();
        if done && idle && sent && self.keeper.held().next().is_none() {
            self.alive = false;
        }
    }

    fn hand_over_shard(&mut self, shard: ShardId, to: HolderId) {
        if self.handings.contains_key(&shard) {
            return;
        }
        let Ok(pages) = self.home.seal(shard, to) else {
            return;
        };
        let handing = Handing {
            pages,
            to,
            whole: false,
            sent: self.clock.now(),
            next: 0,
        };
        self.handings.insert(shard, handing);
        self.send_page(shard);
    }

    fn send_page(&mut self, shard: ShardId) {
        let now = self.clock.now();
        if let Some(handing) = self.handings.get_mut(&shard)
            && let Some(page) = handing.pages.get(handing.next)
        {
            handing.sent = now;
            self.outbox.push((handing.to, Message::Page(page.clone())));
        }
    }

    /// Sends again what was not answered.
    fn send_pages(&mut self) {
        let now = self.clock.now();
        let quiet = |handing: &Handing| {
            !handing.whole && now.saturating_duration_since(handing.sent) > Duration::from_secs(1)
        };
        let shards: Vec<ShardId> = self
            .handings
            .iter()
            .filter(|(_, handing)| quiet(handing))
            .map(|(shard, _)| *shard)
            .collect();
        for shard in shards {
            self.send_page(shard);
        }
    }

    pub(super) fn on_staged(&mut self, shard: ShardId, answer: StageAnswer) {
        let Some(handing) = self.handings.get_mut(&shard) else {
            return;
        };
        match answer {
            StageAnswer::Next(number) => {
                handing.next = number as usize;
                self.send_page(shard);
            }
            StageAnswer::Whole if !handing.whole => {
                handing.whole = true;
                let to = handing.to;
                match shard {
                    ShardId::Range(term) => {
                        self.keeper.release([term].into_iter().collect(), to);
                    }
                    ShardId::Issuer(issuer) => self.new_moves.push(IssuerMove {
                        issuer,
                        successor: to,
                    }),
                }
                self.send_late();
            }
            StageAnswer::Whole => {}
        }
    }

    /// Outcomes follow the pages of their books.
    pub(super) fn send_late(&mut self) {
        let handings = &self.handings;
        let whole = |late: &mut HandedOutcome| {
            let handing = handings.get(&late.settlement.ticket.shard);
            handing.is_some_and(|handing| handing.whole)
        };
        for late in self.late.extract_if(.., whole) {
            self.outbox
                .push((late.to, Message::Settled(late.settlement)));
        }
    }
}
