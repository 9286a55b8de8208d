//! Data model of the two configuration files.
//!
//! `plans.jsonc` assigns a plan to each customer; `allowances.jsonc` defines
//! the services and what each plan may use of them. Both are kept in ordered
//! maps, so equal content always serializes to equal bytes, regardless of the
//! order in which it was written.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use model::{CustomerName, ErrorKind, KindError, MethodName, PlanName, ServiceName};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sha2::{Digest, Sha256};

use crate::{check, parse, render, rewrite};

/// Name of the file with the customers and their plans.
pub const PLANS_FILE: &str = "plans.jsonc";
/// Name of the file with the services and the allowances of each plan.
pub const ALLOWANCES_FILE: &str = "allowances.jsonc";

/// Result of reading the two lists; the error holds every problem found.
pub type Result<T> = std::result::Result<T, Vec<ListProblem>>;

/// A problem in one of the two files.
#[derive(Clone, Debug, Display, Eq, Error, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{file}:{line}:{column}: {message}")]
pub struct ListProblem {
    /// File name.
    pub file: Box<str>,
    /// Line number, starting at 1.
    pub line: u32,
    /// Column in characters, starting at 1.
    pub column: u32,
    /// Description of the problem and of the expected value.
    pub message: Box<str>,
}

/// Content of both files.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigLists {
    /// Content of `plans.jsonc`.
    pub plans: PlanList,
    /// Content of `allowances.jsonc`.
    pub allowances: AllowanceList,
}

/// Plan assignments of all customers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlanList {
    /// Plan of each customer.
    pub customers: BTreeMap<CustomerName, CustomerPlan>,
}

/// Plan and credentials of a customer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerPlan {
    /// Name of the plan.
    pub plan: PlanName,
    /// Hash of the customer's key; `None` if the customer needs no key.
    pub key_sha256: Option<KeyHash>,
}

/// Services and the allowances of each plan.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AllowanceList {
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// Allowances of each plan by service; a valid plan has at least one.
    pub plans: BTreeMap<PlanName, BTreeMap<ServiceName, PlanAllowance>>,
}

/// Routing and call settings of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Path prefix of all calls to the service.
    pub path: Box<str>,
    /// Timeout of a call, in milliseconds.
    pub timeout_ms: u32,
    /// Kind of the calls, which decides the order of load shedding.
    pub kind: ServiceKind,
    /// Methods that the service offers.
    pub methods: BTreeMap<MethodName, MethodSpec>,
}

impl ServiceSpec {
    /// Returns the timeout of a call.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms.into())
    }
}

/// Properties of a method of a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MethodSpec {
    /// Whether running a call twice has the same effect as running it once.
    pub idempotent: bool,
}

/// Methods and limits that a plan grants for a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlanAllowance {
    /// Allowed methods.
    pub methods: BTreeSet<MethodName>,
    /// Maximum calls per second of each customer of the plan, over the whole fleet.
    pub rate_per_s: u32,
    /// Maximum concurrent calls of each customer of the plan, over the whole fleet.
    pub calls_at_once: u32,
}

/// Kind of the calls to a service; under overload the lowest kind is shed first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// A read that the caller can repeat; shed first.
    #[default]
    #[display("report")]
    Report,
    /// A file upload.
    #[display("upload")]
    Upload,
    /// A booking, payout or order; shed last.
    #[display("booking")]
    Booking,
}

impl ServiceKind {
    /// All kinds in the order in which they are shed.
    pub const ALL: [Self; 3] = [Self::Report, Self::Upload, Self::Booking];
}

impl FromStr for ServiceKind {
    type Err = KindError;

    fn from_str(text: &str) -> model::Result<Self> {
        let found = Self::ALL.into_iter().find(|kind| kind.to_string() == text);
        found.ok_or_else(|| {
            let detail = format!("{text:?}: a kind is \"report\", \"upload\" or \"booking\"");
            KindError::new(ErrorKind::ListInvalid, detail)
        })
    }
}

/// SHA-256 of a customer's key, displayed as 64 hexadecimal digits.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Returns the hash of `key`.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Returns whether `key` has this hash; compares in constant time.
    pub fn matches(&self, key: &str) -> bool {
        let hash = Self::of(key);
        let pairs = self.0.iter().zip(hash.0);
        let difference = pairs.fold(0, |bits, (expected, actual)| {
            std::hint::black_box(bits | (expected ^ actual))
        });
        difference == 0
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({self})")
    }
}

impl FromStr for KeyHash {
    type Err = KindError;

    fn from_str(text: &str) -> model::Result<Self> {
        parse_hex(text).map(Self).ok_or_else(|| {
            let detail = "a key's hash is the 64 hexadecimal digits of its SHA-256";
            KindError::new(ErrorKind::ListInvalid, detail)
        })
    }
}

fn parse_hex(text: &str) -> Option<[u8; 32]> {
    let valid = text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !valid {
        return None;
    }
    let mut bytes = [0; 32];
    for (index, byte) in bytes.iter_mut().enumerate() {
        let start = index * 2;
        *byte = u8::from_str_radix(&text[start..start + 2], 16).ok()?;
    }
    Some(bytes)
}

impl Serialize for KeyHash {
    fn serialize<S: Serializer>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.collect_str(self);
        }
        self.0.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for KeyHash {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
        if !deserializer.is_human_readable() {
            return Deserialize::deserialize(deserializer).map(Self);
        }
        let text = Box::<str>::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}

impl ConfigLists {
    /// Parses both files; on failure returns every problem, ordered by position.
    pub fn parse(plans_text: &str, allowances_text: &str) -> Result<Self> {
        parse::parse_lists(plans_text, allowances_text)
    }

    /// Returns the texts of `plans.jsonc` and `allowances.jsonc`, which parse to these lists.
    pub fn render(&self) -> (String, String) {
        (render::render_plans(self), render::render_allowances(self))
    }

    /// Updates the given texts to parse to these lists, keeping their comments and layout.
    pub fn rewrite(&self, plans_text: &str, allowances_text: &str) -> (String, String) {
        rewrite::rewrite_texts(plans_text, allowances_text, self)
    }

    /// Applies the rules of [`crate::check`]; fails with `ListInvalid` at the first violation.
    pub fn validate(&self) -> model::Result<()> {
        match check::find_violations(self).into_iter().next() {
            None => Ok(()),
            Some(violation) => Err(KindError::new(ErrorKind::ListInvalid, violation.message)),
        }
    }
}

/// Returns commented example texts of `plans.jsonc` and `allowances.jsonc`.
pub fn template() -> (String, String) {
    render::template()
}
