//! What must hold for the two lists as a whole.
//!
//! The same rules judge a file (where each fault gets a line and column) and
//! the result of folding a change, so a pair that `quetzal check` lets pass
//! is never refused for its content later.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use model::{CustomerName, MethodName, PlanName, ServiceName};

use crate::lists::{ConfigLists, PlanAllowance, ServiceSpec};

/// Most customers.
pub const MAX_CUSTOMERS: usize = 10_000;
/// Most services.
pub const MAX_SERVICES: usize = 256;
/// Most plans.
pub const MAX_PLANS: usize = 256;
/// Most methods of a service.
pub const MAX_METHODS: usize = 16;
/// Longest name of a method, in bytes.
pub const MAX_METHOD_BYTES: usize = 16;
/// Largest encoding of both lists, in bytes; leaves room for the past in a snapshot.
pub const MAX_LIST_BYTES: usize = 1 << 20;
/// Longest path of a service, in bytes.
pub const MAX_PATH_BYTES: usize = 128;
/// Timeouts in milliseconds.
pub const TIMEOUT_RANGE_MS: RangeInclusive<u32> = 1..=3_600_000;
/// Calls a second.
pub const RATE_RANGE: RangeInclusive<u32> = 1..=1_000_000;
/// Calls at once.
pub const CALLS_AT_ONCE_RANGE: RangeInclusive<u32> = 1..=100_000;

/// A rule that the pair breaks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListViolation {
    /// Where the mistake is.
    pub location: ListLocation,
    /// What is wrong.
    pub message: Box<str>,
}

/// The part of the lists in which a fault lies.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ListLocation {
    /// The customers as a whole.
    Customers,
    /// The plan named by a customer.
    CustomerPlan(CustomerName),
    /// The services as a whole.
    Services,
    /// A service's path.
    ServicePath(ServiceName),
    /// A service's timeout.
    ServiceTimeout(ServiceName),
    /// A service's methods.
    ServiceMethods(ServiceName),
    /// One method of a service.
    ServiceMethod(ServiceName, MethodName),
    /// The plans as a whole.
    Plans,
    /// A plan.
    Plan(PlanName),
    /// A plan's allowance for a service.
    Allowance(PlanName, ServiceName),
    /// The methods of an allowance.
    AllowanceMethods(PlanName, ServiceName),
    /// One method of an allowance.
    AllowanceMethod(PlanName, ServiceName, MethodName),
    /// The rate of an allowance.
    AllowanceRate(PlanName, ServiceName),
    /// The calls at once of an allowance.
    AllowanceCalls(PlanName, ServiceName),
}

/// Every rule that the pair breaks.
pub fn find_violations(pair: &ConfigLists) -> Vec<ListViolation> {
    let mut faults = Vec::new();
    check_sizes(pair, &mut faults);
    check_bytes(pair, &mut faults);
    check_customers(pair, &mut faults);
    for (name, rule) in &pair.allowances.services {
        check_service(name, rule, &mut faults);
    }
    check_overlaps(pair, &mut faults);
    for (plan, allowances) in &pair.allowances.plans {
        if allowances.is_empty() {
            let message = format!("plan \"{plan}\" allows nothing; remove it or allow a service");
            push(&mut faults, ListLocation::Plan(plan.clone()), message);
        }
        for (service, allowance) in allowances {
            check_allowance(pair, plan, service, allowance, &mut faults);
        }
    }
    faults
}

fn push(faults: &mut Vec<ListViolation>, location: ListLocation, message: impl Into<Box<str>>) {
    let message = message.into();
    faults.push(ListViolation { location, message });
}

fn check_sizes(pair: &ConfigLists, faults: &mut Vec<ListViolation>) {
    let sizes = [
        (
            ListLocation::Customers,
            "customers",
            pair.plans.customers.len(),
            MAX_CUSTOMERS,
        ),
        (
            ListLocation::Services,
            "services",
            pair.allowances.services.len(),
            MAX_SERVICES,
        ),
        (
            ListLocation::Plans,
            "plans",
            pair.allowances.plans.len(),
            MAX_PLANS,
        ),
    ];
    for (place, what, count, most) in sizes {
        if count > most {
            push(
                faults,
                place,
                format!("{count} {what}; at most {most} are allowed"),
            );
        }
    }
}

/// Checks that the lists fit into a snapshot.
fn check_bytes(pair: &ConfigLists, faults: &mut Vec<ListViolation>) {
    let encoded = bincode::serde::encode_to_vec(pair, bincode::config::standard());
    let bytes = encoded.map_or(usize::MAX, |encoded| encoded.len());
    if bytes > MAX_LIST_BYTES {
        let message = format!("the lists take {bytes} bytes; at most {MAX_LIST_BYTES} are allowed");
        push(faults, ListLocation::Plans, message);
    }
}

fn check_customers(pair: &ConfigLists, faults: &mut Vec<ListViolation>) {
    for (customer, entry) in &pair.plans.customers {
        if pair.allowances.plans.contains_key(&entry.plan) {
            continue;
        }
        let message = format!(
            "customer \"{customer}\" holds plan \"{}\", which allowances.jsonc does not define",
            entry.plan
        );
        push(
            faults,
            ListLocation::CustomerPlan(customer.clone()),
            message,
        );
    }
}

