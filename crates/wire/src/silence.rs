//! Connections that go silent without a reset.
//!
//! Pings wait behind the bytes of large bodies on a slow link, so they can't
//! tell a full link from a silent one soon. The kernel can: as long as bytes
//! are acknowledged at all, the link lives.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Probes without an answer after which an idle connection is closed.
const PROBES: u32 = 2;

/// Has the kernel close `socket` after `timeout` of silence; zero changes nothing.
pub(crate) fn bound_silence(socket: &TcpStream, timeout: Duration) -> std::io::Result<()> {
    if timeout.is_zero() {
        return Ok(());
    }
    // Keepalive counts in whole seconds.
    let interval = timeout.max(Duration::from_secs(1));
    let keepalive = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(interval)
        .with_retries(PROBES);
    let options = SockRef::from(socket);
    options.set_tcp_keepalive(&keepalive)?;
    options.set_tcp_user_timeout(Some(timeout))
}
