//! Requests in flight at the targets beside a daemon, and those that lately ran to their end.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use model::TargetName;

use super::CrashId;
use crate::print::RequestPrint;

/// Finished requests that are remembered as innocent.
const MAX_FINISHED: usize = 2048;

/// How long a request stays a possible cause after its connection broke: a
/// target that is restarted at once shows its crash only by its next heartbeat.
const BROKEN_MEMORY: Duration = Duration::from_secs(5);
/// Most broken requests that are remembered for a target.
const MAX_BROKEN: usize = 64;
/// Connections that break so soon after a crash belong to the same one.
const SAME_CRASH: Duration = Duration::from_millis(200);

/// What a broken connection may mean.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BreakCause {
    /// A crash that already counts this request among its suspects.
    Known,
    /// A crash that was just found without this request.
    Recent(CrashId),
    /// Perhaps a crash that nobody has found yet.
    Open,
}

/// What runs and ran beside a daemon.
#[derive(Debug, Default)]
pub struct FlightTable {
    flying: HashMap<TargetName, HashMap<RequestPrint, u32>>,
    broken: HashMap<TargetName, VecDeque<(RequestPrint, Instant)>>,
    crashed: HashMap<TargetName, (CrashId, Instant)>,
    finished: HashSet<RequestPrint>,
    order: VecDeque<RequestPrint>,
}

impl FlightTable {
    /// A request goes to a target.
    pub fn start(&mut self, target: &TargetName, print: RequestPrint) {
        if !self.flying.contains_key(target) {
            self.flying.insert(target.clone(), HashMap::new());
        }
        let flying = self.flying.get_mut(target);
        *flying.expect("just inserted").entry(print).or_default() += 1;
    }

    /// A request left its target, whether answered or not.
    pub fn leave(&mut self, target: &TargetName, print: RequestPrint) {
        let Some(flying) = self.flying.get_mut(target) else {
            return;
        };
        if let Some(count) = flying.get_mut(&print) {
            *count -= 1;
            if *count == 0 {
                flying.remove(&print);
            }
        }
        if flying.is_empty() {
            self.flying.remove(target);
        }
    }

    /// Remembers that a request ran to its end.
    pub fn note_finished(&mut self, print: RequestPrint) {
        if !self.finished.insert(print) {
            return;
        }
        self.order.push_back(print);
        if self.order.len() > MAX_FINISHED
            && let Some(oldest) = self.order.pop_front()
        {
            self.finished.remove(&oldest);
        }
    }

    /// Whether a request lately ran to its end here.
    pub fn has_finished(&self, print: RequestPrint) -> bool {
        self.finished.contains(&print)
    }

    /// The requests in flight at a target, each once.
    pub fn flying(&self, target: &TargetName) -> impl Iterator<Item = RequestPrint> {
        self.flying
            .get(target)
            .into_iter()
            .flatten()
            .map(|(print, _)| *print)
    }

    /// A request's connection broke; it is no longer in flight.
    pub fn note_broken(
        &mut self,
        target: &TargetName,
        print: RequestPrint,
        now: Instant,
    ) -> BreakCause {
        let flying = self.flying.get(target);
        let taken = flying.is_none_or(|flying| !flying.contains_key(&print));
        self.leave(target, print);
        if taken {
            return BreakCause::Known;
        }
        if let Some((crash, at)) = self.crashed.get(target)
            && now.saturating_duration_since(*at) < SAME_CRASH
        {
            return BreakCause::Recent(*crash);
        }
        let broken = self.broken.entry(target.clone()).or_default();
        if broken.len() >= MAX_BROKEN {
            broken.pop_front();
        }
        broken.push_back((print, now));
        BreakCause::Open
    }

    /// Whether a broken request still has no crash that explains it.
    pub fn is_broken(&self, target: &TargetName, print: RequestPrint) -> bool {
        let mut broken = self.broken.get(target).into_iter().flatten();
        broken.any(|(found, _)| *found == print)
    }

    /// Takes all that is in flight at a target or lately broke there, when it crashed.
    pub fn take_flying(&mut self, target: &TargetName, now: Instant) -> Vec<RequestPrint> {
        let mut prints = self.take_broken(target, now);
        let flying = self.flying.remove(target).unwrap_or_default();
        prints.extend(flying.into_keys());
        prints.sort_unstable();
        prints.dedup();
        prints
    }

    /// Takes what lately broke at a target, when a new run of it is there.
    pub fn take_broken(&mut self, target: &TargetName, now: Instant) -> Vec<RequestPrint> {
        let broken = self.broken.remove(target).unwrap_or_default();
        let is_late = |at: Instant| now.saturating_duration_since(at) >= BROKEN_MEMORY;
        let lately = broken.into_iter().filter(|(_, at)| !is_late(*at));
        let mut prints: Vec<RequestPrint> = lately.map(|(print, _)| print).collect();
        prints.sort_unstable();
        prints.dedup();
        prints
    }

    /// Remembers when a target crashed.
    pub fn note_crash(&mut self, target: &TargetName, crash: CrashId, now: Instant) {
        self.crashed.insert(target.clone(), (crash, now));
    }

    /// Forgets what broke and crashed long ago.
    pub fn on_tick(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.crashed.retain(|_, (_, at)| age(*at) < SAME_CRASH);
        self.broken.retain(|_, broken| {
            broken.retain(|(_, at)| age(*at) < BROKEN_MEMORY);
            !broken.is_empty()
        });
    }
}
