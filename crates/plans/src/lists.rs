//! The two lists in normal form.
//!
//! `plans.jsonc` names each customer and the plan that it holds;
//! `allowances.jsonc` names the services and what each plan may use. Both are
//! held in ordered maps, so equal content always has equal bytes, whoever
//! wrote it and in whatever order.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use model::{CustomerName, ErrorKind, KindError, MethodName, PlanName, ServiceName};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sha2::{Digest, Sha256};

use crate::{check, parse, render, rewrite};

/// File that holds the customers and their plans.
pub const PLANS_FILE: &str = "plans.jsonc";
/// File that holds the services and what each plan may use.
pub const ALLOWANCES_FILE: &str = "allowances.jsonc";

/// Results of reading the two lists: everything wrong with them at once.
pub type Result<T> = std::result::Result<T, Vec<ListProblem>>;

/// One mistake in a list.
#[derive(Clone, Debug, Display, Eq, Error, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{file}:{line}:{column}: {message}")]
pub struct ListProblem {
    /// Name of the file.
    pub file: Box<str>,
    /// Line, counted from 1.
    pub line: u32,
    /// Character of the line, counted from 1.
    pub column: u32,
    /// What is wrong and what would be right.
    pub message: Box<str>,
}

/// Both lists.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigLists {
    /// Customers and their plans.
    pub plans: PlanList,
    /// Services and what each plan may use.
    pub allowances: AllowanceList,
}

/// Customers and their plans.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlanList {
    /// Each customer's plan.
    pub customers: BTreeMap<CustomerName, CustomerPlan>,
}

/// The plan that a customer holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerPlan {
    /// Name of the plan.
    pub plan: PlanName,
    /// Hash of the customer's key; without it the customer shows no key.
    pub key_sha256: Option<KeyHash>,
}

/// Services and what each plan may use.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AllowanceList {
    /// Each service.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// Each plan's allowances; a plan has at least one.
    pub plans: BTreeMap<PlanName, BTreeMap<ServiceName, PlanAllowance>>,
}

/// How a service is reached and called.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Path under which all calls to the service lie.
    pub path: Box<str>,
    /// Longest time for one call, in milliseconds.
    pub timeout_ms: u32,
    /// What the calls are, which decides the order of shedding.
    pub kind: ServiceKind,
    /// The methods that the service offers.
    pub methods: BTreeMap<MethodName, MethodSpec>,
}

impl ServiceSpec {
    /// Longest time for one call.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms.into())
    }
}

/// What is known about a method of a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MethodSpec {
    /// Whether running a call twice has the effect of running it once.
    pub idempotent: bool,
}

/// What a plan may use of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlanAllowance {
    /// The methods allowed.
    pub methods: BTreeSet<MethodName>,
    /// Calls a second, for each customer of the plan over the whole fleet.
    pub rate_per_s: u32,
    /// Calls at once, for each customer of the plan over the whole fleet.
    pub calls_at_once: u32,
}

/// What the calls to a service are; under overload the lowest is shed first.
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
    /// Something read, which its reader may ask for again; shed first.
    #[default]
    #[display("report")]
    Report,
    /// A file sent in.
    #[display("upload")]
    Upload,
    /// A booking, payout or order; shed last.
    #[display("booking")]
    Booking,
}

impl ServiceKind {
    /// Every kind, in the order of shedding.
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

/// SHA-256 of a customer's key, shown as 64 hexadecimal digits.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// The hash of `key`.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Whether `key` has this hash; takes equally long for every wrong key.
    pub fn matches(&self, key: &str) -> bool {
        let found = Self::of(key);
        let pairs = self.0.iter().zip(found.0);
        let difference = pairs.fold(0, |sum, (own, other)| {
            std::hint::black_box(sum | (own ^ other))
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
    let sound = text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !sound {
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
    /// Reads both lists; on failure tells every mistake at once, in order of position.
    pub fn parse(plans_text: &str, allowances_text: &str) -> Result<Self> {
        parse::parse_lists(plans_text, allowances_text)
    }

    /// The texts of `plans.jsonc` and `allowances.jsonc`, which parse to this pair again.
    pub fn render(&self) -> (String, String) {
        (render::render_plans(self), render::render_allowances(self))
    }

    /// The given texts changed to read as this pair, with their comments and layout kept.
    pub fn rewrite(&self, plans_text: &str, allowances_text: &str) -> (String, String) {
        rewrite::rewrite_texts(plans_text, allowances_text, self)
    }

    /// Fails with the first fault of the pair as a whole, of kind `ListInvalid`.
    pub fn validate(&self) -> model::Result<()> {
        match check::find_violations(self).into_iter().next() {
            None => Ok(()),
            Some(fault) => Err(KindError::new(ErrorKind::ListInvalid, fault.message)),
        }
    }
}

/// A commented pair of texts to start from.
pub fn template() -> (String, String) {
    render::template()
}
