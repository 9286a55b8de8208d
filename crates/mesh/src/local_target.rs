//! State of the target beside a daemon, as known from its reports.
//!
//! A target reports when it was started and numbers its reports, so a late
//! report of an earlier run, or one that arrives out of order, has no effect. A
//! target that has said, in a report or an answer, that it is leaving stays
//! leaving for the rest of that run.
//!
//! A daemon that restarts beside a running target asks the target for its name
//! and relies on the answer until the first report arrives. Reports that the daemon
//! acknowledged before its restart are lost, so the first report it receives
//! may be a delayed one from before the target announced its leave. Such a
//! report does not make the target available: the target must also answer a
//! request, or keep reporting.
//!
//! Reports may arrive seconds late, answers do not. A run that started before the
//! known target last answered has therefore ended, whatever it reports, unless
//! that target turns out to be gone. A run that keeps reporting while the known
//! target does not answer replaces it, so that no late message can lock the
//! present run out.

use std::time::{Duration, Instant, UNIX_EPOCH};

use model::{
    CallCount, CallRate, IncarnationNumber, ServiceName, SharedClock, TargetName, TargetVersion,
};
use smallvec::SmallVec;

/// Maximum number of ended runs whose late reports are still recognized.
const MAX_ENDED_RUNS: usize = 8;

/// Number of further reports in order after which a target counts as confirmed without an
/// answer. Delayed reports arrive singly, so a series in order is a current one.
const CONFIRMING_REPORTS: u8 = 2;

/// Number of requests that run at the same time at a target before its first answer, which may name
/// a limit.
const UNHEARD_SLOTS: CallCount = CallCount(2);

/// Longest time by which the start of a run may seem to lie ahead, since clocks differ.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(60);

/// State that a target reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportedState {
    /// Accepts requests.
    Ready,
    /// Completes running requests and accepts no new ones.
    Draining,
}

/// Status report of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetReport {
    /// Name of the target; usually different for each run.
    pub target: TargetName,
    /// Start time of the run, in milliseconds of wall time; 0 if not reported.
    pub run: IncarnationNumber,
    /// Sequence number of the report within the run.
    pub sequence: u64,
    /// Service that the target provides.
    pub service: ServiceName,
    /// Version of the target's software; none if it is not known.
    pub version: Option<TargetVersion>,
    /// Maximum number of requests that the target runs concurrently.
    pub slots: CallCount,
    /// Whether the target accepts requests.
    pub state: ReportedState,
}

/// Final report of a target that is about to end.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetLeave {
    /// Name of the target.
    pub target: TargetName,
    /// Run that ends; 0 if not reported.
    pub run: IncarnationNumber,
}

/// What a target says of itself in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetNotice {
    /// Rate of requests that the target accepts from the whole fleet; none if it names no limit.
    pub limit: Option<CallRate>,
    /// Whether the target is leaving.
    pub leaving: bool,
}

/// Effect of a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportEffect {
    /// The run, service, number of slots or state changed.
    Changed,
    /// Only the time of the last report changed.
    Renewed,
    /// The report was ignored, since it is out of order, from an ended run, or from one whose start
    /// lies in the future.
    Stale,
}

#[derive(Clone, Debug)]
struct KnownTarget {
    report: TargetReport,
    /// Time of the last report or answer.
    last_seen: Instant,
    leaving: bool,
    down: bool,
    /// Number of reports missing until the target counts as confirmed.
    unconfirmed: u8,
    /// Wall time in milliseconds of the last answer; 0 before the first.
    answered_at: IncarnationNumber,
    /// What the last answer said; none before the first.
    notice: Option<TargetNotice>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RunEnd {
    /// It said that it leaves.
    Left,
    /// Another run was found in its place, which may be a mistake.
    Replaced,
}

/// Runs of a target up to the latest one that ended.
#[derive(Clone, Debug)]
struct EndedRuns {
    target: TargetName,
    last: IncarnationNumber,
    end: RunEnd,
}

/// A run that reports though another one is known.
#[derive(Clone, Debug)]
struct ChallengingRun {
    report: TargetReport,
    /// Number of reports in order so far.
    reports: u8,
}

/// State of the target beside the daemon.
#[derive(Debug)]
pub struct LocalTarget {
    clock: SharedClock,
    max_silence: Duration,
    known: Option<KnownTarget>,
    challenger: Option<ChallengingRun>,
    ended: SmallVec<[EndedRuns; MAX_ENDED_RUNS]>,
}

impl LocalTarget {
    /// Creates the state without a known target.
    ///
    /// A target that neither reports nor answers for `max_silence` is not available.
    pub fn new(max_silence: Duration, clock: SharedClock) -> Self {
        Self {
            clock,
            max_silence,
            known: None,
            challenger: None,
            ended: SmallVec::new(),
        }
    }

