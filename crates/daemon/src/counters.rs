//! Counters of one daemon.
//!
//! Events are counted here; log lines are written only on state changes. Counts are sent to
//! a statsd address through `cadence` if one is set, and kept in memory for the status
//! report.

use std::collections::BTreeMap;
use std::fmt;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Mutex, PoisonError};

use cadence::{Counted, NopMetricSink, StatsdClient, UdpMetricSink};
use model::{ErrorKind, KindError};

/// Result of opening the counters; errors have the kind `LocalFailed`.
pub type Result<T> = model::Result<T>;

/// Prefix of the counters' names in statsd.
const PREFIX: &str = "quetzal";

/// Counters by name.
pub struct CounterBoard {
    client: StatsdClient,
    counts: Mutex<BTreeMap<&'static str, u64>>,
}

impl fmt::Debug for CounterBoard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CounterBoard").finish_non_exhaustive()
    }
}

impl CounterBoard {
    /// Opens counters that are also sent to the statsd server at `address`, if given.
    pub fn open(address: Option<SocketAddr>) -> Result<Self> {
        let client = match address {
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
            Some(address) => StatsdClient::from_sink(PREFIX, open_sink(address)?),
        };
        Ok(Self {
            client,
            counts: Mutex::new(BTreeMap::new()),
        })
    }

    /// Counts one event.
    pub fn count(&self, name: &'static str) {
        self.add(name, 1);
    }

    /// Adds `amount` to a counter of events, key ranges or bytes.
    pub fn add(&self, name: &'static str, amount: u64) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(name).or_default() += amount;
        drop(counts);
        // A lost datagram loses only this count.
        drop(self.client.count(name, amount.cast_signed()));
    }

    /// Counts an error under the name of its kind.
    pub fn count_error(&self, kind: ErrorKind) {
        self.count(kind.properties().name);
    }

    /// Returns all counts since the start, by name.
    pub fn read(&self) -> BTreeMap<&'static str, u64> {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.clone()
    }
}

fn open_sink(address: SocketAddr) -> Result<UdpMetricSink> {
    let failed = |detail: String| KindError::new(ErrorKind::LocalFailed, detail);
    let socket = UdpSocket::bind(("0.0.0.0", 0)).map_err(|error| failed(error.to_string()))?;
    socket
        .set_nonblocking(true)
        .map_err(|error| failed(error.to_string()))?;
    UdpMetricSink::from(address, socket).map_err(|error| failed(error.to_string()))
}
