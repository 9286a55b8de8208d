//! Port to the platform's store of configurations and of the daemons' own records.

use std::fmt::Debug;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use mesh::{MeshConfig, RolloutOrder, RolloutRecord, StoreEra};
use model::{DaemonId, LogOffset};

/// Result of a store operation.
///
/// Errors are of kind `LogUnavailable` (a write may have been applied), `LogOverRate`
/// (nothing was applied), `LogExpired` or `LogAnswerInvalid`.
pub type Result<T> = model::Result<T>;

/// Future of a store operation.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T>> + Send + 'a>>;

/// Result of reading configurations.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigPage {
    /// Newest configuration among the records read, if there is one.
    pub newest: Option<MeshConfig>,
    /// Orders of rollouts among the records read, the newest of each service last.
    pub orders: Vec<RolloutOrder>,
    /// Offset at which the next read continues.
    pub next: LogOffset,
    /// Era of the store to which the offset belongs; none if the store reports none.
    pub era: Option<StoreEra>,
}

/// Place of a record about a request that crashes targets. There are few, so that the records stay
/// small without anyone deleting them; a newer record takes the place of an older one.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub struct SuspectSlot(pub u8);

/// Records that daemons keep in the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FleetRecords {
    /// Records of the daemons.
    pub members: Vec<Box<[u8]>>,
    /// Records of requests that crash targets.
    pub suspects: Vec<Box<[u8]>>,
}

/// Status records of all rollouts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutPage {
    /// The newest record of each service with its offset.
    pub records: Vec<(LogOffset, RolloutRecord)>,
    /// End of the partition, on which a write may depend.
    pub end: LogOffset,
}

/// Operations of the store that daemons need.
pub trait StorePort: Debug + Send + Sync {
    /// Reads the newest configuration.
    fn newest_config(&self) -> StoreFuture<'_, ConfigPage>;

    /// Reads the configurations from offset `from` on, waiting up to `wait` for one.
    fn next_config(&self, from: LogOffset, wait: Duration) -> StoreFuture<'_, ConfigPage>;

    /// Stores `record` under the daemon's id. Returns the era of the store that acknowledged it.
    fn put_member(&self, id: DaemonId, record: Box<[u8]>) -> StoreFuture<'_, Option<StoreEra>>;

    /// Deletes the record of the daemon.
    fn drop_member(&self, id: DaemonId) -> StoreFuture<'_, ()>;

    /// Stores `record` about a request that crashes targets.
    fn put_suspect(&self, slot: SuspectSlot, record: Box<[u8]>) -> StoreFuture<'_, ()>;

    /// Returns the records of all daemons and those of requests that crash targets.
    fn fleet_records(&self) -> StoreFuture<'_, FleetRecords>;

    /// Reads the status records of rollouts.
    fn rollout_records(&self) -> StoreFuture<'_, RolloutPage>;

    /// Stores `record` if the partition still ends at `end`, and returns its offset; `None` if
    /// something was written in between.
    fn put_rollout(
        &self,
        record: RolloutRecord,
        end: LogOffset,
    ) -> StoreFuture<'_, Option<LogOffset>>;
}

/// A store with shared ownership.
pub type SharedStore = Arc<dyn StorePort>;
