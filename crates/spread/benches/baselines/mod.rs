//! Baseline distribution strategies that the distributor is compared with.

use std::time::{Duration, Instant};

use feed::port::{ReadReply, Result as LogResult};
use model::{ClockPort, DaemonId, FakeClock, RecordCount, SharedClock};
use quetzal_spread::{
    FakeReplica, HeadUpdate, LogRead, LogTag, MemberRoster, ReplicaHead, ReplicaPort, SpreadMember,
    SpreadSettings,
};
use rand::Rng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

use crate::harness::Factory;
use crate::harness::actor::{Effect, FleetActor};

/// Maximum time for which the log may hold a long poll.
const POLL_WAIT: Duration = Duration::from_secs(2);

/// Time after which a poll is abandoned.
const POLL_TIMEOUT: Duration = Duration::from_secs(5);

/// Time between two gossip rounds.
const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two announcements of a tree node's head to its children.
const RESEND_INTERVAL: Duration = Duration::from_secs(5);

/// Number of peers that gossip sends a change to at once.
const GOSSIP_FAN_OUT: usize = 2;

/// Number of children of a node in the plain tree.
const TREE_FAN_OUT: usize = 4;

/// Distribution strategy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BaselineStrategy {
    /// Every daemon polls the log.
    PollAll,
    /// One reader per domain with one tree below it.
    PlainTree,
    /// Two readers per domain, with random push and pull over the whole fleet.
    Gossip,
}

/// Message between baseline daemons.
///
/// `answer` in `Head` tells whether the receiver is to send its own head back.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum BaselineMessage {
    Head { head: ReplicaHead, answer: bool },
    Pull { base: ReplicaHead },
    Update(HeadUpdate),
}

type Effects = Vec<Effect<BaselineMessage>>;

/// Daemon that uses a baseline strategy.
pub struct BaselineNode {
    strategy: BaselineStrategy,
    clock: SharedClock,
    rng: SmallRng,
    roster: MemberRoster,
    replica: FakeReplica,
    polled_at: Option<Instant>,
    next_round: Instant,
    tag: LogTag,
}

impl BaselineNode {
    fn head(&self) -> ReplicaHead {
        ReplicaHead::of(&self.replica, 0)
    }

    fn poll(&mut self, effects: &mut Effects) {
        let now = self.clock.now();
        let open = |at: Instant| now.saturating_duration_since(at) < POLL_TIMEOUT;
        if !self.is_log_reader() || self.polled_at.is_some_and(open) {
            return;
        }
        self.polled_at = Some(now);
        self.tag.0 += 1;
        effects.push(Effect::Read(LogRead {
            tag: self.tag,
            stream: SpreadSettings::default().config_stream,
            from: self.replica.next_offset(),
            limit: RecordCount(256),
            wait: POLL_WAIT,
        }));
    }

    fn children(&mut self) -> Vec<DaemonId> {
        let domain = self.roster.own().domain.clone();
        let Some(root) = self.roster.ranked(&domain).first().copied() else {
            return Vec::new();
        };
        self.roster.children(root, TREE_FAN_OUT).to_vec()
    }

    /// Sends the update from `base` to the peers that the strategy selects.
    fn propagate(&mut self, base: &ReplicaHead, effects: &mut Effects) {
        effects.push(Effect::Applied(self.replica.version()));
        let peers = match self.strategy {
            BaselineStrategy::PollAll => Vec::new(),
            BaselineStrategy::PlainTree => self.children(),
            BaselineStrategy::Gossip => (0..GOSSIP_FAN_OUT)
                .filter_map(|_| self.roster.random_peer(&mut self.rng))
                .collect(),
        };
        for to in peers {
            self.send_update(to, base, effects);
        }
    }

    fn send_update(&self, to: DaemonId, base: &ReplicaHead, effects: &mut Effects) {
        if let Some(body) = self.replica.update_since(base) {
            let message = BaselineMessage::Update(HeadUpdate {
                base: *base,
                target: self.head(),
                body,
            });
            effects.push(Effect::Send { to, message });
        }
    }

