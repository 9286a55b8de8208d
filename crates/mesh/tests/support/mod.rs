//! Routes and configurations for the tests.

#![allow(dead_code, reason = "each test file uses only some of these")]

use std::sync::Arc;
use std::time::Duration;

use model::{CallCount, ServiceName};
use quetzal_mesh::{
    CallPriority, CallSafety, CallerLimits, Destination, MeshConfig, MeshVersion, RouteKey,
    RouteRule, ServiceRule,
};

/// Parses a service name.
pub fn service(name: &str) -> ServiceName {
    name.parse().expect("a short name")
}

/// Returns a duration of `count` milliseconds.
pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Builds a route called `name` to one service, with an objective of 100 ms and a timeout of
/// 400 ms.
pub fn rule(name: &str, to: &str, priority: u8) -> RouteRule {
    RouteRule {
        name: name.into(),
        key: RouteKey::of(name),
        host: "shop.example".into(),
        prefix: format!("/{name}/").into(),
        destinations: [Destination {
            service: service(to),
            weight: 1,
        }]
        .into_iter()
        .collect(),
        safety: CallSafety::Idempotent,
        timeout: ms(400),
        objective: ms(100),
        max_attempts: 2,
        priority: CallPriority(priority.into()),
        public: false,
    }
}

/// Builds a configuration of `routes` and the services that they lead to.
pub fn config(version: u64, routes: Vec<RouteRule>) -> MeshConfig {
    let mut services: Vec<ServiceName> = routes
        .iter()
        .flat_map(|rule| &rule.destinations)
        .map(|destination| destination.service.clone())
        .collect();
    services.sort();
    services.dedup();
    MeshConfig {
        version: MeshVersion(version),
        routes: routes.into_iter().map(Arc::new).collect(),
        services: services
            .into_iter()
            .map(|name| ServiceRule {
                name,
                health_path: "/health".into(),
                max_connections: CallCount(64),
            })
            .collect(),
        limits: CallerLimits::default(),
        organisations: None,
    }
}
