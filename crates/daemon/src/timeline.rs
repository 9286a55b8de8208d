//! Events of all daemons, gathered by the one that an operator asks.
//!
//! The number of events is bounded for the whole fleet and shared over the
//! daemons, each of which sends its newest.

use std::fmt::Display;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use model::{DaemonId, ErrorKind, KindError};
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;
use trace::{EventQuery, ProcessReport};

use crate::core::DaemonCore;
use crate::peer_messages::PeerRequest;

/// Results of reading the question; the kind is `RequestInvalid`.
pub type Result<T> = model::Result<T>;

/// Daemons asked at once.
const MAX_ASKED: usize = 32;
/// Time for a daemon to answer.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time span if none is named.
const DEFAULT_SPAN: Duration = Duration::from_secs(300);

/// What every daemon noted.
#[derive(Debug, Deserialize, Serialize)]
pub struct FleetTimeline {
    /// A report of each daemon that answered.
    pub reports: Vec<ProcessReport>,
    /// Daemons that did not answer.
    pub silent: Vec<Box<str>>,
}

/// Most events if no number is named, and the most that may be.
///
/// Two operators at once then take less than half of a daemon's 32 MB, with the
/// answers as text.
pub const MAX_TIMELINE_EVENTS: u32 = 10_000;

/// The question that the parameters of a request name; `most` is that of the whole fleet.
pub fn read_query(parameters: &str) -> Result<EventQuery> {
    let mut query = EventQuery {
        most: MAX_TIMELINE_EVENTS,
        ..EventQuery::within(DEFAULT_SPAN)
    };
    for pair in parameters.split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        match name {
            "since_ms" => query.span_ms = read(name, value)?,
            "events" => query.most = read::<u32>(name, value)?.min(MAX_TIMELINE_EVENTS),
            "service" => query.service = Some(read(name, value)?),
            "domain" => query.domain = Some(read(name, value)?),
            "process" => query.process = Some(read(name, value)?),
            _ => return Err(unreadable(name, &"no such parameter")),
        }
    }
    Ok(query)
}

fn read<T: FromStr<Err: Display>>(name: &str, value: &str) -> Result<T> {
    value.parse().map_err(|error| unreadable(name, &error))
}

fn unreadable(name: &str, error: &dyn Display) -> KindError {
    KindError::new(ErrorKind::RequestInvalid, format!("{name}: {error}"))
}

/// Shares a number of events over the daemons, in two rounds.
///
/// In the first each may send the same number. What is left then goes to those
/// that had more, in equal parts; they send the newer events again with it.
#[derive(Debug)]
pub struct TimelineCollector {
    query: EventQuery,
    most: usize,
    reports: Vec<ProcessReport>,
}

impl TimelineCollector {
    /// A gathering of `query.most` events from `daemons` daemons.
    pub fn new(query: EventQuery, daemons: usize) -> Self {
        let most = query.most as usize;
        let share = (most / daemons.max(1)).max(1);
        Self {
            query: EventQuery {
                most: share as u32,
                ..query
            },
            most,
            reports: Vec::new(),
        }
    }

    /// The question of this round.
    pub fn query(&self) -> &EventQuery {
        &self.query
    }

    /// Takes an answer; the second of a daemon replaces its first.
    pub fn add_report(&mut self, mut report: ProcessReport) {
        if !self.query.matches_process(&report.process) {
            return;
        }
        let surplus = report.events.len().saturating_sub(self.query.most as usize);
        report.events.drain(..surplus);
        report.dropped += surplus as u64;
        let daemon = report.process.daemon;
        let mut known = self.reports.iter_mut();
        match known.find(|known| known.process.daemon == daemon) {
            Some(known) => *known = report,
            None => self.reports.push(report),
        }
    }

    /// Begins the second round; tells whom to ask again.
    pub fn start_second_round(&mut self) -> Vec<DaemonId> {
        let used: usize = self.reports.iter().map(|report| report.events.len()).sum();
        let share = self.query.most as usize;
        let cut = |report: &&ProcessReport| report.dropped > 0 && report.events.len() >= share;
        let again: Vec<DaemonId> = self
            .reports
            .iter()
            .filter(cut)
            .map(|report| report.process.daemon)
            .collect();
        let more = self.most.saturating_sub(used) / again.len().max(1);
        if more == 0 {
            return Vec::new();
        }
        self.query.most = (share + more) as u32;
        again
    }

    /// The reports.
    pub fn finish(self) -> Vec<ProcessReport> {
        self.reports
    }
}

/// Gathers events from every live daemon.
pub async fn collect_timeline(core: &Arc<DaemonCore>, query: EventQuery) -> FleetTimeline {
    let mut others: Vec<DaemonId> = core.addresses.load().keys().copied().collect();
    others.retain(|daemon| *daemon != core.id);
    let mut collector = TimelineCollector::new(query, others.len() + 1);
    let silent = ask_round(core, &mut collector, others).await;
    let again = collector.start_second_round();
    // One that does not answer again keeps its first report.
    ask_round(core, &mut collector, again).await;
    FleetTimeline {
        reports: collector.finish(),
        silent,
    }
}

/// Asks this daemon and `daemons`; tells who did not answer.
async fn ask_round(
    core: &Arc<DaemonCore>,
    collector: &mut TimelineCollector,
    daemons: Vec<DaemonId>,
) -> Vec<Box<str>> {
    let query = collector.query().clone();
    collector.add_report(core.trace().select(&query));
    let mut silent = Vec::new();
    let mut asked = JoinSet::new();
    for daemon in daemons.into_iter().filter(|daemon| *daemon != core.id) {
        if asked.len() >= MAX_ASKED {
            take_report(collector, &mut silent, asked.join_next().await);
        }
        let (core, query) = (Arc::clone(core), query.clone());
        asked.spawn(async move { ask_report(&core, daemon, query).await });
    }
    while !asked.is_empty() {
        take_report(collector, &mut silent, asked.join_next().await);
    }
    silent
}

type Asked = std::result::Result<ProcessReport, Box<str>>;

async fn ask_report(core: &DaemonCore, daemon: DaemonId, query: EventQuery) -> Asked {
    let request = PeerRequest::Events(Box::new(query));
    let answer = core.ask(daemon, &request, REPORT_TIMEOUT).await;
    answer.map_err(|error| format!("{daemon}: {error}").into())
}

fn take_report(
    collector: &mut TimelineCollector,
    silent: &mut Vec<Box<str>>,
    joined: Option<std::result::Result<Asked, tokio::task::JoinError>>,
) {
    match joined {
        Some(Ok(Ok(report))) => collector.add_report(report),
        Some(Ok(Err(error))) => silent.push(error),
        Some(Err(error)) => silent.push(error.to_string().into()),
        None => {}
    }
}