    /// Applies a report of a target.
    pub fn on_report(&mut self, report: TargetReport) -> ReportEffect {
        let now = self.clock.now();
        let end = self.end_of(&report.target, report.run);
        if self.is_ahead(report.run) || end == Some(RunEnd::Left) {
            return ReportEffect::Stale;
        }
        let is_available = self.available().is_some();
        let Some(known) = &mut self.known else {
            let mut known = KnownTarget::new(report, now);
            // Late reports are not excluded after a restart of the daemon, nor for such a run.
            let is_late = self.ended.is_empty() && known.report.sequence > 1;
            if is_late || end.is_some() {
                known.unconfirmed = CONFIRMING_REPORTS;
            }
            self.known = Some(known);
            return ReportEffect::Changed;
        };
        // A target found by asking has run 0 until its first report contains the run.
        let same_run = known.report.target == report.target
            && (known.report.run == report.run || known.report.run.0 == 0);
        if same_run {
            self.challenger = None;
            return known.renew(report, now);
        }
        let found_by_asking = known.report.run.0 == 0;
        let is_later = if found_by_asking {
            report.run > known.answered_at
        } else {
            report.run >= known.report.run
        };
        if end.is_none() && is_later {
            self.replace_known(KnownTarget::new(report, now));
            return ReportEffect::Changed;
        }
        let is_present = is_available || known.leaving && !known.down;
        if is_present && !(found_by_asking && end.is_none()) {
            return ReportEffect::Stale;
        }
        self.challenge(report)
    }

    /// Counts a report of a run that seems to have ended. Replaces the known run if it is one of a
    /// series in order.
    fn challenge(&mut self, report: TargetReport) -> ReportEffect {
        let mut reports = 1;
        if let Some(challenger) = &self.challenger
            && challenger.report.target == report.target
            && challenger.report.run == report.run
        {
            if report.sequence <= challenger.report.sequence {
                return ReportEffect::Stale;
            }
            reports = challenger.reports + 1;
        }
        if reports <= CONFIRMING_REPORTS {
            self.challenger = Some(ChallengingRun { report, reports });
            return ReportEffect::Stale;
        }
        self.forget_replaced(&report.target);
        let now = self.clock.now();
        self.replace_known(KnownTarget::new(report, now));
        ReportEffect::Changed
    }

    /// Records that a target answered and told its name, with `report` describing it.
    ///
    /// An answer shows that the target runs, also if another one seemed to have replaced it. It
    /// changes nothing if the target has said that it leaves.
    pub fn on_found(&mut self, report: TargetReport) -> ReportEffect {
        if self
            .report()
            .is_some_and(|known| known.target == report.target)
        {
            self.on_answer();
            return ReportEffect::Renewed;
        }
        if self.end_of(&report.target, report.run) == Some(RunEnd::Left) {
            self.on_replaced();
            return ReportEffect::Stale;
        }
        self.forget_replaced(&report.target);
        let mut found = KnownTarget::new(report, self.clock.now());
        found.answered_at = self.wall_ms();
        self.replace_known(found);
        ReportEffect::Changed
    }

