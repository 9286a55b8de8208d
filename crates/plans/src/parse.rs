//! Reading the two lists from JSON with comments.
//!
//! Each file is read on its own first. Rules over both files are then judged
//! by [`crate::check`], and its faults are traced back to the line and column
//! remembered while reading.

use std::collections::{BTreeMap, BTreeSet};

use jsonc_parser::ast::{ObjectProp, Value};
use jsonc_parser::common::Ranged;
use model::{CustomerName, MethodName, PlanName, ServiceName};

use crate::check::{ListLocation, find_violations};
use crate::lists::{
    ALLOWANCES_FILE, AllowanceList, ConfigLists, CustomerPlan, MethodSpec, PLANS_FILE,
    PlanAllowance, PlanList, Result, ServiceKind, ServiceSpec,
};
use crate::reader::DocumentReader;

/// Byte of the text at which each part of the lists stands.
type LocationMap = BTreeMap<ListLocation, usize>;

/// Reads both lists, or tells every mistake in order of position.
pub fn parse_lists(plans_text: &str, allowances_text: &str) -> Result<ConfigLists> {
    let mut plans = FileReader::new(PLANS_FILE, plans_text);
    let mut allowances = FileReader::new(ALLOWANCES_FILE, allowances_text);
    let pair = ConfigLists {
        plans: plans.read_plans(),
        allowances: allowances.read_allowances(),
    };
    if plans.reader.is_complete() && allowances.reader.is_complete() {
        for fault in find_violations(&pair) {
            let file = if is_in_plans(&fault.location) {
                &mut plans
            } else {
                &mut allowances
            };
            file.note_fault(&fault.location, fault.message);
        }
    }
    let mut problems = plans.reader.into_problems();
    problems.extend(allowances.reader.into_problems());
    if problems.is_empty() {
        return Ok(pair);
    }
    Err(problems)
}

fn is_in_plans(location: &ListLocation) -> bool {
    matches!(
        location,
        ListLocation::Customers | ListLocation::CustomerPlan(_)
    )
}

/// Reads one list and remembers where its parts stand.
struct FileReader<'a> {
    reader: DocumentReader<'a>,
    places: LocationMap,
}

impl<'a> FileReader<'a> {
    fn new(file: &'static str, text: &'a str) -> Self {
        Self {
            reader: DocumentReader::new(file, text),
            places: LocationMap::new(),
        }
    }

    fn remember(&mut self, place: ListLocation, value: &Value<'_>) {
        self.places.insert(place, value.start());
    }

    fn note_fault(&mut self, location: &ListLocation, message: Box<str>) {
        let start = self.places.get(location).copied().unwrap_or(0);
        self.reader.add_problem(start, message);
    }

    fn read_plans(&mut self) -> PlanList {
        let mut list = PlanList::default();
        let Some(root) = self.reader.root() else {
            return list;
        };
        let fields = self.reader.fields(&root, PLANS_FILE, &["customers"]);
        let customers = self
            .reader
            .required(&fields, "customers", PLANS_FILE, &root);
        let Some(customers) = customers else {
            return list;
        };
        self.remember(ListLocation::Customers, customers);
        for entry in self.reader.entries(customers, "customers") {
            if let Some((name, customer)) = self.read_customer(entry) {
                list.customers.insert(name, customer);
            }
        }
        list
    }

    fn read_customer(&mut self, entry: &ObjectProp<'_>) -> Option<(CustomerName, CustomerPlan)> {
        let name: Option<CustomerName> = self.reader.parse_name(entry);
        let what = format!("customer \"{}\"", entry.name.as_str());
        let fields = self
            .reader
            .fields(&entry.value, &what, &["plan", "key_sha256"]);
        let plan = self.reader.required(&fields, "plan", &what, &entry.value);
        let key = fields.get("key_sha256");
        let key_sha256 = match key {
            None => None,
            Some(value) => Some(self.reader.parse_typed(value, "key_sha256")?),
        };
        let (name, plan) = (name?, plan?);
        self.remember(ListLocation::CustomerPlan(name.clone()), plan);
        let plan = self.reader.parse_typed(plan, "plan")?;
        Some((name, CustomerPlan { plan, key_sha256 }))
    }

    fn read_allowances(&mut self) -> AllowanceList {
        let mut list = AllowanceList::default();
        let Some(root) = self.reader.root() else {
            return list;
        };
        let known = ["services", "plans"];
        let fields = self.reader.fields(&root, ALLOWANCES_FILE, &known);
        let services = self
            .reader
            .required(&fields, "services", ALLOWANCES_FILE, &root);
        if let Some(services) = services {
            self.remember(ListLocation::Services, services);
            for entry in self.reader.entries(services, "services") {
                if let Some((name, rule)) = self.read_service(entry) {
                    list.services.insert(name, rule);
                }
            }
        }
        let plans = self
            .reader
            .required(&fields, "plans", ALLOWANCES_FILE, &root);
        if let Some(plans) = plans {
            self.remember(ListLocation::Plans, plans);
            for entry in self.reader.entries(plans, "plans") {
                if let Some((name, allowances)) = self.read_plan(entry) {
                    list.plans.insert(name, allowances);
                }
            }
        }
        list
    }

