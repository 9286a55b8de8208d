//! What a daemon knows of the target beside it.
//!
//! A target tells when it was started and numbers its reports, so a late
//! report of an earlier run, or one that was overtaken, changes nothing. A
//! target that said once that it leaves stays leaving for the rest of that
//! run. A daemon that starts anew beside a running target asks it for its
//! name and holds that until the first report comes. What the daemon's former
//! run acknowledged is lost with it, so a first report that may be a late one
//! opens nothing: the target must answer, or go on reporting.

use std::time::{Duration, Instant};

use model::{CallCount, IncarnationNumber, ServiceName, SharedClock, TargetName};
use smallvec::SmallVec;

/// Earlier runs whose late reports are still recognised.
const MAX_ENDED: usize = 8;

/// Reports in order after which a target counts as confirmed without an answer; late ones
/// come one by one.
const CONFIRMING_REPORTS: u8 = 2;

/// What a target said of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportedState {
    /// Takes requests.
    Ready,
    /// Ends what it runs and takes no more.
    Draining,
}

/// A report of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetReport {
    /// Its name; mostly a new one for each run.
    pub target: TargetName,
    /// When this run was started, in milliseconds of wall time; 0 if it does not say.
    pub run: IncarnationNumber,
    /// Number of the report within the run.
    pub sequence: u64,
    /// The service that it offers.
    pub service: ServiceName,
    /// Requests that it runs at once.
    pub slots: CallCount,
    /// Whether it takes requests.
    pub state: ReportedState,
}

/// A target's last word.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetLeave {
    /// Its name.
    pub target: TargetName,
    /// The run that ends; 0 if it does not say.
    pub run: IncarnationNumber,
}

/// What a report changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportEffect {
    /// Another run, service, number of slots or state.
    Changed,
    /// Nothing but its time.
    Renewed,
    /// Nothing: it was overtaken or belongs to an ended run.
    Stale,
}

#[derive(Clone, Debug)]
struct KnownTarget {
    report: TargetReport,
    heard: Instant,
    leaving: bool,
    down: bool,
    /// Reports missing until it counts as confirmed.
    unconfirmed: u8,
}

/// The target beside one daemon.
#[derive(Debug)]
pub struct LocalTarget {
    clock: SharedClock,
    silence: Duration,
    known: Option<KnownTarget>,
    ended: SmallVec<[(TargetName, IncarnationNumber); MAX_ENDED]>,
}

impl LocalTarget {
    /// No target known; one that is not heard of for `silence` is not offered.
    pub fn new(silence: Duration, clock: SharedClock) -> Self {
        Self {
            clock,
            silence,
            known: None,
            ended: SmallVec::new(),
        }
    }

    /// Takes a report.
    pub fn on_report(&mut self, report: TargetReport) -> ReportEffect {
        let now = self.clock.now();
        if self.has_ended(&report.target, report.run) {
            return ReportEffect::Stale;
        }
        let Some(known) = &mut self.known else {
            let mut known = KnownTarget::new(report, now);
            if self.ended.is_empty() && known.report.sequence > 1 {
                known.unconfirmed = CONFIRMING_REPORTS;
            }
            self.known = Some(known);
            return ReportEffect::Changed;
        };
        // A target found by asking has run 0 until its first report names the run.
        let same = known.report.target == report.target
            && (known.report.run == report.run || known.report.run.0 == 0);
        if same {
            return known.renew(report, now);
        }
        if report.run < known.report.run {
            return ReportEffect::Stale;
        }
        let last = std::mem::replace(known, KnownTarget::new(report, now));
        self.end(last.report.target, last.report.run);
        ReportEffect::Changed
    }

    /// Takes a target's last word; whether it was news.
    pub fn on_leave(&mut self, leave: TargetLeave) -> bool {
        let Some(known) = &mut self.known else {
            self.end(leave.target, leave.run);
            return false;
        };
        let report = &known.report;
        let unnamed = leave.run.0 == 0 || report.run.0 == 0;
        if report.target == leave.target && (report.run == leave.run || unnamed) {
            return !std::mem::replace(&mut known.leaving, true);
        }
        self.end(leave.target, leave.run);
        false
    }

    /// Notes that the target answered a request.
    pub fn on_answer(&mut self) {
        let now = self.clock.now();
        if let Some(known) = &mut self.known {
            known.heard = now;
            known.down = false;
            known.unconfirmed = 0;
        }
    }

    /// Notes that nothing listens at the target's address; whether it was news.
    pub fn on_connection_refused(&mut self) -> bool {
        let known = self.known.as_mut();
        known.is_some_and(|known| !std::mem::replace(&mut known.down, true))
    }

    /// Notes that another run answers at the target's address; the known one has ended.
    pub fn on_replaced(&mut self) {
        if let Some(known) = self.known.take() {
            self.end(known.report.target, known.report.run);
        }
    }

    /// What it last said, if any run is known.
    pub fn report(&self) -> Option<&TargetReport> {
        self.known.as_ref().map(|known| &known.report)
    }

    /// Whether its leaving was acknowledged.
    pub fn is_leaving(&self) -> bool {
        self.known.as_ref().is_some_and(|known| known.leaving)
    }

    /// Whether its first report may be a late one, and it has not answered since.
    pub fn is_unconfirmed(&self) -> bool {
        self.known.as_ref().is_some_and(KnownTarget::is_unconfirmed)
    }

    /// Whether nothing listens at its address.
    pub fn is_down(&self) -> bool {
        self.known.as_ref().is_some_and(|known| known.down)
    }

    /// The report of a target that takes requests: known, not leaving, reachable, not silent.
    pub fn available(&self) -> Option<&TargetReport> {
        let now = self.clock.now();
        let known = self.known.as_ref()?;
        let silent = now.saturating_duration_since(known.heard) > self.silence;
        let willing = !known.leaving && !known.down && !silent && !known.is_unconfirmed();
        willing.then_some(&known.report)
    }

    fn has_ended(&self, target: &TargetName, run: IncarnationNumber) -> bool {
        let mut ended = self.ended.iter();
        ended.any(|(name, last)| name == target && (run <= *last || last.0 == 0))
    }

    fn end(&mut self, target: TargetName, run: IncarnationNumber) {
        if self.ended.len() == MAX_ENDED {
            self.ended.remove(0);
        }
        self.ended.push((target, run));
    }
}

impl KnownTarget {
    fn new(report: TargetReport, now: Instant) -> Self {
        Self {
            leaving: report.state == ReportedState::Draining,
            heard: now,
            down: false,
            unconfirmed: 0,
            report,
        }
    }

    fn is_unconfirmed(&self) -> bool {
        self.unconfirmed > 0
    }

    fn renew(&mut self, report: TargetReport, now: Instant) -> ReportEffect {
        let first = self.report.run.0 == 0;
        if !first && report.sequence <= self.report.sequence {
            return ReportEffect::Stale;
        }
        let was_willing = !self.leaving && !self.down && !self.is_unconfirmed();
        self.leaving |= report.state == ReportedState::Draining;
        self.heard = now;
        self.down = false;
        self.unconfirmed = self.unconfirmed.saturating_sub(1);
        let is_willing = !self.leaving && !self.is_unconfirmed();
        let changed = self.report.service != report.service
            || self.report.slots != report.slots
            || first
            || was_willing != is_willing;
        self.report = report;
        if changed {
            ReportEffect::Changed
        } else {
            ReportEffect::Renewed
        }
    }
}
