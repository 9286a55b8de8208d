//! Deterministic simulation of a few daemons, one log and many callers.
//!
//! Messages are delayed at random. Daemons may be paused (with or without
//! their clocks), killed, cut off or asked to leave; the log may be unavailable
//! or lose answers. Everything is derived from a seed. The ledger checks each
//! run and each answer: no call runs twice, and a call that is reported as not
//! run has not run.

mod leaving;
mod ledger;
mod log;
mod node;
mod pending_calls;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::once::home::CloseVerdict;
use crate::once::key::{CallKey, KeyDigest};
use crate::once::lease::{LeaseSettings, pick_homes};
use crate::once::{
    HolderId, HolderStatus, HomeSettings, IssuedKey, IssuerMove, KeyCall, RequestFingerprint,
    UntimedKeys,
};
use model::{ClockPort, CustomerName, DaemonId, DomainName, IncarnationNumber};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub use ledger::{CallAnswer, Ledger};
pub use log::WorldLog;
pub use node::{CALL_DEADLINE, Message, Node};

/// Length of a simulation step in milliseconds.
pub const STEP_MS: u64 = 20;
/// Time for which keys are admitted and remembered.
pub const WINDOW: Duration = Duration::from_secs(20);
/// Length of a lease; short, so that many terms fit into a test.
pub const LEASE: Duration = Duration::from_secs(2);

/// Returns lease settings with short times.
pub fn lease_settings() -> LeaseSettings {
    LeaseSettings {
        lease: LEASE,
        renew_interval: Duration::from_millis(600),
        skew: Duration::from_millis(500),
        drift_permille: 10,
    }
}

/// Returns home settings with short times.
pub fn home_settings() -> HomeSettings {
    HomeSettings {
        window: WINDOW,
        issued_window: WINDOW,
        drift_permille: 10,
        untimed_keys: UntimedKeys::OncePerWindow,
        ..HomeSettings::default()
    }
}

/// A message in transit.
struct QueuedMessage {
    delivered_at: u64,
    from: HolderId,
    to: HolderId,
    message: Message,
}

/// State of the simulation: daemons, log, messages in transit and the ledger.
pub struct World {
    pub now: u64,
    pub rng: SmallRng,
    pub log: WorldLog,
    pub nodes: Vec<Node>,
    pub ledger: Ledger,
    pub cuts: Vec<(usize, usize)>,
    pub max_latency_ms: u64,
    queue: Vec<QueuedMessage>,
    moves: Vec<IssuerMove>,
    next_attempt: u64,
}

