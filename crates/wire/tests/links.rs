//! Idle connections: their number, which closes first, pings.

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

/// Time between two looks of a wait.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);
/// Looks of the longest wait, 20 s of a quiet machine; only a hang reaches it.
const MAX_LOOKS: usize = 4000;

/// Long enough for a pong on a busy machine.
const PING_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Default)]
struct Peers {
    token: CancellationToken,
    tasks: TaskTracker,
}

impl Peers {
    /// A peer that answers with the head it was sent.
    async fn start(&self, limits: WireLimits) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let token = self.token.clone();
        let answer = |stream: PeerStream<u32>| async move {
            drop(stream.responder.respond_head(&stream.head).await);
        };
        self.tasks
            .spawn(serve_peers(listener, limits, token, answer, drop));
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

/// Passes bytes on to a peer, counts them, and drops them while silent.
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
            while let Some(Ok((near, _))) = token.run_until_cancelled(listener.accept()).await {
                let (near_read, near_write) = near.into_split();
                let far = TcpStream::connect(target).await.unwrap();
                let (far_read, far_write) = far.into_split();
                for (read, write) in [(near_read, far_write), (far_read, near_write)] {
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

fn at_most(soft_max_connections: usize) -> WireLimits {
    WireLimits {
        soft_max_connections,
        ..WireLimits::default()
    }
}

async fn await_true(what: &str, holds: impl Fn() -> bool) {
    for _ in 0..MAX_LOOKS {
        if holds() {
            return;
        }
        sleep(LOOK_INTERVAL).await;
    }
    panic!("waited in vain for {what}");
}

#[tokio::test]
async fn a_pool_that_has_called_everyone_keeps_the_bound() {
    let peers = Peers::default();
    let addresses = peers.start_many(40).await;
    let pool = PeerPool::new(at_most(8));
    let oldest = pool.open(addresses[0], &7_u32).await.unwrap();
    for address in &addresses[1..] {
        assert_eq!(pool.request::<u32>(*address, &1_u32).await.unwrap(), 1);
        assert!(pool.connection_count() <= 8, "{}", pool.connection_count());
    }
    // Slots go with their connections.
    await_true("slots to go", || pool.peer_count() <= 8).await;
    // The oldest connection carries a stream and is spared.
    // The peer may have closed the stream after its answer.
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
async fn the_least_recently_used_connection_closes_first() {
    let peers = Peers::default();
    let addresses = peers.start_many(4).await;
    let pool = PeerPool::new(at_most(3));
    for index in [0, 1, 2, 0] {
        pool.notify(addresses[index], &1_u32).await.unwrap();
    }
    pool.notify(addresses[3], &1_u32).await.unwrap();
    await_true("a slot to go", || pool.peer_count() == 3).await;
    assert!(!pool.is_connected(addresses[1]));
    assert!(pool.is_connected(addresses[0]) && pool.is_connected(addresses[2]));
    pool.close().await;
    peers.stop().await;
}

#[tokio::test]
async fn a_peer_that_everyone_calls_keeps_the_bound_and_loses_no_exchange() {
    let peers = Peers::default();
    let address = peers.start(at_most(4)).await;
    let pools: Vec<PeerPool> = (0..20)
        .map(|_| PeerPool::new(WireLimits::default()))
        .collect();
    for round in 0..3 {
        for pool in &pools {
            assert_eq!(pool.request::<u32>(address, &round).await.unwrap(), round);
        }
    }
    let linked = || pools.iter().map(PeerPool::connection_count).sum::<usize>();
    await_true("connections to close", || linked() <= 4).await;
    for pool in pools {
        pool.close().await;
    }
    peers.stop().await;
}

#[tokio::test]
async fn pings_follow_exchanges_and_not_acknowledged_messages() {
    let peers = Peers::default();
    let address = peers.start(WireLimits::default()).await;
    let relay = ByteRelay::start(&peers, address).await;
    let pool = PeerPool::new(quick_pings());
    pool.notify(relay.address, &1_u32).await.unwrap();
    sleep(PING_INTERVAL / 4).await;
    let told = relay.bytes.load(Ordering::SeqCst);
    sleep(PING_INTERVAL * 5).await;
    assert_eq!(relay.bytes.load(Ordering::SeqCst), told);
    assert!(pool.is_connected(relay.address));
    let exchange = pool.open(relay.address, &1_u32).await.unwrap();
    sleep(PING_INTERVAL / 4).await;
    let opened = relay.bytes.load(Ordering::SeqCst);
    await_true("pings", || relay.bytes.load(Ordering::SeqCst) > opened).await;
    drop(exchange);
    pool.close().await;
    peers.stop().await;
}

#[tokio::test]
async fn a_silent_peer_is_pinged_after_a_message_and_let_go() {
    let peers = Peers::default();
    let address = peers.start(WireLimits::default()).await;
    let relay = ByteRelay::start(&peers, address).await;
    let pool = PeerPool::new(quick_pings());
    pool.notify(relay.address, &1_u32).await.unwrap();
    relay.silent.store(true, Ordering::SeqCst);
    let message = pool.notify(relay.address, &1_u32);
    let told = tokio::time::timeout(Duration::from_millis(5), message).await;
    assert!(told.is_err(), "nobody can have acknowledged it");
    await_true("the connection to close", || pool.peer_count() == 0).await;
    relay.silent.store(false, Ordering::SeqCst);
    pool.notify(relay.address, &1_u32).await.unwrap();
    pool.close().await;
    peers.stop().await;
}

#[tokio::test]
async fn a_peer_that_cannot_be_reached_leaves_no_slot() {
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
