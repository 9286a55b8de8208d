//! A server for exchanges with peers.
//!
//! If too many connections are open, the least recently used idle one is sent
//! an h2 GOAWAY. No stream is lost: h2 lets open streams finish, and the peer
//! opens a new connection for its next exchange.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::server::{Connection, SendResponse};
use h2::{Reason, RecvStream};
use http::{Request, Response};
use model::{ErrorKind, KindError};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::body::{BodyReceiver, BodySender, stream_error};
use crate::links::{ConnectionRegistry, ConnectionUsage, StreamKind};
use crate::message_budget::MessageBudget;
use crate::tcp_timeout::set_tcp_timeouts;
use crate::{Result, WireLimits};

/// Timeout for receiving the head of an exchange.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// An exchange opened by a peer.
#[derive(Debug)]
pub struct PeerStream<H> {
    /// Remote socket address; its port is not the one on which the peer listens.
    pub peer: SocketAddr,
    /// Head of the request.
    pub head: H,
    /// Receiver of the request body.
    pub receiver: BodyReceiver,
    /// Sends the response.
    pub responder: PeerResponder,
}

/// Responds to one exchange.
#[derive(Debug)]
pub struct PeerResponder {
    response: SendResponse<Bytes>,
    max_head_bytes: usize,
}

impl PeerResponder {
    /// Responds with `head`; the returned sender sends the body.
    ///
    /// Kinds: `OutcomeUnknown`, `FrameTooLarge`.
    pub async fn respond(mut self, head: &impl Serialize) -> Result<BodySender> {
        let stream = self
            .response
            .send_response(Response::new(()), false)
            .map_err(stream_error)?;
        let mut sender = BodySender::new(stream, None);
        sender.send_message(head, self.max_head_bytes).await?;
        Ok(sender)
    }

    /// Responds with `head` and an empty body.
    ///
    /// Kinds: as [`PeerResponder::respond`].
    pub async fn respond_head(self, head: &impl Serialize) -> Result<()> {
        self.respond(head).await?.finish()
    }

    /// Acknowledges a one-way message.
    ///
    /// Kinds: `OutcomeUnknown`.
    pub fn acknowledge(mut self) -> Result<()> {
        let sent = self.response.send_response(Response::new(()), true);
        sent.map(drop).map_err(stream_error)
    }

    /// Waits until the peer has cancelled the exchange.
    pub async fn cancelled(&mut self) {
        let reset = std::future::poll_fn(|context| self.response.poll_reset(context)).await;
        drop(reset);
    }
}

/// Serves peers until `token` is cancelled, then closes the listener and waits for open exchanges
/// to finish.
///
/// `handle` runs in a separate task for each exchange. `on_error` is called for
/// each connection that is refused, fails its handshake or is closed as idle,
/// and for each stream whose head is invalid or late.
pub async fn serve_peers<H, F, R>(
    listener: TcpListener,
    limits: WireLimits,
    token: CancellationToken,
    handle: F,
    on_error: impl Fn(KindError) + Clone + Send + Sync + 'static,
) where
    H: DeserializeOwned + Send + 'static,
    F: Fn(PeerStream<H>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = ()> + Send + 'static,
{
    let tracker = TaskTracker::new();
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    let messages = MessageBudget::new(limits.max_partial_bytes);
    let registry = Arc::new(ConnectionRegistry::new(limits.soft_max_connections));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = token.cancelled() => break,
        };
        let Ok((socket, peer)) = accepted else {
            // Usually the process is out of file descriptors, so an immediate retry would fail too.
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Without a free permit the socket is dropped, which the peer notices at once.
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            let kind = ErrorKind::ConnectionsExceeded;
            on_error(KindError::new(
                kind,
                format!("connection limit reached; refused {peer}"),
            ));
            continue;
        };
        let (handle, on_error) = (handle.clone(), on_error.clone());
        let (token, streams) = (token.clone(), tracker.clone());
        let registry = Arc::clone(&registry);
        let messages = messages.clone();
        tracker.spawn(async move {
            let first_stream = registry.register(StreamKind::Exchange);
            let usage = Arc::clone(first_stream.usage());
            drop(first_stream);
            let context = ConnectionContext {
                peer,
                limits,
                token,
                streams,
                messages,
                usage: Arc::clone(&usage),
            };
            let served = serve_connection(socket, context, handle, &on_error);
            if let Err(error) = served.await {
                on_error(error);
            }
            registry.remove(&usage);
            drop(permit);
        });
    }
    // Peers that connect from now on are refused at once and go elsewhere.
    drop(listener);
    tracker.close();
    tracker.wait().await;
}

