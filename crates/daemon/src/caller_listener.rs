//! The HTTP listener for callers.
//!
//! Its limits come from the settings and are enforced by [`crate::accept`].

use std::sync::Arc;

use model::ErrorKind;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::accept::{AcceptBounds, ConnectionFault, serve_http};
use crate::call::serve_call;
use crate::core::DaemonCore;
use crate::settings::DaemonSettings;

/// Serves callers until `token` is cancelled, then waits for open calls to finish.
pub async fn serve_callers(core: Arc<DaemonCore>, listener: TcpListener, token: CancellationToken) {
    let bounds = caller_bounds(&core.settings);
    let counting_core = Arc::clone(&core);
    let handler = move |request| serve_call(Arc::clone(&core), request);
    let on_fault = move |fault| count_fault(&counting_core, fault);
    serve_http(listener, bounds, token, handler, on_fault).await;
}

fn caller_bounds(settings: &DaemonSettings) -> AcceptBounds {
    AcceptBounds {
        max_connections: settings.numbers.caller_connections as usize,
        header_timeout: settings.header_timeout(),
        max_header_bytes: settings.numbers.max_header_bytes as usize,
        write_timeout: settings.idle_timeout(),
    }
}

fn count_fault(core: &DaemonCore, fault: ConnectionFault) {
    match fault {
        ConnectionFault::LimitReached => core.counters.count_error(ErrorKind::ConnectionsExceeded),
        ConnectionFault::HeaderTimeout => core.counters.count("caller-header-timeouts"),
        ConnectionFault::Malformed => core.counters.count("caller-parse-errors"),
        ConnectionFault::Disconnected => core.counters.count("caller-connections-broken"),
        ConnectionFault::AcceptFailed => core.counters.count("caller-accepts-failed"),
    }
}
