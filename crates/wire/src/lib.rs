//! Streams between daemons: h2 with bincode messages.
//!
//! One exchange is one h2 stream: the opener sends a head (a bincode message
//! behind its length) and then raw body bytes; the other side answers in the
//! same shape. The end of the h2 stream marks a whole body, a reset marks a
//! broken one, so a short body never looks whole. Both directions are flow
//! controlled by h2 windows, and memory for one stream stays within them.
//!
//! [`PeerPool`] opens exchanges over one connection for each peer;
//! [`serve_peers`] accepts them. An error before anything was sent is
//! `PeerUnavailable`; once a head may have reached the peer it is
//! `OutcomeUnknown`, unless h2 proves that the peer did not process it.

pub mod body;
pub mod codec;
mod links;
pub mod pool;
pub mod server;
mod silence;

pub use body::{BodyReceiver, BodySender};
pub use codec::{decode_message, encode_message};
pub use pool::{PeerExchange, PeerPool, PeerResponse};
pub use server::{PeerResponder, PeerStream, serve_peers};

use std::time::Duration;

/// Results of exchanges with peers.
pub type Result<T> = model::Result<T>;

/// Bounds on connections and frames.
#[derive(Clone, Copy, Debug)]
pub struct WireLimits {
    /// Largest head of one exchange, in bytes.
    pub max_head_bytes: usize,
    /// Streams at once on one connection.
    pub max_streams: u32,
    /// Connections accepted at once.
    pub max_connections: usize,
    /// Connections kept open without a stream, on each side.
    pub soft_max_connections: usize,
    /// Bytes in flight on one stream.
    pub stream_window_bytes: u32,
    /// Bytes in flight on one connection.
    pub connection_window_bytes: u32,
    /// Time for connecting and for the h2 handshake.
    pub connect_timeout: Duration,
    /// A connection without streams is closed after this time.
    pub idle_timeout: Duration,
    /// A connection on which somebody waits is pinged this often.
    pub ping_interval: Duration,
    /// A connection whose pong is missing for this time is closed; a pong waits behind
    /// the bytes on the link, so this is above the time that a full window takes.
    pub ping_timeout: Duration,
    /// A connection on which sent bytes stay unacknowledged for this time is closed by
    /// the kernel, which also probes an idle one this often; zero leaves its defaults.
    pub tcp_user_timeout: Duration,
}

impl Default for WireLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 4 << 20,
            max_streams: 1024,
            max_connections: 2048,
            soft_max_connections: 160,
            stream_window_bytes: 64 << 10,
            connection_window_bytes: 1 << 20,
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(60),
            ping_interval: Duration::from_secs(5),
            ping_timeout: Duration::from_secs(5),
            tcp_user_timeout: Duration::ZERO,
        }
    }
}
