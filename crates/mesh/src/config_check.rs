//! Checks a configuration before operators publish it, and compares it with the one in force.
//!
//! An error is something that daemons reject or that makes an entry fail for every
//! request. A warning is an entry without effect, or limits that contradict each other.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use model::ServiceName;
use serde::Serialize;
use smallvec::SmallVec;

use crate::config::{CallSafety, MeshConfig, RouteRule, ServiceRule};
use crate::organisation::{KeyDigest, OrganisationRule, RequestQuota};

/// How bad a finding is.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum FindingSeverity {
    /// Daemons reject the configuration, or the entry fails for every request.
    #[display("error")]
    Error,
    /// The entry has no effect, or contradicts another.
    #[display("warning")]
    Warning,
}

/// A problem of one entry of a configuration.
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{severity}: {entry}: {problem}")]
pub struct ConfigFinding {
    /// How bad it is.
    pub severity: FindingSeverity,
    /// Kind and name of the entry.
    pub entry: Box<str>,
    /// What is wrong.
    pub problem: Box<str>,
}

/// How an entry differs between two configurations.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ChangeKind {
    /// Only the later one has it.
    #[display("added")]
    Added,
    /// Only the earlier one has it.
    #[display("removed")]
    Removed,
    /// Both have it.
    #[display("changed")]
    Changed,
}

/// A difference in one entry between two configurations.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ConfigChange {
    /// How the entry differs.
    pub kind: ChangeKind,
    /// Kind and name of the entry.
    pub entry: Box<str>,
    /// Differences of its fields; empty unless both have it.
    pub fields: SmallVec<[Box<str>; 4]>,
}

/// Returns the problems of `config`, errors first.
pub fn check_config(config: &MeshConfig) -> Vec<ConfigFinding> {
    let mut findings = Findings::default();
    check_routes(config, &mut findings);
    check_services(config, &mut findings);
    check_limits(config, &mut findings);
    check_organisations(config.organisation_rules(), &mut findings);
    check_keys(config, &mut findings);
    findings.sorted()
}

/// Returns the problems of `config` as the one that follows `in_force`, errors first.
pub fn check_successor(config: &MeshConfig, in_force: &MeshConfig) -> Vec<ConfigFinding> {
    let mut findings = Findings::default();
    if config.version <= in_force.version {
        let (own, newest) = (config.version, in_force.version);
        findings.error(
            "version",
            format!("{own} is not above {newest}, which is in force, and would be ignored"),
        );
    }
    if in_force.organisations.is_some() && config.organisations.is_none() {
        findings.warning(
            "organisations",
            "requests need no key any more; to remove all organisations, publish an empty table",
        );
    }
    findings.sorted()
}

#[derive(Default)]
struct Findings(Vec<ConfigFinding>);

impl Findings {
    fn error(&mut self, entry: &str, problem: impl Into<Box<str>>) {
        self.push(FindingSeverity::Error, entry, problem.into());
    }

    fn warning(&mut self, entry: &str, problem: impl Into<Box<str>>) {
        self.push(FindingSeverity::Warning, entry, problem.into());
    }

    fn push(&mut self, severity: FindingSeverity, entry: &str, problem: Box<str>) {
        self.0.push(ConfigFinding {
            severity,
            entry: entry.into(),
            problem,
        });
    }

    fn sorted(mut self) -> Vec<ConfigFinding> {
        self.0.sort();
        self.0
    }
}

fn check_routes(config: &MeshConfig, findings: &mut Findings) {
    let services: BTreeSet<&ServiceName> = config.services.iter().map(|rule| &rule.name).collect();
    // The first of several routes with the same host and prefix gets all requests.
    let mut seen: HashMap<(&str, &str), &str> = HashMap::new();
    for rule in &config.routes {
        let entry = format!("route {}", rule.name);
        check_match(rule, &entry, findings);
        check_destinations(rule, &services, &entry, findings);
        check_times(rule, &entry, findings);
        let first = *seen.entry((&rule.host, &rule.prefix)).or_insert(&rule.name);
        if *first != *rule.name {
            findings.warning(
                &entry,
                format!("never matches: route {first} has the same host and prefix"),
            );
        }
        if rule.public && config.organisations.is_none() {
            findings.warning(&entry, "public has no effect: requests need no key");
        }
    }
}

