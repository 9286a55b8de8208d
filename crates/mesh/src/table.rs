//! Lookup table of the routes and services of a configuration.

use std::collections::HashMap;
use std::sync::Arc;

use model::{ErrorKind, KindError, ServiceName, ensure};

use crate::config::{CallerLimits, MeshConfig, MeshVersion, RouteRule, ServiceRule};
use crate::organisation::KeyIndex;

/// Result of building a table; the error kind is `ListInvalid`.
pub type Result<T> = model::Result<T>;

/// Routes and services of one configuration, indexed for lookups.
#[derive(Debug)]
pub struct MeshTable {
    config: Arc<MeshConfig>,
    /// Routes by host, longest path prefix first.
    hosts: HashMap<Box<str>, Vec<Arc<RouteRule>>>,
    services: HashMap<ServiceName, ServiceRule>,
    /// Organisations by key; none if requests bear no keys.
    keys: Option<Arc<KeyIndex>>,
}

impl MeshTable {
    /// Builds the table of `config`.
    ///
    /// Fails if a route has no destination or refers to an unknown service.
    pub fn build(config: Arc<MeshConfig>) -> Result<Self> {
        Self::build_after(config, None)
    }

    /// Builds the table of `config`, which follows `previous`, like [`MeshTable::build`].
    ///
    /// The index of keys is shared if the organisations are the same.
    pub fn build_after(config: Arc<MeshConfig>, previous: Option<&Self>) -> Result<Self> {
        let services: HashMap<ServiceName, ServiceRule> = config
            .services
            .iter()
            .map(|rule| (rule.name.clone(), rule.clone()))
            .collect();
        let mut hosts: HashMap<Box<str>, Vec<Arc<RouteRule>>> = HashMap::new();
        for rule in &config.routes {
            check_route(rule, &services)?;
            let routes = hosts.entry(rule.host.clone()).or_default();
            routes.push(Arc::clone(rule));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|rule| std::cmp::Reverse(rule.prefix.len()));
        }
        let same = previous.filter(|table| table.config.organisations == config.organisations);
        let keys = match same {
            Some(table) => table.keys.clone(),
            None => config
                .organisations
                .as_deref()
                .map(|rules| Arc::new(KeyIndex::build(rules))),
        };
        Ok(Self {
            config,
            hosts,
            services,
            keys,
        })
    }

    /// Returns the configuration that the table was built from.
    pub fn config(&self) -> &Arc<MeshConfig> {
        &self.config
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> MeshVersion {
        self.config.version
    }

    /// Returns the limits on requests of callers.
    pub fn limits(&self) -> &CallerLimits {
        &self.config.limits
    }

    /// Finds the route of a request for `host` and `path`; a port in `host` is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let name = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(name)?;
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        routes.iter().find(|rule| path.starts_with(&*rule.prefix))
    }

    /// Returns the organisations by key; `None` if requests bear no keys.
    pub fn keys(&self) -> Option<&KeyIndex> {
        self.keys.as_deref()
    }

    /// Returns the service called `name`.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRule> {
        self.services.get(name)
    }
}

fn check_route(rule: &RouteRule, services: &HashMap<ServiceName, ServiceRule>) -> Result<()> {
    let invalid = |detail: String| KindError::new(ErrorKind::ListInvalid, detail);
    let empty = format!("route {} has no destinations", rule.name);
    ensure(
        !rule.destinations.is_empty(),
        ErrorKind::ListInvalid,
        &empty,
    )?;
    let mut destinations = rule.destinations.iter();
    let unknown = destinations.find(|destination| !services.contains_key(&destination.service));
    match unknown {
        None => Ok(()),
        Some(destination) => Err(invalid(format!(
            "route {} has destination {}, which is not a service of the configuration",
            rule.name, destination.service
        ))),
    }
}
