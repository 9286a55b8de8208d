//! Misbehaving clients: slow, endless, oversized, malformed and stalled requests.

#![allow(dead_code, reason = "each test file uses some of it")]

use std::io::{ErrorKind, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::{WAIT_TIMEOUT, raw_exchange};

/// Pause between two bytes that `trickle` sends.
const TRICKLE_PAUSE: Duration = Duration::from_millis(50);
/// Maximum number of bytes that `send_endless` sends.
const ENDLESS_BYTES: usize = 64 << 20;

/// Sends `start`, then `filler` repeatedly with pauses until the server closes the connection;
/// returns its answer.
pub fn trickle(address: SocketAddr, start: &[u8], filler: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TRICKLE_PAUSE)).unwrap();
    stream.write_all(start).unwrap();
    let mut answer = Vec::new();
    let mut buffer = [0; 4096];
    let steps = WAIT_TIMEOUT.as_millis() / TRICKLE_PAUSE.as_millis();
    for _ in 0..steps {
        match stream.read(&mut buffer) {
            Ok(0) => return String::from_utf8_lossy(&answer).into_owned(),
            Ok(count) => answer.extend_from_slice(&buffer[..count]),
            Err(error) if is_timeout(&error) => {}
            Err(_) => return String::from_utf8_lossy(&answer).into_owned(),
        }
        // The next read detects a closed connection.
        drop(stream.write_all(filler));
    }
    panic!("the server keeps the connection open");
}

/// Sends `start`, then `chunk` repeatedly until the server closes the connection; returns its
/// answer.
pub fn send_endless(address: SocketAddr, start: &[u8], chunk: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream.set_write_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream.write_all(start).unwrap();
    let mut sent = 0;
    while stream.write_all(chunk).is_ok() {
        sent += chunk.len();
        assert!(
            sent < ENDLESS_BYTES,
            "the server accepts an endless request"
        );
    }
    let mut answer = Vec::new();
    drop(stream.read_to_end(&mut answer));
    String::from_utf8_lossy(&answer).into_owned()
}

/// Sends a request with 100 KB of headers; returns the answer.
pub fn send_huge_headers(address: SocketAddr) -> String {
    let mut huge = b"GET / HTTP/1.1\r\nhost: a\r\nx: ".to_vec();
    huge.resize(100_000, b'a');
    huge.extend_from_slice(b"\r\n\r\n");
    String::from_utf8_lossy(&raw_exchange(address, &huge)).into_owned()
}

/// Sends a request with 1,000 headers; returns the answer.
pub fn send_many_headers(address: SocketAddr) -> String {
    let mut many = b"GET / HTTP/1.1\r\nhost: a\r\n".to_vec();
    for number in 0..1000 {
        many.extend_from_slice(format!("x{number}: a\r\n").as_bytes());
    }
    many.extend_from_slice(b"\r\n");
    String::from_utf8_lossy(&raw_exchange(address, &many)).into_owned()
}

/// Sends bytes that are not HTTP; returns the answer.
pub fn send_garbage(address: SocketAddr) -> String {
    let bytes = b"\x16\x03\x01\x02\x00\x01\x00 hello\r\n\r\n";
    String::from_utf8_lossy(&raw_exchange(address, bytes)).into_owned()
}

/// Opens `count` connections that each send `bytes` and then nothing.
pub fn open_stalled(address: SocketAddr, count: usize, bytes: &[u8]) -> Vec<TcpStream> {
    let connect = || {
        let mut stream = TcpStream::connect(address).unwrap();
        // A connection beyond the limit may already be closed.
        drop(stream.write_all(bytes));
        stream
    };
    (0..count).map(|_| connect()).collect()
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}
