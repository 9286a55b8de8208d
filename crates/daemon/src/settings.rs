//! Settings of one daemon, read from JSON with comments.
//!
//! Addresses, failure domain and log are named in the file; everything else
//! has a default. [`NumberSettings::ROWS`] is the one list of numbers with
//! unit, default and range, from which the checks, the printed help and the
//! page come ([`crate::settings_page`]).
//! Every mistake of a file is told at once, with line and column.

use std::net::SocketAddr;
use std::time::Duration;

use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use model::{DaemonId, DaemonName, DomainName, RegionName};
pub use once::UntimedKeys;
use plans::lists::ListProblem;
use plans::reader::{DocumentReader, FieldMap};
use serde::Serialize;
pub use spread::OutageQuorum;
use xxhash_rust::xxh3::xxh3_64;

/// The settings, or every mistake of the file.
pub type Result<T> = std::result::Result<T, Vec<ListProblem>>;

/// A number among the settings.
#[derive(Clone, Copy, Debug, Serialize)]
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
    peer_links, "connections", 160, 16, 20000, "Connections kept to other daemons, and as many from them, while they carry no stream.";
    header_timeout_ms, "ms", 5000, 50, 60000, "Time for the headers of a call to arrive.";
    idle_timeout_ms, "ms", 15000, 50, 600_000, "Time without a byte after which a body is cut off.";
    max_header_bytes, "bytes", 16384, 8192, 65536, "Largest headers of a call.";
    max_body_bytes, "bytes", 67_108_864, 1024, 4_294_967_295, "Largest body of a call.";
    queue_calls, "calls", 16, 0, 10000, "Calls that may wait beside a target.";
    stale_after_ms, "ms", 10000, 2000, 600_000, "Time without proof of a current configuration after which non-idempotent calls are refused.";
    drain_timeout_ms, "ms", 30000, 100, 600_000, "Time for calls in progress to end in a planned stop.";
    log_retention_s, "s", 86400, 60, 31_536_000, "How long the log service keeps records.";
    trace_memory_kb, "kB", 512, 16, 16384, "Memory for the events of the time line.";
}

/// Settings of one daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DaemonSettings {
    /// Name for people.
    pub name: DaemonName,
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
    /// Which failure domains must witness an outage of the log before calls go on.
    pub outage_quorum: OutageQuorum,
    /// Whether keys that are neither a `UUIDv7` nor issued may run.
    pub untimed_keys: UntimedKeys,
    /// Everything with a default.
    pub numbers: NumberSettings,
}

/// A setting that is no number.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct TextRow {
    /// Name in the file.
    pub name: &'static str,
    /// Form of the value.
    pub form: &'static str,
    /// Value where the file names none; none if the file must name one.
    pub default: Option<&'static str>,
    /// What it decides.
    pub meaning: &'static str,
}

/// Declares the settings that are no numbers with form, default and meaning.
macro_rules! text_settings {
    ($($name:literal, $form:literal, $default:expr, $meaning:literal;)+) => {
        /// Every setting that is no number, in the order of the help.
        pub const TEXT_ROWS: &[TextRow] = &[$(TextRow {
            name: $name,
            form: $form,
            default: $default,
            meaning: $meaning,
        },)+];
    };
}

text_settings! {
    "name", "name", Some("the peer address"), "Name for people.";
    "domain", "name", None, "Failure domain of the daemon's VM.";
    "region", "name", Some("main"), "Region of the failure domain.";
    "log_url", "URL", None, "Log service, such as http://127.0.0.1:7400.";
    "caller_address", "IP:port", None, "Where callers reach the daemon.";
    "peer_address", "IP:port", None, "Where other daemons reach the daemon.";
    "operator_address", "IP:port", None, "Where operators and the targets beside it reach the daemon.";
    "peers", "[IP:port]", Some("none"), "Peers to ask when the log service is down.";
    "metrics_address", "IP:port", Some("none"), "Where counters go as UDP datagrams.";
    "outage_quorum", "every or majority", Some("every"), "Failure domains that must witness an outage of the log before calls go on without it.";
    "untimed_keys", "refused or once-per-window", Some("refused"), "What becomes of an Idempotency-Key that is neither a UUIDv7 nor issued; once-per-window lets it run with the weaker promise that it runs at most once within 240 s of its first sending.";
}

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
}

