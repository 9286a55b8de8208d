//! The stand-in over HTTP: order, retention, rates and faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use model::{ErrorKind, FakeClock, LogOffset, RecordCount, StreamName};
use quetzal_feed::{
    HttpLog, LogFaults, LogPort, LogServer, LogSettings, MemoryLog, ReadReply, serve,
};

struct LogBench {
    clock: FakeClock,
    log: Arc<MemoryLog>,
    client: HttpLog,
    _server: LogServer,
}

fn start(settings: LogSettings) -> LogBench {
    let clock = FakeClock::new();
    let log = Arc::new(MemoryLog::new(settings, clock.shared()));
    let server = serve(&log, SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let client = HttpLog::new(&format!("http://{}", server.address()));
    LogBench {
        clock,
        log,
        client,
        _server: server,
    }
}

fn stream() -> StreamName {
    "config".parse().unwrap()
}

fn read(bench: &LogBench, from: u64) -> ReadReply {
    bench
        .client
        .read(&stream(), LogOffset(from), RecordCount(10), Duration::ZERO)
        .unwrap()
}

fn bodies(answer: &ReadReply) -> Vec<&[u8]> {
    match answer {
        ReadReply::Batch(batch) => batch.records.iter().map(|record| &*record.body).collect(),
        ReadReply::Expired { .. } => Vec::new(),
    }
}

#[test]
fn records_keep_their_order_and_bytes() {
    let bench = start(LogSettings::default());
    for body in [&b"one"[..], b"two", b"\0\xff"] {
        bench.client.append(&stream(), body).unwrap();
    }
    assert_eq!(bodies(&read(&bench, 1)), [&b"two"[..], b"\0\xff"]);
}

#[test]
fn a_read_past_the_end_shows_the_shorter_stream() {
    let bench = start(LogSettings::default());
    bench.client.append(&stream(), b"one").unwrap();
    let ReadReply::Batch(batch) = read(&bench, 7) else {
        panic!("not expired");
    };
    assert_eq!(batch.next, LogOffset(1));
}

#[test]
fn expired_records_are_answered_with_the_first_kept() {
    let bench = start(LogSettings {
        retention_s: 60,
        ..LogSettings::default()
    });
    bench.client.append(&stream(), b"old").unwrap();
    bench.clock.advance(Duration::from_secs(61));
    bench.client.append(&stream(), b"new").unwrap();
    read(&bench, 1);
    assert_eq!(
        read(&bench, 0),
        ReadReply::Expired {
            first: LogOffset(1)
        }
    );
}

#[test]
fn a_lost_answer_leaves_the_record_in_the_stream() {
    let bench = start(LogSettings::default());
    bench.log.set_faults(LogFaults {
        lost_answers: 1,
        ..LogFaults::default()
    });
    let error = bench.client.append(&stream(), b"kept").unwrap_err();
    assert_eq!(error.kind, ErrorKind::LogUnavailable);
    assert_eq!(bodies(&read(&bench, 0)), [b"kept"]);
}

#[test]
fn requests_above_the_rate_are_refused_and_nothing_happens() {
    let bench = start(LogSettings {
        appends_per_s: 2,
        ..LogSettings::default()
    });
    let kinds: Vec<Option<ErrorKind>> = (0..3)
        .map(|_| {
            bench
                .client
                .append(&stream(), b"x")
                .err()
                .map(|error| error.kind)
        })
        .collect();
    assert_eq!(kinds, [None, None, Some(ErrorKind::LogOverRate)]);
    assert_eq!(bodies(&read(&bench, 0)).len(), 2);
    bench.clock.advance(Duration::from_secs(1));
    bench.client.append(&stream(), b"x").unwrap();
}

#[test]
fn an_outage_refuses_reads_and_appends() {
    let bench = start(LogSettings::default());
    bench.log.set_faults(LogFaults {
        outage: true,
        ..LogFaults::default()
    });
    let append = bench.client.append(&stream(), b"x").unwrap_err();
    let read = bench
        .client
        .read(&stream(), LogOffset(0), RecordCount(1), Duration::ZERO)
        .unwrap_err();
    assert_eq!(
        (append.kind, read.kind),
        (ErrorKind::LogUnavailable, ErrorKind::LogUnavailable)
    );
}

#[test]
fn a_waiting_read_is_woken_by_an_append() {
    let bench = start(LogSettings::default());
    let client = bench.client.clone();
    let reader = std::thread::spawn(move || {
        client.read(
            &stream(),
            LogOffset(0),
            RecordCount(1),
            Duration::from_secs(20),
        )
    });
    bench.client.append(&stream(), b"new").unwrap();
    assert_eq!(bodies(&reader.join().unwrap().unwrap()), [b"new"]);
}

#[test]
fn a_record_above_the_size_is_refused() {
    let bench = start(LogSettings::default());
    let error = bench
        .client
        .append(&stream(), &vec![0; (1 << 20) + 1])
        .unwrap_err();
    assert_eq!(error.kind, ErrorKind::RequestInvalid);
}
