//! Settings of one daemon, read from JSON with comments.
//!
//! Addresses, failure domain and log service are required; everything else has a default.
//! [`NumberSettings::ROWS`] lists the numeric settings with unit, default and range; the
//! checks, the printed help and the documentation are generated from it
//! ([`crate::settings_page`]). All errors in a file are reported together, with line and
//! column.

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

/// The settings, or all errors in the file.
pub type Result<T> = std::result::Result<T, Vec<ListProblem>>;

/// A numeric setting.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct NumberRow {
    /// Name in the file.
    pub name: &'static str,
    /// Unit of the number.
    pub unit: &'static str,
    /// Value if the file has none.
    pub default: u32,
    /// Minimum value.
    pub low: u32,
    /// Maximum value.
    pub high: u32,
    /// Description for users.
    pub meaning: &'static str,
}

/// Declares the numeric settings with unit, default, range and description.
macro_rules! number_settings {
    ($($name:ident, $unit:literal, $default:literal, $low:literal, $high:literal, $meaning:literal;)+) => {
        /// The numeric settings, in the units of their rows.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub struct NumberSettings {
            $(#[doc = $meaning] pub $name: u32,)+
        }

        impl NumberSettings {
            /// All numeric settings, in the order of the help.
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
    worker_threads, "threads", 2, 1, 32, "Number of threads that serve calls.";
    caller_connections, "connections", 1024, 1, 20000, "Maximum number of connections from callers.";
    operator_connections, "connections", 64, 4, 1024, "Maximum number of connections from operators and the daemon's targets.";
    peer_connections, "connections", 2048, 1, 20000, "Maximum number of connections from other daemons.";
    peer_links, "connections", 160, 16, 20000, "Maximum number of idle connections kept to other daemons, and as many from them.";
    header_timeout_ms, "ms", 5000, 50, 60000, "Time for the headers of a call to arrive.";
    idle_timeout_ms, "ms", 15000, 50, 600_000, "Time without a byte after which a body is aborted.";
    max_header_bytes, "bytes", 16384, 8192, 65536, "Maximum size of a call's headers.";
    max_body_bytes, "bytes", 67_108_864, 1024, 4_294_967_295, "Maximum size of a call's body.";
    queue_calls, "calls", 16, 0, 10000, "Maximum number of calls that wait for a slot of a target.";
    stale_after_ms, "ms", 10000, 2000, 600_000, "Time without proof of a current configuration after which non-idempotent calls are refused.";
    drain_timeout_ms, "ms", 30000, 100, 600_000, "Time for calls in progress to end in a planned stop.";
    log_retention_s, "s", 86400, 60, 31_536_000, "Time for which the log service keeps records.";
    trace_memory_kb, "kB", 512, 16, 16384, "Memory for the events of the timeline.";
}

/// Settings of one daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DaemonSettings {
    /// Name of the daemon in output for users.
    pub name: DaemonName,
    /// Failure domain that the daemon's VM belongs to.
    pub domain: DomainName,
    /// Region that the failure domain belongs to.
    pub region: RegionName,
    /// Address of the log service, such as `http://127.0.0.1:7400`.
    pub log_url: Box<str>,
    /// Listen address for callers.
    pub caller_address: SocketAddr,
    /// Listen address for other daemons.
    pub peer_address: SocketAddr,
    /// Listen address for operators and the targets of this daemon.
    pub operator_address: SocketAddr,
    /// Peers to contact when the log service is down.
    pub peers: Vec<SocketAddr>,
    /// Statsd address that counters are sent to as UDP datagrams, if any.
    pub metrics_address: Option<SocketAddr>,
    /// Failure domains that must observe an outage of the log before calls continue.
    pub outage_quorum: OutageQuorum,
    /// Whether calls may run with keys that are neither a `UUIDv7` nor issued.
    pub untimed_keys: UntimedKeys,
    /// Numeric settings.
    pub numbers: NumberSettings,
}

/// A non-numeric setting.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct TextRow {
    /// Name in the file.
    pub name: &'static str,
    /// Format of the value.
    pub form: &'static str,
    /// Value if the file has none; `None` if the setting is required.
    pub default: Option<&'static str>,
    /// Description for users.
    pub meaning: &'static str,
}

/// Declares the non-numeric settings with format, default and description.
macro_rules! text_settings {
    ($($name:literal, $form:literal, $default:expr, $meaning:literal;)+) => {
        /// All non-numeric settings, in the order of the help.
        pub const TEXT_ROWS: &[TextRow] = &[$(TextRow {
            name: $name,
            form: $form,
            default: $default,
            meaning: $meaning,
        },)+];
    };
}

