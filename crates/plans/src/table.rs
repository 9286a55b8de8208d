//! The configuration as a proxy uses it.
//!
//! A [`RouteTable`] is built once for each version, whole, and never changed;
//! a running call keeps the one that it began with. A route holds its
//! service, so a route without a service cannot be built. Lookups allocate
//! nothing.

mod build;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use model::{
    CallCount, CallRate, ConfigVersion, CustomerName, ErrorKind, KindError, MethodName, PlanName,
    ServiceName,
};

use crate::lists::{KeyHash, ServiceKind};

/// Results of looking a call up.
///
/// Kinds: `RouteUnknown`, `MethodUnknown`, `CustomerUnknown`, `PlanForbids`.
pub type Result<T> = model::Result<T>;

/// Services, routes and customers of one version.
#[derive(Debug)]
pub struct RouteTable {
    version: ConfigVersion,
    services: Box<[Arc<ServiceEntry>]>,
    routes: HashMap<Box<str>, RouteEntry>,
    customers: HashMap<Box<str>, CustomerEntry>,
}

/// A service.
#[derive(Debug)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: ServiceName,
    /// Place of the service in the table, from 0.
    pub index: usize,
    /// Longest time for one call.
    pub timeout: Duration,
    /// What the calls are, which decides the order of shedding.
    pub kind: ServiceKind,
    methods: Box<[MethodEntry]>,
}

/// A method of a service.
#[derive(Clone, Debug)]
pub struct MethodEntry {
    /// Name of the method.
    pub name: MethodName,
    /// Whether running a call twice has the effect of running it once.
    pub idempotent: bool,
}

/// A path and the service to which its calls go.
#[derive(Clone, Debug)]
pub struct RouteEntry {
    /// The path.
    pub path: Box<str>,
    /// The service.
    pub service: Arc<ServiceEntry>,
}

/// A customer.
#[derive(Debug)]
pub struct CustomerEntry {
    /// Name of the customer.
    pub name: CustomerName,
    /// The plan that it holds.
    pub plan: Arc<PlanEntry>,
    key_sha256: Option<KeyHash>,
}

/// A plan.
#[derive(Debug)]
pub struct PlanEntry {
    /// Name of the plan.
    pub name: PlanName,
    /// What the plan may use, by the index of the service.
    allowances: Box<[Option<AllowanceEntry>]>,
}

/// What a plan may use of a service.
#[derive(Clone, Debug)]
pub struct AllowanceEntry {
    /// Calls a second, for each customer of the plan.
    pub rate: CallRate,
    /// Calls at once, for each customer of the plan.
    pub calls_at_once: CallCount,
    methods: Box<[MethodName]>,
}

/// A call that the configuration allows.
#[derive(Clone, Copy, Debug)]
pub struct CallGrant<'a> {
    /// Who calls.
    pub customer: &'a CustomerEntry,
    /// Where the call goes.
    pub service: &'a Arc<ServiceEntry>,
    /// The method.
    pub method: &'a MethodEntry,
    /// How much of the service the customer may use.
    pub allowance: &'a AllowanceEntry,
}

impl RouteTable {
    /// The version of the configuration.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Every service, in order of name.
    pub fn services(&self) -> &[Arc<ServiceEntry>] {
        &self.services
    }

    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceEntry>> {
        let found = self
            .services
            .binary_search_by(|entry| entry.name.as_str().cmp(name));
        found.ok().map(|index| &self.services[index])
    }

    /// The route of the longest path that encloses `path`, whole segments only.
    ///
    /// A query is left out of account. None for a path with `.`, `..` or
    /// encoded separators, which a target might read as another path.
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

    /// The customer of that name.
    pub fn customer(&self, name: &str) -> Option<&CustomerEntry> {
        self.customers.get(name)
    }

    /// How many customers there are.
    pub fn customer_count(&self) -> usize {
        self.customers.len()
    }

    /// Judges a call; `key` is what the customer showed, empty if nothing.
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
            let detail = "no service has this path";
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
    /// The method of that name.
    pub fn method(&self, name: &str) -> Option<&MethodEntry> {
        self.methods
            .iter()
            .find(|method| method.name.as_str() == name)
    }

    /// The methods offered.
    pub fn methods(&self) -> &[MethodEntry] {
        &self.methods
    }
}

impl CustomerEntry {
    /// Whether `key` is the customer's key; any key will do for a customer without one.
    pub fn verify_key(&self, key: &str) -> bool {
        self.key_sha256.is_none_or(|hash| hash.matches(key))
    }

    /// What the customer may use of `service` with `method`.
    pub fn allowance(&self, service: &ServiceEntry, method: &str) -> Option<&AllowanceEntry> {
        let allowance = self.plan.allowances.get(service.index)?.as_ref()?;
        let allowed = allowance.methods.iter().any(|name| name.as_str() == method);
        allowed.then_some(allowance)
    }
}

impl PlanEntry {
    /// What the plan may use of the service at `index`.
    pub fn allowance_at(&self, index: usize) -> Option<&AllowanceEntry> {
        self.allowances.get(index)?.as_ref()
    }
}

/// Whether every reader of `path` finds the same segments in it.
fn is_plain_path(path: &str) -> bool {
    let plain_segment = |segment: &str| {
        let bytes = segment.as_bytes();
        let encoded = bytes.windows(3).any(is_encoded_separator);
        !matches!(segment, "." | "..") && !segment.contains('\\') && !encoded
    };
    path.starts_with('/') && path.split('/').all(plain_segment)
}

/// Whether the three bytes are `%2e`, `%2f` or `%5c` (`.`, `/`, `\`).
fn is_encoded_separator(bytes: &[u8]) -> bool {
    let separators: [&[u8]; 3] = [b"%2e", b"%2f", b"%5c"];
    separators
        .iter()
        .any(|code| bytes.eq_ignore_ascii_case(code))
}
