//! The configuration in force, which is only ever replaced by a newer version.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::config::{MeshConfig, MeshVersion};
use crate::delta::{ConfigDelta, ConfigUpdate};
use crate::table::{MeshTable, Result};

/// Number of previous configurations kept as bases of deltas. Up to twenty versions are
/// published a second, but a reader applies only a few of them, and followers poll every
/// 0.4 s, so the bases cover the versions of several polls.
/// Routes that versions have in common are stored once.
const MAX_DELTA_BASES: usize = 12;

/// Holds the newest configuration received so far.
#[derive(Debug, Default)]
pub struct ActiveConfig {
    table: Option<Arc<MeshTable>>,
    /// Previous configurations, oldest first.
    bases: VecDeque<Arc<MeshConfig>>,
}

impl ActiveConfig {
    /// Returns the table of the configuration in force.
    pub fn table(&self) -> Option<&Arc<MeshTable>> {
        self.table.as_ref()
    }

    /// Returns the version in force.
    pub fn version(&self) -> Option<MeshVersion> {
        self.table.as_ref().map(|table| table.version())
    }

    /// Puts a complete configuration in force if it is newer.
    ///
    /// Returns the new table, or `None` if `config` is not newer. Fails like
    /// [`MeshTable::build`]; the current configuration then stays in force.
    pub fn apply_config(&mut self, mut config: MeshConfig) -> Result<Option<Arc<MeshTable>>> {
        let current = self.table.as_ref().map(|table| Arc::clone(table.config()));
        if let Some(current) = &current {
            if config.version <= current.version {
                return Ok(None);
            }
            config.share_rules(current);
        }
        let previous = self.table.as_deref();
        let table = Arc::new(MeshTable::build_after(Arc::new(config), previous)?);
        self.table = Some(Arc::clone(&table));
        self.bases.extend(current);
        if self.bases.len() > MAX_DELTA_BASES {
            self.bases.pop_front();
        }
        Ok(Some(table))
    }

    /// Applies an update from another daemon if it is newer.
    ///
    /// Returns the new table, or `None` if the update is not newer. Fails like
    /// [`MeshTable::build`], and with `ListInvalid` if a delta's base is not the version in
    /// force.
    pub fn apply_update(&mut self, update: ConfigUpdate) -> Result<Option<Arc<MeshTable>>> {
        if self.version() >= Some(update.version()) {
            return Ok(None);
        }
        match update {
            ConfigUpdate::Whole(config) => self.apply_config(Arc::unwrap_or_clone(config)),
            ConfigUpdate::Delta(delta) => {
                let base = self.table.as_ref().map(|table| table.config().as_ref());
                let config = delta.apply(base.unwrap_or(&MeshConfig::default()))?;
                self.apply_config(config)
            }
        }
    }

    /// Returns the update for a daemon that has version `have`, or `None` if it is up to date.
    pub fn update_for(&self, have: Option<MeshVersion>) -> Option<ConfigUpdate> {
        let current = self.table.as_ref()?.config();
        if Some(current.version) <= have {
            return None;
        }
        let base = self.bases.iter().find(|base| Some(base.version) == have);
        Some(match base {
            Some(base) => ConfigUpdate::Delta(ConfigDelta::between(base, current)),
            None => ConfigUpdate::Whole(Arc::clone(current)),
        })
    }
}