text_settings! {
    "name", "name", Some("the peer address"), "Name of the daemon in output for users.";
    "domain", "name", None, "Failure domain of the daemon's VM.";
    "region", "name", Some("main"), "Region of the failure domain.";
    "log_url", "URL", None, "Log service, such as http://127.0.0.1:7400.";
    "caller_address", "IP:port", None, "Listen address for callers.";
    "peer_address", "IP:port", None, "Listen address for other daemons.";
    "operator_address", "IP:port", None, "Listen address for operators and the daemon's targets.";
    "peers", "[IP:port]", Some("none"), "Peers to contact when the log service is down.";
    "metrics_address", "IP:port", Some("none"), "Statsd address that counters are sent to as UDP datagrams.";
    "outage_quorum", "every or majority", Some("every"), "Failure domains that must observe an outage of the log before calls continue without it.";
    "untimed_keys", "refused or once-per-window", Some("refused"), "Whether a call may run with an Idempotency-Key that is neither a UUIDv7 nor issued; once-per-window allows it with the weaker guarantee that it runs at most once within 240 s of its first sending.";
}

impl DaemonSettings {
    /// Parses settings; `file` is the file name in errors.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let mut reader = DocumentReader::new(file, text);
        let settings = read_settings(&mut reader);
        let problems = reader.into_problems();
        match settings {
            Some(settings) if problems.is_empty() => Ok(settings),
            _ => Err(problems),
        }
    }

    /// Returns the daemon's id, a hash of its peer address, so that a replaced VM keeps it.
    pub fn daemon_id(&self) -> DaemonId {
        DaemonId(xxh3_64(self.peer_address.to_string().as_bytes()))
    }

    /// Returns the time for the headers of a request to arrive.
    pub fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.numbers.header_timeout_ms.into())
    }

    /// Returns the time without a byte after which a body is aborted.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.numbers.idle_timeout_ms.into())
    }

    /// Returns the time without proof of a current configuration after which it is stale.
    pub fn stale_after(&self) -> Duration {
        Duration::from_millis(self.numbers.stale_after_ms.into())
    }

    /// Returns the time for calls in progress to end in a planned stop.
    pub fn drain_timeout(&self) -> Duration {
        Duration::from_millis(self.numbers.drain_timeout_ms.into())
    }

    /// Returns the time for which the log service keeps records.
    pub fn log_retention(&self) -> Duration {
        Duration::from_secs(self.numbers.log_retention_s.into())
    }
}

/// Name of the whole file in errors.
const FILE_LABEL: &str = "the settings file";

fn read_settings(reader: &mut DocumentReader<'_>) -> Option<DaemonSettings> {
    let root = reader.root()?;
    let number_names = NumberSettings::ROWS.iter().map(|row| row.name);
    let text_names = TEXT_ROWS.iter().map(|row| row.name);
    let known: Vec<&str> = text_names.chain(number_names).collect();
    let fields = reader.fields(&root, FILE_LABEL, &known);

    let required = |reader: &mut DocumentReader<'_>, name: &str| {
        reader.required(&fields, name, FILE_LABEL, &root).cloned()
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
        None => peer_address.map(name_from_address),
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
        Some(value) => read_untimed_keys(reader, value),
        None => Some(UntimedKeys::default()),
    };
    let numbers = NumberSettings::read(reader, &fields);
    let listeners = [
        ("caller_address", caller_address),
        ("peer_address", peer_address),
        ("operator_address", operator_address),
    ];
    check_distinct(reader, &fields, &listeners);
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

/// Derives a daemon name from an address, without the brackets of an IPv6 address.
fn name_from_address(address: SocketAddr) -> DaemonName {
    let text = address
        .to_string()
        .replace(['[', ']'], "")
        .replace('%', "-");
    text.parse()
        .expect("an address without brackets is a valid name")
}

/// Reports listeners with the same address; port 0 is allowed more than once, since each
/// listener then gets a free port.
fn check_distinct(
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
            let message = format!("\"{name}\" has the same address as \"{other}\"");
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
            "\"outage_quorum\" must be \"every\" or \"majority\"",
        ),
    }
}

fn read_untimed_keys(reader: &mut DocumentReader<'_>, value: &Value<'_>) -> Option<UntimedKeys> {
    match reader.string(value, "untimed_keys")? {
        "refused" => Some(UntimedKeys::Refused),
        "once-per-window" => Some(UntimedKeys::OncePerWindow),
        _ => reader.fail(
            value.start(),
            "\"untimed_keys\" must be \"refused\" or \"once-per-window\"",
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
            "\"{}\" is {number}; it must be from {} to {} {}",
            row.name, row.low, row.high, row.unit
        );
        reader.add_problem(value.start(), message);
    }
    number
}
