//! Parser of the two lists, which are JSON with comments.
//!
//! Each file is first parsed on its own. If no entry was skipped, the content of
//! both is then validated by [`crate::check`], and its violations are mapped to
//! the line and column recorded while parsing.

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

/// Byte offset of each location in the text.
type LocationMap = BTreeMap<ListLocation, usize>;

/// Parses both lists, or returns all problems ordered by position.
pub fn parse_lists(plans_text: &str, allowances_text: &str) -> Result<ConfigLists> {
    let mut plans = FileReader::new(PLANS_FILE, plans_text);
    let mut allowances = FileReader::new(ALLOWANCES_FILE, allowances_text);
    let lists = ConfigLists {
        plans: plans.read_plans(),
        allowances: allowances.read_allowances(),
    };
    if plans.reader.is_complete() && allowances.reader.is_complete() {
        for violation in find_violations(&lists) {
            let file = if is_in_plans(&violation.location) {
                &mut plans
            } else {
                &mut allowances
            };
            file.report_violation(&violation.location, violation.message);
        }
    }
    let mut problems = plans.reader.into_problems();
    problems.extend(allowances.reader.into_problems());
    if problems.is_empty() {
        return Ok(lists);
    }
    Err(problems)
}

fn is_in_plans(location: &ListLocation) -> bool {
    matches!(
        location,
        ListLocation::Customers | ListLocation::CustomerPlan(_)
    )
}

/// Parses one file and records the offsets of its values.
struct FileReader<'a> {
    reader: DocumentReader<'a>,
    offsets: LocationMap,
}

impl<'a> FileReader<'a> {
    fn new(file: &'static str, text: &'a str) -> Self {
        Self {
            reader: DocumentReader::new(file, text),
            offsets: LocationMap::new(),
        }
    }

    fn record_location(&mut self, location: ListLocation, value: &Value<'_>) {
        self.offsets.insert(location, value.start());
    }

    fn report_violation(&mut self, location: &ListLocation, message: Box<str>) {
        let start = self.offsets.get(location).copied().unwrap_or(0);
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
        self.record_location(ListLocation::Customers, customers);
        for entry in self.reader.entries(customers, "customers") {
            if let Some((name, customer)) = self.read_customer(entry) {
                list.customers.insert(name, customer);
            }
        }
        list
    }

    fn read_customer(&mut self, entry: &ObjectProp<'_>) -> Option<(CustomerName, CustomerPlan)> {
        let name: Option<CustomerName> = self.reader.parse_name(entry);
        let subject = format!("customer \"{}\"", entry.name.as_str());
        let fields = self
            .reader
            .fields(&entry.value, &subject, &["plan", "key_sha256"]);
        let plan = self
            .reader
            .required(&fields, "plan", &subject, &entry.value);
        let key = fields.get("key_sha256");
        let key_sha256 = match key {
            None => None,
            Some(value) => Some(self.reader.parse_typed(value, "key_sha256")?),
        };
        let (name, plan) = (name?, plan?);
        self.record_location(ListLocation::CustomerPlan(name.clone()), plan);
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
            self.record_location(ListLocation::Services, services);
            for entry in self.reader.entries(services, "services") {
                if let Some((name, spec)) = self.read_service(entry) {
                    list.services.insert(name, spec);
                }
            }
        }
        let plans = self
            .reader
            .required(&fields, "plans", ALLOWANCES_FILE, &root);
        if let Some(plans) = plans {
            self.record_location(ListLocation::Plans, plans);
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
        let subject = format!("service \"{name}\"");
        let object = &entry.value;
        let known = ["path", "timeout_ms", "kind", "methods"];
        let fields = self.reader.fields(object, &subject, &known);
        let path = self.reader.required(&fields, "path", &subject, object);
        let timeout = self
            .reader
            .required(&fields, "timeout_ms", &subject, object);
        let methods = self.reader.required(&fields, "methods", &subject, object);
        let kind = match fields.get("kind") {
            None => Some(ServiceKind::default()),
            Some(value) => self.reader.parse_typed(value, "kind"),
        };
        let path = path.and_then(|value| {
            self.record_location(ListLocation::ServicePath(name.clone()), value);
            self.reader.string(value, "path")
        });
        let timeout_ms = timeout.and_then(|value| {
            self.record_location(ListLocation::ServiceTimeout(name.clone()), value);
            self.reader.whole_number(value, "timeout_ms")
        });
        let methods = methods.map(|value| self.read_methods(&name, value));
        let spec = ServiceSpec {
            path: path?.into(),
            timeout_ms: timeout_ms?,
            kind: kind?,
            methods: methods?,
        };
        Some((name, spec))
    }

