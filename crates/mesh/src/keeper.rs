//! The configuration in force, which only ever moves forward.

use std::sync::Arc;

use crate::config::{MeshConfig, MeshVersion};
use crate::table::{MeshTable, Result};

/// Holds the newest configuration that was offered.
#[derive(Debug, Default)]
pub struct ConfigKeeper {
    table: Option<Arc<MeshTable>>,
}

impl ConfigKeeper {
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
    pub fn offer(&mut self, config: MeshConfig) -> Result<Option<Arc<MeshTable>>> {
        if self.version().is_some_and(|held| config.version <= held) {
            return Ok(None);
        }
        let table = Arc::new(MeshTable::build(Arc::new(config))?);
        self.table = Some(Arc::clone(&table));
        Ok(Some(table))
    }
}