fn check_service(name: &ServiceName, rule: &ServiceSpec, faults: &mut Vec<ListViolation>) {
    if let Some(message) = path_fault(&rule.path) {
        push(faults, ListLocation::ServicePath(name.clone()), message);
    }
    if !TIMEOUT_RANGE_MS.contains(&rule.timeout_ms) {
        let message = range_fault(
            &format!("timeout_ms of service \"{name}\""),
            rule.timeout_ms,
            &TIMEOUT_RANGE_MS,
        );
        push(faults, ListLocation::ServiceTimeout(name.clone()), message);
    }
    if rule.methods.is_empty() || rule.methods.len() > MAX_METHODS {
        let message = format!("service \"{name}\" must offer 1 to {MAX_METHODS} methods");
        push(faults, ListLocation::ServiceMethods(name.clone()), message);
    }
    for method in rule.methods.keys() {
        let capital = method.bytes().all(|byte| byte.is_ascii_uppercase());
        if !capital || method.len() > MAX_METHOD_BYTES {
            let message =
                format!("method \"{method}\" must be 1 to {MAX_METHOD_BYTES} capital letters");
            let place = ListLocation::ServiceMethod(name.clone(), method.clone());
            push(faults, place, message);
        }
    }
}

/// What is wrong with `path` as a service's path.
fn path_fault(path: &str) -> Option<Box<str>> {
    if path == "/" {
        return None;
    }
    if path.len() > MAX_PATH_BYTES {
        return Some(format!("a path has at most {MAX_PATH_BYTES} bytes").into());
    }
    let Some(rest) = path.strip_prefix('/') else {
        return Some(format!("path \"{path}\" must begin with \"/\"").into());
    };
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte);
    let sound = |part: &str| !matches!(part, "" | "." | "..") && part.bytes().all(allowed);
    if rest.split('/').all(sound) {
        return None;
    }
    let message = format!("path \"{path}\" must be \"/\" and segments of a-z A-Z 0-9 - _ . ~");
    Some(message.into())
}

fn range_fault(field: &str, value: u32, range: &RangeInclusive<u32>) -> Box<str> {
    let (low, high) = (range.start(), range.end());
    format!("{field} is {value}; it must lie from {low} to {high}").into()
}

/// Reports each service whose path lies within another's or equals it.
fn check_overlaps(pair: &ConfigLists, faults: &mut Vec<ListViolation>) {
    let services = &pair.allowances.services;
    let mut owners: BTreeMap<&str, &ServiceName> = BTreeMap::new();
    for (name, rule) in services {
        match owners.get(&*rule.path) {
            None => {
                owners.insert(&rule.path, name);
            }
            Some(owner) => {
                let message = format!("path \"{}\" belongs to service \"{owner}\"", rule.path);
                push(faults, ListLocation::ServicePath(name.clone()), message);
            }
        }
    }
    for (path, name) in &owners {
        let outer = enclosing_paths(path).find_map(|outer| owners.get_key_value(outer));
        let Some((outer, owner)) = outer else {
            continue;
        };
        let message = format!("path \"{path}\" lies within \"{outer}\" of service \"{owner}\"");
        push(faults, ListLocation::ServicePath((*name).clone()), message);
    }
}

/// The paths that enclose `path`, from the nearest to `/`.
fn enclosing_paths(path: &str) -> impl Iterator<Item = &str> {
    let ends = path.rmatch_indices('/').map(|(end, _)| end);
    ends.map(|end| if end == 0 { "/" } else { &path[..end] })
        .filter(move |outer| *outer != path)
}

fn check_allowance(
    pair: &ConfigLists,
    plan: &PlanName,
    service: &ServiceName,
    allowance: &PlanAllowance,
    faults: &mut Vec<ListViolation>,
) {
    let names = || (plan.clone(), service.clone());
    let of = |field: &str| format!("{field} of plan \"{plan}\" for service \"{service}\"");
    if !RATE_RANGE.contains(&allowance.rate_per_s) {
        let message = range_fault(&of("rate_per_s"), allowance.rate_per_s, &RATE_RANGE);
        let (plan, service) = names();
        push(faults, ListLocation::AllowanceRate(plan, service), message);
    }
    if !CALLS_AT_ONCE_RANGE.contains(&allowance.calls_at_once) {
        let message = range_fault(
            "calls_at_once",
            allowance.calls_at_once,
            &CALLS_AT_ONCE_RANGE,
        );
        let (plan, service) = names();
        push(faults, ListLocation::AllowanceCalls(plan, service), message);
    }
    if allowance.methods.is_empty() {
        let message = format!("plan \"{plan}\" allows no method of service \"{service}\"");
        let (plan, service) = names();
        push(
            faults,
            ListLocation::AllowanceMethods(plan, service),
            message,
        );
    }
    let Some(rule) = pair.allowances.services.get(service) else {
        let message = format!("plan \"{plan}\" allows service \"{service}\", which is not defined");
        let (plan, service) = names();
        push(faults, ListLocation::Allowance(plan, service), message);
        return;
    };
    for method in &allowance.methods {
        if rule.methods.contains_key(method) {
            continue;
        }
        let message = format!("service \"{service}\" has no method \"{method}\"");
        let (plan, service) = names();
        let place = ListLocation::AllowanceMethod(plan, service, method.clone());
        push(faults, place, message);
    }
}
