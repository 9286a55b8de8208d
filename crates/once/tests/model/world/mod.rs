//! A few daemons, one log and many callers, wired by queues in memory.
//!
//! Messages are delayed at random; daemons may be paused, with or without
//! their clocks, killed, cut off, or asked to leave; the log may be out or
//! lose answers. Everything follows from a seed. After each step of a home the
//! ledger is checked: no call runs twice, what is told to have not run has not.

mod flights;
mod leaving;
mod ledger;
mod log;
mod node;

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

pub use ledger::{CallerAnswer, Ledger};
pub use log::WorldLog;
pub use node::{CALL_DEADLINE, Message, Node};

/// One step of the world.
pub const STEP_MS: u64 = 20;
/// How long keys are admitted and remembered.
pub const WINDOW: Duration = Duration::from_secs(20);
/// A short lease, so that many terms fit into a test.
pub const LEASE: Duration = Duration::from_secs(2);

/// Settings for the short times of the tests.
pub fn lease_settings() -> LeaseSettings {
    LeaseSettings {
        lease: LEASE,
        renew_interval: Duration::from_millis(600),
        skew: Duration::from_millis(500),
        drift_permille: 10,
    }
}

/// Settings for the short times of the tests.
pub fn home_settings() -> HomeSettings {
    HomeSettings {
        window: WINDOW,
        issued_window: WINDOW,
        drift_permille: 10,
        untimed_keys: UntimedKeys::OncePerWindow,
        ..HomeSettings::default()
    }
}

/// A message under way.
struct Parcel {
    arrives: u64,
    from: HolderId,
    to: HolderId,
    message: Message,
}

/// The daemons, the log, and what the callers know.
pub struct World {
    pub now: u64,
    pub rng: SmallRng,
    pub log: WorldLog,
    pub nodes: Vec<Node>,
    pub ledger: Ledger,
    pub cuts: Vec<(usize, usize)>,
    pub latency_ms: u64,
    parcels: Vec<Parcel>,
    moves: Vec<IssuerMove>,
    next_sending: u64,
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
            latency_ms: 40,
            parcels: Vec::new(),
            moves: Vec::new(),
            next_sending: 0,
        }
    }

    /// A world whose ranges all have homes.
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
            self.deliver_parcels(index);
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
        for change in &self.moves {
            node.router.on_move(*change);
        }
        let outgoing = node.step(homes, statuses, &mut self.ledger);
        self.moves.append(&mut node.new_moves);
        let from = node.id;
        for (to, message) in outgoing {
            let delay = self.rng.random_range(1..=self.latency_ms);
            let arrives = self.now + delay;
            self.parcels.push(Parcel {
                arrives,
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

    fn deliver_parcels(&mut self, index: usize) {
        let id = self.nodes[index].id;
        let now = self.now;
        let due = |parcel: &mut Parcel| parcel.to == id && parcel.arrives <= now;
        let mut parcels: Vec<Parcel> = self.parcels.extract_if(.., due).collect();
        parcels.sort_by_key(|parcel| parcel.arrives);
        for parcel in parcels {
            if !self.is_cut(parcel.from, parcel.to) {
                self.nodes[index].on_message(parcel.from, parcel.message, &mut self.ledger);
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
            format!("fd-{}", number % 3).parse().expect("a sound name")
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

    /// Sends a call through the proxy of node `proxy`.
    pub fn send(&mut self, proxy: usize, key: &CallKey) -> u64 {
        self.next_sending += 1;
        let call = call_of(key);
        self.ledger.note_sending(self.next_sending, &call);
        let since = self.nodes[proxy].clock.now();
        self.nodes[proxy]
            .calls
            .push((self.next_sending, call, since));
        self.next_sending
    }

    /// The node whose target the next call goes to, if all are members.
    pub fn next_target(&self) -> usize {
        (self.next_sending as usize + 1) % self.nodes.len()
    }

    /// Sends a call and lets the world run; the answer, if one came.
    pub fn call(&mut self, proxy: usize, key: &CallKey) -> Option<CallerAnswer> {
        let sending = self.send(proxy, key);
        self.run_ms(1500);
        self.ledger.answer(sending)
    }

    /// Sends calls at once and lets the world run; their answers.
    pub fn call_all(&mut self, proxy: usize, keys: &[CallKey]) -> Vec<Option<CallerAnswer>> {
        let sendings: Vec<u64> = keys.iter().map(|key| self.send(proxy, key)).collect();
        self.run_ms(1500);
        let answers = sendings
            .into_iter()
            .map(|sending| self.ledger.answer(sending));
        answers.collect()
    }

    /// Has a home close a key.
    pub fn close(&mut self, node: usize, key: &CallKey) -> CloseVerdict {
        let call = call_of(key);
        let verdict = self.nodes[node].home.close(key, call.digest);
        self.ledger.note_close(call.digest, &verdict);
        verdict
    }

    /// The node that should hold the key, as `proxy` believes.
    pub fn home_of(&self, proxy: usize, key: &CallKey) -> Option<usize> {
        let view = self.nodes[proxy].router.view();
        let range = call_of(key).digest.range();
        view.row(range).map(|row| row.holder.daemon.0 as usize)
    }

    pub fn issue(&mut self, node: usize) -> Option<IssuedKey> {
        self.nodes[node].home.issue()
    }

    /// A key made now by a caller whose clock is `ahead_ms` ahead.
    pub fn timed_key(&mut self, ahead_ms: i64) -> CallKey {
        let time = self.now.saturating_add_signed(ahead_ms);
        let random: u128 = self.rng.random();
        let low = random >> 54 & !(0b11 << 62) | 0b10 << 62;
        let bits = u128::from(time) << 80 | 7 << 76 | low;
        uuid_text(bits).parse().expect("a sound key")
    }

    pub fn untimed_key(&mut self) -> CallKey {
        let number: u64 = self.rng.random();
        format!("pay-{number:x}").parse().expect("a sound key")
    }

    pub fn pause(&mut self, node: usize, span_ms: u64, clock_stops: bool) {
        let until = self.now + span_ms;
        self.nodes[node].pause(self.now, until, clock_stops);
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].alive = false;
    }

    /// Starts the daemon anew, remembering nothing.
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
    "agency".parse().expect("a sound name")
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
