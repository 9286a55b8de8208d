//! HTTP client for the operator interface of the daemons.

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

/// Time after which a request fails.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which waiting for a daemon to reach a version fails.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between requests to a daemon that is behind.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum size of a response body in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// A client that uses the first daemon of a list that answers.
#[derive(Clone, Debug)]
pub struct DaemonClient {
    daemons: DaemonList,
    /// Index of the daemon that answered last.
    last_answered: Arc<AtomicUsize>,
    log_url: Option<Box<str>>,
    agent: Agent,
}

impl DaemonClient {
    /// Creates a client of the daemons given by the arguments.
    pub fn new(args: &DaemonArgs) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(REQUEST_TIMEOUT))
            .build();
        Self {
            daemons: args.daemon.clone(),
            last_answered: Arc::default(),
            log_url: args.log.as_deref().map(Box::from),
            agent: config.into(),
        }
    }

    /// Fetches the daemon's view of itself and the fleet.
    pub fn status(&self) -> Result<StatusReport> {
        self.get("/v1/status")?.read_json_body()
    }

    /// Fetches the accepted configuration, which is empty before the first change.
    pub fn state(&self) -> Result<ConfigState> {
        match self.get("/v1/snapshot")?.read_bytes() {
            Ok(bytes) => Ok(StateSnapshot::decode(&bytes)?.into_state()),
            Err(error) if error.kind == ErrorKind::ConfigAbsent => Ok(ConfigState::new()),
            Err(error) => Err(error),
        }
    }

    /// Fetches the accepted configuration, waiting until it is not older than `version`.
    ///
    /// Errors: those of [`Self::state`]; `ConfigStale` if the daemon stays behind.
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
                    "the daemon is at {base}, before {version}; ask another daemon; \
                     if all are behind, the log lost records: run quetzal rebase DIR"
                );
                return Err(KindError::new(ErrorKind::ConfigStale, detail));
            }
            thread::sleep(CATCH_UP_INTERVAL);
        }
    }

    /// Fetches the verdict on a change; `None` until the daemon has processed the change.
    pub fn outcome(&self, change: ChangeId) -> Result<Option<ChangeVerdict>> {
        self.get(&format!("/v1/outcome/{change}"))?.read_json_body()
    }

    /// Fetches events of all daemons; `parameters` is the query string that selects them.
    pub fn timeline(&self, parameters: &str) -> Result<FleetTimeline> {
        self.get(&format!("/v1/timeline?{parameters}"))?
            .read_json_body()
    }

    /// Connects to the log service given by the arguments, or else to the one the daemon uses.
    pub fn log(&self) -> Result<SharedLog> {
        let url = match &self.log_url {
            Some(url) => url.clone(),
            None => self.status()?.log_url,
        };
        Ok(Arc::new(HttpLog::new(&url)))
    }

    /// Sends a request to the daemon that answered last, then to the others in turn.
    fn get(&self, path: &str) -> Result<DaemonResponse> {
        let daemons = self.daemons.addresses();
        let first = self.last_answered.load(Ordering::Relaxed);
        let mut failures = Vec::new();
        for attempt in 0..daemons.len() {
            let index = (first + attempt) % daemons.len();
            match self.get_from(daemons[index], path) {
                Ok(response) => {
                    self.last_answered.store(index, Ordering::Relaxed);
                    return Ok(response);
                }
                Err(failure) => failures.push(failure),
            }
        }
        let failures = failures.join("; ");
        let detail = format!("{failures}; name a running daemon with --daemon IP:PORT");
        Err(KindError::new(ErrorKind::PeerUnavailable, detail))
    }

    fn get_from(
        &self,
        daemon: SocketAddr,
        path: &str,
    ) -> std::result::Result<DaemonResponse, String> {
        let url = format!("http://{daemon}{path}");
        let response = self.agent.get(url).call();
        response
            .map(DaemonResponse)
            .map_err(|error| format!("daemon {daemon}: {error}"))
    }
}

/// A daemon's response to a request.
struct DaemonResponse(Response<ureq::Body>);

impl DaemonResponse {
    fn read_bytes(mut self) -> Result<Vec<u8>> {
        let status = self.0.status();
        let bytes = self
            .0
            .body_mut()
            .with_config()
            .limit(MAX_RESPONSE_BYTES)
            .read_to_vec()
            .map_err(|error| KindError::new(ErrorKind::PeerUnavailable, error.to_string()))?;
        if status.is_success() {
            return Ok(bytes);
        }
        Err(serde_json::from_slice(&bytes).unwrap_or_else(|_| {
            KindError::new(
                ErrorKind::PeerUnavailable,
                format!("the daemon responded with status {status}"),
            )
        }))
    }

    fn read_json_body<T: DeserializeOwned>(self) -> Result<T> {
        let bytes = self.read_bytes()?;
        serde_json::from_slice(&bytes)
            .map_err(|error| KindError::new(ErrorKind::FrameInvalid, error.to_string()))
    }
}
