//! The platform's store, as a port.

use std::fmt::Debug;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use mesh::{MeshConfig, StoreEra};
use model::{DaemonId, LogOffset};

/// Results of the store.
///
/// Kinds: `LogUnavailable` (a write may have been done), `LogOverRate` (nothing
/// was done), `LogExpired`, `LogAnswerInvalid`.
pub type Result<T> = model::Result<T>;

/// An answer to come.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T>> + Send + 'a>>;

/// What a read of the configurations found.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigPage {
    /// The newest configuration among the records read, if there is one.
    pub newest: Option<MeshConfig>,
    /// Where the next read goes on.
    pub next: LogOffset,
    /// Era of the store, to which the offset belongs; none if it tells none.
    pub era: Option<StoreEra>,
}

/// What the daemons need of the store.
pub trait StorePort: Debug + Send + Sync {
    /// The newest configuration.
    fn newest_config(&self) -> StoreFuture<'_, ConfigPage>;

    /// Waits up to `wait` for configurations from the offset `from` on.
    fn next_config(&self, from: LogOffset, wait: Duration) -> StoreFuture<'_, ConfigPage>;

    /// Keeps `record` under the daemon's id; the era of the store that acknowledged it.
    fn put_member(&self, id: DaemonId, record: Box<[u8]>) -> StoreFuture<'_, Option<StoreEra>>;

    /// Drops what is kept under the daemon's id.
    fn drop_member(&self, id: DaemonId) -> StoreFuture<'_, ()>;

    /// All records kept.
    fn members(&self) -> StoreFuture<'_, Vec<Box<[u8]>>>;
}

/// A store that many owners use.
pub type SharedStore = Arc<dyn StorePort>;
