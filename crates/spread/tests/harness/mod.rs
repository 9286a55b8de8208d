//! Simulation of a fleet: daemons connected by in-memory queues with delay and
//! loss, under a fake clock.
//!
//! Shared by tests, benches and the capacity crate. Machines are not simulated: a
//! message is delivered after the delay between two domains, once or twice, or is
//! lost. The log is a list of records with faults that can be switched on.

#![allow(dead_code, reason = "each user of the harness needs only a part of it")]

pub mod actor;
pub mod log;
mod queue;
mod shape;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use actor::{Effect, FleetActor};
use log::FakeLog;
use model::{ConfigVersion, DaemonId, FakeClock, IncarnationNumber};
use quetzal_spread::{LogAppend, LogRead, SpreadMember};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use queue::{Event, Queued};
pub use shape::{FleetShape, FleetSlot};

/// Overhead of HTTP/2 and the length prefix per message, in bytes.
pub const FRAME_BYTES: u64 = 13;

/// Size of the request and the answer of one log read without records, in bytes.
pub const READ_BYTES: u64 = 300;

/// Time between two ticks of a daemon.
pub const TICK: Duration = Duration::from_millis(100);

/// One-way delay to the log.
const LOG_DELAY: Duration = Duration::from_millis(2);

/// Creates the actor of a member.
pub type Factory<A> = Box<dyn Fn(&FakeClock, SmallRng, &SpreadMember) -> A>;

/// Callback for each alarm and each applied version, with the time and the index of the
/// daemon; used by the golden sessions.
pub type Watcher = Box<dyn FnMut(Duration, usize, &str)>;

/// Simulated fleet of actors.
pub struct Fleet<A: FleetActor> {
    pub shape: FleetShape,
    pub clock: FakeClock,
    pub rng: SmallRng,
    pub slots: Vec<FleetSlot<A>>,
    pub log: FakeLog,
    pub watcher: Option<Watcher>,
    /// Whether the regions are partitioned, with the log in the first one.
    pub regions_partitioned: bool,
    /// Wall time spent in calls to actors.
    pub call_time: Duration,
    pub calls: u64,
    pub messages: u64,
    /// Wall time spent on encoding and decoding messages.
    pub codec_time: Duration,
    reset_at: Duration,
    queue: BinaryHeap<Reverse<Queued<A::Message>>>,
    last_event_number: u64,
    announcement_due_at: Option<Duration>,
    backlog: Vec<Event<A::Message>>,
    factory: Factory<A>,
    ids: BTreeMap<DaemonId, usize>,
}

impl<A: FleetActor> Fleet<A> {
    /// Creates a fleet whose daemons start at random times within `spread`.
    pub fn new(shape: FleetShape, spread: Duration, factory: Factory<A>) -> Self {
        let clock = FakeClock::new();
        let rng = SmallRng::seed_from_u64(shape.seed);
        let slots = (0..shape.daemons)
            .map(|index| FleetSlot::new(&shape, index))
            .collect::<Vec<_>>();
        let ids = slots
            .iter()
            .enumerate()
            .map(|(index, slot)| (slot.member.id, index))
            .collect();
        let mut fleet = Self {
            shape,
            clock,
            rng,
            slots,
            log: FakeLog::new(),
            watcher: None,
            regions_partitioned: false,
            call_time: Duration::ZERO,
            calls: 0,
            messages: 0,
            codec_time: Duration::ZERO,
            reset_at: Duration::ZERO,
            queue: BinaryHeap::new(),
            last_event_number: 0,
            announcement_due_at: None,
            backlog: Vec::new(),
            factory,
            ids,
        };
        for index in 0..fleet.slots.len() {
            fleet.start(index, spread);
        }
        fleet.announce_members();
        fleet
    }

    /// Returns the simulated time since the creation of the fleet.
    pub fn now(&self) -> Duration {
        self.clock.elapsed()
    }

    /// Starts a new run of a daemon, with its first tick within `spread`.
    pub fn start(&mut self, index: usize, spread: Duration) {
        let slot = &mut self.slots[index];
        slot.member.run.0 += 1;
        slot.applied = ConfigVersion::NONE;
        let rng = SmallRng::seed_from_u64(self.rng.random());
        let actor = (self.factory)(&self.clock, rng, &slot.member);
        slot.actor = Some(actor);
        let run = slot.member.run;
        let delay = spread.mul_f64(self.rng.random::<f64>());
        self.push(delay, Event::Tick(index, run));
    }

    /// Stops a daemon at once; the others detect it after the detection delay.
    pub fn kill(&mut self, index: usize) {
        self.slots[index].actor = None;
        self.schedule_announcement();
    }

    /// Sends the current list of live members to all live daemons that are not isolated.
    pub fn announce_members(&mut self) {
        let members = self.live_members();
        for slot in &mut self.slots {
            if let Some(actor) = slot.actor.as_mut().filter(|_| !slot.isolated) {
                actor.set_members(&members);
            }
        }
    }

