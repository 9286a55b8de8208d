//! Carries out the limits on accepted connections.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Instant;

use mesh::memory_account::{ConnectionAccount, ConnectionAdmission, ConnectionNumber};
use prometheus::IntCounterVec;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

/// Label of connections that were refused at the limit.
const REFUSED: &str = "refused";
/// Label of connections that were closed in favour of new ones.
const CLOSED: &str = "closed";

/// Limit on the connections of one listener.
#[derive(Clone, Debug)]
pub struct ConnectionGate(Arc<GateState>);

#[derive(Debug)]
struct GateState {
    listener: &'static str,
    account: Mutex<ConnectionAccount>,
    /// Wakes all connections after one was selected to close.
    closing: Notify,
    /// Connections that were refused or closed, by listener and action.
    limited: IntCounterVec,
    /// Their number, which decides which of them are logged.
    count: AtomicU64,
}

/// A place for one connection, given back on drop.
#[derive(Debug)]
pub struct ConnectionPlace {
    gate: ConnectionGate,
    number: ConnectionNumber,
}

/// A request that has not been answered.
#[derive(Debug)]
pub struct OpenRequest {
    gate: ConnectionGate,
    number: ConnectionNumber,
}

impl ConnectionGate {
    /// Creates the gate of a listener that accepts up to `limit` connections.
    pub fn new(listener: &'static str, limit: usize, limited: IntCounterVec) -> Self {
        Self(Arc::new(GateState {
            listener,
            account: Mutex::new(ConnectionAccount::new(limit)),
            closing: Notify::new(),
            limited,
            count: AtomicU64::new(0),
        }))
    }

    /// Returns a place for a connection that was just accepted; `None` if there is none.
    pub fn admit(&self) -> Option<ConnectionPlace> {
        let admission = self.account().admit(Instant::now());
        let number = match admission {
            ConnectionAdmission::Served(number) => number,
            ConnectionAdmission::InPlaceOf(number, _) => {
                self.record(CLOSED);
                self.0.closing.notify_waiters();
                number
            }
            ConnectionAdmission::Refused => {
                self.record(REFUSED);
                return None;
            }
        };
        Some(ConnectionPlace {
            gate: self.clone(),
            number,
        })
    }

    fn account(&self) -> MutexGuard<'_, ConnectionAccount> {
        let account = &self.0.account;
        account.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record(&self, action: &'static str) {
        let labels = [self.0.listener, action];
        self.0.limited.with_label_values(&labels).inc();
        let count = self.0.count.fetch_add(1, Ordering::Relaxed) + 1;
        // Logged ever more rarely, since a crowd may connect without end.
        if count.is_power_of_two() {
            log::warn!(listener = self.0.listener, action, count; "connection limit reached");
        }
    }
}

impl ConnectionPlace {
    /// Wraps the socket of the connection, to see when bytes go through it.
    pub fn watch<S>(&self, socket: S) -> WatchedSocket<S> {
        WatchedSocket {
            socket,
            gate: self.gate.clone(),
            number: self.number,
        }
    }

    /// Records that a request has arrived; it ends when the returned value is dropped.
    pub fn begin_request(&self) -> OpenRequest {
        self.gate.account().begin_request(self.number);
        OpenRequest {
            gate: self.gate.clone(),
            number: self.number,
        }
    }

    /// Waits until the connection must close.
    pub async fn closed(&self) {
        loop {
            // Created before the check, so that a change in between still wakes it.
            let closing = self.gate.0.closing.notified();
            if self.gate.account().is_closing(self.number) {
                return;
            }
            closing.await;
        }
    }
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        self.gate.account().remove(self.number);
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let now = Instant::now();
        self.gate.account().end_request(self.number, now);
    }
}

/// A socket that reports its progress.
#[derive(Debug)]
pub struct WatchedSocket<S> {
    socket: S,
    gate: ConnectionGate,
    number: ConnectionNumber,
}

impl<S> WatchedSocket<S> {
    fn record_progress(&self, count: usize) {
        if count > 0 {
            let now = Instant::now();
            self.gate.account().progress(self.number, now);
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WatchedSocket<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(cx, buf))?;
        self.record_progress(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WatchedSocket<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.socket).poll_write(cx, buf))?;
        self.record_progress(count);
        Poll::Ready(Ok(count))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.socket).poll_write_vectored(cx, bufs))?;
        self.record_progress(count);
        Poll::Ready(Ok(count))
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
