//! Counters, gauges and histograms, served as text.
//!
//! `cadence`, which the rest of the product uses, sends counts to a collector
//! and serves no page; here a scraper asks, so the `prometheus` library stands
//! in. Every label has a bounded set of values: kinds of error, outcomes and
//! services of the configuration, never ids or paths.

use std::time::Duration;

use http::{HeaderValue, Response, header};
use model::{ErrorKind, KindError};
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

use crate::core::ProxyCore;
use crate::reply::{CallerReply, ReplyBody};

/// Results of registering; the kind is `LocalFailed`.
pub type Result<T> = model::Result<T>;

/// Upper bounds of the histograms in seconds, from a local call to a long deadline.
const BUCKETS_S: [f64; 12] = [
    0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4,
];

/// How a request of a caller ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// The target answered with anything but a failure of its own.
    Served,
    /// The target answered with a failure of its own.
    Failed,
    /// It has not run; the caller was told to come back.
    Refused,
    /// It may have run; the caller was promised nothing.
    Unknown,
}

impl RequestOutcome {
    /// The label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::Failed => "failed",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }
}

/// The metrics of one daemon.
#[derive(Debug)]
pub struct ProxyMetrics {
    registry: Registry,
    requests: IntCounterVec,
    request_s: HistogramVec,
    attempts: IntCounterVec,
    queue_s: HistogramVec,
    target_s: HistogramVec,
    errors: IntCounterVec,
    config_version: IntGauge,
    members: IntGauge,
    ready: IntGauge,
    running: IntGauge,
    waiting: IntGauge,
    target_up: IntGauge,
    store_up: IntGauge,
}

impl ProxyMetrics {
    /// A board with every metric at zero.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let made = IntCounterVec::new(Opts::new(name, help), labels).map_err(failed)?;
            registry.register(Box::new(made.clone())).map_err(failed)?;
            Ok::<_, KindError>(made)
        };
        let histogram = |name: &str, help: &str, labels: &[&str]| {
            let options = HistogramOpts::new(name, help).buckets(BUCKETS_S.to_vec());
            let made = HistogramVec::new(options, labels).map_err(failed)?;
            registry.register(Box::new(made.clone())).map_err(failed)?;
            Ok::<_, KindError>(made)
        };
        let gauge = |name: &str, help: &str| {
            let made = IntGauge::new(name, help).map_err(failed)?;
            registry.register(Box::new(made.clone())).map_err(failed)?;
            Ok::<_, KindError>(made)
        };
        Ok(Self {
            requests: counter(
                "quetzal_requests_total",
                "Requests taken in, by service, origin and outcome.",
                &["service", "origin", "outcome"],
            )?,
            request_s: histogram(
                "quetzal_request_seconds",
                "Time from a request to its answer.",
                &["service", "outcome"],
            )?,
            attempts: counter(
                "quetzal_attempts_total",
                "Attempts at daemons beside targets, by how they ended.",
                &["service", "end"],
            )?,
            queue_s: histogram(
                "quetzal_queue_seconds",
                "Time for which requests that ran here waited for a slot.",
                &["service"],
            )?,
            target_s: histogram(
                "quetzal_target_seconds",
                "Time for which the target beside this daemon worked on a request.",
                &["service"],
            )?,
            errors: counter(
                "quetzal_errors_total",
                "Answers of this daemon itself, by kind of error.",
                &["kind"],
            )?,
            config_version: gauge(
                "quetzal_config_version",
                "Number of the configuration in force.",
            )?,
            members: gauge("quetzal_members", "Other daemons that take part.")?,
            ready: gauge("quetzal_ready", "1 while the daemon takes callers.")?,
            running: gauge("quetzal_running", "Requests that run at the target here.")?,
            waiting: gauge("quetzal_waiting", "Requests that wait for a slot here.")?,
            target_up: gauge(
                "quetzal_target_up",
                "1 while the target here takes requests.",
            )?,
            store_up: gauge("quetzal_store_up", "1 while the store answers.")?,
            registry,
        })
    }

    /// Counts a request that has ended.
    pub fn count_request(
        &self,
        service: &str,
        inner: bool,
        outcome: RequestOutcome,
        took: Duration,
    ) {
        let origin = if inner { "target" } else { "caller" };
        let outcome = outcome.as_str();
        let labels = [service, origin, outcome];
        self.requests.with_label_values(&labels).inc();
        self.request_s
            .with_label_values(&[service, outcome])
            .observe(took.as_secs_f64());
    }

    /// Counts an attempt; `end` is one of a fixed set of words.
    pub fn count_attempt(&self, service: &str, end: &'static str) {
        self.attempts.with_label_values(&[service, end]).inc();
    }

    /// Notes a run at the target beside the daemon.
    pub fn observe_run(&self, service: &str, waited: Duration, ran: Duration) {
        self.queue_s
            .with_label_values(&[service])
            .observe(waited.as_secs_f64());
        self.target_s
            .with_label_values(&[service])
            .observe(ran.as_secs_f64());
    }

    /// Counts an answer of the daemon itself.
    pub fn count_error(&self, kind: ErrorKind) {
        self.errors.with_label_values(&[kind.answer().name]).inc();
    }

    /// Notes whether the store answers.
    pub fn set_store_up(&self, up: bool) {
        self.store_up.set(i64::from(up));
    }

    /// All metrics as text, gauges taken from `core` now.
    pub fn render(&self, core: &ProxyCore) -> Result<Vec<u8>> {
        let load = core.gate.load();
        let version = core.config().version().map_or(0, |version| version.0);
        self.config_version.set(version.cast_signed());
        let members = core.peers().len() as u64;
        self.members.set(members.cast_signed());
        self.ready.set(i64::from(core.is_ready()));
        self.running.set(i64::from(load.in_flight.0));
        self.waiting.set(i64::from(load.queued.0));
        self.target_up
            .set(i64::from(core.own_target().available().is_some()));
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .map_err(failed)?;
        Ok(text)
    }
}

/// The page of all metrics.
pub fn metrics_reply(core: &ProxyCore) -> CallerReply {
    match core.metrics.render(core) {
        Ok(text) => {
            let mut reply = Response::new(ReplyBody::Whole(Some(text.into())));
            let kind = HeaderValue::from_static(prometheus::TEXT_FORMAT);
            reply.headers_mut().insert(header::CONTENT_TYPE, kind);
            reply
        }
        Err(error) => {
            log::error!(cause:% = error; "metrics not rendered");
            crate::reply::error_reply(&core.edge, error.kind, None)
        }
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "the shape that map_err takes"
)]
fn failed(error: prometheus::Error) -> KindError {
    KindError::new(ErrorKind::LocalFailed, error.to_string())
}
