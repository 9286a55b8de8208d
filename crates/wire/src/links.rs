//! Tracks open connections and decides which idle ones to close.
//!
//! A connection is in use while it carries streams. Idle connections are kept
//! for a limited time; if too many connections are open, the least recently
//! used idle one is closed. A closing connection accepts no new stream, so that
//! closing it never loses an exchange.
//!
//! Pings cost bytes, so a connection is pinged only while its loss would delay
//! something: while it carries streams, for some time after an exchange, and
//! after a message that was not acknowledged.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// The open connections of a client or server.
#[derive(Debug)]
pub(crate) struct ConnectionRegistry {
    soft_max_connections: usize,
    connections: Mutex<Vec<Arc<ConnectionUsage>>>,
    opened_total: AtomicU64,
}

/// Usage state of one connection.
#[derive(Debug)]
pub(crate) struct ConnectionUsage {
    state: Mutex<UsageState>,
    closed: CancellationToken,
}

#[derive(Debug)]
struct UsageState {
    streams: u32,
    last_used: Instant,
    last_exchange: Option<Instant>,
    unacknowledged: bool,
    closing: bool,
}

/// Purpose of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StreamKind {
    /// An exchange with a pending response.
    Exchange,
    /// A one-way message that has not been acknowledged.
    Message,
    /// A one-way message that the peer has acknowledged.
    Acknowledged,
}

/// Counts one stream of a connection until it is dropped.
#[derive(Debug)]
pub(crate) struct StreamGuard {
    usage: Arc<ConnectionUsage>,
    kind: StreamKind,
}

impl ConnectionRegistry {
    /// Creates an empty registry that closes idle connections above `soft_max_connections`.
    pub(crate) fn new(soft_max_connections: usize) -> Self {
        Self {
            soft_max_connections,
            connections: Mutex::default(),
            opened_total: AtomicU64::new(0),
        }
    }

    /// Registers a connection with its first stream; closes idle ones above the limit.
    pub(crate) fn register(&self, kind: StreamKind) -> StreamGuard {
        let usage = Arc::new(ConnectionUsage::new());
        self.opened_total.fetch_add(1, Ordering::Relaxed);
        let mut connections = self.lock();
        connections.push(Arc::clone(&usage));
        let open = connections
            .iter()
            .filter(|connection| connection.is_open())
            .count();
        for _ in self.soft_max_connections..open {
            if !close_least_recently_used(&connections) {
                break;
            }
        }
        StreamGuard { usage, kind }
    }

    /// Removes a connection that has ended.
    pub(crate) fn remove(&self, usage: &Arc<ConnectionUsage>) {
        usage.close();
        self.lock()
            .retain(|connection| !Arc::ptr_eq(connection, usage));
    }

    /// Returns the number of connections that accept new streams.
    pub(crate) fn count(&self) -> usize {
        let connections = self.lock();
        connections
            .iter()
            .filter(|connection| connection.is_open())
            .count()
    }

    /// Returns the number of connections opened since the start.
    pub(crate) fn opened_total(&self) -> u64 {
        self.opened_total.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Arc<ConnectionUsage>>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Closes the least recently used idle connection, if any is idle.
fn close_least_recently_used(connections: &[Arc<ConnectionUsage>]) -> bool {
    let idle = connections
        .iter()
        .filter_map(|connection| Some((connection.idle_since()?, connection)));
    let oldest = idle.min_by_key(|(since, _)| *since);
    oldest.is_some_and(|(_, connection)| connection.close_idle(Duration::ZERO))
}

impl ConnectionUsage {
    fn new() -> Self {
        let now = Instant::now();
        let state = UsageState {
            streams: 1,
            last_used: now,
            last_exchange: None,
            unacknowledged: false,
            closing: false,
        };
        Self {
            state: Mutex::new(state),
            closed: CancellationToken::new(),
        }
    }

    /// Begins a stream; `None` if the connection is closing.
    pub(crate) fn begin_stream(self: &Arc<Self>, kind: StreamKind) -> Option<StreamGuard> {
        let mut state = self.lock();
        if state.closing {
            return None;
        }
        state.streams += 1;
        drop(state);
        let usage = Arc::clone(self);
        Some(StreamGuard { usage, kind })
    }

    /// Closes the connection if it has had no stream for `min_idle`.
    pub(crate) fn close_idle(&self, min_idle: Duration) -> bool {
        let mut state = self.lock();
        if state.streams > 0 || state.last_used.elapsed() < min_idle {
            return false;
        }
        state.closing = true;
        drop(state);
        self.closed.cancel();
        true
    }

    /// Returns whether a stream is open, a message is unacknowledged, or the last exchange
    /// ended less than `window` ago.
    pub(crate) fn needs_ping(&self, window: Duration) -> bool {
        let state = self.lock();
        let is_recent = state
            .last_exchange
            .is_some_and(|end| end.elapsed() < window);
        state.streams > 0 || state.unacknowledged || is_recent
    }

    /// Records a pong from the peer.
    pub(crate) fn record_pong(&self) {
        self.lock().unacknowledged = false;
    }

    /// Returns whether no stream is open.
    pub(crate) fn is_idle(&self) -> bool {
        self.lock().streams == 0
    }

    /// Returns whether the connection accepts new streams.
    pub(crate) fn is_open(&self) -> bool {
        !self.lock().closing
    }

    /// Waits until the connection should close.
    pub(crate) async fn closed(&self) {
        self.closed.cancelled().await;
    }

    fn close(&self) {
        self.lock().closing = true;
        self.closed.cancel();
    }

    /// Returns when the connection became idle, unless it is in use or closing.
    fn idle_since(&self) -> Option<Instant> {
        let state = self.lock();
        (state.streams == 0 && !state.closing).then_some(state.last_used)
    }

    fn lock(&self) -> MutexGuard<'_, UsageState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StreamGuard {
    /// Returns the usage state of the connection that carries the stream.
    pub(crate) fn usage(&self) -> &Arc<ConnectionUsage> {
        &self.usage
    }

    /// Ends the stream of a message as acknowledged by the peer.
    pub(crate) fn acknowledge(mut self) {
        self.kind = StreamKind::Acknowledged;
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        let now = Instant::now();
        let mut state = self.usage.lock();
        state.streams -= 1;
        state.last_used = now;
        match self.kind {
            StreamKind::Exchange => state.last_exchange = Some(now),
            StreamKind::Message => state.unacknowledged = true,
            StreamKind::Acknowledged => {}
        }
    }
}
