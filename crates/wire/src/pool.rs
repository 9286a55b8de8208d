//! A pool of connections to peers, one per address, opened on demand.
//!
//! Idle connections are closed after a time or if too many are open. Each
//! address in use has a slot, which holds its connection; the slot is removed
//! when the connection ends or cannot be opened.

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
use crate::links::{ConnectionRegistry, ConnectionUsage, StreamGuard, StreamKind};
use crate::tcp_timeout::set_tcp_timeouts;
use crate::{Result, WireLimits};

type ConnectionSlot = Arc<tokio::sync::Mutex<Option<PooledConnection>>>;
type SlotMap = Mutex<HashMap<SocketAddr, ConnectionSlot>>;

#[derive(Clone, Debug)]
struct PooledConnection {
    requests: SendRequest<Bytes>,
    usage: Arc<ConnectionUsage>,
}

/// A pool of connections to peers; [`PeerPool::close`] closes and joins them.
#[derive(Debug)]
pub struct PeerPool {
    limits: WireLimits,
    slots: Arc<SlotMap>,
    registry: Arc<ConnectionRegistry>,
    tracker: TaskTracker,
    token: CancellationToken,
}

/// An open exchange with a peer.
#[derive(Debug)]
pub struct PeerExchange {
    /// Sender of the request body.
    pub sender: BodySender,
    /// The pending response.
    pub response: PeerResponse,
}

/// A response that has not arrived yet.
#[derive(Debug)]
pub struct PeerResponse {
    response: ResponseFuture,
    guard: Arc<StreamGuard>,
    max_head_bytes: usize,
}

impl PeerResponse {
    /// Waits for the head of the response; the receiver yields its body.
    ///
    /// Kinds: `OutcomeUnknown`, `PeerUnavailable`, `FrameInvalid`, `FrameTooLarge`.
    pub async fn head<T: DeserializeOwned>(self) -> Result<(T, BodyReceiver)> {
        let response = self.response.await.map_err(stream_error)?;
        let mut receiver = BodyReceiver::new(response.into_body(), Some(self.guard));
        let head = receiver.read_message(self.max_head_bytes).await?;
        Ok((head, receiver))
    }
}

impl PeerPool {
    /// Creates a pool without connections.
    pub fn new(limits: WireLimits) -> Self {
        Self {
            limits,
            slots: Arc::default(),
            registry: Arc::new(ConnectionRegistry::new(limits.soft_max_connections)),
            tracker: TaskTracker::new(),
            token: CancellationToken::new(),
        }
    }

    /// Opens an exchange with the peer at `address`.
    ///
    /// Kinds: `PeerUnavailable` (nothing was sent), `OutcomeUnknown`, `FrameTooLarge`.
    pub async fn open(&self, address: SocketAddr, head: &impl Serialize) -> Result<PeerExchange> {
        let (mut requests, guard) = self.ready_connection(address, StreamKind::Exchange).await?;
        let guard = Arc::new(guard);
        let (response, stream) = requests
            .send_request(new_request()?, false)
            .map_err(unavailable)?;
        let mut sender = BodySender::new(stream, Some(Arc::clone(&guard)));
        sender
            .send_message(head, self.limits.max_head_bytes)
            .await?;
        let peer_response = PeerResponse {
            response,
            guard,
            max_head_bytes: self.limits.max_head_bytes,
        };
        Ok(PeerExchange {
            sender,
            response: peer_response,
        })
    }

