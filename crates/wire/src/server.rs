//! Accepts exchanges from peers.
//!
//! Beyond the bound on idle connections the least recently used one is told to
//! go away, which loses no stream: h2 lets open ones end, and the peer opens
//! another connection for its next exchange.

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
use crate::links::{LinkBook, LinkUsage, StreamKind};
use crate::silence::bound_silence;
use crate::{Result, WireLimits};

/// Time for the head of an exchange to arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// One exchange that a peer opened.
#[derive(Debug)]
pub struct PeerStream<H> {
    /// The peer's socket address; its port is not the peer's listener.
    pub peer: SocketAddr,
    /// The head.
    pub head: H,
    /// Body bytes after the head.
    pub receiver: BodyReceiver,
    /// The way to answer.
    pub responder: PeerResponder,
}

/// Answers one exchange.
#[derive(Debug)]
pub struct PeerResponder {
    response: SendResponse<Bytes>,
    max_head_bytes: usize,
}

impl PeerResponder {
    /// Answers with `head`; the body follows through the sender.
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

    /// Answers with `head` and no body.
    ///
    /// Kinds: as [`PeerResponder::respond`].
    pub async fn respond_head(self, head: &impl Serialize) -> Result<()> {
        self.respond(head).await?.finish()
    }

    /// Acknowledges a message that is whole in itself.
    ///
    /// Kinds: `OutcomeUnknown`.
    pub fn acknowledge(mut self) -> Result<()> {
        let sent = self.response.send_response(Response::new(()), true);
        sent.map(drop).map_err(stream_error)
    }

    /// Waits until the peer has given up the exchange.
    pub async fn cancelled(&mut self) {
        let reset = std::future::poll_fn(|context| self.response.poll_reset(context)).await;
        drop(reset);
    }
}

/// Serves peers until `token` is cancelled, then lets open exchanges end.
///
/// `handle` runs in a task of its own for each exchange; `refused` hears of
/// each stream or connection that was closed for breaking a bound.
pub async fn serve_peers<H, F, R>(
    listener: TcpListener,
    limits: WireLimits,
    token: CancellationToken,
    handle: F,
    refused: impl Fn(KindError) + Clone + Send + Sync + 'static,
) where
    H: DeserializeOwned + Send + 'static,
    F: Fn(PeerStream<H>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = ()> + Send + 'static,
{
    let tracker = TaskTracker::new();
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    let book = Arc::new(LinkBook::new(limits.soft_max_connections));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = token.cancelled() => break,
        };
        let Ok((socket, peer)) = accepted else {
            // Usually files are used up; another try at once would fail too.
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Without a free permit the socket is dropped, which the peer sees at once.
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            let kind = ErrorKind::ConnectionsExceeded;
            refused(KindError::new(kind, format!("{peer} is one too many")));
            continue;
        };
        let (handle, refused) = (handle.clone(), refused.clone());
        let (token, streams) = (token.clone(), tracker.clone());
        let book = Arc::clone(&book);
        tracker.spawn(async move {
            let first = book.open(StreamKind::Exchange);
            let usage = Arc::clone(first.usage());
            drop(first);
            let serving = Serving {
                peer,
                limits,
                token,
                streams,
                usage: Arc::clone(&usage),
            };
            let served = serve_connection(socket, serving, handle, &refused);
            if let Err(error) = served.await {
                refused(error);
            }
            book.remove(&usage);
            drop(permit);
        });
    }
    tracker.close();
    tracker.wait().await;
}

/// What the loop of one connection needs beside its socket.
struct Serving {
    peer: SocketAddr,
    limits: WireLimits,
    token: CancellationToken,
    streams: TaskTracker,
    usage: Arc<LinkUsage>,
}

async fn serve_connection<H, F, R>(
    socket: TcpStream,
    serving: Serving,
    handle: F,
    refused: &(impl Fn(KindError) + Clone + Send + Sync + 'static),
) -> Result<()>
where
    H: DeserializeOwned + Send + 'static,
    F: Fn(PeerStream<H>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = ()> + Send + 'static,
{
    let Serving {
        peer,
        limits,
        token,
        streams,
        usage,
    } = serving;
    let Ok(connection) = timeout(limits.connect_timeout, accept(socket, limits)).await else {
        return Ok(());
    };
    let mut connection = connection?;
    let mut stopping = false;
    let mut was_idle = false;
    loop {
        let patience = if stopping {
            limits.connect_timeout
        } else {
            limits.idle_timeout
        };
        let request = tokio::select! {
            request = connection.accept() => request,
            () = ended(&token, &usage), if !stopping => {
                stopping = true;
                connection.graceful_shutdown();
                continue;
            }
            () = sleep(patience) => {
                let is_idle = usage.is_idle();
                if is_idle && was_idle {
                    let detail = format!("{peer} holds a connection without streams");
                    return Err(KindError::new(ErrorKind::IdleTimeout, detail));
                }
                was_idle = is_idle;
                continue;
            }
        };
        let Some(request) = request else {
            return Ok(());
        };
        // A connection that breaks off is no fault of its own; its streams report it.
        let Ok((request, response)) = request else {
            return Ok(());
        };
        was_idle = false;
        let (handle, refused) = (handle.clone(), refused.clone());
        // A connection that is to close still serves what has arrived.
        let ticket = usage.enter(StreamKind::Exchange);
        streams.spawn(async move {
            match open_stream(request, response, peer, limits).await {
                Ok(stream) => handle(stream).await,
                Err(error) => refused(error),
            }
            drop(ticket);
        });
    }
}

/// Waits until the server stops or the connection is one too many.
async fn ended(token: &CancellationToken, usage: &LinkUsage) {
    tokio::select! {
        () = token.cancelled() => {}
        () = usage.closed() => {}
    }
}

async fn accept(socket: TcpStream, limits: WireLimits) -> Result<Connection<TcpStream, Bytes>> {
    // An error here leaves the socket slower, or its silence noticed later, not wrong.
    drop(socket.set_nodelay(true));
    drop(bound_silence(&socket, limits.tcp_user_timeout));
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
) -> Result<PeerStream<H>> {
    let mut receiver = BodyReceiver::new(request.into_body(), None);
    let reading = timeout(HEAD_TIMEOUT, receiver.read_message(limits.max_head_bytes));
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
            response.send_reset(Reason::PROTOCOL_ERROR);
            Err(error)
        }
    }
}
