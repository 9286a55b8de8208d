//! Entries: the parts of the lists that operators change one by one.
//!
//! Two changes clash only if they touch the same entry, so entries are small:
//! one customer, one service, or what one plan may use of one service.

use std::collections::BTreeMap;

use derive_more::Display;
use model::{CustomerName, PlanName, ServiceName};
use serde::{Deserialize, Serialize};
use similar::TextDiff;

use crate::lists::{ConfigLists, CustomerPlan, PlanAllowance, ServiceSpec};
use crate::render::field_lines;

/// Which entry.
#[derive(Clone, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum EntryName {
    /// A customer.
    #[display("customer {_0}")]
    Customer(CustomerName),
    /// A service.
    #[display("service {_0}")]
    Service(ServiceName),
    /// What a plan may use of a service.
    #[display("allowance of plan {plan} for service {service}")]
    Allowance {
        /// The plan.
        plan: PlanName,
        /// The service.
        service: ServiceName,
    },
}

/// What an entry holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum EntryValue {
    /// A customer's plan.
    Customer(CustomerPlan),
    /// A service's rule.
    Service(ServiceSpec),
    /// A plan's allowance.
    Allowance(PlanAllowance),
}

/// A new value for an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntryEdit {
    /// The entry.
    pub entry: EntryName,
    /// The value that it gets; none removes it.
    pub after: Option<EntryValue>,
}

impl EntryEdit {
    /// Whether the value is of the entry's kind.
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
    /// What `entry` holds.
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

    /// Gives an entry a new value; an edit that is not sound changes nothing.
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

    /// Removes an allowance, and its plan with the last one.
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

    /// Every entry with its value.
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

    /// The edits that turn this pair into `wanted`, in order of entry.
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

/// The lines in which an entry's two values differ, as in a unified diff.
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

/// The value, a field a line; nothing for an entry that is not there.
fn value_text(value: Option<&EntryValue>) -> String {
    match value {
        None => String::new(),
        Some(EntryValue::Customer(customer)) => field_lines(customer),
        Some(EntryValue::Service(rule)) => field_lines(rule),
        Some(EntryValue::Allowance(allowance)) => field_lines(allowance),
    }
}
