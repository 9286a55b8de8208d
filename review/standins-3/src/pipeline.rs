//! A case about pipelined requests during a planned stop.

use std::time::{Duration, Instant};
use std::{fmt, io};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout_at};

use crate::fleet::{Fleet, FleetSettings};
use crate::{CaseContext, Outcome};

/// Requests that follow the first one without waiting for its answer.
const FOLLOWING: usize = 4;
/// Size of the first answer, and the time over which its server sends it.
const LONG_ANSWER: &str = "/album/size-1500000/pace-5400/first";
/// Time from the requests to the SIGTERM: the head of the first answer has been sent.
const STOP_AFTER: Duration = Duration::from_millis(2300);
/// Time within which all answers must have come.
const READ_TIMEOUT: Duration = Duration::from_secs(9);

const CONFIG: &str = r#"{"version":"r1","routes":{
    "album":{"host":"shop.example","path_prefix":"/album/","service":"gallery","kind":"safe","timeout":"7000ms","target_latency":"1000ms","priority":1,"max_attempts":2,"public":false},
    "status":{"host":"shop.example","path_prefix":"/status/","service":"printdesk","kind":"safe","timeout":"7000ms","target_latency":"1000ms","priority":1,"max_attempts":2,"public":false}},
    "services":{"gallery":{"health_path":"/health","max_connections":110,"protocol":"h1","tls":false},"printdesk":{"health_path":"/health","max_connections":110,"protocol":"h1","tls":false},"checkout":{"health_path":"/health","max_connections":110,"protocol":"h1","tls":false}},
    "limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3000ms","idle_timeout":"15000ms"}}"#;

/// Requests that servers have run must be answered when their daemon is stopped as planned.
pub async fn stopped_pipeline(context: &mut CaseContext) -> Outcome {
    let settings = FleetSettings {
        lines: String::new(),
        memory_mb: 110,
    };
    let services = ["checkout", "gallery", "printdesk"];
    let fleet = Fleet::start(&services, CONFIG, &settings, &context.folder).await?;
    let record = &mut context.record;
    let machine = &fleet.machines[0];
    let mut stream = TcpStream::connect(machine.outbound()).await?;
    stream
        .write_all(request("a0", "/status/warm").as_bytes())
        .await?;
    let mut reader = AnswerReader::default();
    let until = Instant::now() + READ_TIMEOUT;
    let first = reader.next(&mut stream, until).await?;
    let Some(first) = first else {
        return Err(io::Error::other(
            "the connection closed before the case began",
        ));
    };
    record.note(&format!("answer {first}"));
    let mut text = request("b0", LONG_ANSWER);
    for number in 1..=FOLLOWING {
        text.push_str(&request(
            &format!("b{number}"),
            &format!("/status/ms-20/{number}"),
        ));
    }
    stream.write_all(text.as_bytes()).await?;
    record.note(&format!(
        "sent b0 to b{FOLLOWING} on the same connection, one after the other"
    ));
    let until = Instant::now() + READ_TIMEOUT;
    let stopping = async {
        sleep(STOP_AFTER).await;
        if context.trouble {
            machine.signal("TERM");
        }
        Instant::now()
    };
    let reading = async {
        let mut answers = Vec::new();
        while answers.len() <= FOLLOWING {
            match reader.next(&mut stream, until).await {
                Ok(Some(answer)) => answers.push((Instant::now(), answer)),
                Ok(None) | Err(_) => break,
            }
        }
        (answers, Instant::now())
    };
    let (stopped_at, (answers, ended_at)) = tokio::join!(stopping, reading);
    let since = |at: Instant| at.saturating_duration_since(stopped_at).as_secs_f64();
    if context.trouble {
        record.note("SIGTERM to the daemon that took them, 2.3 s after they were sent");
    }
    for (at, answer) in &answers {
        record.note(&format!(
            "answer {answer}, {:.2} s after the SIGTERM",
            since(*at)
        ));
    }
    record.note(&format!(
        "the connection or the reading ended {:.2} s after the SIGTERM",
        since(ended_at)
    ));
    let mut held = true;
    for machine in &fleet.machines {
        for run in machine.server.runs() {
            record.run(&machine.name, &run);
            let id = run.header("x-request-id");
            let answered = id == "a0"
                || answers
                    .iter()
                    .any(|(_, answer)| answer.id == id && answer.complete);
            if !answered {
                record.note(&format!("{id} was passed on and got no complete answer"));
                held = false;
            }
        }
    }
    Ok(held)
}