/// How mistakes call the whole file.
const FILE_WORDS: &str = "the settings file";

fn read_settings(reader: &mut DocumentReader<'_>) -> Option<DaemonSettings> {
    let root = reader.root()?;
    let number_names = NumberSettings::ROWS.iter().map(|row| row.name);
    let text_names = TEXT_ROWS.iter().map(|row| row.name);
    let known: Vec<&str> = text_names.chain(number_names).collect();
    let fields = reader.fields(&root, FILE_WORDS, &known);

    let required = |reader: &mut DocumentReader<'_>, name: &str| {
        reader.required(&fields, name, FILE_WORDS, &root).cloned()
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
        Some(value) => reader.parse_string(value, "name"),
        None => peer_address.map(name_of),
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
    let outage_quorum = match fields.get("outage_quorum") {
        Some(value) => read_quorum(reader, value),
        None => Some(OutageQuorum::default()),
    };
    let untimed_keys = match fields.get("untimed_keys") {
        Some(value) => read_untimed(reader, value),
        None => Some(UntimedKeys::default()),
    };
    let numbers = NumberSettings::read(reader, &fields);
    let listeners = [
        ("caller_address", caller_address),
        ("peer_address", peer_address),
        ("operator_address", operator_address),
    ];
    check_apart(reader, &fields, &listeners);
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
        outage_quorum: outage_quorum?,
        untimed_keys: untimed_keys?,
        numbers,
    })
}

/// A name made of an address, without the brackets of an IPv6 address.
fn name_of(address: SocketAddr) -> DaemonName {
    let text = address
        .to_string()
        .replace(['[', ']'], "")
        .replace('%', "-");
    text.parse().expect("these characters make a sound name")
}

/// Notes listeners that would share an address; port 0 takes a free one.
fn check_apart(
    reader: &mut DocumentReader<'_>,
    fields: &FieldMap<'_>,
    listeners: &[(&str, Option<SocketAddr>)],
) {
    for (index, (name, address)) in listeners.iter().enumerate() {
        let fixed = address.filter(|address| address.port() != 0);
        let earlier = listeners[..index]
            .iter()
            .find(|(_, other)| fixed.is_some() && *other == fixed);
        if let (Some((other, _)), Some(value)) = (earlier, fields.get(*name)) {
            let message = format!("\"{name}\" is the address of \"{other}\" too");
            reader.add_problem(value.start(), message);
        }
    }
}

fn read_url(reader: &mut DocumentReader<'_>, value: &Value<'_>) -> Option<Box<str>> {
    let url = reader.string(value, "log_url")?;
    if url.starts_with("http://") {
        return Some(url.into());
    }
    reader.fail(value.start(), "\"log_url\" must start with http://")
}

fn read_quorum(reader: &mut DocumentReader<'_>, value: &Value<'_>) -> Option<OutageQuorum> {
    match reader.string(value, "outage_quorum")? {
        "every" => Some(OutageQuorum::Every),
        "majority" => Some(OutageQuorum::Majority),
        _ => reader.fail(
            value.start(),
            "\"outage_quorum\" is \"every\" or \"majority\"",
        ),
    }
}

fn read_untimed(reader: &mut DocumentReader<'_>, value: &Value<'_>) -> Option<UntimedKeys> {
    match reader.string(value, "untimed_keys")? {
        "refused" => Some(UntimedKeys::Refused),
        "once-per-window" => Some(UntimedKeys::OncePerWindow),
        _ => reader.fail(
            value.start(),
            "\"untimed_keys\" is \"refused\" or \"once-per-window\"",
        ),
    }
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
        reader.add_problem(value.start(), message);
    }
    number
}
