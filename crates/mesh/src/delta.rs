//! What changed between two configurations.
//!
//! A deployment has a thousand routes, a version changes a few of them, and
//! versions come several times a second. Sent whole, each would take a tenth
//! of a second on a slow link, in front of answers and status messages.

use std::collections::HashSet;
use std::sync::Arc;

use model::{ErrorKind, KindError};
use serde::{Deserialize, Serialize};

use crate::config::{CallerLimits, MeshConfig, MeshVersion, RouteKey, RouteRule, ServiceRule};

/// Results of applying a delta; the kind is `ListInvalid`.
pub type Result<T> = model::Result<T>;

/// A newer configuration, as one daemon tells it to another.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ConfigUpdate {
    /// All of it.
    Whole(Arc<MeshConfig>),
    /// What changed since the version that the receiver has.
    Delta(ConfigDelta),
}

/// The difference of two configurations.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigDelta {
    /// The version that it applies to.
    pub base: MeshVersion,
    /// The version that it leads to.
    pub version: MeshVersion,
    /// Routes that are no more.
    pub dropped: Vec<RouteKey>,
    /// Routes that are new or changed.
    pub changed: Vec<Arc<RouteRule>>,
    /// All services; there are few.
    pub services: Vec<ServiceRule>,
    /// Bounds on requests.
    pub limits: CallerLimits,
}

impl ConfigUpdate {
    /// The version that it leads to.
    pub fn version(&self) -> MeshVersion {
        match self {
            Self::Whole(config) => config.version,
            Self::Delta(delta) => delta.version,
        }
    }
}

impl ConfigDelta {
    /// What leads from `base` to `newer`.
    pub fn between(base: &MeshConfig, newer: &MeshConfig) -> Self {
        let kept: HashSet<&RouteRule> = base.routes.iter().map(AsRef::as_ref).collect();
        let keys: HashSet<RouteKey> = newer.routes.iter().map(|rule| rule.key).collect();
        let changed = newer.routes.iter().filter(|rule| !kept.contains(&***rule));
        let before = base.routes.iter().map(|rule| rule.key);
        Self {
            base: base.version,
            version: newer.version,
            dropped: before.filter(|key| !keys.contains(key)).collect(),
            changed: changed.cloned().collect(),
            services: newer.services.clone(),
            limits: newer.limits,
        }
    }

    /// The configuration that follows on `base`, its routes ordered by name.
    ///
    /// Fails if `base` is not the version that the delta applies to.
    pub fn apply(&self, base: &MeshConfig) -> Result<MeshConfig> {
        if self.base != base.version {
            let detail = format!("a delta on version {} meets {}", self.base, base.version);
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
        })
    }
}
