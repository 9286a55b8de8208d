//! Validation rules of the lists: ranges of single values, sizes, and references
//! between entries and between the two files.
//!
//! The same rules are applied to files, where each violation is reported with
//! its line and column, and to the result of folding a change. Lists that pass
//! `quetzal check` therefore violate no rule later, unless changes by others
//! are combined with them.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use model::{CustomerName, MethodName, PlanName, ServiceName};

use crate::lists::{ConfigLists, PlanAllowance, ServiceSpec};

/// Maximum number of customers.
pub const MAX_CUSTOMERS: usize = 10_000;
/// Maximum number of services.
pub const MAX_SERVICES: usize = 256;
/// Maximum number of plans.
pub const MAX_PLANS: usize = 256;
/// Maximum number of methods of a service.
pub const MAX_METHODS: usize = 16;
/// Maximum length of a method name, in bytes.
pub const MAX_METHOD_BYTES: usize = 16;
/// Maximum encoded size of both lists, in bytes; leaves room for the history in a snapshot.
pub const MAX_LIST_BYTES: usize = 1 << 20;
/// Maximum length of a service path, in bytes.
pub const MAX_PATH_BYTES: usize = 128;
/// Valid timeouts, in milliseconds.
pub const TIMEOUT_RANGE_MS: RangeInclusive<u32> = 1..=3_600_000;
/// Valid rates, in calls per second.
pub const RATE_RANGE: RangeInclusive<u32> = 1..=1_000_000;
/// Valid numbers of concurrent calls.
pub const CALLS_AT_ONCE_RANGE: RangeInclusive<u32> = 1..=100_000;

/// A violation of a validation rule.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListViolation {
    /// Location of the invalid value.
    pub location: ListLocation,
    /// Description of the violation.
    pub message: Box<str>,
}

/// Location of a value in the lists.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ListLocation {
    /// The customers as a whole.
    Customers,
    /// The plan assigned to a customer.
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
    /// The limit of concurrent calls of an allowance.
    AllowanceCalls(PlanName, ServiceName),
}

/// Returns all violations in the lists.
pub fn find_violations(lists: &ConfigLists) -> Vec<ListViolation> {
    let mut violations = Vec::new();
    check_counts(lists, &mut violations);
    check_encoded_size(lists, &mut violations);
    check_customers(lists, &mut violations);
    for (name, spec) in &lists.allowances.services {
        check_service(name, spec, &mut violations);
    }
    check_overlaps(lists, &mut violations);
    for (plan, allowances) in &lists.allowances.plans {
        if allowances.is_empty() {
            let message = format!("plan \"{plan}\" allows nothing; remove it or allow a service");
            report(&mut violations, ListLocation::Plan(plan.clone()), message);
        }
        for (service, allowance) in allowances {
            check_allowance(lists, plan, service, allowance, &mut violations);
        }
    }
    violations
}

fn report(
    violations: &mut Vec<ListViolation>,
    location: ListLocation,
    message: impl Into<Box<str>>,
) {
    let message = message.into();
    violations.push(ListViolation { location, message });
}

fn check_counts(lists: &ConfigLists, violations: &mut Vec<ListViolation>) {
    let sizes = [
        (
            ListLocation::Customers,
            "customers",
            lists.plans.customers.len(),
            MAX_CUSTOMERS,
        ),
        (
            ListLocation::Services,
            "services",
            lists.allowances.services.len(),
            MAX_SERVICES,
        ),
        (
            ListLocation::Plans,
            "plans",
            lists.allowances.plans.len(),
            MAX_PLANS,
        ),
    ];
    for (location, what, count, max) in sizes {
        if count > max {
            report(
                violations,
                location,
                format!("{count} {what}; at most {max} are allowed"),
            );
        }
    }
}

/// Checks that the encoded lists fit into a snapshot.
fn check_encoded_size(lists: &ConfigLists, violations: &mut Vec<ListViolation>) {
    let encoded = bincode::serde::encode_to_vec(lists, bincode::config::standard());
    let bytes = encoded.map_or(usize::MAX, |encoded| encoded.len());
    if bytes > MAX_LIST_BYTES {
        let message = format!("the lists take {bytes} bytes; at most {MAX_LIST_BYTES} are allowed");
        report(violations, ListLocation::Plans, message);
    }
}

fn check_customers(lists: &ConfigLists, violations: &mut Vec<ListViolation>) {
    for (customer, entry) in &lists.plans.customers {
        if lists.allowances.plans.contains_key(&entry.plan) {
            continue;
        }
        let message = format!(
            "customer \"{customer}\" holds plan \"{}\", which allowances.jsonc does not define",
            entry.plan
        );
        report(
            violations,
            ListLocation::CustomerPlan(customer.clone()),
            message,
        );
    }
}