    fn live_members(&self) -> Vec<SpreadMember> {
        self.slots
            .iter()
            .filter(|slot| slot.actor.is_some())
            .map(|slot| slot.member.clone())
            .collect()
    }

    /// Schedules an announcement of the members after the detection delay.
    pub fn schedule_announcement(&mut self) {
        let at = self.now() + self.shape.detection_delay;
        if self.announcement_due_at != Some(at) {
            self.announcement_due_at = Some(at);
            self.push(self.shape.detection_delay, Event::Members);
        }
    }

    /// Appends an operator's record and returns its version.
    pub fn publish(&mut self, text: &str) -> ConfigVersion {
        let at = model::ClockPort::wall(&self.clock);
        let offset = self.log.append("config", text.as_bytes(), at);
        self.wake_polls();
        ConfigVersion::at(offset)
    }

    /// Returns the simulated time since the counters were reset.
    pub fn time_since_reset(&self) -> Duration {
        self.now().saturating_sub(self.reset_at)
    }

    /// Runs until the simulated time `until`.
    pub fn run_until(&mut self, until: Duration) {
        while let Some(Reverse(next)) = self.queue.peek() {
            if next.at > until {
                break;
            }
            let Some(Reverse(next)) = self.queue.pop() else {
                break;
            };
            self.clock
                .advance(next.at.saturating_sub(self.clock.elapsed()));
            self.handle(next.event);
        }
        self.clock
            .advance(until.saturating_sub(self.clock.elapsed()));
    }

    /// Runs for `span`.
    pub fn run_for(&mut self, span: Duration) {
        self.run_until(self.now() + span);
    }

    /// Runs until `version` is in force on all live daemons, or until `limit` has
    /// passed, and returns the sorted times from this call until it was in force.
    pub fn converge(&mut self, version: ConfigVersion, limit: Duration) -> Vec<Duration> {
        let start = self.now();
        while self.now() < start + limit && self.lagging(version) > 0 {
            self.run_for(Duration::from_millis(20));
        }
        let mut times = self
            .slots
            .iter()
            .filter(|slot| slot.actor.is_some() && slot.applied >= version)
            .map(|slot| slot.applied_at.saturating_sub(start))
            .collect::<Vec<_>>();
        times.sort_unstable();
        times
    }

    /// Returns the number of live daemons on which `version` is not in force.
    pub fn lagging(&self, version: ConfigVersion) -> usize {
        self.slots
            .iter()
            .filter(|slot| slot.actor.is_some() && slot.applied < version)
            .count()
    }

    /// Returns the number of live daemons.
    pub fn live(&self) -> usize {
        self.slots
            .iter()
            .filter(|slot| slot.actor.is_some())
            .count()
    }

    /// Resets the counters of traffic, calls and log requests.
    pub fn reset_counts(&mut self) {
        for slot in &mut self.slots {
            (slot.sent, slot.received, slot.reads) = (0, 0, 0);
        }
        self.log.reset_counts();
        (self.call_time, self.calls, self.messages) = (Duration::ZERO, 0, 0);
        self.codec_time = Duration::ZERO;
        self.reset_at = self.now();
    }

    /// Pauses a daemon; its events are queued until it is resumed.
    pub fn pause(&mut self, index: usize) {
        self.slots[index].paused = true;
    }

    /// Resumes a daemon, which then handles all queued events.
    pub fn resume(&mut self, index: usize) {
        self.slots[index].paused = false;
        let backlog = std::mem::take(&mut self.backlog);
        for event in backlog {
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event<A::Message>) {
        let target = event.target();
        if target.is_some_and(|index| self.slots[index].paused) {
            self.backlog.push(event);
            return;
        }
        match event {
            Event::Tick(index, run) if self.is_current_run(index, run) => {
                self.call(index, FleetActor::tick);
                self.push(TICK, Event::Tick(index, run));
            }
            Event::Deliver { from, to, message } => {
                let sender = self.slots[from].member.id;
                if self.slots[to].actor.is_some() && !self.is_partitioned(from, to) {
                    self.call(to, |actor| actor.message(sender, message));
                }
            }
            Event::Read(index, run, read) => self.read_log(index, run, &read),
            Event::ReadDone(index, run, tag, answer)
                if self.is_current_run(index, run) && !self.slots[index].isolated =>
            {
                self.call(index, |actor| actor.log_answer(tag, answer));
            }
            Event::Append(index, run, append) => self.append_log(index, run, &append),
            Event::AppendDone(index, run, tag, answer) if self.is_current_run(index, run) => {
                self.call(index, |actor| actor.append_answer(tag, answer));
            }
            Event::PollEnd(poll) => {
                let ended = self.log.end_poll(poll);
                self.answer_polls(ended);
            }
            Event::Members => self.announce_members(),
            Event::Tick(..) | Event::ReadDone(..) | Event::AppendDone(..) => {}
        }
    }

    fn is_current_run(&self, index: usize, run: IncarnationNumber) -> bool {
        let slot = &self.slots[index];
        slot.actor.is_some() && slot.member.run == run
    }

    fn is_partitioned(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.slots[from], &self.slots[to]);
        from.isolated || to.isolated || self.regions_partitioned && from.region != to.region
    }

