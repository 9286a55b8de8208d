//! Heap memory of idle connections, counted by the allocator.
//!
//! The process runs one thread and one test, so the counts are exact.

use std::alloc::System;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use quetzal_wire::{PeerPool, PeerStream, WireLimits, serve_peers};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Number of measured connections.
const CONNECTIONS: usize = 50;
/// Heap budget for idle connections, in bytes: the 32 MB of a daemon minus 9.1 MB for
/// full tables and 10 MB for the process without peers.
const HEAP_BUDGET: usize = 12_800_000;
/// Maximum number of bytes to open a connection and frame its first message, without TCP and IP
/// headers. At one new connection per second in each direction, this is a tenth of the 10 KB/s
/// of control traffic that a daemon may cause.
const OPENING_BUDGET: usize = 500;
/// Size of the messages sent by the test.
const MESSAGE_BYTES: usize = 300;

struct Servers {
    addresses: Vec<SocketAddr>,
    token: CancellationToken,
    tasks: TaskTracker,
}

async fn start_servers(count: usize) -> Servers {
    let (token, tasks) = (CancellationToken::new(), TaskTracker::new());
    let mut addresses = Vec::new();
    for _ in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        addresses.push(listener.local_addr().unwrap());
        tasks.spawn(serve_peers(
            listener,
            WireLimits::default(),
            token.clone(),
            handle_exchange,
            drop,
        ));
    }
    Servers {
        addresses,
        token,
        tasks,
    }
}

/// Acknowledges a one-way message or echoes a body.
async fn handle_exchange(stream: PeerStream<Vec<u8>>) {
    let mut receiver = stream.receiver;
    if stream.head.first() == Some(&0) {
        drop(stream.responder.acknowledge());
        return;
    }
    let mut sender = stream.responder.respond(&stream.head).await.unwrap();
    while let Some(chunk) = receiver.next().await {
        sender.send(chunk.unwrap()).await.unwrap();
    }
    sender.finish().unwrap();
}

/// Returns the heap growth per connection since the start of `region`, in bytes.
fn heap_per_connection(region: &Region<'_, System>) -> usize {
    let change = region.change();
    (change.bytes_allocated - change.bytes_deallocated) / CONNECTIONS
}

async fn wait_until_idle() {
    tokio::time::sleep(Duration::from_millis(200)).await;
}

fn small_message() -> Vec<u8> {
    vec![0; MESSAGE_BYTES]
}

async fn notify_all(pool: &PeerPool, servers: &Servers) {
    for address in &servers.addresses {
        pool.notify(*address, &small_message()).await.unwrap();
    }
    wait_until_idle().await;
}

async fn call_with_body(pool: &PeerPool, address: SocketAddr) {
    let head = vec![1_u8; MESSAGE_BYTES];
    let mut exchange = pool.open(address, &head).await.unwrap();
    let body = Bytes::from(vec![7; 40_000]);
    exchange.sender.send(body).await.unwrap();
    exchange.sender.finish().unwrap();
    let (_, mut receiver) = exchange.response.head::<Vec<u8>>().await.unwrap();
    while let Some(chunk) = receiver.next().await {
        chunk.unwrap();
    }
}

/// Records the bytes with which a client opens a connection and sends one message.
async fn client_bytes() -> Vec<u8> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let pool = PeerPool::new(WireLimits::default());
    let message = small_message();
    let notifying = timeout(Duration::from_millis(300), pool.notify(address, &message));
    let reading = async {
        let (mut socket, _) = listener.accept().await.unwrap();
        let mut sent = Vec::new();
        let read_until_close = socket.read_to_end(&mut sent);
        drop(timeout(Duration::from_millis(200), read_until_close).await);
        sent
    };
    let (_, sent) = tokio::join!(notifying, reading);
    pool.close().await;
    sent
}

/// Sends recorded bytes to each server from plain sockets, which use no heap.
async fn send_recorded(servers: &Servers, recorded: &[u8]) -> Vec<TcpStream> {
    let mut sockets = Vec::new();
    for address in &servers.addresses {
        let mut socket = TcpStream::connect(address).await.unwrap();
        socket.write_all(recorded).await.unwrap();
        sockets.push(socket);
    }
    wait_until_idle().await;
    sockets
}

#[test]
fn idle_connection_uses_bounded_heap() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(measure());
}

async fn measure() {
    let servers = start_servers(CONNECTIONS).await;
    let pool = PeerPool::new(WireLimits::default());
    let recorded = client_bytes().await;
    wait_until_idle().await;

    let region = Region::new(ALLOCATOR);
    let mut sockets = send_recorded(&servers, &recorded).await;
    let server = heap_per_connection(&region);
    let mut received = vec![0; 4096];
    let received_bytes = sockets[0].read(&mut received).await.unwrap();

    let region = Region::new(ALLOCATOR);
    notify_all(&pool, &servers).await;
    let both_sides = heap_per_connection(&region);
    for _ in 0..3 {
        notify_all(&pool, &servers).await;
    }
    let after_messages = heap_per_connection(&region);
    for address in &servers.addresses {
        call_with_body(&pool, *address).await;
    }
    wait_until_idle().await;
    let after_call = heap_per_connection(&region);
    let opening_bytes = recorded.len() - MESSAGE_BYTES + received_bytes;
    println!("heap bytes per idle connection: accepted {server}, both sides {both_sides},");
    println!("after more messages {after_messages}, after a call with a body {after_call}");
    println!(
        "h2 bytes to open a connection: sent {} (message: {MESSAGE_BYTES}), received {received_bytes}",
        recorded.len()
    );
    let max_bytes = HEAP_BUDGET / WireLimits::default().soft_max_connections;
    assert!(
        both_sides.max(after_messages).max(after_call) <= max_bytes,
        "more than {max_bytes} bytes"
    );
    assert!(
        opening_bytes <= OPENING_BUDGET,
        "{opening_bytes} bytes to open a connection"
    );

    drop(sockets);
    pool.close().await;
    servers.token.cancel();
    servers.tasks.close();
    servers.tasks.wait().await;
}
