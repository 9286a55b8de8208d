//! Settings of one daemon, read from JSON with comments.
//!
//! Addresses, failure domain and log are named in the file; everything else
//! has a default. [`NumberSettings::ROWS`] is the one list of numbers with
//! unit, default and range, from which the checks and the printed help come.
//! Every mistake of a file is told at once, with line and column.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use model::{DaemonId, DaemonName, DomainName, KindError, RegionName};
use plans::lists::ListProblem;
use plans::reader::{DocumentReader, FieldMap};
use xxhash_rust::xxh3::xxh3_64;

/// The settings, or every mistake of the file.
pub type Result<T> = std::result::Result<T, Vec<ListProblem>>;

/// A number among the settings.
#[derive(Clone, Copy, Debug)]
pub struct NumberRow {
    /// Name in the file.
    pub name: &'static str,
    /// Unit of the number.
    pub unit: &'static str,
    /// Value where the file names none.
    pub default: u32,
    /// Lowest value allowed.
    pub low: u32,
    /// Highest value allowed.
    pub high: u32,
    /// What it decides.
    pub meaning: &'static str,
}

/// Declares the numbers with unit, default, range and meaning.
macro_rules! number_settings {
    ($($name:ident, $unit:literal, $default:literal, $low:literal, $high:literal, $meaning:literal;)+) => {
        /// The numbers among the settings, in the units of their rows.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub struct NumberSettings {
            $(#[doc = $meaning] pub $name: u32,)+
        }

        impl NumberSettings {
            /// Every number, in the order of the help.
            pub const ROWS: &'static [NumberRow] = &[$(NumberRow {
                name: stringify!($name),
                unit: $unit,
                default: $default,
                low: $low,
                high: $high,
                meaning: $meaning,
            },)+];

            fn read(reader: &mut DocumentReader<'_>, fields: &FieldMap<'_>) -> Self {
                let mut rows = Self::ROWS.iter();
                Self {
                    $($name: read_number(reader, fields, rows.next().expect("a row for each field")),)+
                }
            }
        }

        impl Default for NumberSettings {
            fn default() -> Self {
                Self { $($name: $default,)+ }
            }
        }
    };
}

number_settings! {
    worker_threads, "threads", 2, 1, 32, "Threads that serve calls.";
    caller_connections, "connections", 1024, 1, 20000, "Connections from callers at once.";
    operator_connections, "connections", 64, 4, 1024, "Connections from operators and targets beside this daemon at once.";
    peer_connections, "connections", 2048, 1, 20000, "Connections from other daemons at once.";
    header_timeout_ms, "ms", 5000, 50, 60000, "Time for the headers of a call to arrive.";
    idle_timeout_ms, "ms", 15000, 50, 600_000, "Time without a byte after which a body is cut off.";
    max_header_bytes, "bytes", 16384, 8192, 65536, "Largest headers of a call.";
    max_body_bytes, "bytes", 67_108_864, 1024, 4_294_967_295, "Largest body of a call.";
    queue_calls, "calls", 16, 0, 10000, "Calls that may wait beside a target.";
    stale_after_ms, "ms", 10000, 2000, 600_000, "Time without proof of a current configuration after which non-idempotent calls are refused.";
    drain_timeout_ms, "ms", 30000, 100, 600_000, "Time for calls in progress to end in a planned stop.";
    log_retention_s, "s", 86400, 60, 31_536_000, "How long the log service keeps records.";
    trace_events, "events", 4096, 64, 65536, "Events kept for the time line.";
}

/// Settings of one daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DaemonSettings {
    /// Name for people.
    pub name: Box<str>,
    /// Failure domain that the daemon's VM belongs to.
    pub domain: DomainName,
    /// Region that the failure domain belongs to.
    pub region: RegionName,
    /// Address of the log service, such as `http://127.0.0.1:7400`.
    pub log_url: Box<str>,
    /// Where callers reach this daemon.
    pub caller_address: SocketAddr,
    /// Where other daemons reach this daemon.
    pub peer_address: SocketAddr,
    /// Where operators and the targets beside this daemon reach it.
    pub operator_address: SocketAddr,
    /// Peers to ask when the log service is down.
    pub peers: Vec<SocketAddr>,
    /// Where counters are sent as UDP datagrams, if anywhere.
    pub metrics_address: Option<SocketAddr>,
    /// Everything with a default.
    pub numbers: NumberSettings,
}

const TEXT_FIELDS: &[&str] = &[
    "name",
    "domain",
    "region",
    "log_url",
    "caller_address",
    "peer_address",
    "operator_address",
    "peers",
    "metrics_address",
];

