//! Cost of stalled clients for a listener: threads, memory, and whether one more call is
//! answered.
//!
//! Compares a thread pool around `tiny_http`, which the operator interface used to be, with the
//! daemon's bounded accept loop. Each server runs in its own process. The accept loop fails the
//! bench if it uses too many threads or gives no answer; memory is only printed.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use comfy_table::Table;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use quetzal_daemon::accept::{AcceptBounds, bind, serve_http};
use tokio_util::sync::CancellationToken;

/// Number of clients that stall at the same time.
const CLIENT_COUNT: usize = 1000;
/// Maximum number of threads of the accept loop: two workers and the main thread.
const MAX_THREADS: u64 = 3;
/// Number of threads that answer requests with `tiny_http`.
const WORKER_COUNT: usize = 4;
/// Time after which the additional call counts as unanswered.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for a server to process what its clients have sent.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Servers by name, with the maximum number of connections of the accept loop.
const SERVERS: [(&str, usize); 3] = [("tiny_http", 0), ("loop", 2000), ("loop", 64)];

/// Name and bytes of what each stalled client sends.
const LOADS: [(&str, &[u8]); 3] = [
    ("idle", b""),
    ("half a header", b"GET / HTTP/1.1\r\nhost: a\r\n"),
    (
        "half a body",
        b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 20000\r\n\r\nx",
    ),
];

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    if let Some(at) = args.iter().position(|word| word == "--serve") {
        let max_connections = args.get(at + 2).and_then(|word| word.parse().ok());
        return serve(&args[at + 1], max_connections.unwrap_or(0));
    }
    let mut table = Table::new();
    table.set_header([
        "server",
        "connections allowed",
        "1,000 clients send",
        "threads",
        "resident MB",
        "a further call",
    ]);
    let mut failed_rows = 0;
    for (server, max_connections) in SERVERS {
        for (load, bytes) in LOADS {
            let measured = measure(server, max_connections, bytes);
            let checked = server == "loop";
            let within_bounds = measured.threads <= MAX_THREADS && measured.answer != "no answer";
            failed_rows += usize::from(checked && !within_bounds);
            table.add_row([
                server.to_owned(),
                if checked {
                    max_connections.to_string()
                } else {
                    "any".to_owned()
                },
                load.to_owned(),
                measured.threads.to_string(),
                format!("{:.1}", measured.resident_mb),
                measured.answer,
            ]);
        }
    }
    println!("{table}");
    println!("bound: at most {MAX_THREADS} threads and an answer; {failed_rows} rows beyond it");
    ExitCode::from(u8::from(failed_rows > 0))
}

struct Measurement {
    threads: u64,
    resident_mb: f64,
    answer: String,
}

fn measure(server: &str, max_connections: usize, bytes: &[u8]) -> Measurement {
    let (mut child, address) = start(server, max_connections);
    let mut clients = Vec::with_capacity(CLIENT_COUNT);
    for _ in 0..CLIENT_COUNT {
        let mut client = TcpStream::connect(address).expect("loopback accepts");
        // A client beyond the limit may already be disconnected.
        drop(client.write_all(bytes));
        clients.push(client);
    }
    thread::sleep(SETTLE_TIME);
    let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()));
    let status = status.expect("the server runs");
    let measurement = Measurement {
        threads: field(&status, "Threads:"),
        resident_mb: field(&status, "VmRSS:") as f64 / 1024.0,
        answer: call(address),
    };
    drop(clients);
    child.kill().expect("the server runs");
    child.wait().expect("the server was killed");
    measurement
}

fn field(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let word = line.and_then(|line| line.split_whitespace().next());
    word.and_then(|word| word.parse().ok()).unwrap_or(0)
}

fn call(address: SocketAddr) -> String {
    let exchange = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(CALL_TIMEOUT))?;
        stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")?;
        let mut answer = [0; 12];
        stream.read_exact(&mut answer)?;
        Ok(String::from_utf8_lossy(&answer[9..]).into_owned())
    };
    exchange().unwrap_or_else(|_| "no answer".to_owned())
}

fn start(server: &str, max_connections: usize) -> (Child, SocketAddr) {
    let program = std::env::current_exe().expect("a program has a path");
    let mut child = Command::new(program)
        .args(["--serve", server, &max_connections.to_string()])
        .stdout(Stdio::piped())
        .spawn()
        .expect("this program starts");
    let mut line = String::new();
    let output = child.stdout.take().expect("the output is piped");
    let read = BufReader::new(output).read_line(&mut line);
    read.expect("the server names its address");
    let address = line.trim().parse().expect("an address");
    (child, address)
}

fn serve(server: &str, max_connections: usize) -> ExitCode {
    if server == "tiny_http" {
        serve_threads();
    } else {
        serve_loop(max_connections);
    }
    ExitCode::SUCCESS
}

fn serve_threads() {
    let server = tiny_http::Server::http("127.0.0.1:0").expect("loopback binds");
    println!("{}", server.server_addr());
    let server = Arc::new(server);
    let workers = (0..WORKER_COUNT).map(|_| {
        let server = Arc::clone(&server);
        thread::spawn(move || {
            while let Ok(mut request) = server.recv() {
                let mut body = Vec::new();
                drop(request.as_reader().read_to_end(&mut body));
                drop(request.respond(tiny_http::Response::empty(200)));
            }
        })
    });
    let workers: Vec<_> = workers.collect();
    for worker in workers {
        drop(worker.join());
    }
}

fn serve_loop(max_connections: usize) {
    let bounds = AcceptBounds {
        max_connections,
        header_timeout: Duration::from_secs(5),
        max_header_bytes: 8 << 10,
        write_timeout: Duration::from_secs(15),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime starts");
    let listener = runtime
        .block_on(bind(SocketAddr::from(([127, 0, 0, 1], 0))))
        .expect("loopback binds");
    println!("{}", listener.local_addr().expect("a bound address"));
    let answer = |request: Request<Incoming>| async move {
        drop(request.into_body().collect().await);
        Response::new(Full::new(Bytes::new()).map_err(|never| match never {}))
    };
    let token = CancellationToken::new();
    runtime.block_on(serve_http(listener, bounds, token, answer, |_| {}));
}
