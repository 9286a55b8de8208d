//! Bounds what a server may send before the head of its final answer.
//!
//! An HTTP client skips interim responses one after the other, and a faulty
//! server may send them without end. All of them are read in the turn of one
//! task, so without a bound on their bytes one connection would hold up the
//! whole process.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes before the end of the final head, with the part of a body that arrives
/// together with it not counted.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Value without a bound, while a body is read or nothing is expected.
const UNBOUNDED: usize = usize::MAX;

/// Number of bytes that the server may still send before the head of its answer has ended.
#[derive(Clone, Debug)]
pub struct HeadAllowance(Arc<AtomicUsize>);

impl HeadAllowance {
    /// Bounds what is read from now on; call it before each request.
    pub fn expect_head(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Ends the bound; call it when the head has been read.
    pub fn head_received(&self) {
        self.0.store(UNBOUNDED, Ordering::Relaxed);
    }

    fn is_spent(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }

    fn spend(&self, count: usize) {
        let left = self.0.load(Ordering::Relaxed);
        if left != UNBOUNDED {
            self.0.store(left.saturating_sub(count), Ordering::Relaxed);
        }
    }
}

/// A connection to a server that fails when the server sends too much before its answer.
#[derive(Debug)]
pub struct HeadLimitedSocket {
    socket: TcpStream,
    allowance: HeadAllowance,
}

impl HeadLimitedSocket {
    /// Wraps a connection; also returns its allowance, which is unbounded until the first request.
    pub fn new(socket: TcpStream) -> (Self, HeadAllowance) {
        let allowance = HeadAllowance(Arc::new(AtomicUsize::new(UNBOUNDED)));
        let limited = Self {
            socket,
            allowance: allowance.clone(),
        };
        (limited, allowance)
    }
}

impl AsyncRead for HeadLimitedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.is_spent() {
            let detail = "the server sent too much before its answer";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, detail)));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(cx, buf))?;
        self.allowance.spend(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for HeadLimitedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(cx, bufs)
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