fn check_service(name: &ServiceName, spec: &ServiceSpec, violations: &mut Vec<ListViolation>) {
    if let Some(message) = path_violation(&spec.path) {
        report(violations, ListLocation::ServicePath(name.clone()), message);
    }
    if !TIMEOUT_RANGE_MS.contains(&spec.timeout_ms) {
        let message = range_violation(
            &format!("timeout_ms of service \"{name}\""),
            spec.timeout_ms,
            &TIMEOUT_RANGE_MS,
        );
        report(
            violations,
            ListLocation::ServiceTimeout(name.clone()),
            message,
        );
    }
    if spec.methods.is_empty() || spec.methods.len() > MAX_METHODS {
        let message = format!("service \"{name}\" must offer 1 to {MAX_METHODS} methods");
        report(
            violations,
            ListLocation::ServiceMethods(name.clone()),
            message,
        );
    }
    for method in spec.methods.keys() {
        let uppercase = method.bytes().all(|byte| byte.is_ascii_uppercase());
        if !uppercase || method.len() > MAX_METHOD_BYTES {
            let message =
                format!("method \"{method}\" must be 1 to {MAX_METHOD_BYTES} capital letters");
            let location = ListLocation::ServiceMethod(name.clone(), method.clone());
            report(violations, location, message);
        }
    }
}

/// Returns what makes `path` invalid as the path of a service.
fn path_violation(path: &str) -> Option<Box<str>> {
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
    let valid = |part: &str| !matches!(part, "" | "." | "..") && part.bytes().all(allowed);
    if rest.split('/').all(valid) {
        return None;
    }
    let message = format!("path \"{path}\" must be \"/\" and segments of a-z A-Z 0-9 - _ . ~");
    Some(message.into())
}

fn range_violation(field: &str, value: u32, range: &RangeInclusive<u32>) -> Box<str> {
    let (low, high) = (range.start(), range.end());
    format!("{field} is {value}; it must lie from {low} to {high}").into()
}

/// Reports each service whose path equals the path of another or is nested in it.
fn check_overlaps(lists: &ConfigLists, violations: &mut Vec<ListViolation>) {
    let services = &lists.allowances.services;
    let mut owners: BTreeMap<&str, &ServiceName> = BTreeMap::new();
    for (name, spec) in services {
        match owners.get(&*spec.path) {
            None => {
                owners.insert(&spec.path, name);
            }
            Some(owner) => {
                let message = format!("path \"{}\" belongs to service \"{owner}\"", spec.path);
                report(violations, ListLocation::ServicePath(name.clone()), message);
            }
        }
    }
    for (path, name) in &owners {
        let ancestor = ancestor_paths(path).find_map(|ancestor| owners.get_key_value(ancestor));
        let Some((ancestor, owner)) = ancestor else {
            continue;
        };
        let message = format!("path \"{path}\" lies within \"{ancestor}\" of service \"{owner}\"");
        report(
            violations,
            ListLocation::ServicePath((*name).clone()),
            message,
        );
    }
}

/// Returns the ancestors of `path`, from the nearest to `/`.
fn ancestor_paths(path: &str) -> impl Iterator<Item = &str> {
    let ends = path.rmatch_indices('/').map(|(end, _)| end);
    ends.map(|end| if end == 0 { "/" } else { &path[..end] })
        .filter(move |ancestor| *ancestor != path)
}

fn check_allowance(
    lists: &ConfigLists,
    plan: &PlanName,
    service: &ServiceName,
    allowance: &PlanAllowance,
    violations: &mut Vec<ListViolation>,
) {
    let names = || (plan.clone(), service.clone());
    let field_name = |field: &str| format!("{field} of plan \"{plan}\" for service \"{service}\"");
    if !RATE_RANGE.contains(&allowance.rate_per_s) {
        let message = range_violation(&field_name("rate_per_s"), allowance.rate_per_s, &RATE_RANGE);
        let (plan, service) = names();
        report(
            violations,
            ListLocation::AllowanceRate(plan, service),
            message,
        );
    }
    if !CALLS_AT_ONCE_RANGE.contains(&allowance.calls_at_once) {
        let message = range_violation(
            "calls_at_once",
            allowance.calls_at_once,
            &CALLS_AT_ONCE_RANGE,
        );
        let (plan, service) = names();
        report(
            violations,
            ListLocation::AllowanceCalls(plan, service),
            message,
        );
    }
    if allowance.methods.is_empty() {
        let message = format!("plan \"{plan}\" allows no method of service \"{service}\"");
        let (plan, service) = names();
        report(
            violations,
            ListLocation::AllowanceMethods(plan, service),
            message,
        );
    }
    let Some(spec) = lists.allowances.services.get(service) else {
        let message = format!("plan \"{plan}\" allows service \"{service}\", which is not defined");
        let (plan, service) = names();
        report(violations, ListLocation::Allowance(plan, service), message);
        return;
    };
    for method in &allowance.methods {
        if spec.methods.contains_key(method) {
            continue;
        }
        let message = format!("service \"{service}\" has no method \"{method}\"");
        let (plan, service) = names();
        let location = ListLocation::AllowanceMethod(plan, service, method.clone());
        report(violations, location, message);
    }
}