fn check_match(rule: &RouteRule, entry: &str, findings: &mut Findings) {
    if rule.host.is_empty() {
        findings.error(entry, "never matches: the host is empty");
    }
    if rule.host.contains(':') {
        findings.error(
            entry,
            "never matches: the port of a request's host is ignored, and this host has one",
        );
    }
    if !rule.prefix.starts_with('/') {
        findings.error(
            entry,
            "never matches: the prefix does not start with a slash",
        );
    } else if rule.prefix.contains('?') {
        findings.error(entry, "never matches: the prefix contains a query");
    } else if !rule.prefix.ends_with('/') {
        findings.warning(
            entry,
            "the prefix does not end with a slash, so it also matches longer names",
        );
    }
}

fn check_destinations(
    rule: &RouteRule,
    services: &BTreeSet<&ServiceName>,
    entry: &str,
    findings: &mut Findings,
) {
    for destination in &rule.destinations {
        let service = &destination.service;
        if !services.contains(service) {
            findings.error(entry, format!("service {service} does not exist"));
        }
    }
    let weights = rule
        .destinations
        .iter()
        .map(|destination| destination.weight);
    if rule.destinations.is_empty() {
        findings.error(entry, "has no service");
    } else if weights.clone().all(|weight| weight == 0) {
        findings.error(entry, "all services have weight 0");
    } else if weights.clone().any(|weight| weight == 0) {
        findings.warning(entry, "a service with weight 0 gets no requests");
    }
}

fn check_times(rule: &RouteRule, entry: &str, findings: &mut Findings) {
    let (timeout, objective) = (rule.timeout, rule.objective);
    if timeout.is_zero() {
        findings.error(entry, "the timeout is 0");
    }
    if rule.max_attempts == 0 {
        findings.error(entry, "allows no attempt");
    }
    if objective > timeout {
        findings.warning(
            entry,
            format!("the latency objective {objective:?} is above the timeout {timeout:?}"),
        );
    }
}

fn check_services(config: &MeshConfig, findings: &mut Findings) {
    let destinations = config.routes.iter().flat_map(|rule| &rule.destinations);
    let used: BTreeSet<&ServiceName> = destinations.map(|found| &found.service).collect();
    for rule in &config.services {
        let entry = format!("service {}", rule.name);
        if !used.contains(&rule.name) {
            findings.warning(&entry, "no route sends requests to it");
        }
        if rule.max_connections.0 == 0 {
            findings.error(&entry, "allows no connection");
        }
        if !rule.health_path.starts_with('/') {
            findings.error(&entry, "the health path does not start with a slash");
        }
    }
}

fn check_limits(config: &MeshConfig, findings: &mut Findings) {
    let limits = &config.limits;
    if limits.max_header_bytes == 0 {
        findings.error("limits", "no header is allowed");
    }
    for (name, time) in [
        ("header", limits.header_timeout),
        ("idle", limits.idle_timeout),
    ] {
        if time.is_zero() {
            findings.error("limits", format!("the {name} timeout is 0"));
        }
    }
    let mut routes = config.routes.iter();
    let takes_bodies = routes.find(|rule| rule.safety == CallSafety::AtMostOnce);
    if let (0, Some(rule)) = (limits.max_body_bytes, takes_bodies) {
        findings.warning(
            "limits",
            format!(
                "no body is allowed, but route {} is not read-only",
                rule.name
            ),
        );
    }
}