impl DaemonSettings {
    /// Reads settings; `file` names them in mistakes.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let mut reader = DocumentReader::new(file, text);
        let settings = read_settings(&mut reader);
        let problems = reader.into_problems();
        match settings {
            Some(settings) if problems.is_empty() => Ok(settings),
            _ => Err(problems),
        }
    }

    /// The daemon's id: its peer address, hashed, so that a replaced VM keeps it.
    pub fn daemon_id(&self) -> DaemonId {
        DaemonId(xxh3_64(self.peer_address.to_string().as_bytes()))
    }

    /// The daemon's name as other daemons know it; the peer address if `name` is no sound name.
    pub fn daemon_name(&self) -> DaemonName {
        let named = self.name.parse();
        named.unwrap_or_else(|_: KindError| {
            let address = self.peer_address.to_string();
            address.parse().expect("an address is a sound name")
        })
    }

    /// Time for headers to arrive.
    pub fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.numbers.header_timeout_ms.into())
    }

    /// Time without a byte after which a body is cut off.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.numbers.idle_timeout_ms.into())
    }

    /// Time without proof of a current configuration.
    pub fn stale_after(&self) -> Duration {
        Duration::from_millis(self.numbers.stale_after_ms.into())
    }

    /// Time for calls in progress to end in a planned stop.
    pub fn drain_timeout(&self) -> Duration {
        Duration::from_millis(self.numbers.drain_timeout_ms.into())
    }

    /// How long the log service keeps records.
    pub fn log_retention(&self) -> Duration {
        Duration::from_secs(self.numbers.log_retention_s.into())
    }

    /// The table of all settings, for people.
    pub fn help() -> String {
        let mut text = String::from(
            "name              text       default: the peer address\n\
             domain            text       required, the failure domain\n\
             region            text       default: main\n\
             log_url           address    required, such as http://127.0.0.1:7400\n\
             caller_address    IP:port    required\n\
             peer_address      IP:port    required\n\
             operator_address  IP:port    required\n\
             peers             [IP:port]  default: none; asked when the log service is down\n\
             metrics_address   IP:port    default: none; counters as UDP datagrams\n",
        );
        for row in NumberSettings::ROWS {
            // Writing to a String cannot fail.
            let _ = writeln!(
                text,
                "{:18}{:11}default: {}, {} to {}; {}",
                row.name, row.unit, row.default, row.low, row.high, row.meaning
            );
        }
        text
    }
}

fn read_settings(reader: &mut DocumentReader<'_>) -> Option<DaemonSettings> {
    let root = reader.root()?;
    let number_names = NumberSettings::ROWS.iter().map(|row| row.name);
    let known: Vec<&str> = TEXT_FIELDS.iter().copied().chain(number_names).collect();
    let fields = reader.fields(&root, "the settings", &known);

    let required = |reader: &mut DocumentReader<'_>, name: &str| {
        reader
            .required(&fields, name, "the settings", &root)
            .cloned()
    };
    let domain = required(reader, "domain").and_then(|value| reader.parse_string(&value, "domain"));
    let log_url = required(reader, "log_url").and_then(|value| read_url(reader, &value));
    let caller_address = required(reader, "caller_address")
        .and_then(|value| read_address(reader, &value, "caller_address"));
    let peer_address: Option<SocketAddr> = required(reader, "peer_address")
        .and_then(|value| read_address(reader, &value, "peer_address"));
    let operator_address = required(reader, "operator_address")
        .and_then(|value| read_address(reader, &value, "operator_address"));

    let name = match fields.get("name") {
        Some(value) => reader.string(value, "name").map(Box::from),
        None => peer_address.map(|address| address.to_string().into()),
    };
    let region = match fields.get("region") {
        Some(value) => reader.parse_string(value, "region"),
        None => "main".parse().ok(),
    };
    let peers = match fields.get("peers") {
        Some(value) => read_addresses(reader, value),
        None => Vec::new(),
    };
    let metrics_address = fields
        .get("metrics_address")
        .and_then(|value| read_address(reader, value, "metrics_address"));
    let numbers = NumberSettings::read(reader, &fields);
    Some(DaemonSettings {
        name: name?,
        domain: domain?,
        region: region?,
        log_url: log_url?,
        caller_address: caller_address?,
        peer_address: peer_address?,
        operator_address: operator_address?,
        peers,
        metrics_address,
        numbers,
    })
}

fn read_url(reader: &mut DocumentReader<'_>, value: &Value<'_>) -> Option<Box<str>> {
    let url = reader.string(value, "log_url")?;
    if url.starts_with("http://") {
        return Some(url.into());
    }
    reader.fail(value.start(), "\"log_url\" must start with http://")
}

fn read_address(
    reader: &mut DocumentReader<'_>,
    value: &Value<'_>,
    name: &str,
) -> Option<SocketAddr> {
    match reader.string(value, name)?.parse() {
        Ok(address) => Some(address),
        Err(error) => reader.fail(value.start(), format!("\"{name}\": {error}")),
    }
}

fn read_addresses(reader: &mut DocumentReader<'_>, value: &Value<'_>) -> Vec<SocketAddr> {
    reader
        .elements(value, "peers")
        .iter()
        .filter_map(|element| read_address(reader, element, "peers"))
        .collect()
}

fn read_number(reader: &mut DocumentReader<'_>, fields: &FieldMap<'_>, row: &NumberRow) -> u32 {
    let Some(value) = fields.get(row.name) else {
        return row.default;
    };
    let Some(number) = reader.whole_number(value, row.name) else {
        return row.default;
    };
    if !(row.low..=row.high).contains(&number) {
        let message = format!(
            "\"{}\" is {number}; it must be {} to {} {}",
            row.name, row.low, row.high, row.unit
        );
        reader.note(value.start(), message);
    }
    number
}
