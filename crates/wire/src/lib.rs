//! Transport between daemons: bincode messages over HTTP/2.
//!
//! One exchange is one h2 stream. The client sends a head, which is a
//! length-prefixed bincode message, followed by raw body bytes; the server
//! responds in the same format. The end of the h2 stream marks a complete body
//! and a reset an incomplete one, so a truncated body is always detected. h2
//! windows control the flow in both directions and bound the memory of a
//! stream.
//!
//! [`PeerPool`] opens exchanges over one connection per peer; [`serve_peers`]
//! accepts them. An error before anything was sent is `PeerUnavailable`. Once
//! a head may have reached the peer, an error is `OutcomeUnknown`, unless h2
//! proves that the peer did not process the stream.

pub mod body;
pub mod codec;
mod links;
mod message_budget;
pub mod pool;
pub mod server;
mod tcp_timeout;

pub use body::{BodyReceiver, BodySender};
pub use codec::{decode_message, encode_message};
pub use pool::{PeerExchange, PeerPool, PeerResponse};
pub use server::{PeerResponder, PeerStream, serve_peers};

use std::time::Duration;

/// The result type of exchanges with peers.
pub type Result<T> = model::Result<T>;

/// Limits on connections and frames.
#[derive(Clone, Copy, Debug)]
pub struct WireLimits {
    /// Maximum size of the head of an exchange, in bytes.
    pub max_head_bytes: usize,
    /// Maximum memory of all heads that a server has received in part, in bytes; at least twice
    /// `max_head_bytes`, since the buffer of a head doubles while it grows.
    pub max_partial_bytes: usize,
    /// Maximum number of concurrent streams on one connection.
    pub max_streams: u32,
    /// Maximum number of accepted connections.
    pub max_connections: usize,
    /// Number of connections above which the least recently used idle ones are closed;
    /// a pool and a server each count their own.
    pub soft_max_connections: usize,
    /// Maximum number of bytes in flight on one stream.
    pub stream_window_bytes: u32,
    /// Maximum number of bytes in flight on one connection.
    pub connection_window_bytes: u32,
    /// Timeout for connecting and for the h2 handshake; also replaces `idle_timeout` on a
    /// server connection that is shutting down.
    pub connect_timeout: Duration,
    /// Time after which a connection without streams is closed; a server may take up to twice
    /// as long.
    pub idle_timeout: Duration,
    /// Interval between pings on a connection with pending work.
    pub ping_interval: Duration,
    /// Time after which a connection without a pong is closed. A pong is queued behind
    /// the bytes in transit, so this must exceed the time to transmit a full window.
    pub ping_timeout: Duration,
    /// Time after which the kernel closes a connection with unacknowledged bytes, and the
    /// interval of keepalive probes on an idle one; zero keeps the defaults of the kernel.
    pub tcp_user_timeout: Duration,
}

impl Default for WireLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 4 << 20,
            max_partial_bytes: 16 << 20,
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