fn check_organisations(organisations: &[Arc<OrganisationRule>], findings: &mut Findings) {
    let mut owners: HashMap<KeyDigest, &OrganisationRule> = HashMap::new();
    for rule in organisations {
        let entry = format!("organisation {}", rule.name);
        if rule.keys.is_empty() {
            findings.warning(&entry, "never matches: it has no key");
        }
        for (index, key) in rule.keys.iter().enumerate() {
            let number = index + 1;
            let owner = *owners.entry(*key).or_insert(rule);
            if owner.name != rule.name {
                findings.error(
                    &entry,
                    format!(
                        "key {number} never matches: it belongs to {} too",
                        owner.name
                    ),
                );
            } else if rule.keys[..index].contains(key) {
                findings.warning(&entry, format!("key {number} is listed twice"));
            }
        }
        if rule
            .quota
            .is_some_and(|quota| quota.rate.0 < 1.0 && quota.burst.0 == 0)
        {
            findings.warning(&entry, "less than one request a second and no burst");
        }
    }
}

/// Checks whether any request can be admitted by its key.
fn check_keys(config: &MeshConfig, findings: &mut Findings) {
    let needs_key = config.routes.iter().any(|rule| !rule.public);
    let has_no_key = |rules: &Vec<Arc<OrganisationRule>>| rules.iter().all(|r| r.keys.is_empty());
    if needs_key && config.organisations.as_ref().is_some_and(has_no_key) {
        findings.error(
            "organisations",
            "no key is valid, so every request on a route that is not public is refused",
        );
    }
}

/// Returns the entries in which `after` differs from `before`, by kind and name.
pub fn compare_configs(before: &MeshConfig, after: &MeshConfig) -> Vec<ConfigChange> {
    let mut changes = Vec::new();
    changes.extend(compare_entries(
        "route",
        before.routes.iter().map(|rule| (&*rule.name, &**rule)),
        after.routes.iter().map(|rule| (&*rule.name, &**rule)),
        compare_routes,
    ));
    changes.extend(compare_entries(
        "service",
        before
            .services
            .iter()
            .map(|rule| (rule.name.as_str(), rule)),
        after.services.iter().map(|rule| (rule.name.as_str(), rule)),
        compare_services,
    ));
    changes.extend(compare_entries(
        "organisation",
        before
            .organisation_rules()
            .iter()
            .map(|rule| (rule.name.as_str(), &**rule)),
        after
            .organisation_rules()
            .iter()
            .map(|rule| (rule.name.as_str(), &**rule)),
        compare_organisations,
    ));
    changes.extend(changed_part("keys", compare_key_rule(before, after)));
    changes.extend(changed_part("limits", compare_limits(before, after)));
    changes
}

/// Returns the change of a part that every configuration has, if any field differs.
fn changed_part(entry: &str, fields: FieldChanges) -> Option<ConfigChange> {
    (!fields.0.is_empty()).then(|| ConfigChange {
        kind: ChangeKind::Changed,
        entry: entry.into(),
        fields: fields.0,
    })
}

fn compare_entries<'a, T: PartialEq + 'a>(
    kind: &str,
    before: impl Iterator<Item = (&'a str, &'a T)>,
    after: impl Iterator<Item = (&'a str, &'a T)>,
    compare: fn(&T, &T) -> FieldChanges,
) -> Vec<ConfigChange> {
    let before: BTreeMap<&str, &T> = before.collect();
    let after: BTreeMap<&str, &T> = after.collect();
    let names: BTreeSet<&str> = before.keys().chain(after.keys()).copied().collect();
    let change = |name: &str| {
        let (kind_of_change, fields) = match (before.get(name), after.get(name)) {
            (Some(before), Some(after)) if before == after => return None,
            (Some(before), Some(after)) => (ChangeKind::Changed, compare(before, after).0),
            (None, _) => (ChangeKind::Added, SmallVec::new()),
            (_, None) => (ChangeKind::Removed, SmallVec::new()),
        };
        Some(ConfigChange {
            kind: kind_of_change,
            entry: format!("{kind} {name}").into(),
            fields,
        })
    };
    names.into_iter().filter_map(change).collect()
}