impl World {
    pub fn new(seed: u64, nodes: usize) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let nodes = (0..nodes as u64)
            .map(|number| Node::start(holder(number, 1), rng.random()))
            .collect();
        Self {
            now: 1_000_000,
            rng,
            log: WorldLog::default(),
            nodes,
            ledger: Ledger::default(),
            cuts: Vec::new(),
            max_latency_ms: 40,
            queue: Vec::new(),
            moves: Vec::new(),
            next_attempt: 0,
        }
    }

    /// Creates a world and runs it until all ranges have homes.
    pub fn settled(seed: u64, nodes: usize) -> Self {
        let mut world = Self::new(seed, nodes);
        world.run_ms(3000);
        world
    }

    pub fn run_ms(&mut self, span: u64) {
        for _ in 0..span / STEP_MS {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        self.log.step(self.now);
        let homes = self.wanted_homes();
        let statuses = self.statuses();
        for index in 0..self.nodes.len() {
            self.nodes[index].advance(self.now);
            if !self.nodes[index].is_awake(self.now) {
                continue;
            }
            self.deliver_log(index);
            self.deliver_messages(index);
            self.step_node(index, &homes, &statuses);
        }
    }

    fn step_node(
        &mut self,
        index: usize,
        homes: &[HolderId],
        statuses: &BTreeMap<HolderId, HolderStatus>,
    ) {
        let node = &mut self.nodes[index];
        for issuer_move in &self.moves {
            node.router.on_move(*issuer_move);
        }
        let outgoing = node.step(homes, statuses, &mut self.ledger);
        self.moves.append(&mut node.new_moves);
        let from = node.id;
        for (to, message) in outgoing {
            let delay = self.rng.random_range(1..=self.max_latency_ms);
            let delivered_at = self.now + delay;
            self.queue.push(QueuedMessage {
                delivered_at,
                from,
                to,
                message,
            });
        }
        let connected = self.log.is_reachable(index);
        let node = &mut self.nodes[index];
        for request in node.take_log_requests() {
            self.log
                .submit(index, from, request, connected, self.now, &mut self.rng);
        }
    }

    fn deliver_log(&mut self, index: usize) {
        let id = self.nodes[index].id;
        for answer in self.log.answers_for(id, self.now) {
            self.nodes[index].on_log_answer(answer);
        }
    }

    fn deliver_messages(&mut self, index: usize) {
        let id = self.nodes[index].id;
        let now = self.now;
        let due = |queued: &mut QueuedMessage| queued.to == id && queued.delivered_at <= now;
        let mut queue: Vec<QueuedMessage> = self.queue.extract_if(.., due).collect();
        queue.sort_by_key(|queued| queued.delivered_at);
        for queued in queue {
            if !self.is_cut(queued.from, queued.to) {
                self.nodes[index].on_message(queued.from, queued.message, &mut self.ledger);
            }
        }
    }

    fn is_cut(&self, from: HolderId, to: HolderId) -> bool {
        let pair = (from.daemon.0 as usize, to.daemon.0 as usize);
        self.cuts.contains(&pair) || self.cuts.contains(&(pair.1, pair.0))
    }

    fn wanted_homes(&self) -> Vec<HolderId> {
        let staying = self.nodes.iter().filter(|node| node.is_member(self.now));
        let domain = |number: u64| -> DomainName {
            format!("fd-{}", number % 3).parse().expect("a valid name")
        };
        let members: Vec<(DomainName, HolderId)> = staying
            .map(|node| (domain(node.id.daemon.0), node.id))
            .collect();
        pick_homes(&members)
    }

    fn statuses(&self) -> BTreeMap<HolderId, HolderStatus> {
        let mut statuses = BTreeMap::new();
        for node in &self.nodes {
            for incarnation in 1..node.id.incarnation.0 {
                let earlier = holder(node.id.daemon.0, incarnation);
                statuses.insert(earlier, HolderStatus::Gone);
            }
            let status = if node.alive {
                HolderStatus::Present
            } else {
                HolderStatus::Unreachable
            };
            statuses.insert(node.id, status);
        }
        statuses
    }

    /// Sends a call through the proxy of node `proxy`; returns the number of the attempt.
    pub fn send(&mut self, proxy: usize, key: &CallKey) -> u64 {
        self.next_attempt += 1;
        let call = call_of(key);
        self.ledger.record_attempt(self.next_attempt, &call);
        let since = self.nodes[proxy].clock.now();
        self.nodes[proxy]
            .calls
            .push((self.next_attempt, call, since));
        self.next_attempt
    }

    /// Returns the node whose target the next call goes to, if all nodes are members.
    pub fn next_target(&self) -> usize {
        (self.next_attempt as usize + 1) % self.nodes.len()
    }

    /// Sends a call and runs the world for 1.5 s; returns the answer, if one arrived.
    pub fn call(&mut self, proxy: usize, key: &CallKey) -> Option<CallAnswer> {
        let attempt = self.send(proxy, key);
        self.run_ms(1500);
        self.ledger.answer(attempt)
    }

    /// Sends calls at the same time and runs the world for 1.5 s; returns their answers.
    pub fn call_all(&mut self, proxy: usize, keys: &[CallKey]) -> Vec<Option<CallAnswer>> {
        let attempts: Vec<u64> = keys.iter().map(|key| self.send(proxy, key)).collect();
        self.run_ms(1500);
        let answers = attempts
            .into_iter()
            .map(|attempt| self.ledger.answer(attempt));
        answers.collect()
    }

    /// Closes a key at the home of `node`.
    pub fn close(&mut self, node: usize, key: &CallKey) -> CloseVerdict {
        let call = call_of(key);
        let verdict = self.nodes[node].home.close(key, call.digest);
        self.ledger.note_close(call.digest, &verdict);
        verdict
    }

    /// Returns the home of the key by the view of `proxy`.
    pub fn home_of(&self, proxy: usize, key: &CallKey) -> Option<usize> {
        let view = self.nodes[proxy].router.view();
        let range = call_of(key).digest.range();
        view.row(range).map(|row| row.holder.daemon.0 as usize)
    }

    pub fn issue(&mut self, node: usize) -> Option<IssuedKey> {
        self.nodes[node].home.issue()
    }

    /// Creates a timed key of a caller whose clock is `ahead_ms` ahead.
    pub fn timed_key(&mut self, ahead_ms: i64) -> CallKey {
        let time = self.now.saturating_add_signed(ahead_ms);
        let random: u128 = self.rng.random();
        let low = random >> 54 & !(0b11 << 62) | 0b10 << 62;
        let bits = u128::from(time) << 80 | 7 << 76 | low;
        uuid_text(bits).parse().expect("a valid key")
    }

    pub fn untimed_key(&mut self) -> CallKey {
        let number: u64 = self.rng.random();
        format!("pay-{number:x}").parse().expect("a valid key")
    }

    pub fn pause(&mut self, node: usize, span_ms: u64, clock_stops: bool) {
        let until = self.now + span_ms;
        self.nodes[node].pause(self.now, until, clock_stops);
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].alive = false;
    }

    /// Restarts the daemon under a new incarnation and without its state.
    pub fn restart(&mut self, node: usize) {
        let id = self.nodes[node].id;
        let seed = self.rng.random();
        self.nodes[node] = Node::start(holder(id.daemon.0, id.incarnation.0 + 1), seed);
        for other in self.nodes.iter_mut().filter(|other| other.alive) {
            other.home.on_holder_gone(id);
        }
    }

    pub fn leave(&mut self, node: usize) {
        self.nodes[node].leaving = true;
    }

    pub fn alive(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|index| self.nodes[*index].alive)
            .collect()
    }
}

pub fn holder(daemon: u64, incarnation: u64) -> HolderId {
    HolderId::new(DaemonId(daemon), IncarnationNumber(incarnation))
}

pub fn customer() -> CustomerName {
    "agency".parse().expect("a valid name")
}

pub fn call_of(key: &CallKey) -> KeyCall {
    KeyCall {
        key: key.clone(),
        digest: KeyDigest::of(&customer(), key),
        fingerprint: RequestFingerprint(7),
    }
}

fn uuid_text(bits: u128) -> String {
    let hex = format!("{bits:032x}");
    let parts = [
        &hex[..8],
        &hex[8..12],
        &hex[12..16],
        &hex[16..20],
        &hex[20..],
    ];
    parts.join("-")
}
