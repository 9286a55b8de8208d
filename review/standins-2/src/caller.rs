//! Requesters: one request on a new connection.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};

/// Time for a new connection to be established, as the pages say.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What a requester saw of one request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The complete answer; none if the connection ended without one.
    pub message: Option<Message>,
    /// When the last byte of the request was sent.
    pub sent: Instant,
    /// When the answer was complete or the connection had ended.
    pub ended: Instant,
    /// Why there is no answer.
    pub failure: String,
}

impl Answer {
    fn new(result: io::Result<Option<Message>>, sent: Instant) -> Self {
        let (message, failure) = match result {
            Ok(Some(message)) => (Some(message), String::new()),
            Ok(None) => (None, "closed without an answer".to_owned()),
            Err(error) => (None, error.to_string()),
        };
        Self {
            message,
            sent,
            ended: Instant::now(),
            failure,
        }
    }

    /// Returns the status, or 0 without an answer.
    pub fn status(&self) -> u16 {
        self.message.as_ref().map_or(0, Message::status)
    }

    /// Returns a header of the answer; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.message
            .as_ref()
            .map_or("", |message| message.header(name))
    }
}

/// Sends a request on a new connection and reads its answer within `wait`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    wait: Duration,
) -> Answer {
    let started = Instant::now();
    let mut sent = started;
    let result = exchange(
        address,
        &request(method, path, headers, body),
        wait,
        &mut sent,
    );
    Answer::new(result, sent)
}

/// Formats a request.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

fn exchange(
    address: SocketAddr,
    bytes: &[u8],
    wait: Duration,
    sent: &mut Instant,
) -> io::Result<Option<Message>> {
    let socket = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
    socket.set_read_timeout(Some(wait))?;
    let mut connection = Connection::new(socket);
    connection.write(bytes)?;
    *sent = Instant::now();
    connection.read()
}
