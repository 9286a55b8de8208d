//! Minimal HTTP/1.1 messages over blocking sockets.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Head and body of a request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line, without its line end.
    pub start: String,
    /// Names in lower case, with values.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Returns the path of a request, with its query.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response, or 0.
    pub fn status(&self) -> u16 {
        let text = self.start.split(' ').nth(1).unwrap_or_default();
        text.parse().unwrap_or(0)
    }
}

/// Connection with bytes that were read ahead.
#[derive(Debug)]
pub struct Connection {
    /// The socket.
    pub socket: TcpStream,
    buffered: Vec<u8>,
}

impl Connection {
    /// Wraps a connected socket.
    pub fn new(socket: TcpStream) -> Self {
        // Only latency depends on this option.
        drop(socket.set_nodelay(true));
        Self {
            socket,
            buffered: Vec::new(),
        }
    }

    /// Reads a complete message; `None` if the peer closed the connection before its first byte.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = find(&self.buffered, b"\r\n\r\n") {
                break end;
            }
            if !self.fill()? {
                if self.buffered.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let head = String::from_utf8_lossy(&self.buffered[..end]).into_owned();
        self.buffered.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let mut message = Message {
            start,
            headers,
            body: Vec::new(),
        };
        if message
            .header("transfer-encoding")
            .eq_ignore_ascii_case("chunked")
        {
            message.body = self.read_chunks()?;
        } else if let Ok(length) = message.header("content-length").parse::<usize>() {
            message.body = self.take(length)?;
        }
        Ok(Some(message))
    }

    /// Writes all bytes.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.socket.write_all(bytes)
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = find(&self.buffered, b"\r\n") {
                    break end;
                }
                if !self.fill()? {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            };
            let line = String::from_utf8_lossy(&self.buffered[..end]).into_owned();
            self.buffered.drain(..end + 2);
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
            let chunk = self.take(size)?;
            self.take(2)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk);
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffered.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffered.drain(..length).collect())
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0; 16 << 10];
        let count = self.socket.read(&mut part)?;
        self.buffered.extend_from_slice(&part[..count]);
        Ok(count > 0)
    }
}

/// Formats a response with a `Content-Length`.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}
