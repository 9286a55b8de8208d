//! Accounts for the connections that clients hold at a daemon.
//!
//! A client costs a descriptor and the buffers of its connection, whether it sends a request or
//! not. Each listener has its own limit, so that the clients of one cannot use up what the others
//! need, and the limits together leave descriptors for the target, the store and other daemons.
//! At its limit a listener closes the connection that has waited longest without a request.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use model::ByteCount;

/// Descriptors that a daemon may use if its settings name no limit; the lowest of all known VMs.
pub const DEFAULT_MAX_FDS: usize = 4100;
/// Lowest limit with which a daemon starts. Below it a listener for control, which gets 1/32, has
/// fewer than eight connections.
pub const MIN_MAX_FDS: usize = 256;
/// Memory of one connection without its bodies: the buffers of hyper, which grow to 16 KiB for
/// each direction, and the state of its tasks.
const CONNECTION_COST: ByteCount = ByteCount(32 << 10);
/// Part of the memory that connections of callers may take.
const CALLER_MEMORY_PART: u64 = 4;
/// Time without progress after which a connection may be closed in favour of a new one; a caller
/// that sends a head does so at once.
const MIN_IDLE_TIME: Duration = Duration::from_millis(250);

/// Limits on the connections that a daemon accepts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionLimits {
    /// Connections of callers.
    pub callers: usize,
    /// Connections of other daemons.
    pub peers: usize,
    /// Connections at each of the listeners for readiness, reports and metrics.
    pub control: usize,
}

impl ConnectionLimits {
    /// Derives the limits of a process with `max_fds` descriptors and `memory`.
    ///
    /// About a sixth of the descriptors stays for connections to the target, to other daemons and
    /// to the store.
    pub fn new(max_fds: usize, memory: ByteCount) -> Self {
        let by_memory = memory.0 / CALLER_MEMORY_PART / CONNECTION_COST.0;
        Self {
            callers: (max_fds / 2).min(by_memory as usize).max(1),
            peers: (max_fds / 4).max(1),
            control: (max_fds / 32).max(1),
        }
    }
}

/// Number of a connection in its account.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ConnectionNumber(u64);

/// What happens to a new connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionAdmission {
    /// It is served.
    Served(ConnectionNumber),
    /// It is served, and the second one must be closed.
    InPlaceOf(ConnectionNumber, ConnectionNumber),
    /// It is closed, since all others have requests or have just made progress.
    Refused,
}

/// The open connections of one listener.
#[derive(Debug)]
pub struct ConnectionAccount {
    limit: usize,
    next: u64,
    open: HashMap<ConnectionNumber, OpenConnection>,
}

#[derive(Debug)]
struct OpenConnection {
    progress: Instant,
    /// Requests that have not been answered.
    requests: u32,
    closing: bool,
}

impl ConnectionAccount {
    /// Creates the account of a listener that accepts up to `limit` connections.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            next: 0,
            open: HashMap::new(),
        }
    }

    /// Adds a connection accepted at `now`.
    pub fn admit(&mut self, now: Instant) -> ConnectionAdmission {
        let victim = if self.open.len() < self.limit {
            None
        } else if self.open.len() < self.limit.saturating_mul(2) {
            // Those that close are counted until they have closed.
            let staying = self.open.values().filter(|conn| !conn.closing).count();
            if staying < self.limit {
                None
            } else {
                match self.close_idlest(now) {
                    Some(victim) => Some(victim),
                    None => return ConnectionAdmission::Refused,
                }
            }
        } else {
            return ConnectionAdmission::Refused;
        };
        let number = ConnectionNumber(self.next);
        self.next += 1;
        let conn = OpenConnection {
            progress: now,
            requests: 0,
            closing: false,
        };
        self.open.insert(number, conn);
        match victim {
            Some(victim) => ConnectionAdmission::InPlaceOf(number, victim),
            None => ConnectionAdmission::Served(number),
        }
    }

    fn close_idlest(&mut self, now: Instant) -> Option<ConnectionNumber> {
        let idle = self.open.iter_mut().filter(|(_, conn)| {
            let idle_time = now.saturating_duration_since(conn.progress);
            conn.requests == 0 && !conn.closing && idle_time >= MIN_IDLE_TIME
        });
        let (number, conn) = idle.min_by_key(|(number, conn)| (conn.progress, **number))?;
        conn.closing = true;
        Some(*number)
    }

    /// Records that bytes went through a connection.
    pub fn progress(&mut self, number: ConnectionNumber, now: Instant) {
        if let Some(conn) = self.open.get_mut(&number) {
            conn.progress = now;
        }
    }

    /// Records that a request has arrived; a connection that was to be closed stays open.
    pub fn begin_request(&mut self, number: ConnectionNumber) {
        if let Some(conn) = self.open.get_mut(&number) {
            conn.requests += 1;
            conn.closing = false;
        }
    }

    /// Records that a request has its answer, which may not have been sent yet.
    pub fn end_request(&mut self, number: ConnectionNumber, now: Instant) {
        if let Some(conn) = self.open.get_mut(&number) {
            conn.requests = conn.requests.saturating_sub(1);
            conn.progress = now;
        }
    }

    /// Returns whether a connection must be closed.
    pub fn is_closing(&self, number: ConnectionNumber) -> bool {
        self.open.get(&number).is_some_and(|conn| conn.closing)
    }

    /// Removes a connection that has closed.
    pub fn remove(&mut self, number: ConnectionNumber) {
        self.open.remove(&number);
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}
