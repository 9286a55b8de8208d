//! Builds the table: services first, then everything that refers to them.

use std::collections::HashMap;
use std::sync::Arc;

use model::{CallCount, CallRate, ConfigVersion, CustomerName, PlanName, ServiceName};

use super::ServiceEntry;
use super::{AllowanceEntry, CustomerEntry, MethodEntry, PlanEntry, RouteEntry, RouteTable};
use crate::lists::{AllowanceList, ConfigLists, CustomerPlan, PlanAllowance, ServiceSpec};
use crate::state::ConfigState;

impl RouteTable {
    /// Builds the table of the lists in force.
    pub fn build(state: &ConfigState) -> Self {
        Self::from_lists(state.version(), state.lists())
    }

    /// Builds the table of `lists`; skips entries that refer to an undefined service or plan.
    pub fn from_lists(version: ConfigVersion, lists: &ConfigLists) -> Self {
        let services = build_services(&lists.allowances);
        let routes = build_routes(&lists.allowances, &services);
        let plans = build_plans(&lists.allowances, &services);
        let customers = lists.plans.customers.iter().filter_map(|(name, customer)| {
            let plan = plans.get(&customer.plan)?;
            let entry = build_customer(name, customer, plan);
            Some((name.as_str().into(), entry))
        });
        Self {
            version,
            routes,
            customers: customers.collect(),
            services,
        }
    }
}

fn build_services(list: &AllowanceList) -> Box<[Arc<ServiceEntry>]> {
    let services = list.services.iter().enumerate();
    services
        .map(|(index, (name, spec))| Arc::new(build_service(index, name, spec)))
        .collect()
}

fn build_service(index: usize, name: &ServiceName, spec: &ServiceSpec) -> ServiceEntry {
    let methods = spec.methods.iter().map(|(name, method)| MethodEntry {
        name: name.clone(),
        idempotent: method.idempotent,
    });
    ServiceEntry {
        name: name.clone(),
        index,
        timeout: spec.timeout(),
        kind: spec.kind,
        methods: methods.collect(),
    }
}

fn build_routes(
    list: &AllowanceList,
    services: &[Arc<ServiceEntry>],
) -> HashMap<Box<str>, RouteEntry> {
    let pairs = list.services.values().zip(services);
    let routes = pairs.map(|(spec, service)| {
        let route = RouteEntry {
            path: spec.path.clone(),
            service: Arc::clone(service),
        };
        (spec.path.clone(), route)
    });
    routes.collect()
}

fn build_plans<'a>(
    list: &'a AllowanceList,
    services: &[Arc<ServiceEntry>],
) -> HashMap<&'a PlanName, Arc<PlanEntry>> {
    let plans = list.plans.iter().map(|(name, allowances)| {
        let entries = services.iter().map(|service| {
            let allowance = allowances.get(&service.name)?;
            Some(build_allowance(allowance))
        });
        let plan = PlanEntry {
            name: name.clone(),
            allowances: entries.collect(),
        };
        (name, Arc::new(plan))
    });
    plans.collect()
}

fn build_allowance(allowance: &PlanAllowance) -> AllowanceEntry {
    AllowanceEntry {
        rate: CallRate(allowance.rate_per_s.into()),
        calls_at_once: CallCount(allowance.calls_at_once),
        methods: allowance.methods.iter().cloned().collect(),
    }
}

fn build_customer(
    name: &CustomerName,
    customer: &CustomerPlan,
    plan: &Arc<PlanEntry>,
) -> CustomerEntry {
    CustomerEntry {
        name: name.clone(),
        plan: Arc::clone(plan),
        key_sha256: customer.key_sha256,
    }
}
