//! The peer side of the distributor: updates, comparisons, pulls.

use std::time::{Duration, Instant};

use model::{DaemonId, ErrorKind};
use rand::Rng;

use crate::log_access::refused;
use crate::message::{OutputList, SpreadAlarm, SpreadMessage, SpreadOutput};
use crate::node::{NewerHead, SpreadNode};
use crate::replica::{HeadUpdate, MAX_UPDATE_BYTES, ReplicaHead, ReplicaPort};

/// Mean time between two questions of a daemon that does not serve yet.
const START_PULL_INTERVAL: Duration = Duration::from_millis(300);

/// Shortest time between two alarms about a peer's contradicting state.
const CONTRADICTION_SPACING: Duration = Duration::from_secs(10);

/// Pause before the next pull when an update could not be applied.
const REFUSED_PAUSE: Duration = Duration::from_secs(5);

/// Share of a starting daemon's pulls that go to its own domain.
const START_NEAR_SHARE: f64 = 0.7;

impl<R: ReplicaPort> SpreadNode<R> {
    pub(crate) fn take_message(
        &mut self,
        from: DaemonId,
        message: SpreadMessage,
        outputs: &mut OutputList,
        now: Instant,
    ) {
        match message {
            SpreadMessage::Beat {
                root,
                run,
                number,
                head,
                summary,
            } => {
                self.hear_head(from, &head, outputs, now);
                if self.roots.record(root, run, number, now) {
                    self.take_summary(summary.as_ref(), now);
                    self.forward_beat(root, run, number, summary, outputs);
                }
            }
            SpreadMessage::Ack {
                root,
                question,
                head,
                view,
                sum,
            } => {
                self.hear_head(from, &head, outputs, now);
                self.acks.record(root, from, view, sum, now);
                outputs.push(self.compared(from, question, now));
            }
            SpreadMessage::Compare { question, head } => {
                self.hear_head(from, &head, outputs, now);
                outputs.push(self.compared(from, question, now));
            }
            SpreadMessage::Compared {
                question,
                head,
                view,
            } => {
                self.hear_head(from, &head, outputs, now);
                if let Some(asked_at) = self.questions.answer(from, question) {
                    self.freshness.record_evidence(
                        view,
                        head.position,
                        asked_at,
                        self.head.position,
                    );
                }
            }
            SpreadMessage::Pull { base } => self.answer_pull(from, &base, outputs, now),
            SpreadMessage::Update(update) => self.take_update(from, &update, outputs, now),
            SpreadMessage::Busy { retry_after } => {
                self.pull.finish(from);
                let pause = Duration::from(retry_after).min(Duration::from_secs(2));
                let spread = self.rng.random_range(0.5..1.0);
                self.pull.defer(now + pause.mul_f64(spread));
            }
            SpreadMessage::NoUpdate { head } => self.take_no_update(from, head, outputs, now),
            SpreadMessage::Report { question, report } => {
                let own = self.own_report(now);
                let message = SpreadMessage::Reported {
                    question,
                    report: own,
                };
                outputs.push(SpreadOutput::Send { to: from, message });
                self.take_report(from, report, None, outputs, now);
            }
            SpreadMessage::Reported { question, report } => {
                let asked_at = self.questions.answer(from, question);
                self.take_report(from, report, asked_at, outputs, now);
            }
        }
    }

    fn compared(
        &self,
        to: DaemonId,
        question: crate::message::QuestionNumber,
        now: Instant,
    ) -> SpreadOutput {
        let message = SpreadMessage::Compared {
            question,
            head: self.head,
            view: self.freshness.evidence(now),
        };
        SpreadOutput::Send { to, message }
    }

    /// Compares a peer's head with ours: pulls, pushes, or finds a contradiction.
    pub(crate) fn hear_head(
        &mut self,
        peer: DaemonId,
        head: &ReplicaHead,
        outputs: &mut OutputList,
        now: Instant,
    ) {
        if self.roster.contains(peer) {
            self.peer_heads.insert(peer, *head);
        }
        if head.is_newer_than(&self.head) {
            self.note_newer(head, now);
            self.pull_from(peer, outputs, now);
        } else if self.is_loaded() && head.contradicts(&self.head) {
            self.tell_contradiction(peer, head, outputs, now);
        }
    }

    fn tell_contradiction(
        &mut self,
        peer: DaemonId,
        head: &ReplicaHead,
        outputs: &mut OutputList,
        now: Instant,
    ) {
        let recent = |at: Instant| now.saturating_duration_since(at) < CONTRADICTION_SPACING;
        if !self.contradicted_at.is_some_and(recent) {
            self.contradicted_at = Some(now);
            let alarm = SpreadAlarm::PeerContradicts {
                peer,
                next: head.next,
            };
            outputs.push(SpreadOutput::Alarm(alarm));
        }
    }

    fn note_newer(&mut self, head: &ReplicaHead, now: Instant) {
        let newer = NewerHead {
            head: *head,
            since: now,
        };
        let known = self.newest_seen.get_or_insert(newer);
        if head.is_newer_than(&known.head) {
            known.head = *head;
        }
    }

