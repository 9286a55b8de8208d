//! Connections to peers, one for each address, opened on demand.
//!
//! Their number is bounded and idle ones close; a slot lives as long as its
//! connection.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use h2::client::{Connection, ResponseFuture, SendRequest};
use h2::{Ping, PingPong};
use http::Request;
use model::{ErrorKind, KindError};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::{interval, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::body::{BodyReceiver, BodySender, stream_error};
use crate::codec::encode_frame;
use crate::links::{LinkBook, LinkUsage, StreamKind, StreamTicket};
use crate::silence::bound_silence;
use crate::{Result, WireLimits};

type LinkSlot = Arc<tokio::sync::Mutex<Option<PeerLink>>>;
type SlotMap = Mutex<HashMap<SocketAddr, LinkSlot>>;

#[derive(Clone, Debug)]
struct PeerLink {
    requests: SendRequest<Bytes>,
    usage: Arc<LinkUsage>,
}

/// Connections to peers; closes and joins them on [`PeerPool::close`].
#[derive(Debug)]
pub struct PeerPool {
    limits: WireLimits,
    slots: Arc<SlotMap>,
    book: Arc<LinkBook>,
    tracker: TaskTracker,
    token: CancellationToken,
}

/// An open exchange: the way out and the answer to come.
#[derive(Debug)]
pub struct PeerExchange {
    /// Body towards the peer.
    pub sender: BodySender,
    /// The answer.
    pub response: PeerResponse,
}

/// An answer that has not arrived yet.
#[derive(Debug)]
pub struct PeerResponse {
    response: ResponseFuture,
    ticket: Arc<StreamTicket>,
    max_head_bytes: usize,
}

impl PeerResponse {
    /// Waits for the answer's head; the body follows in the receiver.
    ///
    /// Kinds: `OutcomeUnknown`, `PeerUnavailable`, `FrameInvalid`, `FrameTooLarge`.
    pub async fn head<T: DeserializeOwned>(self) -> Result<(T, BodyReceiver)> {
        let response = self.response.await.map_err(stream_error)?;
        let mut receiver = BodyReceiver::new(response.into_body(), Some(self.ticket));
        let head = receiver.read_message(self.max_head_bytes).await?;
        Ok((head, receiver))
    }
}

impl PeerPool {
    /// A pool without connections.
    pub fn new(limits: WireLimits) -> Self {
        Self {
            limits,
            slots: Arc::default(),
            book: Arc::new(LinkBook::new(limits.soft_max_connections)),
            tracker: TaskTracker::new(),
            token: CancellationToken::new(),
        }
    }

    /// Opens an exchange with the peer at `address`.
    ///
    /// Kinds: `PeerUnavailable` (nothing was sent), `OutcomeUnknown`, `FrameTooLarge`.
    pub async fn open(&self, address: SocketAddr, head: &impl Serialize) -> Result<PeerExchange> {
        let (mut requests, ticket) = self.ready_link(address, StreamKind::Exchange).await?;
        let ticket = Arc::new(ticket);
        let (response, stream) = requests
            .send_request(new_request()?, false)
            .map_err(unavailable)?;
        let mut sender = BodySender::new(stream, Some(Arc::clone(&ticket)));
        sender
            .send_message(head, self.limits.max_head_bytes)
            .await?;
        let answer = PeerResponse {
            response,
            ticket,
            max_head_bytes: self.limits.max_head_bytes,
        };
        Ok(PeerExchange {
            sender,
            response: answer,
        })
    }

    /// Sends one message and waits for the peer's answer to it.
    ///
    /// Kinds: as [`PeerPool::open`] and [`PeerResponse::head`].
    pub async fn request<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        head: &impl Serialize,
    ) -> Result<T> {
        let exchange = self.open(address, head).await?;
        // A peer may answer and close the stream before our end of it; the answer counts.
        drop(exchange.sender.finish());
        let (answer, _) = exchange.response.head().await?;
        Ok(answer)
    }

    /// Sends one message that is whole in itself; the peer only acknowledges it.
    ///
    /// Costs two frames there and one back, less than half of an exchange, and
    /// no pings afterwards.
    ///
    /// Kinds: `PeerUnavailable`, `OutcomeUnknown`, `FrameTooLarge`.
    pub async fn notify(&self, address: SocketAddr, head: &impl Serialize) -> Result<()> {
        let frame = encode_frame(head, self.limits.max_head_bytes)?;
        let (mut requests, ticket) = self.ready_link(address, StreamKind::Message).await?;
        let (response, mut stream) = requests
            .send_request(new_request()?, false)
            .map_err(unavailable)?;
        stream.reserve_capacity(frame.len());
        stream.send_data(frame, true).map_err(stream_error)?;
        response.await.map_err(stream_error)?;
        ticket.acknowledge();
        Ok(())
    }

    /// Connections that take new exchanges.
    pub fn connection_count(&self) -> usize {
        self.book.count()
    }

    /// Connections opened since the start.
    pub fn opened_connections(&self) -> u64 {
        self.book.opened()
    }

    /// Whether a connection to `address` takes new exchanges.
    pub fn is_connected(&self, address: SocketAddr) -> bool {
        let slots = self.slots();
        let link = slots.get(&address).and_then(|slot| slot.try_lock().ok());
        link.is_some_and(|link| link.as_ref().is_some_and(|link| link.usage.is_open()))
    }

    /// Peers with a slot, connected or not.
    pub fn peer_count(&self) -> usize {
        self.slots().len()
    }

    /// Closes every connection and joins its task.
    pub async fn close(&self) {
        self.token.cancel();
        self.slots().clear();
        self.tracker.close();
        self.tracker.wait().await;
    }

    fn slots(&self) -> MutexGuard<'_, HashMap<SocketAddr, LinkSlot>> {
        lock(&self.slots)
    }

    /// A connection with a stream entered.
    async fn ready_link(
        &self,
        address: SocketAddr,
        kind: StreamKind,
    ) -> Result<(SendRequest<Bytes>, StreamTicket)> {
        let slot = Arc::clone(self.slots().entry(address).or_default());
        // The lock collapses simultaneous connection attempts into one.
        let mut link = slot.lock().await;
        if let Some(open) = &*link
            && let Some(ticket) = open.usage.enter(kind)
            && let Ok(requests) = open.requests.clone().ready().await
        {
            return Ok((requests, ticket));
        }
        *link = None;
        let connected = self.connect(address, kind).await;
        let Ok((requests, ticket)) = connected else {
            drop(link);
            remove_unused(&self.slots, address, slot);
            return connected;
        };
        *link = Some(PeerLink {
            requests: requests.clone(),
            usage: Arc::clone(ticket.usage()),
        });
        let requests = requests.ready().await.map_err(unavailable)?;
        Ok((requests, ticket))
    }

    async fn connect(
        &self,
        address: SocketAddr,
        kind: StreamKind,
    ) -> Result<(SendRequest<Bytes>, StreamTicket)> {
        let attempt = timeout(self.limits.connect_timeout, handshake(address, self.limits));
        let (requests, connection) = attempt.await.map_err(|elapsed| {
            KindError::new(ErrorKind::PeerUnavailable, format!("{address}: {elapsed}"))
        })??;
        let ticket = self.book.open(kind);
        let usage = Arc::clone(ticket.usage());
        let (slots, book) = (Arc::clone(&self.slots), Arc::clone(&self.book));
        let (limits, token) = (self.limits, self.token.clone());
        self.tracker.spawn(async move {
            keep_link(connection, &usage, limits, token).await;
            book.remove(&usage);
            remove_ended(&slots, address, &usage);
        });
        Ok((requests, ticket))
    }
}