    /// Sends one message and waits for the response of the peer.
    ///
    /// Kinds: as [`PeerPool::open`] and [`PeerResponse::head`].
    pub async fn request<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        head: &impl Serialize,
    ) -> Result<T> {
        let exchange = self.open(address, head).await?;
        // A peer may respond and close the stream before the request ends; its response is valid.
        drop(exchange.sender.finish());
        let (response, _) = exchange.response.head().await?;
        Ok(response)
    }

    /// Sends a one-way message, which the peer only acknowledges.
    ///
    /// This takes two frames to the peer and one back, less than half of the
    /// frames of an exchange and its pings. An acknowledged message causes no
    /// pings afterwards.
    ///
    /// Kinds: `PeerUnavailable`, `OutcomeUnknown`, `FrameTooLarge`.
    pub async fn notify(&self, address: SocketAddr, head: &impl Serialize) -> Result<()> {
        let frame = encode_frame(head, self.limits.max_head_bytes)?;
        let (mut requests, guard) = self.ready_connection(address, StreamKind::Message).await?;
        let (response, mut stream) = requests
            .send_request(new_request()?, false)
            .map_err(unavailable)?;
        stream.reserve_capacity(frame.len());
        stream.send_data(frame, true).map_err(stream_error)?;
        response.await.map_err(stream_error)?;
        guard.acknowledge();
        Ok(())
    }

    /// Returns the number of connections that accept new exchanges.
    pub fn connection_count(&self) -> usize {
        self.registry.count()
    }

    /// Returns the number of connections opened since the start.
    pub fn opened_connections(&self) -> u64 {
        self.registry.opened_total()
    }

    /// Returns whether a connection to `address` accepts new exchanges.
    pub fn is_connected(&self, address: SocketAddr) -> bool {
        let slots = self.slots();
        let pooled = slots.get(&address).and_then(|slot| slot.try_lock().ok());
        pooled.is_some_and(|pooled| pooled.as_ref().is_some_and(|pooled| pooled.usage.is_open()))
    }

    /// Returns the number of peers with a slot, connected or not.
    pub fn peer_count(&self) -> usize {
        self.slots().len()
    }

    /// Closes all connections and joins their tasks.
    pub async fn close(&self) {
        self.token.cancel();
        self.slots().clear();
        self.tracker.close();
        self.tracker.wait().await;
    }

    fn slots(&self) -> MutexGuard<'_, HashMap<SocketAddr, ConnectionSlot>> {
        lock(&self.slots)
    }

    /// Returns a ready connection on which a stream has begun.
    async fn ready_connection(
        &self,
        address: SocketAddr,
        kind: StreamKind,
    ) -> Result<(SendRequest<Bytes>, StreamGuard)> {
        let slot = Arc::clone(self.slots().entry(address).or_default());
        // The lock merges simultaneous connection attempts into one.
        let mut pooled = slot.lock().await;
        if let Some(open) = &*pooled
            && let Some(guard) = open.usage.begin_stream(kind)
            && let Ok(requests) = open.requests.clone().ready().await
        {
            return Ok((requests, guard));
        }
        *pooled = None;
        let connected = self.connect(address, kind).await;
        let Ok((requests, guard)) = connected else {
            drop(pooled);
            remove_unused(&self.slots, address, slot);
            return connected;
        };
        *pooled = Some(PooledConnection {
            requests: requests.clone(),
            usage: Arc::clone(guard.usage()),
        });
        let requests = requests.ready().await.map_err(unavailable)?;
        Ok((requests, guard))
    }

    async fn connect(
        &self,
        address: SocketAddr,
        kind: StreamKind,
    ) -> Result<(SendRequest<Bytes>, StreamGuard)> {
        let attempt = timeout(self.limits.connect_timeout, handshake(address, self.limits));
        let (requests, connection) = attempt.await.map_err(|elapsed| {
            KindError::new(ErrorKind::PeerUnavailable, format!("{address}: {elapsed}"))
        })??;
        let guard = self.registry.register(kind);
        let usage = Arc::clone(guard.usage());
        let (slots, registry) = (Arc::clone(&self.slots), Arc::clone(&self.registry));
        let (limits, token) = (self.limits, self.token.clone());
        self.tracker.spawn(async move {
            drive_connection(connection, &usage, limits, token).await;
            registry.remove(&usage);
            remove_ended(&slots, address, &usage);
        });
        Ok((requests, guard))
    }
}

fn lock(slots: &SlotMap) -> MutexGuard<'_, HashMap<SocketAddr, ConnectionSlot>> {
    slots.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Removes the slot of an ended connection, unless a new one is being opened.
fn remove_ended(slots: &SlotMap, address: SocketAddr, usage: &Arc<ConnectionUsage>) {
    let mut slots = lock(slots);
    let Some(slot) = slots.get(&address) else {
        return;
    };
    let has_ended = slot.try_lock().is_ok_and(|pooled| {
        pooled
            .as_ref()
            .is_none_or(|pooled| Arc::ptr_eq(&pooled.usage, usage))
    });
    // Slots are cloned only while the map is locked, so this count is exact.
    if has_ended && Arc::strong_count(slot) == 1 {
        slots.remove(&address);
    }
}

/// Removes the slot of an unreachable peer, unless other tasks wait for it.
fn remove_unused(slots: &SlotMap, address: SocketAddr, slot: ConnectionSlot) {
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
    Request::post("http://peer/").body(()).map_err(local_error)
}

type H2Connection = Connection<TcpStream, Bytes>;
// Boxed, because each future that passes it on would otherwise contain a copy of it.
type ClientHandshake = (SendRequest<Bytes>, Box<H2Connection>);

async fn handshake(address: SocketAddr, limits: WireLimits) -> Result<ClientHandshake> {
    let failed = |error: std::io::Error| {
        KindError::new(ErrorKind::PeerUnavailable, format!("{address}: {error}"))
    };
    let socket = TcpStream::connect(address).await.map_err(failed)?;
    socket.set_nodelay(true).map_err(failed)?;
    set_tcp_timeouts(&socket, limits.tcp_user_timeout).map_err(failed)?;
    let (requests, connection) = h2::client::Builder::new()
        .initial_window_size(limits.stream_window_bytes)
        .initial_connection_window_size(limits.connection_window_bytes)
        .enable_push(false)
        .handshake(socket)
        .await
        .map_err(unavailable)?;
    Ok((requests, Box::new(connection)))
}

/// Drives one connection until it fails, should close, or the pool closes.
async fn drive_connection(
    mut connection: Box<H2Connection>,
    usage: &ConnectionUsage,
    limits: WireLimits,
    token: CancellationToken,
) {
    let pings = connection.ping_pong();
    tokio::select! {
        _ = connection => {}
        () = monitor_connection(pings, usage, limits) => {}
        () = usage.closed() => {}
        () = token.cancelled() => {}
    }
}

/// Returns when a pong is missing or the connection has been idle for too long.
async fn monitor_connection(pings: Option<PingPong>, usage: &ConnectionUsage, limits: WireLimits) {
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
        usage.record_pong();
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "signature required by map_err"
)]
fn unavailable(error: h2::Error) -> KindError {
    KindError::new(ErrorKind::PeerUnavailable, error.to_string())
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "signature required by map_err"
)]
fn local_error(error: http::Error) -> KindError {
    KindError::new(ErrorKind::LocalFailed, error.to_string())
}
