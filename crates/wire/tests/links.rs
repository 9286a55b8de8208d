//! Idle connections: the limit on their number, the closing order and pings.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use model::ErrorKind;
use quetzal_wire::{PeerPool, PeerStream, WireLimits, serve_peers};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Interval between checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of checks, 20 s on an idle machine; reached only by a hang.
const MAX_CHECKS: usize = 4000;

/// Long enough for a pong on a heavily loaded machine.
const PING_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Default)]
struct Peers {
    token: CancellationToken,
    tasks: TaskTracker,
}

impl Peers {
    /// Starts a peer that responds with the head it received.
    async fn start(&self, limits: WireLimits) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let token = self.token.clone();
        let handler = |stream: PeerStream<u32>| async move {
            drop(stream.responder.respond_head(&stream.head).await);
        };
        self.tasks
            .spawn(serve_peers(listener, limits, token, handler, drop));
        address
    }

    async fn start_many(&self, count: usize) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        for _ in 0..count {
            addresses.push(self.start(WireLimits::default()).await);
        }
        addresses
    }

    async fn stop(self) {
        self.token.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

/// Forwards bytes to a peer and counts them; drops them while `silent` is set.
struct ByteRelay {
    address: SocketAddr,
    bytes: Arc<AtomicUsize>,
    silent: Arc<AtomicBool>,
}

impl ByteRelay {
    async fn start(peers: &Peers, target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let relay = Self {
            address: listener.local_addr().unwrap(),
            bytes: Arc::default(),
            silent: Arc::default(),
        };
        let (bytes, silent) = (Arc::clone(&relay.bytes), Arc::clone(&relay.silent));
        let (token, tasks) = (peers.token.clone(), peers.tasks.clone());
        peers.tasks.spawn(async move {
            while let Some(Ok((client, _))) = token.run_until_cancelled(listener.accept()).await {
                let (client_read, client_write) = client.into_split();
                let server = TcpStream::connect(target).await.unwrap();
                let (server_read, server_write) = server.into_split();
                for (read, write) in [(client_read, server_write), (server_read, client_write)] {
                    let copying = copy(read, write, Arc::clone(&bytes), Arc::clone(&silent));
                    let token = token.clone();
                    tasks.spawn(async move { token.run_until_cancelled(copying).await });
                }
            }
        });
        relay
    }
}

async fn copy(
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
    bytes: Arc<AtomicUsize>,
    silent: Arc<AtomicBool>,
) {
    let mut buffer = vec![0; 4096];
    while let Ok(count) = read.read(&mut buffer).await {
        if count == 0 {
            return;
        }
        bytes.fetch_add(count, Ordering::SeqCst);
        if !silent.load(Ordering::SeqCst) && write.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

fn quick_pings() -> WireLimits {
    WireLimits {
        ping_interval: PING_INTERVAL,
        ..WireLimits::default()
    }
}

fn limited_to(soft_max_connections: usize) -> WireLimits {
    WireLimits {
        soft_max_connections,
        ..WireLimits::default()
    }
}

async fn await_true(what: &str, holds: impl Fn() -> bool) {
    for _ in 0..MAX_CHECKS {
        if holds() {
            return;
        }
        sleep(CHECK_INTERVAL).await;
    }
    panic!("timed out waiting for {what}");
}

#[tokio::test]
async fn pool_closes_idle_connections_above_the_limit() {
    let peers = Peers::default();
    let addresses = peers.start_many(40).await;
    let pool = PeerPool::new(limited_to(8));
    let oldest = pool.open(addresses[0], &7_u32).await.unwrap();
    for address in &addresses[1..] {
        assert_eq!(pool.request::<u32>(*address, &1_u32).await.unwrap(), 1);
        assert!(pool.connection_count() <= 8, "{}", pool.connection_count());
    }
    // Slots are removed with their connections.
    await_true("slots to be removed", || pool.peer_count() <= 8).await;
    // The oldest connection was not closed, because its exchange is still open here.
    // `finish` may fail: the peer may have closed the stream after its response.
    drop(oldest.sender.finish());
    let (head, _) = oldest.response.head::<u32>().await.unwrap();
    assert_eq!(head, 7);
    for address in &addresses {
        assert_eq!(pool.request::<u32>(*address, &2_u32).await.unwrap(), 2);
    }
    pool.close().await;
    peers.stop().await;
}

#[tokio::test]
async fn least_recently_used_connection_closes_first() {
    let peers = Peers::default();
    let addresses = peers.start_many(4).await;
    let pool = PeerPool::new(limited_to(3));
    for index in [0, 1, 2, 0] {
        pool.notify(addresses[index], &1_u32).await.unwrap();
    }
    pool.notify(addresses[3], &1_u32).await.unwrap();
    await_true("a slot to be removed", || pool.peer_count() == 3).await;
    assert!(!pool.is_connected(addresses[1]));
    assert!(pool.is_connected(addresses[0]) && pool.is_connected(addresses[2]));
    pool.close().await;
    peers.stop().await;
}

#[tokio::test]
async fn server_closes_idle_connections_above_the_limit_without_losing_exchanges() {
    let peers = Peers::default();
    let address = peers.start(limited_to(4)).await;
    let pools: Vec<PeerPool> = (0..20)
        .map(|_| PeerPool::new(WireLimits::default()))
        .collect();
    for round in 0..3 {
        for pool in &pools {
            assert_eq!(pool.request::<u32>(address, &round).await.unwrap(), round);
        }
    }
    let connected = || pools.iter().map(PeerPool::connection_count).sum::<usize>();
    await_true("connections to close", || connected() <= 4).await;
    for pool in pools {
        pool.close().await;
    }
    peers.stop().await;
}

#[tokio::test]
async fn pings_are_sent_after_exchanges_but_not_after_acknowledged_messages() {
    let peers = Peers::default();
    let address = peers.start(WireLimits::default()).await;
    let relay = ByteRelay::start(&peers, address).await;
    let pool = PeerPool::new(quick_pings());
    pool.notify(relay.address, &1_u32).await.unwrap();
    sleep(PING_INTERVAL / 4).await;
    let after_message = relay.bytes.load(Ordering::SeqCst);
    sleep(PING_INTERVAL * 5).await;
    assert_eq!(relay.bytes.load(Ordering::SeqCst), after_message);
    assert!(pool.is_connected(relay.address));
    let exchange = pool.open(relay.address, &1_u32).await.unwrap();
    sleep(PING_INTERVAL / 4).await;
    let after_open = relay.bytes.load(Ordering::SeqCst);
    await_true("pings", || relay.bytes.load(Ordering::SeqCst) > after_open).await;
    drop(exchange);
    pool.close().await;
    peers.stop().await;
}

#[tokio::test]
async fn connection_to_a_silent_peer_closes_after_an_unacknowledged_message() {
    let peers = Peers::default();
    let address = peers.start(WireLimits::default()).await;
    let relay = ByteRelay::start(&peers, address).await;
    let pool = PeerPool::new(quick_pings());
    pool.notify(relay.address, &1_u32).await.unwrap();
    relay.silent.store(true, Ordering::SeqCst);
    let message = pool.notify(relay.address, &1_u32);
    let delivery = tokio::time::timeout(Duration::from_millis(5), message).await;
    assert!(delivery.is_err(), "a silent peer cannot acknowledge");
    await_true("the connection to close", || pool.peer_count() == 0).await;
    relay.silent.store(false, Ordering::SeqCst);
    pool.notify(relay.address, &1_u32).await.unwrap();
    pool.close().await;
    peers.stop().await;
}

#[tokio::test]
async fn unreachable_peer_leaves_no_slot() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let pool = PeerPool::new(WireLimits::default());
    for _ in 0..3 {
        let error = pool.notify(address, &1_u32).await.unwrap_err();
        assert_eq!(error.kind, ErrorKind::PeerUnavailable);
    }
    assert_eq!(pool.peer_count(), 0);
    pool.close().await;
}
