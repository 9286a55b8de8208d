//! The in-memory log over HTTP: order, retention, rate limits and faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use model::{ErrorKind, FakeClock, LogOffset, RecordCount, StreamName};
use quetzal_feed::{
    HttpLog, LogFaults, LogPort, LogServer, LogSettings, MemoryLog, ReadReply, serve,
};

struct LogFixture {
    clock: FakeClock,
    log: Arc<MemoryLog>,
    client: HttpLog,
    _server: LogServer,
}

fn start(settings: LogSettings) -> LogFixture {
    let clock = FakeClock::new();
    let log = Arc::new(MemoryLog::new(settings, clock.shared()));
    let server = serve(&log, SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let client = HttpLog::new(&format!("http://{}", server.address()));
    LogFixture {
        clock,
        log,
        client,
        _server: server,
    }
}

fn stream() -> StreamName {
    "config".parse().unwrap()
}

fn read(fixture: &LogFixture, from: u64) -> ReadReply {
    fixture
        .client
        .read(&stream(), LogOffset(from), RecordCount(10), Duration::ZERO)
        .unwrap()
}

fn bodies(reply: &ReadReply) -> Vec<&[u8]> {
    match reply {
        ReadReply::Batch(batch) => batch.records.iter().map(|record| &*record.body).collect(),
        ReadReply::Expired { .. } => Vec::new(),
    }
}

#[test]
fn records_are_read_back_in_order() {
    let fixture = start(LogSettings::default());
    for body in [&b"one"[..], b"two", b"\0\xff"] {
        fixture.client.append(&stream(), body).unwrap();
    }
    assert_eq!(bodies(&read(&fixture, 1)), [&b"two"[..], b"\0\xff"]);
}

#[test]
fn read_past_the_end_returns_the_end_offset() {
    let fixture = start(LogSettings::default());
    fixture.client.append(&stream(), b"one").unwrap();
    let ReadReply::Batch(batch) = read(&fixture, 7) else {
        panic!("the offset must not have expired");
    };
    assert_eq!(batch.next, LogOffset(1));
}

#[test]
fn read_of_an_expired_offset_returns_the_first_retained_one() {
    let fixture = start(LogSettings {
        retention_s: 60,
        ..LogSettings::default()
    });
    fixture.client.append(&stream(), b"old").unwrap();
    fixture.clock.advance(Duration::from_secs(61));
    fixture.client.append(&stream(), b"new").unwrap();
    // Any read removes the expired records, whatever its offset.
    read(&fixture, 1);
    assert_eq!(
        read(&fixture, 0),
        ReadReply::Expired {
            first: LogOffset(1)
        }
    );
}

#[test]
fn append_with_a_lost_response_takes_effect() {
    let fixture = start(LogSettings::default());
    fixture.log.set_faults(LogFaults {
        lost_answers: 1,
        ..LogFaults::default()
    });
    let error = fixture.client.append(&stream(), b"kept").unwrap_err();
    assert_eq!(error.kind, ErrorKind::LogUnavailable);
    assert_eq!(bodies(&read(&fixture, 0)), [b"kept"]);
}

#[test]
fn requests_above_the_rate_limit_have_no_effect() {
    let fixture = start(LogSettings {
        appends_per_s: 2,
        ..LogSettings::default()
    });
    let kinds: Vec<Option<ErrorKind>> = (0..3)
        .map(|_| {
            fixture
                .client
                .append(&stream(), b"x")
                .err()
                .map(|error| error.kind)
        })
        .collect();
    assert_eq!(kinds, [None, None, Some(ErrorKind::LogOverRate)]);
    assert_eq!(bodies(&read(&fixture, 0)).len(), 2);
    fixture.clock.advance(Duration::from_secs(1));
    fixture.client.append(&stream(), b"x").unwrap();
}

#[test]
fn outage_rejects_reads_and_appends() {
    let fixture = start(LogSettings::default());
    fixture.log.set_faults(LogFaults {
        outage: true,
        ..LogFaults::default()
    });
    let append = fixture.client.append(&stream(), b"x").unwrap_err();
    let read = fixture
        .client
        .read(&stream(), LogOffset(0), RecordCount(1), Duration::ZERO)
        .unwrap_err();
    assert_eq!(
        (append.kind, read.kind),
        (ErrorKind::LogUnavailable, ErrorKind::LogUnavailable)
    );
}

#[test]
fn append_wakes_a_waiting_read() {
    let fixture = start(LogSettings::default());
    let client = fixture.client.clone();
    let reader = std::thread::spawn(move || {
        client.read(
            &stream(),
            LogOffset(0),
            RecordCount(1),
            Duration::from_secs(20),
        )
    });
    fixture.client.append(&stream(), b"new").unwrap();
    assert_eq!(bodies(&reader.join().unwrap().unwrap()), [b"new"]);
}

#[test]
fn oversized_record_is_rejected() {
    let fixture = start(LogSettings::default());
    let error = fixture
        .client
        .append(&stream(), &vec![0; (1 << 20) + 1])
        .unwrap_err();
    assert_eq!(error.kind, ErrorKind::RequestInvalid);
}