#[derive(Default)]
struct FieldChanges(SmallVec<[Box<str>; 4]>);

impl FieldChanges {
    fn compare<T: ToString>(&mut self, field: &str, before: &T, after: &T) {
        let (before, after) = (before.to_string(), after.to_string());
        if before != after {
            let text = format!("{field} {before} -> {after}");
            self.0.push(text.into());
        }
    }

    fn compare_time(&mut self, field: &str, before: Duration, after: Duration) {
        self.compare(field, &format!("{before:?}"), &format!("{after:?}"));
    }
}

fn compare_routes(before: &RouteRule, after: &RouteRule) -> FieldChanges {
    let services = |rule: &RouteRule| {
        let parts = rule.destinations.iter();
        let parts: Vec<String> = parts
            .map(|part| format!("{}:{}", part.service, part.weight))
            .collect();
        parts.join(",")
    };
    let mut changes = FieldChanges::default();
    changes.compare("host", &before.host, &after.host);
    changes.compare("prefix", &before.prefix, &after.prefix);
    changes.compare("services", &services(before), &services(after));
    changes.compare("kind", &before.safety, &after.safety);
    changes.compare_time("timeout", before.timeout, after.timeout);
    changes.compare_time("objective", before.objective, after.objective);
    changes.compare("attempts", &before.max_attempts, &after.max_attempts);
    changes.compare("priority", &before.priority, &after.priority);
    changes.compare("public", &before.public, &after.public);
    changes
}

fn compare_services(before: &ServiceRule, after: &ServiceRule) -> FieldChanges {
    let mut changes = FieldChanges::default();
    changes.compare("health path", &before.health_path, &after.health_path);
    changes.compare(
        "connections",
        &before.max_connections,
        &after.max_connections,
    );
    changes
}

fn compare_organisations(before: &OrganisationRule, after: &OrganisationRule) -> FieldChanges {
    let quota = |quota: Option<RequestQuota>| {
        quota.map_or_else(
            || "none".to_owned(),
            |quota| format!("{} burst {}", quota.rate, quota.burst),
        )
    };
    let mut changes = FieldChanges::default();
    changes.compare("quota", &quota(before.quota), &quota(after.quota));
    changes.compare("priority", &before.priority, &after.priority);
    // Keys are secrets, so only their numbers are told.
    let missing = |keys: &[KeyDigest], others: &[KeyDigest]| {
        keys.iter().filter(|key| !others.contains(key)).count()
    };
    let added = missing(&after.keys, &before.keys);
    let removed = missing(&before.keys, &after.keys);
    if added + removed > 0 {
        let text = format!("keys {added} added, {removed} removed");
        changes.0.push(text.into());
    }
    changes
}

fn compare_key_rule(before: &MeshConfig, after: &MeshConfig) -> FieldChanges {
    let rule = |config: &MeshConfig| match config.organisations {
        Some(_) => "required",
        None => "not required",
    };
    let mut changes = FieldChanges::default();
    changes.compare("rule", &rule(before), &rule(after));
    changes
}

fn compare_limits(before: &MeshConfig, after: &MeshConfig) -> FieldChanges {
    let (before, after) = (&before.limits, &after.limits);
    let mut changes = FieldChanges::default();
    changes.compare(
        "header bytes",
        &before.max_header_bytes,
        &after.max_header_bytes,
    );
    changes.compare("body bytes", &before.max_body_bytes, &after.max_body_bytes);
    changes.compare_time(
        "header timeout",
        before.header_timeout,
        after.header_timeout,
    );
    changes.compare_time("idle timeout", before.idle_timeout, after.idle_timeout);
    changes
}