    fn read_methods(
        &mut self,
        service: &ServiceName,
        value: &Value<'_>,
    ) -> BTreeMap<MethodName, MethodSpec> {
        self.record_location(ListLocation::ServiceMethods(service.clone()), value);
        let mut methods = BTreeMap::new();
        for entry in self.reader.entries(value, "methods") {
            if let Some((name, spec)) = self.read_method(service, entry) {
                methods.insert(name, spec);
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
        let location = ListLocation::ServiceMethod(service.clone(), name.clone());
        self.offsets.insert(location, entry.start());
        let subject = format!("method \"{name}\"");
        let fields = self.reader.fields(&entry.value, &subject, &["idempotent"]);
        let idempotent = self
            .reader
            .required(&fields, "idempotent", &subject, &entry.value)?;
        let idempotent = self.reader.boolean(idempotent, "idempotent")?;
        Some((name, MethodSpec { idempotent }))
    }

    fn read_plan(
        &mut self,
        entry: &ObjectProp<'_>,
    ) -> Option<(PlanName, BTreeMap<ServiceName, PlanAllowance>)> {
        let plan: PlanName = self.reader.parse_name(entry)?;
        self.offsets
            .insert(ListLocation::Plan(plan.clone()), entry.start());
        let mut allowances = BTreeMap::new();
        let subject = format!("plan \"{plan}\"");
        for entry in self.reader.entries(&entry.value, &subject) {
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
        let location = ListLocation::Allowance(plan_name, service_name);
        self.offsets.insert(location, entry.start());
        let subject = format!("allowance of plan \"{plan}\" for service \"{service}\"");
        let object = &entry.value;
        let known = ["methods", "rate_per_s", "calls_at_once"];
        let fields = self.reader.fields(object, &subject, &known);
        let methods = self.reader.required(&fields, "methods", &subject, object);
        let rate = self
            .reader
            .required(&fields, "rate_per_s", &subject, object);
        let calls = self
            .reader
            .required(&fields, "calls_at_once", &subject, object);
        let methods = methods.map(|value| self.read_method_names(plan, &service, value));
        let rate_per_s = rate.and_then(|value| {
            let (plan, service) = names();
            self.record_location(ListLocation::AllowanceRate(plan, service), value);
            self.reader.whole_number(value, "rate_per_s")
        });
        let calls_at_once = calls.and_then(|value| {
            let (plan, service) = names();
            self.record_location(ListLocation::AllowanceCalls(plan, service), value);
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
        let location = ListLocation::AllowanceMethods(plan.clone(), service.clone());
        self.record_location(location, value);
        let mut names = BTreeSet::new();
        for element in self.reader.elements(value, "methods") {
            let name: Option<MethodName> = self.reader.parse_typed(element, "methods");
            let Some(name) = name else { continue };
            let (plan, service) = (plan.clone(), service.clone());
            let location = ListLocation::AllowanceMethod(plan, service, name.clone());
            self.record_location(location, element);
            if !names.insert(name.clone()) {
                let message = format!("method \"{name}\" is listed twice");
                self.reader.add_problem(element.start(), message);
            }
        }
        names
    }
}