    fn run_round(&mut self, effects: &mut Effects) {
        let now = self.clock.now();
        if now < self.next_round {
            return;
        }
        let (interval, peers) = match self.strategy {
            BaselineStrategy::PollAll => return,
            BaselineStrategy::PlainTree => (RESEND_INTERVAL, self.children()),
            BaselineStrategy::Gossip => {
                let peer = self.roster.random_peer(&mut self.rng);
                (GOSSIP_INTERVAL, peer.into_iter().collect())
            }
        };
        self.next_round = now + interval.mul_f64(self.rng.random_range(0.75..1.25));
        let head = self.head();
        for to in peers {
            let message = BaselineMessage::Head {
                head,
                answer: self.strategy == BaselineStrategy::Gossip,
            };
            effects.push(Effect::Send { to, message });
        }
    }

    fn handle_head(&self, from: DaemonId, head: &ReplicaHead, answer: bool) -> Effects {
        let own = self.head();
        let message = if head.is_newer_than(&own) {
            BaselineMessage::Pull { base: own }
        } else if answer {
            let answer = false;
            BaselineMessage::Head { head: own, answer }
        } else {
            return Vec::new();
        };
        vec![Effect::Send { to: from, message }]
    }

    fn apply(&mut self, from: DaemonId, update: &HeadUpdate) -> Effects {
        let base = self.head();
        let mut effects = Vec::new();
        if !update.target.is_newer_than(&base) {
            return effects;
        }
        if self.replica.apply_update(&update.body) == Ok(true) {
            self.propagate(&base, &mut effects);
        } else {
            let message = BaselineMessage::Pull { base };
            effects.push(Effect::Send { to: from, message });
        }
        effects
    }
}

impl FleetActor for BaselineNode {
    type Message = BaselineMessage;

    fn tick(&mut self) -> Effects {
        let mut effects = Vec::new();
        self.poll(&mut effects);
        self.run_round(&mut effects);
        effects
    }

    fn message(&mut self, from: DaemonId, message: BaselineMessage) -> Effects {
        match message {
            BaselineMessage::Head { head, answer } => self.handle_head(from, &head, answer),
            BaselineMessage::Pull { base } => {
                let mut effects = Vec::new();
                self.send_update(from, &base, &mut effects);
                effects
            }
            BaselineMessage::Update(update) => self.apply(from, &update),
        }
    }

    fn log_answer(&mut self, tag: LogTag, answer: LogResult<ReadReply>) -> Effects {
        let mut effects = Vec::new();
        if tag != self.tag {
            return effects;
        }
        self.polled_at = None;
        let base = self.head();
        if let Ok(ReadReply::Batch(mut batch)) = answer {
            batch.records.retain(|record| record.offset >= base.next);
            if !batch.records.is_empty() {
                self.replica.fold(&batch.records);
                self.propagate(&base, &mut effects);
            }
        }
        self.poll(&mut effects);
        effects
    }

    fn is_log_reader(&self) -> bool {
        let own = self.roster.own();
        let rank = self.roster.rank_of(own.id).unwrap_or(0);
        match self.strategy {
            BaselineStrategy::PollAll => true,
            BaselineStrategy::PlainTree => rank == 0,
            BaselineStrategy::Gossip => rank < 2,
        }
    }

    fn set_members(&mut self, members: &[SpreadMember]) {
        self.roster.set(members);
    }
}

/// Returns a factory of daemons that use this strategy.
pub fn baseline_factory(strategy: BaselineStrategy) -> Factory<BaselineNode> {
    Box::new(move |clock: &FakeClock, mut rng: SmallRng, member| {
        let first_round = GOSSIP_INTERVAL.mul_f64(rng.random::<f64>());
        BaselineNode {
            strategy,
            clock: clock.shared(),
            rng,
            roster: MemberRoster::new(member.clone()),
            replica: FakeReplica::new(),
            polled_at: None,
            next_round: clock.now() + first_round,
            tag: LogTag::default(),
        }
    })
}
