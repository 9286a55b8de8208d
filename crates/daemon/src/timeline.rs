//! Collects the timeline events of all daemons for an operator's request.
//!
//! The total number of events is limited and divided among the daemons, each of which sends
//! its newest events.

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

/// Result of parsing a request; errors have the kind `RequestInvalid`.
pub type Result<T> = model::Result<T>;

/// Maximum number of daemons that are queried at once.
const MAX_CONCURRENT_QUERIES: usize = 32;
/// Time for a daemon to answer.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time span if the request has none.
const DEFAULT_SPAN: Duration = Duration::from_secs(300);

/// Events of all daemons.
#[derive(Debug, Deserialize, Serialize)]
pub struct FleetTimeline {
    /// Reports of the daemons that answered.
    pub reports: Vec<ProcessReport>,
    /// Daemons that did not answer, with the reason.
    pub silent: Vec<Box<str>>,
}

/// Default and maximum number of events in a timeline.
///
/// With this limit, two operators at once use less than half of a daemon's 32 MB of memory,
/// including the encoded answers.
pub const MAX_TIMELINE_EVENTS: u32 = 10_000;

/// Parses the query parameters of a request; `most` limits the events of the whole fleet.
pub fn read_query(parameters: &str) -> Result<EventQuery> {
    let mut query = EventQuery {
        most: MAX_TIMELINE_EVENTS,
        ..EventQuery::within(DEFAULT_SPAN)
    };
    for pair in parameters.split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        match name {
            "since_ms" => query.span_ms = parse_value(name, value)?,
            "events" => query.most = parse_value::<u32>(name, value)?.min(MAX_TIMELINE_EVENTS),
            "service" => query.service = Some(parse_value(name, value)?),
            "domain" => query.domain = Some(parse_value(name, value)?),
            "process" => query.process = Some(parse_value(name, value)?),
            _ => return Err(invalid_parameter(name, &"no such parameter")),
        }
    }
    Ok(query)
}

fn parse_value<T: FromStr<Err: Display>>(name: &str, value: &str) -> Result<T> {
    value
        .parse()
        .map_err(|error| invalid_parameter(name, &error))
}

fn invalid_parameter(name: &str, error: &dyn Display) -> KindError {
    KindError::new(ErrorKind::RequestInvalid, format!("{name}: {error}"))
}

/// Divides a total number of events among the daemons in two rounds.
///
/// In the first round each daemon may send the same number. The unused part is then divided
/// equally among the daemons that had more events; they are queried again with the higher
/// number and resend their newest events.
#[derive(Debug)]
pub struct TimelineCollector {
    query: EventQuery,
    /// Maximum number of events of all daemons; that of one daemon is in `query`.
    max_events: usize,
    reports: Vec<ProcessReport>,
}

impl TimelineCollector {
    /// Returns a collector of up to `query.most` events from `daemons` daemons.
    pub fn new(query: EventQuery, daemons: usize) -> Self {
        let max_events = query.most as usize;
        let share = (max_events / daemons.max(1)).max(1);
        Self {
            query: EventQuery {
                most: share as u32,
                ..query
            },
            max_events,
            reports: Vec::new(),
        }
    }

    /// Returns the query of the current round.
    pub fn query(&self) -> &EventQuery {
        &self.query
    }

    /// Adds a daemon's report; its second report replaces its first.
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

    /// Starts the second round; returns the daemons to query again.
    pub fn start_second_round(&mut self) -> Vec<DaemonId> {
        let collected: usize = self.reports.iter().map(|report| report.events.len()).sum();
        let share = self.query.most as usize;
        let is_truncated =
            |report: &&ProcessReport| report.dropped > 0 && report.events.len() >= share;
        let truncated: Vec<DaemonId> = self
            .reports
            .iter()
            .filter(is_truncated)
            .map(|report| report.process.daemon)
            .collect();
        let extra_share = self.max_events.saturating_sub(collected) / truncated.len().max(1);
        if extra_share == 0 {
            return Vec::new();
        }
        self.query.most = (share + extra_share) as u32;
        truncated
    }

    /// Returns the collected reports.
    pub fn finish(self) -> Vec<ProcessReport> {
        self.reports
    }
}

/// Collects the events of all live daemons.
pub async fn collect_timeline(core: &Arc<DaemonCore>, query: EventQuery) -> FleetTimeline {
    let mut others: Vec<DaemonId> = core.addresses.load().keys().copied().collect();
    others.retain(|daemon| *daemon != core.id);
    let mut collector = TimelineCollector::new(query, others.len() + 1);
    let silent = query_round(core, &mut collector, others).await;
    let truncated = collector.start_second_round();
    // A daemon that does not answer the second time keeps its first report.
    query_round(core, &mut collector, truncated).await;
    FleetTimeline {
        reports: collector.finish(),
        silent,
    }
}

/// Queries this daemon and `daemons`; returns those that did not answer.
async fn query_round(
    core: &Arc<DaemonCore>,
    collector: &mut TimelineCollector,
    daemons: Vec<DaemonId>,
) -> Vec<Box<str>> {
    let query = collector.query().clone();
    collector.add_report(core.trace().select(&query));
    let mut silent = Vec::new();
    let mut queries = JoinSet::new();
    for daemon in daemons.into_iter().filter(|daemon| *daemon != core.id) {
        if queries.len() >= MAX_CONCURRENT_QUERIES {
            add_result(collector, &mut silent, queries.join_next().await);
        }
        let (core, query) = (Arc::clone(core), query.clone());
        queries.spawn(async move { query_daemon(&core, daemon, query).await });
    }
    while !queries.is_empty() {
        add_result(collector, &mut silent, queries.join_next().await);
    }
    silent
}

type QueryResult = std::result::Result<ProcessReport, Box<str>>;

async fn query_daemon(core: &DaemonCore, daemon: DaemonId, query: EventQuery) -> QueryResult {
    let request = PeerRequest::Events(Box::new(query));
    let answer = core.ask(daemon, &request, REPORT_TIMEOUT).await;
    answer.map_err(|error| format!("{daemon}: {error}").into())
}

fn add_result(
    collector: &mut TimelineCollector,
    silent: &mut Vec<Box<str>>,
    joined: Option<std::result::Result<QueryResult, tokio::task::JoinError>>,
) {
    match joined {
        Some(Ok(Ok(report))) => collector.add_report(report),
        Some(Ok(Err(error))) => silent.push(error),
        Some(Err(error)) => silent.push(error.to_string().into()),
        None => {}
    }
}
