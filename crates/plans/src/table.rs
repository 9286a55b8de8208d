//! Lookup table of a configuration version, as used by proxies.
//!
//! A [`RouteTable`] is built once for each version and is immutable; a running
//! call keeps the table with which it started. A route contains a reference to
//! its service, so a route without a service can't exist. Lookups don't
//! allocate.

mod build;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use model::{
    CallCount, CallRate, ConfigVersion, CustomerName, ErrorKind, KindError, MethodName, PlanName,
    ServiceName,
};

use crate::lists::{KeyHash, ServiceKind};

/// Result of looking up a call.
///
/// Fails with `RouteUnknown`, `MethodUnknown`, `CustomerUnknown` or
/// `PlanForbids`.
pub type Result<T> = model::Result<T>;

/// Services, routes and customers of a version.
#[derive(Debug)]
pub struct RouteTable {
    version: ConfigVersion,
    services: Box<[Arc<ServiceEntry>]>,
    routes: HashMap<Box<str>, RouteEntry>,
    customers: HashMap<Box<str>, CustomerEntry>,
}

/// A service and its methods.
#[derive(Debug)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: ServiceName,
    /// Index of the service in the table, starting at 0.
    pub index: usize,
    /// Timeout of a call.
    pub timeout: Duration,
    /// Kind of the calls, which decides the order of load shedding.
    pub kind: ServiceKind,
    methods: Box<[MethodEntry]>,
}

/// A method of a service.
#[derive(Clone, Debug)]
pub struct MethodEntry {
    /// Name of the method.
    pub name: MethodName,
    /// Whether running a call twice has the same effect as running it once.
    pub idempotent: bool,
}

/// A path and the service to which its calls are routed.
#[derive(Clone, Debug)]
pub struct RouteEntry {
    /// Path prefix of the calls.
    pub path: Box<str>,
    /// Service that receives the calls.
    pub service: Arc<ServiceEntry>,
}

/// A customer, its plan and its key.
#[derive(Debug)]
pub struct CustomerEntry {
    /// Name of the customer.
    pub name: CustomerName,
    /// Plan of the customer.
    pub plan: Arc<PlanEntry>,
    key_sha256: Option<KeyHash>,
}

/// A plan and its allowances.
#[derive(Debug)]
pub struct PlanEntry {
    /// Name of the plan.
    pub name: PlanName,
    /// Allowances by service index; `None` if the plan can't use the service.
    allowances: Box<[Option<AllowanceEntry>]>,
}

/// Methods and limits that a plan grants for a service.
#[derive(Clone, Debug)]
pub struct AllowanceEntry {
    /// Maximum rate of calls, for each customer of the plan.
    pub rate: CallRate,
    /// Maximum number of concurrent calls, for each customer of the plan.
    pub calls_at_once: CallCount,
    methods: Box<[MethodName]>,
}

/// Lookup result of a call that the configuration allows.
#[derive(Clone, Copy, Debug)]
pub struct CallGrant<'a> {
    /// Calling customer.
    pub customer: &'a CustomerEntry,
    /// Service to which the call is routed.
    pub service: &'a Arc<ServiceEntry>,
    /// Called method.
    pub method: &'a MethodEntry,
    /// Limits of the customer for the service.
    pub allowance: &'a AllowanceEntry,
}

