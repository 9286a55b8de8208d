//! Entries: the units in which the lists are edited.
//!
//! Two changes conflict only if they edit the same entry, so entries are
//! small: one customer, one service, or the allowance of one plan for one
//! service.

use std::collections::BTreeMap;

use derive_more::Display;
use model::{CustomerName, PlanName, ServiceName};
use serde::{Deserialize, Serialize};
use similar::TextDiff;

use crate::lists::{ConfigLists, CustomerPlan, PlanAllowance, ServiceSpec};
use crate::render::field_lines;

/// Identifies an entry.
#[derive(Clone, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum EntryName {
    /// A customer.
    #[display("customer {_0}")]
    Customer(CustomerName),
    /// A service.
    #[display("service {_0}")]
    Service(ServiceName),
    /// The allowance of a plan for a service.
    #[display("allowance of plan {plan} for service {service}")]
    Allowance {
        /// Name of the plan.
        plan: PlanName,
        /// Name of the service.
        service: ServiceName,
    },
}

/// Value of an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum EntryValue {
    /// Value of a customer.
    Customer(CustomerPlan),
    /// Value of a service.
    Service(ServiceSpec),
    /// Value of an allowance.
    Allowance(PlanAllowance),
}

/// Sets or removes an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntryEdit {
    /// Entry to edit.
    pub entry: EntryName,
    /// New value; `None` removes the entry.
    pub after: Option<EntryValue>,
}

impl EntryEdit {
    /// Returns whether the value has the same kind as the entry.
    pub fn is_well_typed(&self) -> bool {
        matches!(
            (&self.entry, &self.after),
            (_, None)
                | (EntryName::Customer(_), Some(EntryValue::Customer(_)))
                | (EntryName::Service(_), Some(EntryValue::Service(_)))
                | (EntryName::Allowance { .. }, Some(EntryValue::Allowance(_)))
        )
    }
}

impl ConfigLists {
    /// Returns the value of `entry`.
    pub fn entry(&self, entry: &EntryName) -> Option<EntryValue> {
        match entry {
            EntryName::Customer(name) => {
                let found = self.plans.customers.get(name);
                found.cloned().map(EntryValue::Customer)
            }
            EntryName::Service(name) => {
                let found = self.allowances.services.get(name);
                found.cloned().map(EntryValue::Service)
            }
            EntryName::Allowance { plan, service } => {
                let found = self.allowances.plans.get(plan);
                let found = found.and_then(|allowances| allowances.get(service));
                found.cloned().map(EntryValue::Allowance)
            }
        }
    }

    /// Applies `edit`; does nothing if it is not well-typed.
    pub fn set_entry(&mut self, edit: &EntryEdit) {
        match (&edit.entry, &edit.after) {
            (EntryName::Customer(name), Some(EntryValue::Customer(value))) => {
                let customers = &mut self.plans.customers;
                customers.insert(name.clone(), value.clone());
            }
            (EntryName::Customer(name), None) => {
                self.plans.customers.remove(name);
            }
            (EntryName::Service(name), Some(EntryValue::Service(value))) => {
                let services = &mut self.allowances.services;
                services.insert(name.clone(), value.clone());
            }
            (EntryName::Service(name), None) => {
                self.allowances.services.remove(name);
            }
            (EntryName::Allowance { plan, service }, Some(EntryValue::Allowance(value))) => {
                let plans = &mut self.allowances.plans;
                let allowances = plans.entry(plan.clone()).or_default();
                allowances.insert(service.clone(), value.clone());
            }
            (EntryName::Allowance { plan, service }, None) => self.remove_allowance(plan, service),
            _ => {}
        }
    }

    /// Removes an allowance, and the plan itself if it was its last one.
    fn remove_allowance(&mut self, plan: &PlanName, service: &ServiceName) {
        let plans = &mut self.allowances.plans;
        let Some(allowances) = plans.get_mut(plan) else {
            return;
        };
        allowances.remove(service);
        if allowances.is_empty() {
            plans.remove(plan);
        }
    }

    /// Returns all entries with their values.
    pub fn entries(&self) -> BTreeMap<EntryName, EntryValue> {
        let customers = self.plans.customers.iter().map(|(name, value)| {
            let entry = EntryName::Customer(name.clone());
            (entry, EntryValue::Customer(value.clone()))
        });
        let services = self.allowances.services.iter().map(|(name, value)| {
            let entry = EntryName::Service(name.clone());
            (entry, EntryValue::Service(value.clone()))
        });
        let plans = self.allowances.plans.iter();
        let allowances = plans.flat_map(|(plan, allowances)| {
            allowances.iter().map(|(service, value)| {
                let (plan, service) = (plan.clone(), service.clone());
                let entry = EntryName::Allowance { plan, service };
                (entry, EntryValue::Allowance(value.clone()))
            })
        });
        customers.chain(services).chain(allowances).collect()
    }

    /// Returns the edits that turn these lists into `wanted`, ordered by entry.
    pub fn edits_to(&self, wanted: &Self) -> Vec<EntryEdit> {
        let before = self.entries();
        let after = wanted.entries();
        let removed = before.keys().filter(|entry| !after.contains_key(entry));
        let removed = removed.map(|entry| EntryEdit {
            entry: entry.clone(),
            after: None,
        });
        let written = after
            .iter()
            .filter(|(entry, value)| before.get(entry) != Some(value));
        let written = written.map(|(entry, value)| EntryEdit {
            entry: entry.clone(),
            after: Some(value.clone()),
        });
        let mut edits: Vec<EntryEdit> = removed.chain(written).collect();
        edits.sort_by(|a, b| a.entry.cmp(&b.entry));
        edits
    }
}

/// Returns a line diff between two values of an entry.
pub fn diff_entry(
    entry: &EntryName,
    before: Option<&EntryValue>,
    after: Option<&EntryValue>,
) -> String {
    let (before, after) = (value_text(before), value_text(after));
    let diff = TextDiff::from_lines(&before, &after);
    let lines = diff.iter_all_changes();
    let lines: Vec<String> = lines
        .map(|line| format!("  {} {}", line.tag(), line.value()))
        .collect();
    format!("{entry}:\n{}", lines.concat())
}

/// Formats a value with one field per line; empty if the entry does not exist.
fn value_text(value: Option<&EntryValue>) -> String {
    match value {
        None => String::new(),
        Some(EntryValue::Customer(customer)) => field_lines(customer),
        Some(EntryValue::Service(spec)) => field_lines(spec),
        Some(EntryValue::Allowance(allowance)) => field_lines(allowance),
    }
}
