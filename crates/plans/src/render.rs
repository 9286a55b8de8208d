//! Renders the two lists as JSON with comments.
//!
//! The layout is fixed, with one entry per line, so that pulled lists give
//! small diffs under version control.

use std::fmt::Write;

use serde::Serialize;

use crate::lists::{ConfigLists, MethodSpec, ServiceSpec};

const PLANS_HEADER: &str = "// Customers and their plans.\n";
const ALLOWANCES_HEADER: &str = "// Services and the allowances of each plan.\n";

/// Renders `plans.jsonc`.
pub fn render_plans(lists: &ConfigLists) -> String {
    let customers = &lists.plans.customers;
    let lines = customers.iter().map(|(name, customer)| {
        let mut line = format!("{}: {{ \"plan\": {}", quote(name), quote(&customer.plan));
        if let Some(hash) = &customer.key_sha256 {
            push_formatted(&mut line, format_args!(", \"key_sha256\": {}", quote(hash)));
        }
        line.push_str(" }");
        line
    });
    let customers = block(lines, 2);
    format!("{PLANS_HEADER}{{\n  \"customers\": {customers}\n}}\n")
}

/// Renders `allowances.jsonc`.
pub fn render_allowances(lists: &ConfigLists) -> String {
    let services = lists.allowances.services.iter();
    let services =
        services.map(|(name, spec)| format!("{}: {}", quote(name), render_service(spec)));
    let plans = lists.allowances.plans.iter().map(|(plan, allowances)| {
        let lines = allowances.iter().map(|(name, allowance)| {
            let methods = array_items(&allowance.methods);
            let (rate, calls) = (allowance.rate_per_s, allowance.calls_at_once);
            format!(
                "{}: {{ \"methods\": [{methods}], \"rate_per_s\": {rate}, \"calls_at_once\": {calls} }}",
                quote(name)
            )
        });
        format!("{}: {}", quote(plan), block(lines, 4))
    });
    let services = block(services, 2);
    let plans = block(plans, 2);
    format!("{ALLOWANCES_HEADER}{{\n  \"services\": {services},\n  \"plans\": {plans}\n}}\n")
}

fn render_service(spec: &ServiceSpec) -> String {
    let methods = spec.methods.iter().map(|(name, method)| {
        let MethodSpec { idempotent } = method;
        format!("{}: {{ \"idempotent\": {idempotent} }}", quote(name))
    });
    let fields = [
        format!("\"path\": {}", quote(&spec.path)),
        format!("\"timeout_ms\": {}", spec.timeout_ms),
        format!("\"kind\": {}", quote(&spec.kind)),
        format!("\"methods\": {}", block(methods, 6)),
    ];
    block(fields.into_iter(), 4)
}

/// Formats an object with one entry per line, on a line indented by `indent`.
fn block(lines: impl Iterator<Item = String>, indent: usize) -> String {
    let lines: Vec<String> = lines.collect();
    if lines.is_empty() {
        return "{}".to_owned();
    }
    let (outer, inner) = (" ".repeat(indent), " ".repeat(indent + 2));
    let body = lines.join(&format!(",\n{inner}"));
    format!("{{\n{inner}{body}\n{outer}}}")
}

fn array_items<T: ToString>(items: impl IntoIterator<Item = T>) -> String {
    let items: Vec<String> = items.into_iter().map(|item| quote(&item)).collect();
    items.join(", ")
}

/// Formats `text` as a JSON string.
fn quote(text: &impl ToString) -> String {
    serde_json::Value::String(text.to_string()).to_string()
}

fn push_formatted(line: &mut String, arguments: std::fmt::Arguments<'_>) {
    line.write_fmt(arguments)
        .expect("writing to a string never fails");
}

/// Formats the non-null fields of `value`, one per line, for diffs.
pub fn field_lines(value: &impl Serialize) -> String {
    let value = serde_json::to_value(value).expect("entries have text keys");
    let fields = value.as_object().into_iter().flatten();
    let non_null = fields.filter(|(_, field)| !field.is_null());
    let lines: Vec<String> = non_null
        .map(|(name, field)| format!("{name}: {field}\n"))
        .collect();
    lines.concat()
}

/// Returns commented example texts of `plans.jsonc` and `allowances.jsonc`.
pub fn template() -> (String, String) {
    (PLANS_TEMPLATE.to_owned(), ALLOWANCES_TEMPLATE.to_owned())
}

const PLANS_TEMPLATE: &str = include_str!("template/plans.jsonc");
const ALLOWANCES_TEMPLATE: &str = include_str!("template/allowances.jsonc");
