//! Routes, services and limits as published by operators, in decoded form.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use model::{CallCount, OrganisationName, ServiceName};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::organisation::OrganisationRule;

model::number_types! {
    /// Version number of a configuration; later versions have higher numbers.
    MeshVersion(u64),
    /// Priority of a request under load; 0 is the most important.
    CallPriority(u16),
    /// Hash of a route's name, which is the same on every daemon.
    RouteKey(u64),
}

impl RouteRule {
    /// Returns whether responses after the objective are worth waiting for.
    pub fn allows_late(&self) -> bool {
        self.timeout >= self.objective * LATE_TIMEOUT_FACTOR
    }
}

impl CallPriority {
    /// Largest priority of a route or of an organisation that is told apart from larger ones.
    const MAX: u16 = 0xff;

    /// Returns the priority of a request on a route with this priority, sent by an organisation
    /// with the priority `organisation`, which goes first.
    #[must_use]
    pub fn within(self, organisation: Self) -> Self {
        Self((organisation.0.min(Self::MAX) << 8) | self.0.min(Self::MAX))
    }
}

/// Multiple of the objective from which the timeout of a route shows that its callers take late
/// responses. With less, a request that has missed its objective has hardly any time left to wait.
const LATE_TIMEOUT_FACTOR: u32 = 3;

impl RouteKey {
    /// Returns the key of the route called `name`.
    pub fn of(name: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }
}

/// Whether a request may run more than once on targets.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
pub enum CallSafety {
    /// The request may run more than once.
    #[display("idempotent")]
    Idempotent,
    /// The request runs at most once.
    #[display("at-most-once")]
    AtMostOnce,
}

/// A service that a route sends requests to.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Destination {
    /// Name of the service.
    pub service: ServiceName,
    /// Share of the requests, relative to the other destinations.
    pub weight: u32,
}

/// Rule for the requests of one route.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct RouteRule {
    /// Name of the route.
    pub name: Box<str>,
    /// Hash of the name.
    pub key: RouteKey,
    /// Host name that requests must have.
    pub host: Box<str>,
    /// Path prefix that requests must have, starting and ending with a slash.
    pub prefix: Box<str>,
    /// Services that receive the requests; never empty.
    pub destinations: SmallVec<[Destination; 2]>,
    /// Whether a request may run more than once.
    pub safety: CallSafety,
    /// Maximum time until the response.
    pub timeout: Duration,
    /// Latency objective: the time within which a response is fully useful to the caller.
    pub objective: Duration,
    /// Maximum number of targets that one request may reach.
    pub max_attempts: u32,
    /// Priority under load.
    pub priority: CallPriority,
    /// Whether requests need no key.
    pub public: bool,
}

/// Settings of one service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceRule {
    /// Name of the service.
    pub name: ServiceName,
    /// Path of the health check of its targets.
    pub health_path: Box<str>,
    /// Maximum number of connections to one target.
    pub max_connections: CallCount,
}

/// Limits on connections and requests of callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Maximum size of the request headers in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of the request body in bytes.
    pub max_body_bytes: usize,
    /// Time within which the request headers must arrive.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// A complete configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct MeshConfig {
    /// Version number.
    pub version: MeshVersion,
    /// All routes; unchanged routes are shared between versions.
    pub routes: Vec<Arc<RouteRule>>,
    /// All services.
    pub services: Vec<ServiceRule>,
    /// Limits on requests of callers.
    pub limits: CallerLimits,
    /// All organisations, sorted by name; `None` if requests bear no keys. An empty list leaves no
    /// key that is valid.
    pub organisations: Option<Vec<Arc<OrganisationRule>>>,
}

impl MeshConfig {
    /// Returns all organisations; none as well if requests bear no keys.
    pub fn organisation_rules(&self) -> &[Arc<OrganisationRule>] {
        self.organisations.as_deref().unwrap_or_default()
    }

    /// Shares the allocations of all routes and organisations that are the same in `other`.
    pub fn share_rules(&mut self, other: &Self) {
        let others: HashMap<&OrganisationName, &Arc<OrganisationRule>> = other
            .organisation_rules()
            .iter()
            .map(|rule| (&rule.name, rule))
            .collect();
        for rule in self.organisations.iter_mut().flatten() {
            let same = others.get(&rule.name).filter(|known| **known == rule);
            if let Some(same) = same {
                *rule = Arc::clone(same);
            }
        }
        let others: HashMap<RouteKey, &Arc<RouteRule>> =
            other.routes.iter().map(|rule| (rule.key, rule)).collect();
        for rule in &mut self.routes {
            let same = others.get(&rule.key).filter(|known| **known == rule);
            if let Some(same) = same {
                *rule = Arc::clone(same);
            }
        }
    }
}
