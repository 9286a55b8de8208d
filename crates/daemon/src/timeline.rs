//! Events of all daemons, gathered by the one that an operator asks.

use std::sync::Arc;
use std::time::Duration;

use model::{DaemonId, ErrorKind, KindError};
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;
use trace::ProcessReport;

use crate::core::DaemonCore;
use crate::peer::PeerRequest;

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

/// The span that a question names as `since_ms`.
pub fn read_since(url: &str) -> Result<Duration> {
    let query = url.split_once('?').map_or("", |(_, query)| query);
    let named = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("since_ms="));
    let Some(text) = named else {
        return Ok(DEFAULT_SPAN);
    };
    text.parse()
        .map(Duration::from_millis)
        .map_err(|error| KindError::new(ErrorKind::RequestInvalid, format!("since_ms: {error}")))
}

/// Gathers the events of the last `span` from every live daemon.
pub async fn collect_timeline(core: &Arc<DaemonCore>, span: Duration) -> FleetTimeline {
    let others: Vec<DaemonId> = core.addresses.load().keys().copied().collect();
    let mut line = FleetTimeline {
        reports: vec![core.trace().since(span)],
        silent: Vec::new(),
    };
    let mut asked = JoinSet::new();
    for daemon in others.into_iter().filter(|daemon| *daemon != core.id) {
        if asked.len() >= MAX_ASKED {
            take_report(&mut line, asked.join_next().await);
        }
        let core = Arc::clone(core);
        asked.spawn(async move { ask_report(&core, daemon, span).await });
    }
    while !asked.is_empty() {
        take_report(&mut line, asked.join_next().await);
    }
    line
}

type Asked = std::result::Result<ProcessReport, Box<str>>;

async fn ask_report(core: &DaemonCore, daemon: DaemonId, span: Duration) -> Asked {
    let request = PeerRequest::Timeline(span.as_millis() as u64);
    let answer = core.ask(daemon, &request, REPORT_TIMEOUT).await;
    answer.map_err(|error| format!("{daemon}: {error}").into())
}

fn take_report(
    line: &mut FleetTimeline,
    joined: Option<std::result::Result<Asked, tokio::task::JoinError>>,
) {
    match joined {
        Some(Ok(Ok(report))) => line.reports.push(report),
        Some(Ok(Err(silent))) => line.silent.push(silent),
        Some(Err(error)) => line.silent.push(error.to_string().into()),
        None => {}
    }
}
