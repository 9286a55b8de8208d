//! Sums of the rates of organisations as daemons send them to each other.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{DaemonId, OrganisationName};
use serde::{Deserialize, Serialize};

/// Rate below which an organisation is left out of reports; one request, 1.6 s after it came.
const MIN_REPORTED_RATE: f64 = 0.05;
/// Smallest rate that can be encoded, and the number of codes for each factor of e.
const CODE_BASE: f64 = 0.02;
const CODES_PER_E: f64 = 17.0;

/// Key of an organisation in reports: 24 bits of the hash of its name. Two of 84 organisations
/// share a key in one of 5000 fleets, and would then count as if each sent what both send.
pub(super) type OrganisationKey = u32;

/// Rates of requests of one organisation, per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Rates {
    pub(super) asked: f64,
    pub(super) admitted: f64,
}

impl Rates {
    pub(super) fn add(&mut self, other: Self) {
        self.asked += other.asked;
        self.admitted += other.admitted;
    }
}

/// Sums of the rates over several daemons, encoded.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct QuotaReport {
    /// Sender.
    pub from: DaemonId,
    /// Age of the oldest sum.
    pub age: Duration,
    /// Number of daemons that are included.
    pub members: u32,
    /// Whether only organisations with a jump are included; the others are as last reported.
    pub partial: bool,
    /// Hash of the list of organisations that `rates` follows.
    pub(super) list: u32,
    /// The rate of each organisation that is not limited, in the order of the keys; empty in a
    /// partial report.
    pub(super) rates: Vec<u8>,
    /// Five bytes for each organisation that is limited or reported partially: key, rate and
    /// admitted fraction.
    pub(super) limited: Vec<u8>,
}

impl QuotaReport {
    pub(super) fn push(&mut self, key: OrganisationKey, rates: Rates, draw: f64) {
        if rates.asked < MIN_REPORTED_RATE {
            if !self.partial {
                self.rates.push(0);
            }
            return;
        }
        let fraction = (rates.admitted / rates.asked).clamp(0.0, 1.0);
        let code = encode_rate(rates.asked, draw).max(1);
        if !self.partial && fraction > 0.99 {
            self.rates.push(code);
            return;
        }
        if !self.partial {
            self.rates.push(0);
        }
        self.limited.extend_from_slice(&key.to_be_bytes()[1..]);
        self.limited.push(code);
        self.limited
            .push((fraction * 255.0 + draw).min(255.0) as u8);
    }

    /// Returns the rates; `None` if they follow a list that is not among `lists`.
    pub(super) fn entries(
        &self,
        lists: &[OrganisationList],
    ) -> Option<BTreeMap<OrganisationKey, Rates>> {
        let list = lists.iter().find(|list| list.hash == self.list);
        let keys = match list {
            Some(list) => list.keys.as_slice(),
            None if self.partial => &[],
            None => return None,
        };
        let key = |bytes: &[u8]| u32::from_be_bytes([0, bytes[0], bytes[1], bytes[2]]);
        let open = keys.iter().zip(&self.rates).filter(|(_, code)| **code > 0);
        let open = open.map(|(key, code)| {
            let asked = decode_rate(*code);
            let rates = Rates {
                asked,
                admitted: asked,
            };
            (*key, rates)
        });
        let limited = self.limited.chunks_exact(5).map(|entry| {
            let asked = decode_rate(entry[3]);
            let rates = Rates {
                asked,
                admitted: asked * f64::from(entry[4]) / 255.0,
            };
            (key(entry), rates)
        });
        Some(open.chain(limited).collect())
    }

    /// Returns the number of bytes for the rates.
    pub fn size(&self) -> usize {
        self.rates.len() + self.limited.len()
    }
}

/// Organisations with quotas, as the positions in reports.
#[derive(Clone, Debug, Default)]
pub(super) struct OrganisationList {
    pub(super) hash: u32,
    pub(super) keys: Vec<OrganisationKey>,
}

impl OrganisationList {
    pub(super) fn new(mut keys: Vec<OrganisationKey>) -> Self {
        keys.sort_unstable();
        let bytes: Vec<u8> = keys.iter().flat_map(|key| key.to_be_bytes()).collect();
        Self {
            hash: xxhash_rust::xxh3::xxh3_64(&bytes) as u32,
            keys,
        }
    }
}

/// Encodes a rate on a logarithmic scale. `draw` rounds it at random, so that sums have no bias.
pub(super) fn encode_rate(rate: f64, draw: f64) -> u8 {
    let exact = ((rate / CODE_BASE).ln() * CODES_PER_E).clamp(0.0, 255.0);
    let lower = exact.floor() as u8;
    let (low, high) = (decode_rate(lower), decode_rate(lower.saturating_add(1)));
    if high > low && (rate - low) / (high - low) > draw {
        lower.saturating_add(1)
    } else {
        lower
    }
}

pub(super) fn decode_rate(code: u8) -> f64 {
    CODE_BASE * (f64::from(code) / CODES_PER_E).exp()
}

/// A report and when it arrived.
#[derive(Clone, Debug)]
pub(super) struct HeardReport {
    pub(super) at: Duration,
    pub(super) age: Duration,
    pub(super) members: u32,
    pub(super) entries: BTreeMap<OrganisationKey, Rates>,
}

impl HeardReport {
    pub(super) fn new(
        report: &QuotaReport,
        at: Duration,
        lists: &[OrganisationList],
    ) -> Option<Self> {
        Some(Self {
            at,
            age: report.age,
            members: report.members,
            entries: report.entries(lists)?,
        })
    }

    pub(super) fn age_at(&self, now: Duration) -> Duration {
        now.saturating_sub(self.at) + self.age
    }
}

pub(super) fn key_of(name: &OrganisationName) -> OrganisationKey {
    (xxhash_rust::xxh3::xxh3_64(name.as_str().as_bytes()) & 0xff_ffff) as u32
}