    /// Applies the final report of a target.
    ///
    /// A target may start again under its name and leave before its first report, so a leave of a
    /// later run than the known one ends that one and applies to the target. A leave of a run whose
    /// start lies in the future is ignored. Returns whether the known target started to leave.
    pub fn on_leave(&mut self, leave: TargetLeave) -> bool {
        if self.is_ahead(leave.run) {
            return false;
        }
        let known = self.known.as_mut();
        let Some(known) = known.filter(|known| known.report.target == leave.target) else {
            self.record_ended(leave.target, leave.run, RunEnd::Left);
            return false;
        };
        let last = known.report.run;
        if leave.run.0 != 0 && leave.run < last {
            return false;
        }
        let was_leaving = std::mem::replace(&mut known.leaving, true);
        if leave.run > last {
            // Its reports have to come from this run to be renewals.
            known.report.run = leave.run;
            known.report.sequence = 0;
            if last.0 != 0 {
                self.record_ended(leave.target, last, RunEnd::Left);
            }
        }
        !was_leaving
    }

    /// Records that the target answered a request.
    pub fn on_answer(&mut self) {
        let (now, answered_at) = (self.clock.now(), self.wall_ms());
        self.challenger = None;
        if let Some(known) = &mut self.known {
            known.last_seen = now;
            known.answered_at = answered_at;
            known.down = false;
            known.unconfirmed = 0;
        }
    }

    /// Records what `target` said of itself in an answer.
    ///
    /// Returns what it said before, if that differs. An answer of any other target is ignored.
    pub fn on_notice(&mut self, target: &TargetName, notice: TargetNotice) -> Option<TargetNotice> {
        let known = self.known.as_mut()?;
        if known.report.target != *target {
            return None;
        }
        known.leaving |= notice.leaving;
        let previous = known.notice.replace(notice).unwrap_or_default();
        (previous != notice).then_some(previous)
    }

    /// Records that a connection to the target was refused.
    ///
    /// Returns whether there is a known target that was not down before.
    pub fn on_connection_refused(&mut self) -> bool {
        let known = self.known.as_mut();
        known.is_some_and(|known| !std::mem::replace(&mut known.down, true))
    }

    /// Records that another run answers at the target's address, so the known run has ended.
    pub fn on_replaced(&mut self) {
        if let Some(known) = self.known.take() {
            let end = known.end();
            self.record_ended(known.report.target, known.report.run, end);
        }
    }

    /// Returns the latest report of the known target, if any.
    pub fn report(&self) -> Option<&TargetReport> {
        self.known.as_ref().map(|known| &known.report)
    }

    /// Returns what the target said of itself in its last answer.
    pub fn notice(&self) -> TargetNotice {
        let known = self.known.as_ref();
        known.and_then(|known| known.notice).unwrap_or_default()
    }

    /// Returns whether the known target has said of itself what it says in every answer.
    pub fn is_heard(&self) -> bool {
        self.known
            .as_ref()
            .is_some_and(|known| known.notice.is_some())
    }

    /// Returns the number of requests that may run at the target at the same time; none if it
    /// accepts no requests.
    pub fn usable_slots(&self) -> Option<CallCount> {
        let slots = self.available()?.slots;
        Some(if self.is_heard() {
            slots
        } else {
            slots.min(UNHEARD_SLOTS)
        })
    }

    /// Returns whether the target has said that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.known.as_ref().is_some_and(|known| known.leaving)
    }

    /// Returns whether the target's first report may be a delayed one that is not confirmed yet.
    pub fn is_unconfirmed(&self) -> bool {
        self.known.as_ref().is_some_and(KnownTarget::is_unconfirmed)
    }

    /// Returns whether an answer of the target would tell which one runs: none is known, the known
    /// one is not available though it has not said that it leaves, or has not answered yet, or another
    /// one reports.
    pub fn is_in_doubt(&self) -> bool {
        let is_missing = self.available().is_none() && !self.is_leaving();
        let is_down = self.known.as_ref().is_some_and(|known| known.down);
        let is_unheard = !self.is_heard() && !self.is_leaving();
        let is_challenged = self.challenger.is_some();
        is_missing || is_down || self.is_unconfirmed() || is_challenged || is_unheard
    }

