//! Exchange with peers: messages, head comparisons, pulls and updates.
//!
//! Most messages carry the sender's head. A daemon that sees a newer head pulls
//! an update from the sender; periodic comparisons with random peers find updates
//! that were lost in the trees.

use std::time::{Duration, Instant};

use model::{DaemonId, ErrorKind};
use rand::Rng;

use crate::log_access::update_refused;
use crate::message::{OutputList, SpreadAlarm, SpreadMessage, SpreadOutput};
use crate::node::{NewerHead, SpreadNode};
use crate::replica::{HeadUpdate, MAX_UPDATE_BYTES, ReplicaHead, ReplicaPort};

/// Mean time between two requests to peers by a daemon that does not serve yet.
const STARTUP_INTERVAL: Duration = Duration::from_millis(300);

/// Minimum time between two alarms about a peer with a different state.
const MIN_CONTRADICTION_INTERVAL: Duration = Duration::from_secs(10);

/// Time before the next pull after an update could not be applied.
const REFUSED_UPDATE_DELAY: Duration = Duration::from_secs(5);

/// Share of a starting daemon's pulls that are limited to its own domain; the others go
/// to a random member, which may be of the same domain too.
const STARTUP_DOMAIN_SHARE: f64 = 0.7;

impl<R: ReplicaPort> SpreadNode<R> {
    pub(crate) fn handle_message(
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
                self.compare_head(from, &head, outputs, now);
                if self.roots.record(root, run, number, now) {
                    self.handle_summary(summary.as_ref(), now);
                    self.forward_heartbeat(root, run, number, summary, outputs);
                }
            }
            SpreadMessage::Ack {
                root,
                question,
                head,
                view,
                sum,
            } => {
                self.compare_head(from, &head, outputs, now);
                self.acks.record(root, from, view, sum, now);
                outputs.push(self.compared_response(from, question, now));
            }
            SpreadMessage::Compare { question, head } => {
                self.compare_head(from, &head, outputs, now);
                outputs.push(self.compared_response(from, question, now));
            }
            SpreadMessage::Compared {
                question,
                head,
                view,
            } => {
                self.compare_head(from, &head, outputs, now);
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
            SpreadMessage::Update(update) => self.handle_update(from, &update, outputs, now),
            SpreadMessage::Busy { retry_after } => {
                self.pull.finish(from);
                // Pulls resume after a random 50 to 100 % of the time that the peer named,
                // which counts as at most 2 s.
                let pause = Duration::from(retry_after).min(Duration::from_secs(2));
                let factor = self.rng.random_range(0.5..1.0);
                self.pull.defer(now + pause.mul_f64(factor));
            }
            SpreadMessage::NoUpdate { head } => self.handle_no_update(from, head, outputs, now),
            SpreadMessage::Report { question, report } => {
                let own = self.own_report(now);
                let message = SpreadMessage::Reported {
                    question,
                    report: own,
                };
                outputs.push(SpreadOutput::Send { to: from, message });
                self.handle_report(from, report, None, outputs, now);
            }
            SpreadMessage::Reported { question, report } => {
                let asked_at = self.questions.answer(from, question);
                self.handle_report(from, report, asked_at, outputs, now);
            }
        }
    }

    fn compared_response(
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

    /// Compares a peer's head with this daemon's: pulls from a newer peer, or
    /// reports one whose state differs at the same position.
    pub(crate) fn compare_head(
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
            self.record_newer_head(head, now);
            self.send_pull(peer, outputs, now);
        } else if self.is_loaded() && head.contradicts(&self.head) {
            self.report_contradiction(peer, head, outputs, now);
        }
    }

    fn report_contradiction(
        &mut self,
        peer: DaemonId,
        head: &ReplicaHead,
        outputs: &mut OutputList,
        now: Instant,
    ) {
        let is_recent =
            |at: Instant| now.saturating_duration_since(at) < MIN_CONTRADICTION_INTERVAL;
        if !self.last_contradiction.is_some_and(is_recent) {
            self.last_contradiction = Some(now);
            let alarm = SpreadAlarm::PeerContradicts {
                peer,
                next: head.next,
            };
            outputs.push(SpreadOutput::Alarm(alarm));
        }
    }

    fn record_newer_head(&mut self, head: &ReplicaHead, now: Instant) {
        let newer = NewerHead {
            head: *head,
            since: now,
        };
        let known = self.newer_head.get_or_insert(newer);
        if head.is_newer_than(&known.head) {
            known.head = *head;
        }
    }

    fn send_pull(&mut self, peer: DaemonId, outputs: &mut OutputList, now: Instant) {
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
            outputs.push(update_refused(ErrorKind::FrameTooLarge));
        }
        let Some(update) = update.filter(fits) else {
            let head = self.is_loaded().then_some(self.head);
            let message = SpreadMessage::NoUpdate { head };
            outputs.push(SpreadOutput::Send { to, message });
            return;
        };
        let is_large = update.body.0.len() > self.settings.large_update_bytes;
        let message = match self.tokens.try_take(is_large, now) {
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

    /// Returns an update from `base`. The last one is cached, since most peers ask
    /// from the same base.
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

    /// Sends the new state to the children in the trees of the live roots whose last known
    /// head is older, if the update is small; the other children pull it.
    pub(crate) fn push_updates(&mut self, outputs: &mut OutputList) {
        for child in self.all_children() {
            let Some(base) = self.peer_heads.get(&child).copied() else {
                continue;
            };
            if !self.head.is_newer_than(&base) {
                continue;
            }
            let limit = self.settings.large_update_bytes;
            let is_small = |update: &HeadUpdate| update.body.0.len() <= limit;
            if let Some(update) = self.update_for(&base).filter(is_small) {
                self.peer_heads.insert(child, self.head);
                let message = SpreadMessage::Update(update);
                outputs.push(SpreadOutput::Send { to: child, message });
            }
        }
    }

    fn handle_update(
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
        if self.is_log_diverged() && !self.replica.is_rebase(&update.body) {
            self.pull.defer(now + REFUSED_UPDATE_DELAY);
            return;
        }
        let before = self.head;
        match self.replica.apply_update(&update.body) {
            Ok(true) => {
                self.mark_loaded(now);
                self.adopt_state(update.target.last_record, outputs, now);
                self.check_target(&update.target, outputs);
                self.resume_after_rebase(&before, outputs);
            }
            Ok(false) => {}
            Err(error) if update.base == self.head => {
                self.pull.defer(now + REFUSED_UPDATE_DELAY);
                outputs.push(update_refused(error.kind));
            }
            // The update starts from another head; requests one from the current head.
            Err(_) => self.send_pull(from, outputs, now),
        }
    }

    fn handle_no_update(
        &mut self,
        from: DaemonId,
        head: Option<ReplicaHead>,
        outputs: &mut OutputList,
        now: Instant,
    ) {
        self.pull.finish(from);
        match head {
            None => self.empty_responses += 1,
            // The peer has an empty state too, so there is nothing to pull.
            Some(head) if !self.is_loaded() && head.position == self.head.position => {
                self.mark_loaded(now);
            }
            Some(head) => self.compare_head(from, &head, outputs, now),
        }
    }

    /// Compares heads with a random peer or, without a state, pulls one from it.
    pub(crate) fn tick_compare(&mut self, outputs: &mut OutputList, now: Instant) {
        if now < self.timers.next_compare {
            return;
        }
        if !self.is_loaded() {
            self.timers.next_compare = now + self.jittered(STARTUP_INTERVAL);
            let same_domain = self.rng.random_bool(STARTUP_DOMAIN_SHARE);
            let peer = if same_domain {
                self.roster.random_domain_peer(&mut self.rng)
            } else {
                self.roster.random_peer(&mut self.rng)
            };
            if let Some(peer) = peer {
                self.send_pull(peer, outputs, now);
            }
            return;
        }
        let interval = if self.is_serving() {
            self.settings.compare_interval
        } else {
            STARTUP_INTERVAL
        };
        self.timers.next_compare = now + self.jittered(interval);
        let Some(peer) = self.roster.random_peer(&mut self.rng) else {
            return;
        };
        let question = self.questions.ask(peer, now);
        let head = self.head;
        let message = SpreadMessage::Compare { question, head };
        outputs.push(SpreadOutput::Send { to: peer, message });
    }

    /// Returns the interval with a random change of up to 25 %.
    pub(crate) fn jittered(&mut self, interval: Duration) -> Duration {
        interval.mul_f64(self.rng.random_range(0.75..1.25))
    }
}
