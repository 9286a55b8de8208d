//! Kernel timeouts that detect dead TCP connections.
//!
//! On a slow network, h2 pings are queued behind the bytes of large bodies, so
//! they cannot quickly distinguish a saturated connection from a dead one. The
//! kernel can: a connection is alive as long as its bytes are acknowledged.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Number of unanswered keepalive probes after which an idle connection is closed.
const MAX_PROBES: u32 = 2;

/// Sets the keepalive and user timeouts of `socket`; zero changes nothing.
pub(crate) fn set_tcp_timeouts(socket: &TcpStream, timeout: Duration) -> std::io::Result<()> {
    if timeout.is_zero() {
        return Ok(());
    }
    // Keepalive intervals are whole seconds.
    let interval = timeout.max(Duration::from_secs(1));
    let keepalive = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(interval)
        .with_retries(MAX_PROBES);
    let options = SockRef::from(socket);
    options.set_tcp_keepalive(&keepalive)?;
    options.set_tcp_user_timeout(Some(timeout))
}
