//! Clients that break the rules of a listener.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::io::{ErrorKind, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::{PATIENCE, raw_exchange};

/// Pause between two bytes of a client that trickles.
const TRICKLE_PAUSE: Duration = Duration::from_millis(50);
/// Bytes that an endless sender sends at the most.
const ENDLESS_BYTES: usize = 64 << 20;

/// Sends `start`, then one byte of `filler` again and again until the other
/// side closes; returns its answer.
pub fn trickle(address: SocketAddr, start: &[u8], filler: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TRICKLE_PAUSE)).unwrap();
    stream.write_all(start).unwrap();
    let mut answer = Vec::new();
    let mut buffer = [0; 4096];
    let steps = PATIENCE.as_millis() / TRICKLE_PAUSE.as_millis();
    for _ in 0..steps {
        match stream.read(&mut buffer) {
            Ok(0) => return String::from_utf8_lossy(&answer).into_owned(),
            Ok(count) => answer.extend_from_slice(&buffer[..count]),
            Err(error) if is_wait(&error) => {}
            Err(_) => return String::from_utf8_lossy(&answer).into_owned(),
        }
        // A side that has closed is seen by the next read.
        drop(stream.write_all(filler));
    }
    panic!("the other side keeps the connection");
}

/// Sends `start` and then `chunk` until the other side answers or closes.
pub fn endless(address: SocketAddr, start: &[u8], chunk: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.set_write_timeout(Some(PATIENCE)).unwrap();
    stream.write_all(start).unwrap();
    let mut sent = 0;
    while stream.write_all(chunk).is_ok() {
        sent += chunk.len();
        assert!(sent < ENDLESS_BYTES, "the other side takes everything");
    }
    let mut answer = Vec::new();
    drop(stream.read_to_end(&mut answer));
    String::from_utf8_lossy(&answer).into_owned()
}

/// A request whose headers take 100 KB.
pub fn huge_headers(address: SocketAddr) -> String {
    let mut huge = b"GET / HTTP/1.1\r\nhost: a\r\nx: ".to_vec();
    huge.resize(100_000, b'a');
    huge.extend_from_slice(b"\r\n\r\n");
    String::from_utf8_lossy(&raw_exchange(address, &huge)).into_owned()
}

/// A request with 1,000 headers.
pub fn many_headers(address: SocketAddr) -> String {
    let mut many = b"GET / HTTP/1.1\r\nhost: a\r\n".to_vec();
    for number in 0..1000 {
        many.extend_from_slice(format!("x{number}: a\r\n").as_bytes());
    }
    many.extend_from_slice(b"\r\n");
    String::from_utf8_lossy(&raw_exchange(address, &many)).into_owned()
}

/// Bytes that are no request.
pub fn garbage(address: SocketAddr) -> String {
    let bytes = b"\x16\x03\x01\x02\x00\x01\x00 hello\r\n\r\n";
    String::from_utf8_lossy(&raw_exchange(address, bytes)).into_owned()
}

/// Connections that each send `bytes` and then nothing.
pub fn stalled(address: SocketAddr, count: usize, bytes: &[u8]) -> Vec<TcpStream> {
    let connect = || {
        let mut stream = TcpStream::connect(address).unwrap();
        // A connection beyond the bound may be closed already.
        drop(stream.write_all(bytes));
        stream
    };
    (0..count).map(|_| connect()).collect()
}

fn is_wait(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}