    fn call(&mut self, index: usize, work: impl FnOnce(&mut A) -> Vec<Effect<A::Message>>) {
        let Some(actor) = self.slots[index].actor.as_mut() else {
            return;
        };
        let begun = Instant::now();
        let effects = work(actor);
        self.call_time += begun.elapsed();
        self.calls += 1;
        for effect in effects {
            self.execute(index, effect);
        }
    }

    fn execute(&mut self, index: usize, effect: Effect<A::Message>) {
        let run = self.slots[index].member.run;
        match effect {
            Effect::Send { to, message } => self.send(index, to, &message),
            Effect::Read(read) => {
                self.slots[index].reads += 1;
                self.push(LOG_DELAY, Event::Read(index, run, read));
            }
            Effect::Append(append) => self.push(LOG_DELAY, Event::Append(index, run, append)),
            Effect::Applied(version) => self.record_applied(index, version),
            Effect::Alarm(line) => self.notify_watcher(index, &line),
        }
    }

    fn record_applied(&mut self, index: usize, version: ConfigVersion) {
        let now = self.now();
        let slot = &mut self.slots[index];
        assert!(
            version >= slot.applied,
            "version of daemon {index} decreased"
        );
        (slot.applied, slot.applied_at) = (version, now);
        if let Some(actor) = slot.actor.as_mut() {
            actor.in_force(version);
        }
        self.notify_watcher(index, &format!("applied {version}"));
    }

    fn notify_watcher(&mut self, index: usize, line: &str) {
        let now = self.now();
        if let Some(watcher) = self.watcher.as_mut() {
            watcher(now, index, line);
        }
    }

    fn send(&mut self, from: usize, to: DaemonId, message: &A::Message) {
        let Some(to) = self.ids.get(&to).copied() else {
            return;
        };
        let begun = Instant::now();
        let body = A::encode(message);
        let message = A::decode(&body);
        self.codec_time += begun.elapsed();
        let bytes = body.len() as u64 + FRAME_BYTES;
        self.messages += 1;
        self.slots[from].sent += bytes;
        if self.is_partitioned(from, to) || self.rng.random_bool(self.shape.loss) {
            return;
        }
        self.slots[to].received += bytes;
        if self.rng.random_bool(self.shape.duplication) {
            let delay = self.delay(from, to);
            let message = message.clone();
            self.push(delay, Event::Deliver { from, to, message });
        }
        let delay = self.delay(from, to);
        self.push(delay, Event::Deliver { from, to, message });
    }

    fn delay(&mut self, from: usize, to: usize) -> Duration {
        let jitter = self.shape.jitter.mul_f64(self.rng.random::<f64>());
        self.slots[from].delay_to(&self.slots[to]) + jitter
    }

    fn read_log(&mut self, index: usize, run: IncarnationNumber, read: &LogRead) {
        if self.is_cut_from_log(index) {
            return;
        }
        let now = self.now();
        match self.log.read(index, run, read, now) {
            log::ReadOutcome::Answer(answer) => {
                self.push(LOG_DELAY, Event::ReadDone(index, run, read.tag, answer));
            }
            log::ReadOutcome::Wait(poll) => self.push(read.wait, Event::PollEnd(poll)),
        }
    }

    /// Returns whether a daemon cannot reach the log, which is in the first region.
    fn is_cut_from_log(&self, index: usize) -> bool {
        let slot = &self.slots[index];
        slot.isolated || self.regions_partitioned && slot.region != 0
    }

    fn append_log(&mut self, index: usize, run: IncarnationNumber, append: &LogAppend) {
        if self.is_cut_from_log(index) {
            return;
        }
        let at = model::ClockPort::wall(&self.clock);
        let now = self.now();
        let answer = self
            .log
            .try_append(append.stream.as_str(), &append.body, at, now);
        self.wake_polls();
        self.push(LOG_DELAY, Event::AppendDone(index, run, append.tag, answer));
    }

    fn wake_polls(&mut self) {
        let woken = self.log.wake_polls();
        self.answer_polls(woken);
    }

    fn answer_polls(&mut self, polls: impl IntoIterator<Item = log::CompletedPoll>) {
        for poll in polls {
            let event = Event::ReadDone(poll.index, poll.run, poll.tag, poll.answer);
            self.push(LOG_DELAY, event);
        }
    }

    fn push(&mut self, delay: Duration, event: Event<A::Message>) {
        self.last_event_number += 1;
        self.queue.push(Reverse(Queued {
            at: self.clock.elapsed() + delay,
            number: self.last_event_number,
            event,
        }));
    }
}
