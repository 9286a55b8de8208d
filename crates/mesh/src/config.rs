//! A configuration as operators publish it, decoded.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use model::{CallCount, ServiceName};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

model::number_types! {
    /// Number of a configuration; a later one is higher.
    MeshVersion(u64),
    /// Rank of a route under load; 0 is the most important.
    CallPriority(u8),
    /// Hash of a route's name, the same on every daemon.
    RouteKey(u64),
}

impl RouteKey {
    /// The key of the route called `name`.
    pub fn of(name: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
pub enum CallSafety {
    /// May run again.
    #[display("idempotent")]
    Idempotent,
    /// Runs once or not at all.
    #[display("at-most-once")]
    AtMostOnce,
}

/// One service that a route leads to.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Destination {
    /// The service.
    pub service: ServiceName,
    /// Its part of the requests, relative to the other destinations.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct RouteRule {
    /// Its name.
    pub name: Box<str>,
    /// Hash of the name.
    pub key: RouteKey,
    /// Host that requests name.
    pub host: Box<str>,
    /// Beginning of the paths, with a slash at both ends.
    pub prefix: Box<str>,
    /// Where requests go; never empty.
    pub destinations: SmallVec<[Destination; 2]>,
    /// Whether a request may be repeated.
    pub safety: CallSafety,
    /// Longest time until an answer.
    pub timeout: Duration,
    /// Time within which an answer has its full worth.
    pub objective: Duration,
    /// Most targets that one request may reach.
    pub max_attempts: u32,
    /// Rank under load.
    pub priority: CallPriority,
}

/// One service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceRule {
    /// Its name.
    pub name: ServiceName,
    /// Path at which its targets tell their health.
    pub health_path: Box<str>,
    /// Connections that one target accepts.
    pub max_connections: CallCount,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Largest head of a request in bytes.
    pub max_header_bytes: usize,
    /// Largest body of a request in bytes.
    pub max_body_bytes: usize,
    /// Time for a head to arrive.
    pub header_timeout: Duration,
    /// Time for which a connection may stay idle.
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

/// A whole configuration.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct MeshConfig {
    /// Its number.
    pub version: MeshVersion,
    /// All routes, shared with other versions that have the same ones.
    pub routes: Vec<Arc<RouteRule>>,
    /// All services.
    pub services: Vec<ServiceRule>,
    /// Bounds on requests.
    pub limits: CallerLimits,
}

impl MeshConfig {
    /// Takes the routes that are the same in `other` from there, so that they are held once.
    pub fn share_routes(&mut self, other: &Self) {
        let held: HashMap<RouteKey, &Arc<RouteRule>> =
            other.routes.iter().map(|rule| (rule.key, rule)).collect();
        for rule in &mut self.routes {
            let same = held.get(&rule.key).filter(|held| **held == rule);
            if let Some(same) = same {
                *rule = Arc::clone(same);
            }
        }
    }
}
