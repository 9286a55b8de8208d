//! Connections to peers, one for each address, opened on demand.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use h2::client::{Connection, ResponseFuture, SendRequest};
use h2::{Ping, PingPong};
use http::Request;
use model::{ErrorKind, KindError};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::{Instant, interval, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::body::{BodyReceiver, BodySender, stream_error};
use crate::codec::encode_frame;
use crate::{Result, WireLimits};

type LinkSlot = Arc<tokio::sync::Mutex<Option<PeerLink>>>;

#[derive(Clone, Debug)]
struct PeerLink {
    requests: SendRequest<Bytes>,
    usage: Arc<LinkUsage>,
}

/// When a connection was last used; every open direction of a stream holds a clone.
#[derive(Debug)]
pub(crate) struct LinkUsage {
    opened: Mutex<Instant>,
}

impl LinkUsage {
    fn new() -> Arc<Self> {
        Arc::new(Self {
            opened: Mutex::new(Instant::now()),
        })
    }

    fn touch(&self) {
        *self.opened.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    /// Time since the last stream was opened; none while streams are open.
    fn idle_time(self: &Arc<Self>) -> Duration {
        // The link in its slot and the watcher hold one clone each.
        const OWN_CLONES: usize = 2;
        if Arc::strong_count(self) > OWN_CLONES {
            return Duration::ZERO;
        }
        let opened = *self.opened.lock().unwrap_or_else(PoisonError::into_inner);
        opened.elapsed()
    }
}

/// Connections to peers; closes and joins them on [`PeerPool::close`].
#[derive(Debug)]
pub struct PeerPool {
    limits: WireLimits,
    slots: Mutex<HashMap<SocketAddr, LinkSlot>>,
    tracker: TaskTracker,
    token: CancellationToken,
}

/// An open exchange: the way out and the answer to come.
#[derive(Debug)]
pub struct PeerExchange {
    /// Body towards the peer.
    pub sender: BodySender,
    /// The answer.
    pub answer: PeerAnswer,
}

/// An answer that has not arrived yet.
#[derive(Debug)]
pub struct PeerAnswer {
    response: ResponseFuture,
    usage: Arc<LinkUsage>,
    max_head_bytes: usize,
}

impl PeerAnswer {
    /// Waits for the answer's head; the body follows in the receiver.
    ///
    /// Kinds: `OutcomeUnknown`, `PeerUnavailable`, `FrameInvalid`, `FrameTooLarge`.
    pub async fn head<T: DeserializeOwned>(self) -> Result<(T, BodyReceiver)> {
        let response = self.response.await.map_err(stream_error)?;
        let mut receiver = BodyReceiver::new(response.into_body(), Some(self.usage));
        let head = receiver.read_message(self.max_head_bytes).await?;
        Ok((head, receiver))
    }
}

impl PeerPool {
    /// A pool without connections.
    pub fn new(limits: WireLimits) -> Self {
        Self {
            limits,
            slots: Mutex::new(HashMap::new()),
            tracker: TaskTracker::new(),
            token: CancellationToken::new(),
        }
    }

    /// Opens an exchange with the peer at `address`.
    ///
    /// Kinds: `PeerUnavailable` (nothing was sent), `OutcomeUnknown`, `FrameTooLarge`.
    pub async fn open(&self, address: SocketAddr, head: &impl Serialize) -> Result<PeerExchange> {
        let (mut requests, usage) = self.ready_link(address).await?;
        let (response, stream) = requests
            .send_request(new_request()?, false)
            .map_err(unavailable)?;
        let mut sender = BodySender::new(stream, Some(Arc::clone(&usage)));
        sender
            .send_message(head, self.limits.max_head_bytes)
            .await?;
        let answer = PeerAnswer {
            response,
            usage,
            max_head_bytes: self.limits.max_head_bytes,
        };
        Ok(PeerExchange { sender, answer })
    }

    /// Sends one message and waits for the peer's answer to it.
    ///
    /// Kinds: as [`PeerPool::open`] and [`PeerAnswer::head`].
    pub async fn ask<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        head: &impl Serialize,
    ) -> Result<T> {
        let exchange = self.open(address, head).await?;
        // A peer may answer and close the stream before our end of it; the answer counts.
        drop(exchange.sender.finish());
        let (answer, _) = exchange.answer.head().await?;
        Ok(answer)
    }

    /// Sends one message that is whole in itself; the peer only acknowledges it.
    ///
    /// Costs two frames there and one back, less than half of an exchange.
    ///
    /// Kinds: `PeerUnavailable`, `OutcomeUnknown`, `FrameTooLarge`.
    pub async fn tell(&self, address: SocketAddr, head: &impl Serialize) -> Result<()> {
        let frame = encode_frame(head, self.limits.max_head_bytes)?;
        let (mut requests, usage) = self.ready_link(address).await?;
        let (response, mut stream) = requests
            .send_request(new_request()?, false)
            .map_err(unavailable)?;
        stream.reserve_capacity(frame.len());
        stream.send_data(frame, true).map_err(stream_error)?;
        let acknowledged = response.await.map_err(stream_error);
        drop(usage);
        acknowledged.map(drop)
    }

    /// Drops the connection to a peer that left.
    pub fn forget(&self, address: SocketAddr) {
        self.slots().remove(&address);
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

    fn slots(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, LinkSlot>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn ready_link(
        &self,
        address: SocketAddr,
    ) -> Result<(SendRequest<Bytes>, Arc<LinkUsage>)> {
        let slot = Arc::clone(self.slots().entry(address).or_default());
        // The lock collapses simultaneous connection attempts into one.
        let mut link = slot.lock().await;
        if let Some(open) = &*link
            && let Ok(requests) = open.requests.clone().ready().await
        {
            open.usage.touch();
            return Ok((requests, Arc::clone(&open.usage)));
        }
        *link = None;
        let fresh = self.connect(address).await?;
        let requests = fresh.requests.clone();
        let usage = Arc::clone(&fresh.usage);
        *link = Some(fresh);
        let requests = requests.ready().await.map_err(unavailable)?;
        Ok((requests, usage))
    }

    async fn connect(&self, address: SocketAddr) -> Result<PeerLink> {
        let attempt = timeout(self.limits.connect_timeout, handshake(address, self.limits));
        let (requests, connection) = attempt.await.map_err(|elapsed| {
            KindError::new(ErrorKind::PeerUnavailable, format!("{address}: {elapsed}"))
        })??;
        let usage = LinkUsage::new();
        let keeper = keep_link(
            connection,
            Arc::clone(&usage),
            self.limits,
            self.token.clone(),
        );
        self.tracker.spawn(keeper);
        Ok(PeerLink { requests, usage })
    }
}

fn new_request() -> Result<Request<()>> {
    Request::post("http://peer/").body(()).map_err(local)
}

type LinkParts = (SendRequest<Bytes>, Connection<TcpStream, Bytes>);

async fn handshake(address: SocketAddr, limits: WireLimits) -> Result<LinkParts> {
    let failed = |error: std::io::Error| {
        KindError::new(ErrorKind::PeerUnavailable, format!("{address}: {error}"))
    };
    let socket = TcpStream::connect(address).await.map_err(failed)?;
    socket.set_nodelay(true).map_err(failed)?;
    h2::client::Builder::new()
        .initial_window_size(limits.stream_window_bytes)
        .initial_connection_window_size(limits.connection_window_bytes)
        .enable_push(false)
        .handshake(socket)
        .await
        .map_err(unavailable)
}

/// Drives one connection until it fails, falls idle, or the pool closes.
async fn keep_link(
    mut connection: Connection<TcpStream, Bytes>,
    usage: Arc<LinkUsage>,
    limits: WireLimits,
    token: CancellationToken,
) {
    let pings = connection.ping_pong();
    tokio::select! {
        _ = connection => {}
        () = watch_link(pings, usage, limits) => {}
        () = token.cancelled() => {}
    }
}

/// Ends when a pong is missing or the connection was not used for long.
async fn watch_link(pings: Option<PingPong>, usage: Arc<LinkUsage>, limits: WireLimits) {
    let Some(mut pings) = pings else { return };
    let mut ticks = interval(limits.ping_interval);
    ticks.tick().await;
    loop {
        ticks.tick().await;
        if usage.idle_time() > limits.idle_timeout {
            return;
        }
        if usage.idle_time() < limits.ping_interval * 2
            && !matches!(
                timeout(limits.ping_interval, pings.ping(Ping::opaque())).await,
                Ok(Ok(_))
            )
        {
            return;
        }
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