/// Context of the accept loop of one connection.
struct ConnectionContext {
    peer: SocketAddr,
    limits: WireLimits,
    token: CancellationToken,
    streams: TaskTracker,
    messages: MessageBudget,
    usage: Arc<ConnectionUsage>,
}

async fn serve_connection<H, F, R>(
    socket: TcpStream,
    context: ConnectionContext,
    handle: F,
    on_error: &(impl Fn(KindError) + Clone + Send + Sync + 'static),
) -> Result<()>
where
    H: DeserializeOwned + Send + 'static,
    F: Fn(PeerStream<H>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = ()> + Send + 'static,
{
    let ConnectionContext {
        peer,
        limits,
        token,
        streams,
        messages,
        usage,
    } = context;
    let Ok(connection) = timeout(limits.connect_timeout, accept(socket, limits)).await else {
        return Ok(());
    };
    let mut connection = connection?;
    let mut shutting_down = false;
    let mut was_idle = false;
    loop {
        let wait_time = if shutting_down {
            limits.connect_timeout
        } else {
            limits.idle_timeout
        };
        let request = tokio::select! {
            request = connection.accept() => request,
            () = close_requested(&token, &usage), if !shutting_down => {
                shutting_down = true;
                connection.graceful_shutdown();
                continue;
            }
            () = sleep(wait_time) => {
                let is_idle = usage.is_idle();
                if is_idle && was_idle {
                    let detail = format!("connection from {peer} has no streams");
                    return Err(KindError::new(ErrorKind::IdleTimeout, detail));
                }
                was_idle = is_idle;
                continue;
            }
        };
        let Some(request) = request else {
            return Ok(());
        };
        // A broken connection is not reported here; its streams report the error.
        let Ok((request, response)) = request else {
            return Ok(());
        };
        was_idle = false;
        let (handle, on_error) = (handle.clone(), on_error.clone());
        let messages = messages.clone();
        // A closing connection still serves the requests that have arrived.
        let guard = usage.begin_stream(StreamKind::Exchange);
        streams.spawn(async move {
            match open_stream(request, response, peer, limits, &messages).await {
                Ok(stream) => handle(stream).await,
                Err(error) => on_error(error),
            }
            drop(guard);
        });
    }
}

/// Waits until the server stops or the connection should close.
async fn close_requested(token: &CancellationToken, usage: &ConnectionUsage) {
    tokio::select! {
        () = token.cancelled() => {}
        () = usage.closed() => {}
    }
}

async fn accept(socket: TcpStream, limits: WireLimits) -> Result<Connection<TcpStream, Bytes>> {
    // Errors are ignored: without these options the socket is slower or its loss is
    // detected later, but it works.
    drop(socket.set_nodelay(true));
    drop(set_tcp_timeouts(&socket, limits.tcp_user_timeout));
    h2::server::Builder::new()
        .initial_window_size(limits.stream_window_bytes)
        .initial_connection_window_size(limits.connection_window_bytes)
        .max_concurrent_streams(limits.max_streams)
        .max_header_list_size(1 << 10)
        .handshake(socket)
        .await
        .map_err(stream_error)
}

async fn open_stream<H: DeserializeOwned>(
    request: Request<RecvStream>,
    mut response: SendResponse<Bytes>,
    peer: SocketAddr,
    limits: WireLimits,
    messages: &MessageBudget,
) -> Result<PeerStream<H>> {
    let mut receiver = BodyReceiver::new(request.into_body(), None);
    let mut room = messages.open();
    let reading = receiver.read_message_within(limits.max_head_bytes, |size| room.extend_to(size));
    let reading = timeout(HEAD_TIMEOUT, reading);
    let read = reading
        .await
        .unwrap_or_else(|elapsed| Err(KindError::new(ErrorKind::IdleTimeout, elapsed.to_string())));
    match read {
        Ok(head) => Ok(PeerStream {
            peer,
            head,
            receiver,
            responder: PeerResponder {
                response,
                max_head_bytes: limits.max_head_bytes,
            },
        }),
        Err(error) => {
            // The head was not read, so the exchange has not been processed.
            let reason = match error.kind {
                ErrorKind::Overloaded => Reason::REFUSED_STREAM,
                _ => Reason::PROTOCOL_ERROR,
            };
            response.send_reset(reason);
            Err(error)
        }
    }
}
