//! Heap bytes of idle connections, counted by the allocator.
//!
//! One thread and one test in the process, so that the counts are exact.

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

/// Connections measured.
const CONNECTIONS: usize = 50;
/// Heap for idle connections, in bytes: 32 MB less 9.1 MB for full tables and
/// 10 MB for the process without peers.
const HEAP_BUDGET: usize = 12_800_000;
/// Most bytes to open a connection and close it again, without headers of TCP
/// and IP: at one new connection each way a second, a tenth of 10 KB/s.
const OPENING_BUDGET: usize = 500;
/// Bytes of the message that the measurement sends.
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
            answer,
            drop,
        ));
    }
    Servers {
        addresses,
        token,
        tasks,
    }
}

/// Acknowledges a small message, echoes a body otherwise.
async fn answer(stream: PeerStream<Vec<u8>>) {
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

/// Heap bytes held for each connection since `region` began.
fn held(region: &Region<'_, System>) -> usize {
    let change = region.change();
    (change.bytes_allocated - change.bytes_deallocated) / CONNECTIONS
}

async fn settle() {
    tokio::time::sleep(Duration::from_millis(200)).await;
}

fn small_message() -> Vec<u8> {
    vec![0; MESSAGE_BYTES]
}

async fn tell_all(pool: &PeerPool, servers: &Servers) {
    for address in &servers.addresses {
        pool.notify(*address, &small_message()).await.unwrap();
    }
    settle().await;
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

/// What a client sends to open a connection and deliver one small message.
async fn client_bytes() -> Vec<u8> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let pool = PeerPool::new(WireLimits::default());
    let message = small_message();
    let telling = timeout(Duration::from_millis(300), pool.notify(address, &message));
    let reading = async {
        let (mut socket, _) = listener.accept().await.unwrap();
        let mut sent = Vec::new();
        let whole = socket.read_to_end(&mut sent);
        drop(timeout(Duration::from_millis(200), whole).await);
        sent
    };
    let (_, sent) = tokio::join!(telling, reading);
    pool.close().await;
    sent
}

/// Sends recorded bytes to each server from sockets that hold no heap themselves.
async fn send_recorded(servers: &Servers, recorded: &[u8]) -> Vec<TcpStream> {
    let mut strangers = Vec::new();
    for address in &servers.addresses {
        let mut socket = TcpStream::connect(address).await.unwrap();
        socket.write_all(recorded).await.unwrap();
        strangers.push(socket);
    }
    settle().await;
    strangers
}

#[test]
fn an_idle_connection_holds_a_bounded_heap() {
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
    settle().await;

    let region = Region::new(ALLOCATOR);
    let mut strangers = send_recorded(&servers, &recorded).await;
    let server = held(&region);
    let mut received = vec![0; 4096];
    let answered = strangers[0].read(&mut received).await.unwrap();

    let region = Region::new(ALLOCATOR);
    tell_all(&pool, &servers).await;
    let pair = held(&region);
    for _ in 0..3 {
        tell_all(&pool, &servers).await;
    }
    let used = held(&region);
    for address in &servers.addresses {
        call_with_body(&pool, *address).await;
    }
    settle().await;
    let called = held(&region);
    let opening = recorded.len() - MESSAGE_BYTES + answered;
    println!("heap bytes of an idle connection: accepted {server}, both sides {pair},");
    println!("after more control {used}, after a call with a body {called}");
    println!(
        "bytes of h2 to open: there {} (with {MESSAGE_BYTES} of message), back {answered}",
        recorded.len()
    );
    let most = HEAP_BUDGET / WireLimits::default().soft_max_connections;
    assert!(pair.max(used).max(called) <= most, "more than {most} bytes");
    assert!(opening <= OPENING_BUDGET, "{opening} bytes to open");

    drop(strangers);
    pool.close().await;
    servers.token.cancel();
    servers.tasks.close();
    servers.tasks.wait().await;
}