fn request(id: &str, path: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\nX-Request-Deadline: 7000\r\n\r\n"
    )
}

/// An answer on a kept connection.
#[derive(Clone, Debug, Default)]
struct PipedAnswer {
    id: String,
    status: String,
    bytes: usize,
    closes: bool,
    complete: bool,
}

impl fmt::Display for PipedAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let end = if self.complete {
            "complete"
        } else {
            "broken off"
        };
        let close = if self.closes {
            ", Connection: close"
        } else {
            ""
        };
        write!(
            f,
            "{} to {}: {} bytes, {end}{close}",
            self.status, self.id, self.bytes
        )
    }
}

/// Reads answers one after the other.
#[derive(Debug, Default)]
struct AnswerReader {
    buffered: Vec<u8>,
}

impl AnswerReader {
    /// Reads the next answer; `None` if the connection ends before its head.
    async fn next(
        &mut self,
        stream: &mut TcpStream,
        until: Instant,
    ) -> io::Result<Option<PipedAnswer>> {
        let head = loop {
            if let Some(end) = self
                .buffered
                .windows(4)
                .position(|bytes| bytes == b"\r\n\r\n")
            {
                break self.buffered.drain(..end + 4).collect::<Vec<u8>>();
            }
            if !self.fill(stream, until).await? {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&head).to_lowercase();
        let field = |name: &str| {
            let line = head.lines().find_map(|line| line.strip_prefix(name));
            line.map(|value| value.trim().to_owned())
        };
        let mut answer = PipedAnswer {
            id: field("x-request-id:").unwrap_or_default(),
            status: head.split(' ').nth(1).unwrap_or_default().to_owned(),
            closes: field("connection:").is_some_and(|value| value.contains("close")),
            ..PipedAnswer::default()
        };
        if let Some(length) = field("content-length:").and_then(|text| text.parse().ok()) {
            answer.complete = self.take(stream, until, length).await?;
            answer.bytes = length;
            return Ok(Some(answer));
        }
        loop {
            let Some(size) = self.chunk_size(stream, until).await? else {
                return Ok(Some(answer));
            };
            if !self.take(stream, until, size + 2).await? {
                return Ok(Some(answer));
            }
            answer.bytes += size;
            if size == 0 {
                answer.complete = true;
                return Ok(Some(answer));
            }
        }
    }

    async fn chunk_size(
        &mut self,
        stream: &mut TcpStream,
        until: Instant,
    ) -> io::Result<Option<usize>> {
        loop {
            if let Some(end) = self.buffered.windows(2).position(|bytes| bytes == b"\r\n") {
                let line: Vec<u8> = self.buffered.drain(..end + 2).collect();
                let text = String::from_utf8_lossy(&line);
                return Ok(usize::from_str_radix(text.trim(), 16).ok());
            }
            if !self.fill(stream, until).await? {
                return Ok(None);
            }
        }
    }

    async fn take(
        &mut self,
        stream: &mut TcpStream,
        until: Instant,
        length: usize,
    ) -> io::Result<bool> {
        while self.buffered.len() < length {
            if !self.fill(stream, until).await? {
                return Ok(false);
            }
        }
        self.buffered.drain(..length);
        Ok(true)
    }

    async fn fill(&mut self, stream: &mut TcpStream, until: Instant) -> io::Result<bool> {
        let mut part = vec![0; 64 << 10];
        let read = timeout_at(until.into(), stream.read(&mut part)).await;
        let count = read.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        self.buffered.extend_from_slice(&part[..count]);
        Ok(count > 0)
    }
}
