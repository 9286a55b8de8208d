//! The configuration in force, which only ever moves forward.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::config::{MeshConfig, MeshVersion};
use crate::delta::{ConfigDelta, ConfigUpdate};
use crate::table::{MeshTable, Result};

/// Configurations before the one in force that are kept as bases of deltas. Followers ask
/// each 0.4 s and versions come up to twenty a second, of which a reader takes in a few;
/// the routes that versions have in common are held once.
const KEPT_BASES: usize = 12;

/// Holds the newest configuration that was offered.
#[derive(Debug, Default)]
pub struct ActiveConfig {
    table: Option<Arc<MeshTable>>,
    /// Configurations that were in force before, the oldest first.
    bases: VecDeque<Arc<MeshConfig>>,
}

impl ActiveConfig {
    /// The table in force.
    pub fn table(&self) -> Option<&Arc<MeshTable>> {
        self.table.as_ref()
    }

    /// The version in force.
    pub fn version(&self) -> Option<MeshVersion> {
        self.table.as_ref().map(|table| table.version())
    }

    /// Puts `config` in force as a whole if it is newer; returns the table if it did.
    ///
    /// Kinds: as [`MeshTable::build`]; the configuration in force stays.
    pub fn offer(&mut self, mut config: MeshConfig) -> Result<Option<Arc<MeshTable>>> {
        let held = self.table.as_ref().map(|table| Arc::clone(table.config()));
        if let Some(held) = &held {
            if config.version <= held.version {
                return Ok(None);
            }
            config.share_routes(held);
        }
        let table = Arc::new(MeshTable::build(Arc::new(config))?);
        self.table = Some(Arc::clone(&table));
        self.bases.extend(held);
        if self.bases.len() > KEPT_BASES {
            self.bases.pop_front();
        }
        Ok(Some(table))
    }

    /// Puts in force what another daemon told, if it is newer; returns the table if it did.
    ///
    /// Kinds: as [`MeshTable::build`], and `ListInvalid` for a delta on another version
    /// than the one in force.
    pub fn update(&mut self, update: ConfigUpdate) -> Result<Option<Arc<MeshTable>>> {
        if self.version() >= Some(update.version()) {
            return Ok(None);
        }
        match update {
            ConfigUpdate::Whole(config) => self.offer(Arc::unwrap_or_clone(config)),
            ConfigUpdate::Delta(delta) => {
                let base = self.table.as_ref().map(|table| table.config().as_ref());
                let config = delta.apply(base.unwrap_or(&MeshConfig::default()))?;
                self.offer(config)
            }
        }
    }

    /// What a daemon that has `have` lacks; none if nothing.
    pub fn update_for(&self, have: Option<MeshVersion>) -> Option<ConfigUpdate> {
        let held = self.table.as_ref()?.config();
        if Some(held.version) <= have {
            return None;
        }
        let base = self.bases.iter().find(|base| Some(base.version) == have);
        Some(match base {
            Some(base) => ConfigUpdate::Delta(ConfigDelta::between(base, held)),
            None => ConfigUpdate::Whole(Arc::clone(held)),
        })
    }
}
