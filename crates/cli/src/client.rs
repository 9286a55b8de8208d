//! Questions to the operator interface of daemons.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use daemon::status::StatusReport;
use daemon::timeline::FleetTimeline;
use feed::{HttpLog, SharedLog};
use model::{ChangeId, ConfigVersion, ErrorKind, KindError};
use plans::{ChangeVerdict, ConfigState, StateSnapshot};
use serde::de::DeserializeOwned;
use ureq::Agent;
use ureq::http::Response;

use crate::config::{DaemonArgs, DaemonList, Result};

/// Time for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for a daemon to reach a version that others have.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two questions to a daemon that is behind.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(100);
/// Largest answer in bytes.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// A client of whichever daemon answers.
#[derive(Clone, Debug)]
pub struct DaemonClient {
    daemons: DaemonList,
    /// Place of the daemon that answered last.
    answering: Arc<AtomicUsize>,
    log: Option<Box<str>>,
    agent: Agent,
}

impl DaemonClient {
    /// A client of the daemons that the arguments name.
    pub fn new(args: &DaemonArgs) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(ANSWER_TIMEOUT))
            .build();
        Self {
            daemons: args.daemon.clone(),
            answering: Arc::default(),
            log: args.log.as_deref().map(Box::from),
            agent: config.into(),
        }
    }

    /// The daemon's view of itself and the fleet.
    pub fn status(&self) -> Result<StatusReport> {
        self.get("/v1/status")?.read_json_body()
    }

    /// The accepted configuration; the empty one before the first change.
    pub fn state(&self) -> Result<ConfigState> {
        match self.get("/v1/snapshot")?.read_bytes() {
            Ok(bytes) => Ok(StateSnapshot::decode(&bytes)?.into_state()),
            Err(error) if error.kind == ErrorKind::ConfigAbsent => Ok(ConfigState::new()),
            Err(error) => Err(error),
        }
    }

    /// The accepted configuration, not older than `version`.
    ///
    /// Kinds: those of [`Self::state`]; `ConfigStale` if the daemon stays behind.
    pub fn state_at_least(&self, version: ConfigVersion) -> Result<ConfigState> {
        let started = Instant::now();
        loop {
            let state = self.state()?;
            if state.base() >= version {
                return Ok(state);
            }
            if started.elapsed() > CATCH_UP_TIMEOUT {
                let base = state.base();
                let detail = format!(
                    "the daemon is at {base}, before {version}; ask another one; \
                     if all are, the log lost records: quetzal rebase DIR"
                );
                return Err(KindError::new(ErrorKind::ConfigStale, detail));
            }
            thread::sleep(CATCH_UP_INTERVAL);
        }
    }

    /// The verdict on a change, once the daemon has folded it.
    pub fn outcome(&self, change: ChangeId) -> Result<Option<ChangeVerdict>> {
        self.get(&format!("/v1/outcome/{change}"))?.read_json_body()
    }

    /// Events of all daemons; `parameters` name which.
    pub fn timeline(&self, parameters: &str) -> Result<FleetTimeline> {
        self.get(&format!("/v1/timeline?{parameters}"))?
            .read_json_body()
    }

    /// The log service, as named or as the daemon uses it.
    pub fn log(&self) -> Result<SharedLog> {
        let url = match &self.log {
            Some(url) => url.clone(),
            None => self.status()?.log_url,
        };
        Ok(Arc::new(HttpLog::new(&url)))
    }

    /// Asks the daemon that answered last, then the others in turn.
    fn get(&self, path: &str) -> Result<ClientAnswer> {
        let daemons = self.daemons.addresses();
        let first = self.answering.load(Ordering::Relaxed);
        let mut failures = Vec::new();
        for step in 0..daemons.len() {
            let place = (first + step) % daemons.len();
            match self.ask(daemons[place], path) {
                Ok(answer) => {
                    self.answering.store(place, Ordering::Relaxed);
                    return Ok(answer);
                }
                Err(failure) => failures.push(failure),
            }
        }
        let failures = failures.join("; ");
        let detail = format!("{failures}; name a daemon that runs with --daemon IP:PORT");
        Err(KindError::new(ErrorKind::PeerUnavailable, detail))
    }

    fn ask(&self, daemon: SocketAddr, path: &str) -> std::result::Result<ClientAnswer, String> {
        let url = format!("http://{daemon}{path}");
        let response = self.agent.get(url).call();
        response
            .map(ClientAnswer)
            .map_err(|error| format!("daemon {daemon}: {error}"))
    }
}

struct ClientAnswer(Response<ureq::Body>);

impl ClientAnswer {
    fn read_bytes(mut self) -> Result<Vec<u8>> {
        let status = self.0.status();
        let bytes = self
            .0
            .body_mut()
            .with_config()
            .limit(MAX_ANSWER_BYTES)
            .read_to_vec()
            .map_err(|error| KindError::new(ErrorKind::PeerUnavailable, error.to_string()))?;
        if status.is_success() {
            return Ok(bytes);
        }
        Err(serde_json::from_slice(&bytes).unwrap_or_else(|_| {
            KindError::new(
                ErrorKind::PeerUnavailable,
                format!("the daemon answered {status}"),
            )
        }))
    }

    fn read_json_body<T: DeserializeOwned>(self) -> Result<T> {
        let bytes = self.read_bytes()?;
        serde_json::from_slice(&bytes)
            .map_err(|error| KindError::new(ErrorKind::FrameInvalid, error.to_string()))
    }
}