    fn pull_from(&mut self, peer: DaemonId, outputs: &mut OutputList, now: Instant) {
        if !self.pull.start(peer, now) {
            return;
        }
        let message = SpreadMessage::Pull { base: self.head };
        outputs.push(SpreadOutput::Send { to: peer, message });
    }

    fn answer_pull(
        &mut self,
        to: DaemonId,
        base: &ReplicaHead,
        outputs: &mut OutputList,
        now: Instant,
    ) {
        let update = self.update_for(base).filter(|_| self.is_loaded());
        let fits = |update: &HeadUpdate| update.body.0.len() <= MAX_UPDATE_BYTES;
        if update.as_ref().is_some_and(|update| !fits(update)) {
            outputs.push(refused(ErrorKind::FrameTooLarge));
        }
        let Some(update) = update.filter(fits) else {
            let head = self.is_loaded().then_some(self.head);
            let message = SpreadMessage::NoUpdate { head };
            outputs.push(SpreadOutput::Send { to, message });
            return;
        };
        let large = update.body.0.len() > self.settings.large_update_bytes;
        let message = match self.tokens.take_if(large, now) {
            Ok(()) => {
                self.peer_heads.insert(to, self.head);
                SpreadMessage::Update(update)
            }
            Err(retry_after) => SpreadMessage::Busy {
                retry_after: retry_after.into(),
            },
        };
        outputs.push(SpreadOutput::Send { to, message });
    }

    /// An update from `base`; the last one made is kept, since most bases are the same.
    fn update_for(&mut self, base: &ReplicaHead) -> Option<HeadUpdate> {
        let cached = self.cached_update.as_ref();
        if let Some(update) = cached.filter(|update| update.base == *base) {
            return Some(update.clone());
        }
        let body = self.replica.update_since(base)?;
        let update = HeadUpdate {
            base: *base,
            target: self.head,
            body,
        };
        self.cached_update = Some(update.clone());
        Some(update)
    }

    /// Sends the new state to all children in the live trees.
    pub(crate) fn push_updates(&mut self, outputs: &mut OutputList) {
        for child in self.all_children() {
            let Some(base) = self.peer_heads.get(&child).copied() else {
                continue;
            };
            if !self.head.is_newer_than(&base) {
                continue;
            }
            let limit = self.settings.large_update_bytes;
            let small = |update: &HeadUpdate| update.body.0.len() <= limit;
            if let Some(update) = self.update_for(&base).filter(small) {
                self.peer_heads.insert(child, self.head);
                let message = SpreadMessage::Update(update);
                outputs.push(SpreadOutput::Send { to: child, message });
            }
        }
    }

    fn take_update(
        &mut self,
        from: DaemonId,
        update: &HeadUpdate,
        outputs: &mut OutputList,
        now: Instant,
    ) {
        self.pull.finish(from);
        if !update.target.is_newer_than(&self.head) {
            return;
        }
        if self.holds_last() && !self.replica.is_rebase(&update.body) {
            self.pull.defer(now + REFUSED_PAUSE);
            return;
        }
        let before = self.head;
        match self.replica.apply_update(&update.body) {
            Ok(true) => {
                self.load(now);
                self.adopt(update.target.last_record, outputs, now);
                self.check_target(&update.target, outputs);
                self.follow_rebase(&before, outputs);
            }
            Ok(false) => {}
            Err(error) if update.base == self.head => {
                self.pull.defer(now + REFUSED_PAUSE);
                outputs.push(refused(error.kind));
            }
            Err(_) => self.pull_from(from, outputs, now),
        }
    }

    fn take_no_update(
        &mut self,
        from: DaemonId,
        head: Option<ReplicaHead>,
        outputs: &mut OutputList,
        now: Instant,
    ) {
        self.pull.finish(from);
        match head {
            None => self.empty_answers += 1,
            Some(head) if !self.is_loaded() && head.position == self.head.position => {
                self.load(now);
            }
            Some(head) => self.hear_head(from, &head, outputs, now),
        }
    }

    /// Compares heads with a random peer, or asks one for the state at the start.
    pub(crate) fn tick_exchange(&mut self, outputs: &mut OutputList, now: Instant) {
        if now < self.timers.next_exchange {
            return;
        }
        if !self.is_loaded() {
            self.timers.next_exchange = now + self.jittered(START_PULL_INTERVAL);
            let near = self.rng.random_bool(START_NEAR_SHARE);
            let peer = if near {
                self.roster.random_domain_peer(&mut self.rng)
            } else {
                self.roster.random_peer(&mut self.rng)
            };
            if let Some(peer) = peer {
                self.pull_from(peer, outputs, now);
            }
            return;
        }
        let interval = if self.is_serving() {
            self.settings.compare_interval
        } else {
            START_PULL_INTERVAL
        };
        self.timers.next_exchange = now + self.jittered(interval);
        let Some(peer) = self.roster.random_peer(&mut self.rng) else {
            return;
        };
        let question = self.questions.ask(peer, now);
        let head = self.head;
        let message = SpreadMessage::Compare { question, head };
        outputs.push(SpreadOutput::Send { to: peer, message });
    }

    pub(crate) fn jittered(&mut self, interval: Duration) -> Duration {
        interval.mul_f64(self.rng.random_range(0.75..1.25))
    }
}
