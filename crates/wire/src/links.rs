//! Which connections are open, how long each is kept, and which closes first.
//!
//! A link is in use while it carries streams. An idle one is kept for a time,
//! and beyond a bound on their number the least recently used idle link
//! closes. A link that closes takes no new stream, so that no exchange is lost
//! to the decision.
//!
//! Pings cost bytes, so a link is pinged only where a loss would be waited
//! for: while it carries streams, for a time after an exchange, and after a
//! message whose acknowledgement did not come.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// The open links of one side.
#[derive(Debug)]
pub(crate) struct LinkBook {
    soft_max_connections: usize,
    links: Mutex<Vec<Arc<LinkUsage>>>,
    opened: AtomicU64,
}

/// How one link is used.
#[derive(Debug)]
pub(crate) struct LinkUsage {
    state: Mutex<UsageState>,
    closed: CancellationToken,
}

#[derive(Debug)]
struct UsageState {
    streams: u32,
    used: Instant,
    exchanged: Option<Instant>,
    doubtful: bool,
    closing: bool,
}

/// What a stream is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StreamKind {
    /// An exchange, whose answer somebody waits for.
    Exchange,
    /// A message that is whole in itself and not acknowledged yet.
    Message,
    /// A message that the peer has acknowledged.
    Acknowledged,
}

/// One stream of a link; the link's idle time begins when it is dropped.
#[derive(Debug)]
pub(crate) struct StreamTicket {
    usage: Arc<LinkUsage>,
    kind: StreamKind,
}

impl LinkBook {
    /// A book without links that keeps at most `soft_max_connections` of which some are idle.
    pub(crate) fn new(soft_max_connections: usize) -> Self {
        Self {
            soft_max_connections,
            links: Mutex::default(),
            opened: AtomicU64::new(0),
        }
    }

    /// Enters a link with its first stream; closes idle ones beyond the bound.
    pub(crate) fn open(&self, kind: StreamKind) -> StreamTicket {
        let usage = Arc::new(LinkUsage::new());
        self.opened.fetch_add(1, Ordering::Relaxed);
        let mut links = self.lock();
        links.push(Arc::clone(&usage));
        let open = links.iter().filter(|link| link.is_open()).count();
        for _ in self.soft_max_connections..open {
            if !close_oldest(&links) {
                break;
            }
        }
        StreamTicket { usage, kind }
    }

    /// Removes a link whose connection has ended.
    pub(crate) fn remove(&self, usage: &Arc<LinkUsage>) {
        usage.close();
        self.lock().retain(|link| !Arc::ptr_eq(link, usage));
    }

    /// Links that take new streams.
    pub(crate) fn count(&self) -> usize {
        let links = self.lock();
        links.iter().filter(|link| link.is_open()).count()
    }

    /// Links opened since the start.
    pub(crate) fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Arc<LinkUsage>>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Closes the idle link whose last use is the longest ago, if any is idle.
fn close_oldest(links: &[Arc<LinkUsage>]) -> bool {
    let idle = links
        .iter()
        .filter_map(|link| Some((link.idle_since()?, link)));
    let oldest = idle.min_by_key(|(since, _)| *since);
    oldest.is_some_and(|(_, link)| link.close_idle(Duration::ZERO))
}

impl LinkUsage {
    fn new() -> Self {
        let now = Instant::now();
        let state = UsageState {
            streams: 1,
            used: now,
            exchanged: None,
            doubtful: false,
            closing: false,
        };
        Self {
            state: Mutex::new(state),
            closed: CancellationToken::new(),
        }
    }

    /// Begins a stream; none if the link closes.
    pub(crate) fn enter(self: &Arc<Self>, kind: StreamKind) -> Option<StreamTicket> {
        let mut state = self.lock();
        if state.closing {
            return None;
        }
        state.streams += 1;
        drop(state);
        let usage = Arc::clone(self);
        Some(StreamTicket { usage, kind })
    }

    /// Closes the link if it carries no stream and was not used for `time`.
    pub(crate) fn close_idle(&self, time: Duration) -> bool {
        let mut state = self.lock();
        if state.streams > 0 || state.used.elapsed() < time {
            return false;
        }
        state.closing = true;
        drop(state);
        self.closed.cancel();
        true
    }

    /// Whether a loss of the link would be waited for; `time` counts from an exchange.
    pub(crate) fn needs_ping(&self, time: Duration) -> bool {
        let state = self.lock();
        let exchanged = state.exchanged.is_some_and(|end| end.elapsed() < time);
        state.streams > 0 || state.doubtful || exchanged
    }

    /// Notes that the peer has answered a ping.
    pub(crate) fn confirm(&self) {
        self.lock().doubtful = false;
    }

    /// Whether no stream is open.
    pub(crate) fn is_idle(&self) -> bool {
        self.lock().streams == 0
    }

    /// Whether the link takes new streams.
    pub(crate) fn is_open(&self) -> bool {
        !self.lock().closing
    }

    /// Waits until the link is to close.
    pub(crate) async fn closed(&self) {
        self.closed.cancelled().await;
    }

    fn close(&self) {
        self.lock().closing = true;
        self.closed.cancel();
    }

    /// The end of the last use of an idle link that is not closing.
    fn idle_since(&self) -> Option<Instant> {
        let state = self.lock();
        (state.streams == 0 && !state.closing).then_some(state.used)
    }

    fn lock(&self) -> MutexGuard<'_, UsageState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StreamTicket {
    /// The link that carries the stream.
    pub(crate) fn usage(&self) -> &Arc<LinkUsage> {
        &self.usage
    }

    /// Ends the stream of a message that the peer has acknowledged.
    pub(crate) fn acknowledge(mut self) {
        self.kind = StreamKind::Acknowledged;
    }
}

impl Drop for StreamTicket {
    fn drop(&mut self) {
        let now = Instant::now();
        let mut state = self.usage.lock();
        state.streams -= 1;
        state.used = now;
        match self.kind {
            StreamKind::Exchange => state.exchanged = Some(now),
            StreamKind::Message => state.doubtful = true,
            StreamKind::Acknowledged => {}
        }
    }
}
