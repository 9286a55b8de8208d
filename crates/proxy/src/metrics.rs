//! Counters, gauges and histograms in the Prometheus text format.
//!
//! `cadence`, which the rest of the product uses, pushes counts to a collector;
//! here a scraper pulls them, so the `prometheus` library is used. Every label
//! has a bounded set of values: error kinds, outcomes and services of the
//! configuration, never ids or paths.

use std::time::Duration;

use http::{HeaderValue, Response, header};
use model::{ErrorKind, KindError};
use prometheus::{
    Encoder, Gauge, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

use crate::core::ProxyCore;
use crate::reply::{CallerReply, ReplyBody};

/// Result of registering or rendering metrics; errors are of kind `LocalFailed`.
pub type Result<T> = model::Result<T>;

/// Upper bounds of the histogram buckets in seconds, from a local call to a long deadline.
const BUCKETS_S: [f64; 12] = [
    0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4,
];

/// Outcome of a caller's request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// The target answered without a server error.
    Served,
    /// The target answered with a server error.
    Failed,
    /// The request has not run; the caller was told when to retry.
    Refused,
    /// The request may have run; the caller was told that its outcome is unknown.
    Unknown,
}

impl RequestOutcome {
    /// Returns the metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::Failed => "failed",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }
}

/// Metrics of one daemon.
#[derive(Debug)]
pub struct ProxyMetrics {
    registry: Registry,
    requests: IntCounterVec,
    request_s: HistogramVec,
    attempts: IntCounterVec,
    sent: IntCounterVec,
    queue_s: HistogramVec,
    target_s: HistogramVec,
    errors: IntCounterVec,
    quota_refused: IntCounterVec,
    limited: IntCounterVec,
    config_version: IntGauge,
    members: IntGauge,
    ready: IntGauge,
    running: IntGauge,
    waiting: IntGauge,
    target_up: IntGauge,
    target_limit: Gauge,
    store_up: IntGauge,
}

impl ProxyMetrics {
    /// Registers all metrics, at zero.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let metric = IntCounterVec::new(Opts::new(name, help), labels).map_err(local_failed)?;
            registry
                .register(Box::new(metric.clone()))
                .map_err(local_failed)?;
            Ok::<_, KindError>(metric)
        };
        let histogram = |name: &str, help: &str, labels: &[&str]| {
            let options = HistogramOpts::new(name, help).buckets(BUCKETS_S.to_vec());
            let metric = HistogramVec::new(options, labels).map_err(local_failed)?;
            registry
                .register(Box::new(metric.clone()))
                .map_err(local_failed)?;
            Ok::<_, KindError>(metric)
        };
        let gauge = |name: &str, help: &str| {
            let metric = IntGauge::new(name, help).map_err(local_failed)?;
            registry
                .register(Box::new(metric.clone()))
                .map_err(local_failed)?;
            Ok::<_, KindError>(metric)
        };
        let target_limit = Gauge::new(
            "quetzal_target_limit_per_second",
            "Limit named by the target here; -1 if it names none.",
        )
        .map_err(local_failed)?;
        registry
            .register(Box::new(target_limit.clone()))
            .map_err(local_failed)?;
        Ok(Self {
            target_limit,
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
            sent: counter(
                "quetzal_target_sent_total",
                "Requests sent to the target beside this daemon.",
                &["service"],
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
            quota_refused: counter(
                "quetzal_quota_refused_total",
                "Requests refused because their organisation is over its quota.",
                &["organisation"],
            )?,
            limited: counter(
                "quetzal_connections_limited_total",
                "Connections and exchanges refused, or closed in favour of new ones.",
                &["listener", "action"],
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

    /// Counts a finished request.
    pub fn count_request(
        &self,
        service: &str,
        nested: bool,
        outcome: RequestOutcome,
        took: Duration,
    ) {
        let origin = if nested { "target" } else { "caller" };
        let outcome = outcome.as_str();
        let labels = [service, origin, outcome];
        self.requests.with_label_values(&labels).inc();
        self.request_s
            .with_label_values(&[service, outcome])
            .observe(took.as_secs_f64());
    }

    /// Counts an attempt; `end` is one of a fixed set of labels.
    pub fn count_attempt(&self, service: &str, end: &'static str) {
        self.attempts.with_label_values(&[service, end]).inc();
    }

    /// Counts a request sent to the target beside the daemon.
    pub fn count_sent(&self, service: &str) {
        self.sent.with_label_values(&[service]).inc();
    }

    /// Records the queue time and run time of a request at the target beside the daemon.
    pub fn observe_run(&self, service: &str, waited: Duration, ran: Duration) {
        self.queue_s
            .with_label_values(&[service])
            .observe(waited.as_secs_f64());
        self.target_s
            .with_label_values(&[service])
            .observe(ran.as_secs_f64());
    }

    /// Counts an error reply of the daemon itself.
    pub fn count_error(&self, kind: ErrorKind) {
        self.errors
            .with_label_values(&[kind.properties().name])
            .inc();
    }

    /// Counts a request over the quota of `organisation`, which a configuration names.
    pub fn count_quota_refusal(&self, organisation: &str) {
        self.quota_refused.with_label_values(&[organisation]).inc();
    }

    /// Returns the counter of connections that a limit closed.
    pub fn limited_connections(&self) -> IntCounterVec {
        self.limited.clone()
    }

    /// Records whether the store answers.
    pub fn set_store_up(&self, up: bool) {
        self.store_up.set(i64::from(up));
    }

    /// Renders all metrics as text; the gauges are read from `core`.
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
            .set(i64::from(core.local_target().available().is_some()));
        let limit = core.local_target().notice().limit;
        self.target_limit.set(limit.map_or(-1.0, |rate| rate.0));
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .map_err(local_failed)?;
        Ok(text)
    }
}

/// Returns the reply to a scrape.
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
    reason = "map_err passes the error by value"
)]
fn local_failed(error: prometheus::Error) -> KindError {
    KindError::new(ErrorKind::LocalFailed, error.to_string())
}
