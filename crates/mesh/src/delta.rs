//! Differences between two configurations.
//!
//! A deployment has a thousand routes and organisations, of which a version changes a few, and
//! several versions are published a second. A complete configuration would
//! occupy a slow link for a tenth of a second, ahead of responses and status
//! messages.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use model::{ErrorKind, KindError, OrganisationName};
use serde::{Deserialize, Serialize};

use crate::config::{CallerLimits, MeshConfig, MeshVersion, RouteKey, RouteRule, ServiceRule};
use crate::organisation::OrganisationRule;

/// Result of applying a delta; the error kind is `ListInvalid`.
pub type Result<T> = model::Result<T>;

/// A newer configuration, as sent from one daemon to another.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ConfigUpdate {
    /// The complete configuration.
    Whole(Arc<MeshConfig>),
    /// The changes since the version that the receiver has.
    Delta(ConfigDelta),
}

/// Changes from one configuration to a newer one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigDelta {
    /// Version that the delta applies to.
    pub base: MeshVersion,
    /// Version that results.
    pub version: MeshVersion,
    /// Routes that were removed.
    pub dropped: Vec<RouteKey>,
    /// Routes that were added or changed.
    pub changed: Vec<Arc<RouteRule>>,
    /// All services, since there are few.
    pub services: Vec<ServiceRule>,
    /// Limits on requests of callers.
    pub limits: CallerLimits,
    /// Changes of the organisations; `None` if requests bear no keys any more.
    pub organisations: Option<OrganisationDelta>,
}

/// Changes from the organisations of one configuration to those of a newer one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OrganisationDelta {
    /// Organisations that were removed.
    pub dropped: Vec<OrganisationName>,
    /// Organisations that were added or changed.
    pub changed: Vec<Arc<OrganisationRule>>,
}

impl ConfigUpdate {
    /// Returns the version that results from the update.
    pub fn version(&self) -> MeshVersion {
        match self {
            Self::Whole(config) => config.version,
            Self::Delta(delta) => delta.version,
        }
    }
}

impl ConfigDelta {
    /// Computes the changes from `base` to `newer`.
    pub fn between(base: &MeshConfig, newer: &MeshConfig) -> Self {
        let unchanged: HashSet<&RouteRule> = base.routes.iter().map(AsRef::as_ref).collect();
        let keys: HashSet<RouteKey> = newer.routes.iter().map(|rule| rule.key).collect();
        let changed = newer
            .routes
            .iter()
            .filter(|rule| !unchanged.contains(&***rule));
        let base_keys = base.routes.iter().map(|rule| rule.key);
        let organisations = newer.organisations.as_deref();
        Self {
            base: base.version,
            version: newer.version,
            dropped: base_keys.filter(|key| !keys.contains(key)).collect(),
            changed: changed.cloned().collect(),
            services: newer.services.clone(),
            limits: newer.limits,
            organisations: organisations
                .map(|newer| OrganisationDelta::between(base.organisation_rules(), newer)),
        }
    }

    /// Applies the changes to `base`; the routes of the result are sorted by name.
    ///
    /// Fails if `base` is not the version that the delta applies to.
    pub fn apply(&self, base: &MeshConfig) -> Result<MeshConfig> {
        if self.base != base.version {
            let detail = format!(
                "the delta applies to version {}, not to {}",
                self.base, base.version
            );
            return Err(KindError::new(ErrorKind::ListInvalid, detail));
        }
        let changed = self.changed.iter().map(|rule| rule.key);
        let replaced: HashSet<RouteKey> = changed.chain(self.dropped.iter().copied()).collect();
        let kept = base
            .routes
            .iter()
            .filter(|rule| !replaced.contains(&rule.key));
        let mut routes: Vec<Arc<RouteRule>> = kept.chain(&self.changed).cloned().collect();
        routes.sort_unstable_by(|left, right| left.name.cmp(&right.name));
        Ok(MeshConfig {
            version: self.version,
            routes,
            services: self.services.clone(),
            limits: self.limits,
            organisations: self
                .organisations
                .as_ref()
                .map(|delta| delta.apply(base.organisation_rules())),
        })
    }
}

impl OrganisationDelta {
    fn between(base: &[Arc<OrganisationRule>], newer: &[Arc<OrganisationRule>]) -> Self {
        let known = by_name(base);
        let names = by_name(newer);
        let changed = newer
            .iter()
            .filter(|rule| known.get(&rule.name) != Some(rule));
        let base_names = base.iter().map(|rule| &rule.name);
        Self {
            dropped: base_names
                .filter(|name| !names.contains_key(name))
                .cloned()
                .collect(),
            changed: changed.cloned().collect(),
        }
    }

    /// Applies the changes to `base`; the result is sorted by name.
    fn apply(&self, base: &[Arc<OrganisationRule>]) -> Vec<Arc<OrganisationRule>> {
        let changed = self.changed.iter().map(|rule| &rule.name);
        let replaced: HashSet<&OrganisationName> = changed.chain(&self.dropped).collect();
        let kept = base.iter().filter(|rule| !replaced.contains(&rule.name));
        let mut rules: Vec<Arc<OrganisationRule>> = kept.chain(&self.changed).cloned().collect();
        rules.sort_unstable_by(|left, right| left.name.cmp(&right.name));
        rules
    }
}

fn by_name(rules: &[Arc<OrganisationRule>]) -> HashMap<&OrganisationName, &Arc<OrganisationRule>> {
    rules.iter().map(|rule| (&rule.name, rule)).collect()
}