    fn read_service(&mut self, entry: &ObjectProp<'_>) -> Option<(ServiceName, ServiceSpec)> {
        let name: ServiceName = self.reader.parse_name(entry)?;
        let what = format!("service \"{name}\"");
        let owner = &entry.value;
        let known = ["path", "timeout_ms", "kind", "methods"];
        let fields = self.reader.fields(owner, &what, &known);
        let path = self.reader.required(&fields, "path", &what, owner);
        let timeout = self.reader.required(&fields, "timeout_ms", &what, owner);
        let methods = self.reader.required(&fields, "methods", &what, owner);
        let kind = match fields.get("kind") {
            None => Some(ServiceKind::default()),
            Some(value) => self.reader.parse_typed(value, "kind"),
        };
        let path = path.and_then(|value| {
            self.remember(ListLocation::ServicePath(name.clone()), value);
            self.reader.string(value, "path")
        });
        let timeout_ms = timeout.and_then(|value| {
            self.remember(ListLocation::ServiceTimeout(name.clone()), value);
            self.reader.whole_number(value, "timeout_ms")
        });
        let methods = methods.map(|value| self.read_methods(&name, value));
        let rule = ServiceSpec {
            path: path?.into(),
            timeout_ms: timeout_ms?,
            kind: kind?,
            methods: methods?,
        };
        Some((name, rule))
    }

    fn read_methods(
        &mut self,
        service: &ServiceName,
        value: &Value<'_>,
    ) -> BTreeMap<MethodName, MethodSpec> {
        self.remember(ListLocation::ServiceMethods(service.clone()), value);
        let mut methods = BTreeMap::new();
        for entry in self.reader.entries(value, "methods") {
            if let Some((name, rule)) = self.read_method(service, entry) {
                methods.insert(name, rule);
            }
        }
        methods
    }

    fn read_method(
        &mut self,
        service: &ServiceName,
        entry: &ObjectProp<'_>,
    ) -> Option<(MethodName, MethodSpec)> {
        let name: MethodName = self.reader.parse_name(entry)?;
        let place = ListLocation::ServiceMethod(service.clone(), name.clone());
        self.places.insert(place, entry.start());
        let what = format!("method \"{name}\"");
        let fields = self.reader.fields(&entry.value, &what, &["idempotent"]);
        let idempotent = self
            .reader
            .required(&fields, "idempotent", &what, &entry.value)?;
        let idempotent = self.reader.boolean(idempotent, "idempotent")?;
        Some((name, MethodSpec { idempotent }))
    }

    fn read_plan(
        &mut self,
        entry: &ObjectProp<'_>,
    ) -> Option<(PlanName, BTreeMap<ServiceName, PlanAllowance>)> {
        let plan: PlanName = self.reader.parse_name(entry)?;
        self.places
            .insert(ListLocation::Plan(plan.clone()), entry.start());
        let mut allowances = BTreeMap::new();
        let what = format!("plan \"{plan}\"");
        for entry in self.reader.entries(&entry.value, &what) {
            if let Some((service, allowance)) = self.read_allowance(&plan, entry) {
                allowances.insert(service, allowance);
            }
        }
        Some((plan, allowances))
    }

    fn read_allowance(
        &mut self,
        plan: &PlanName,
        entry: &ObjectProp<'_>,
    ) -> Option<(ServiceName, PlanAllowance)> {
        let service: ServiceName = self.reader.parse_name(entry)?;
        let names = || (plan.clone(), service.clone());
        let (plan_name, service_name) = names();
        let place = ListLocation::Allowance(plan_name, service_name);
        self.places.insert(place, entry.start());
        let what = format!("allowance of plan \"{plan}\" for service \"{service}\"");
        let owner = &entry.value;
        let known = ["methods", "rate_per_s", "calls_at_once"];
        let fields = self.reader.fields(owner, &what, &known);
        let methods = self.reader.required(&fields, "methods", &what, owner);
        let rate = self.reader.required(&fields, "rate_per_s", &what, owner);
        let calls = self.reader.required(&fields, "calls_at_once", &what, owner);
        let methods = methods.map(|value| self.read_method_names(plan, &service, value));
        let rate_per_s = rate.and_then(|value| {
            let (plan, service) = names();
            self.remember(ListLocation::AllowanceRate(plan, service), value);
            self.reader.whole_number(value, "rate_per_s")
        });
        let calls_at_once = calls.and_then(|value| {
            let (plan, service) = names();
            self.remember(ListLocation::AllowanceCalls(plan, service), value);
            self.reader.whole_number(value, "calls_at_once")
        });
        let allowance = PlanAllowance {
            methods: methods?,
            rate_per_s: rate_per_s?,
            calls_at_once: calls_at_once?,
        };
        Some((service, allowance))
    }

    fn read_method_names(
        &mut self,
        plan: &PlanName,
        service: &ServiceName,
        value: &Value<'_>,
    ) -> BTreeSet<MethodName> {
        let place = ListLocation::AllowanceMethods(plan.clone(), service.clone());
        self.remember(place, value);
        let mut names = BTreeSet::new();
        for element in self.reader.elements(value, "methods") {
            let name: Option<MethodName> = self.reader.parse_typed(element, "methods");
            let Some(name) = name else { continue };
            let (plan, service) = (plan.clone(), service.clone());
            let place = ListLocation::AllowanceMethod(plan, service, name.clone());
            self.remember(place, element);
            if !names.insert(name.clone()) {
                let message = format!("method \"{name}\" stands twice");
                self.reader.add_problem(element.start(), message);
            }
        }
        names
    }
}