    /// Returns the latest report of the target if it accepts requests.
    ///
    /// Such a target is confirmed, not leaving, not down and was seen recently.
    pub fn available(&self) -> Option<&TargetReport> {
        let now = self.clock.now();
        let known = self.known.as_ref()?;
        let silent = now.saturating_duration_since(known.last_seen) > self.max_silence;
        let available = !known.leaving && !known.down && !silent && !known.is_unconfirmed();
        available.then_some(&known.report)
    }

    /// Returns whether `run` starts in the future, so that its report is not that of a target.
    fn is_ahead(&self, run: IncarnationNumber) -> bool {
        let wall = self.clock.wall().duration_since(UNIX_EPOCH);
        let latest = wall.map_or(MAX_CLOCK_LEAD, |wall| wall + MAX_CLOCK_LEAD);
        Duration::from_millis(run.0) > latest
    }

    /// Returns how the run has ended, if it has.
    fn end_of(&self, target: &TargetName, run: IncarnationNumber) -> Option<RunEnd> {
        let ended = self.ended.iter();
        let mut ends = ended
            .filter(|ended| ended.target == *target && run <= ended.last)
            .map(|ended| ended.end);
        // Its own word counts for more than what was concluded.
        ends.clone()
            .find(|end| *end == RunEnd::Left)
            .or(ends.next())
    }

    /// Records the end of a run and of all earlier ones of its name; of those that have started by
    /// now if the run is unknown.
    fn record_ended(&mut self, target: TargetName, run: IncarnationNumber, end: RunEnd) {
        if self.ended.len() == MAX_ENDED_RUNS {
            self.ended.remove(0);
        }
        let last = if run.0 == 0 { self.wall_ms() } else { run };
        self.ended.push(EndedRuns { target, last, end });
    }

    /// Forgets that `target` seemed to have been replaced.
    fn forget_replaced(&mut self, target: &TargetName) {
        self.ended
            .retain(|ended| ended.target != *target || ended.end == RunEnd::Left);
    }

    /// Makes `next` the known target; the one before has ended.
    fn replace_known(&mut self, next: KnownTarget) {
        self.challenger = None;
        if let Some(previous) = self.known.replace(next) {
            let end = previous.end();
            self.record_ended(previous.report.target, previous.report.run, end);
        }
    }

    /// Returns the wall time in milliseconds, to compare with the starts of runs.
    fn wall_ms(&self) -> IncarnationNumber {
        let wall = self.clock.wall().duration_since(UNIX_EPOCH);
        IncarnationNumber(wall.map_or(0, |wall| wall.as_millis() as u64))
    }
}

impl KnownTarget {
    fn new(report: TargetReport, now: Instant) -> Self {
        Self {
            leaving: report.state == ReportedState::Draining,
            last_seen: now,
            down: false,
            unconfirmed: 0,
            answered_at: IncarnationNumber(0),
            notice: None,
            report,
        }
    }

    fn is_unconfirmed(&self) -> bool {
        self.unconfirmed > 0
    }

    /// Returns how this run ends if another one is found in its place now.
    fn end(&self) -> RunEnd {
        if self.leaving {
            RunEnd::Left
        } else {
            RunEnd::Replaced
        }
    }

    fn renew(&mut self, report: TargetReport, now: Instant) -> ReportEffect {
        let is_first = self.report.run.0 == 0;
        if !is_first && report.sequence <= self.report.sequence {
            return ReportEffect::Stale;
        }
        let was_available = !self.leaving && !self.down && !self.is_unconfirmed();
        self.leaving |= report.state == ReportedState::Draining;
        self.last_seen = now;
        self.down = false;
        self.unconfirmed = self.unconfirmed.saturating_sub(1);
        let is_available = !self.leaving && !self.is_unconfirmed();
        let changed = self.report.service != report.service
            || self.report.slots != report.slots
            || self.report.version != report.version
            || is_first
            || was_available != is_available;
        self.report = report;
        if changed {
            ReportEffect::Changed
        } else {
            ReportEffect::Renewed
        }
    }
}