fn lock(slots: &SlotMap) -> MutexGuard<'_, HashMap<SocketAddr, LinkSlot>> {
    slots.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Removes the slot of a connection that has ended, unless another is being opened.
fn remove_ended(slots: &SlotMap, address: SocketAddr, usage: &Arc<LinkUsage>) {
    let mut slots = lock(slots);
    let Some(slot) = slots.get(&address) else {
        return;
    };
    let is_ended = slot.try_lock().is_ok_and(|link| {
        link.as_ref()
            .is_none_or(|link| Arc::ptr_eq(&link.usage, usage))
    });
    // Slots are cloned under the map's lock only, so this count is exact.
    if is_ended && Arc::strong_count(slot) == 1 {
        slots.remove(&address);
    }
}

/// Removes the slot of a peer that could not be reached, unless others wait for it.
fn remove_unused(slots: &SlotMap, address: SocketAddr, slot: LinkSlot) {
    let mut slots = lock(slots);
    drop(slot);
    if slots
        .get(&address)
        .is_some_and(|slot| Arc::strong_count(slot) == 1)
    {
        slots.remove(&address);
    }
}

fn new_request() -> Result<Request<()>> {
    Request::post("http://peer/").body(()).map_err(local)
}

type PeerConnection = Connection<TcpStream, Bytes>;
// Boxed, since a future that hands it on would hold it once for each hand.
type LinkParts = (SendRequest<Bytes>, Box<PeerConnection>);

async fn handshake(address: SocketAddr, limits: WireLimits) -> Result<LinkParts> {
    let failed = |error: std::io::Error| {
        KindError::new(ErrorKind::PeerUnavailable, format!("{address}: {error}"))
    };
    let socket = TcpStream::connect(address).await.map_err(failed)?;
    socket.set_nodelay(true).map_err(failed)?;
    bound_silence(&socket, limits.tcp_user_timeout).map_err(failed)?;
    let (requests, connection) = h2::client::Builder::new()
        .initial_window_size(limits.stream_window_bytes)
        .initial_connection_window_size(limits.connection_window_bytes)
        .enable_push(false)
        .handshake(socket)
        .await
        .map_err(unavailable)?;
    Ok((requests, Box::new(connection)))
}

/// Drives one connection until it fails, is to close, or the pool closes.
async fn keep_link(
    mut connection: Box<PeerConnection>,
    usage: &LinkUsage,
    limits: WireLimits,
    token: CancellationToken,
) {
    let pings = connection.ping_pong();
    tokio::select! {
        _ = connection => {}
        () = watch_link(pings, usage, limits) => {}
        () = usage.closed() => {}
        () = token.cancelled() => {}
    }
}

/// Ends when a pong is missing or the connection was not used for long.
async fn watch_link(pings: Option<PingPong>, usage: &LinkUsage, limits: WireLimits) {
    let Some(mut pings) = pings else { return };
    let mut ticks = interval(limits.ping_interval);
    ticks.tick().await;
    loop {
        ticks.tick().await;
        if usage.close_idle(limits.idle_timeout) {
            return;
        }
        if !usage.needs_ping(limits.ping_interval * 2) {
            continue;
        }
        let pinged = timeout(limits.ping_timeout, pings.ping(Ping::opaque()));
        if !matches!(pinged.await, Ok(Ok(_))) {
            return;
        }
        usage.confirm();
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "the shape that map_err takes"
)]
fn unavailable(error: h2::Error) -> KindError {
    KindError::new(ErrorKind::PeerUnavailable, error.to_string())
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "the shape that map_err takes"
)]
fn local(error: http::Error) -> KindError {
    KindError::new(ErrorKind::LocalFailed, error.to_string())
}