impl RouteTable {
    /// Returns the version of the configuration.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns all services, ordered by name.
    pub fn services(&self) -> &[Arc<ServiceEntry>] {
        &self.services
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceEntry>> {
        let found = self
            .services
            .binary_search_by(|entry| entry.name.as_str().cmp(name));
        found.ok().map(|index| &self.services[index])
    }

    /// Returns the route with the longest path that is a prefix of `path` by whole segments.
    ///
    /// Ignores the query and the fragment. Returns `None` for a path with `.`
    /// or `..` segments, backslashes, or encoded dots and slashes, which a
    /// target might interpret as a different path.
    pub fn route(&self, path: &str) -> Option<&RouteEntry> {
        let path = path.split(['?', '#']).next().unwrap_or(path);
        if !is_plain_path(path) {
            return None;
        }
        let mut prefix = path;
        loop {
            if let Some(route) = self.routes.get(prefix) {
                return Some(route);
            }
            let end = prefix.rfind('/')?;
            if end == 0 {
                return self.routes.get("/");
            }
            prefix = &prefix[..end];
        }
    }

    /// Returns the customer with the given name.
    pub fn customer(&self, name: &str) -> Option<&CustomerEntry> {
        self.customers.get(name)
    }

    /// Returns the number of customers.
    pub fn customer_count(&self) -> usize {
        self.customers.len()
    }

    /// Authenticates and authorizes a call; `key` is the presented key, empty if there is none.
    pub fn admit(
        &self,
        customer: &str,
        key: &str,
        method: &str,
        path: &str,
    ) -> Result<CallGrant<'_>> {
        let found = self
            .customer(customer)
            .filter(|entry| entry.verify_key(key));
        let customer = found.ok_or_else(|| {
            let detail = "the customer is unknown or its key is wrong";
            KindError::new(ErrorKind::CustomerUnknown, detail)
        })?;
        let route = self.route(path).ok_or_else(|| {
            let detail = "no service is configured for this path";
            KindError::new(ErrorKind::RouteUnknown, detail)
        })?;
        let service = &route.service;
        let method = service.method(method).ok_or_else(|| {
            let detail = format!("service {} does not offer this method", service.name);
            KindError::new(ErrorKind::MethodUnknown, detail)
        })?;
        let allowance = customer.allowance(service, &method.name).ok_or_else(|| {
            let (plan, name) = (&customer.plan.name, &service.name);
            let detail = format!(
                "plan {plan} does not allow {} on service {name}",
                method.name
            );
            KindError::new(ErrorKind::PlanForbids, detail)
        })?;
        Ok(CallGrant {
            customer,
            service,
            method,
            allowance,
        })
    }
}

impl ServiceEntry {
    /// Returns the method with the given name.
    pub fn method(&self, name: &str) -> Option<&MethodEntry> {
        self.methods
            .iter()
            .find(|method| method.name.as_str() == name)
    }

    /// Returns the methods of the service.
    pub fn methods(&self) -> &[MethodEntry] {
        &self.methods
    }
}

impl CustomerEntry {
    /// Returns whether `key` is the customer's key; a customer without a key accepts any.
    pub fn verify_key(&self, key: &str) -> bool {
        self.key_sha256.is_none_or(|hash| hash.matches(key))
    }

    /// Returns the customer's limits for `method` of `service`, if it is allowed.
    pub fn allowance(&self, service: &ServiceEntry, method: &str) -> Option<&AllowanceEntry> {
        let allowance = self.plan.allowances.get(service.index)?.as_ref()?;
        let allowed = allowance.methods.iter().any(|name| name.as_str() == method);
        allowed.then_some(allowance)
    }
}

impl PlanEntry {
    /// Returns the allowance of the plan for the service at `index`.
    pub fn allowance_at(&self, index: usize) -> Option<&AllowanceEntry> {
        self.allowances.get(index)?.as_ref()
    }
}

/// Returns whether `path` has nothing that targets might interpret in different ways.
fn is_plain_path(path: &str) -> bool {
    let is_plain_segment = |segment: &str| {
        let bytes = segment.as_bytes();
        let encoded = bytes.windows(3).any(is_encoded_dot_or_slash);
        !matches!(segment, "." | "..") && !segment.contains('\\') && !encoded
    };
    path.starts_with('/') && path.split('/').all(is_plain_segment)
}

/// Returns whether the three bytes are `%2e`, `%2f` or `%5c` (`.`, `/`, `\`).
fn is_encoded_dot_or_slash(bytes: &[u8]) -> bool {
    let codes: [&[u8]; 3] = [b"%2e", b"%2f", b"%5c"];
    codes.iter().any(|code| bytes.eq_ignore_ascii_case(code))
}
