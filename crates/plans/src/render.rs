//! Writing the two lists as JSON with comments.
//!
//! The layout is fixed, one entry a line, so that a pulled pair compares well
//! under version control.

use std::fmt::Write;

use serde::Serialize;

use crate::lists::{ConfigLists, MethodSpec, ServiceSpec};

const PLANS_HEAD: &str = "// The customers and the plan that each holds.\n";
const ALLOWANCES_HEAD: &str = "// The services, and what each plan may use of them.\n";

/// The text of `plans.jsonc`.
pub fn render_plans(pair: &ConfigLists) -> String {
    let customers = &pair.plans.customers;
    let lines = customers.iter().map(|(name, customer)| {
        let mut line = format!("{}: {{ \"plan\": {}", quote(name), quote(&customer.plan));
        if let Some(hash) = &customer.key_sha256 {
            push(&mut line, format_args!(", \"key_sha256\": {}", quote(hash)));
        }
        line.push_str(" }");
        line
    });
    let customers = block(lines, 2);
    format!("{PLANS_HEAD}{{\n  \"customers\": {customers}\n}}\n")
}

/// The text of `allowances.jsonc`.
pub fn render_allowances(pair: &ConfigLists) -> String {
    let services = pair.allowances.services.iter();
    let services = services.map(|(name, rule)| format!("{}: {}", quote(name), service(rule)));
    let plans = pair.allowances.plans.iter().map(|(plan, allowances)| {
        let lines = allowances.iter().map(|(name, allowance)| {
            let methods = list(&allowance.methods);
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
    format!("{ALLOWANCES_HEAD}{{\n  \"services\": {services},\n  \"plans\": {plans}\n}}\n")
}

fn service(rule: &ServiceSpec) -> String {
    let methods = rule.methods.iter().map(|(name, method)| {
        let MethodSpec { idempotent } = method;
        format!("{}: {{ \"idempotent\": {idempotent} }}", quote(name))
    });
    let fields = [
        format!("\"path\": {}", quote(&rule.path)),
        format!("\"timeout_ms\": {}", rule.timeout_ms),
        format!("\"kind\": {}", quote(&rule.kind)),
        format!("\"methods\": {}", block(methods, 6)),
    ];
    block(fields.into_iter(), 4)
}

/// An object with one entry a line, whose own line is indented by `indent`.
fn block(lines: impl Iterator<Item = String>, indent: usize) -> String {
    let lines: Vec<String> = lines.collect();
    if lines.is_empty() {
        return "{}".to_owned();
    }
    let (outer, inner) = (" ".repeat(indent), " ".repeat(indent + 2));
    let body = lines.join(&format!(",\n{inner}"));
    format!("{{\n{inner}{body}\n{outer}}}")
}

fn list<T: ToString>(items: impl IntoIterator<Item = T>) -> String {
    let items: Vec<String> = items.into_iter().map(|item| quote(&item)).collect();
    items.join(", ")
}

/// `text` as a JSON string.
fn quote(text: &impl ToString) -> String {
    serde_json::Value::String(text.to_string()).to_string()
}

fn push(line: &mut String, arguments: std::fmt::Arguments<'_>) {
    line.write_fmt(arguments)
        .expect("writing to a string never fails");
}

/// The fields of `value`, one a line, without the empty ones; for diffs.
pub fn field_lines(value: &impl Serialize) -> String {
    let value = serde_json::to_value(value).expect("entries have text keys");
    let fields = value.as_object().into_iter().flatten();
    let filled = fields.filter(|(_, field)| !field.is_null());
    let lines: Vec<String> = filled
        .map(|(name, field)| format!("{name}: {field}\n"))
        .collect();
    lines.concat()
}

/// A commented pair of texts to start from.
pub fn template() -> (String, String) {
    (PLANS_TEMPLATE.to_owned(), ALLOWANCES_TEMPLATE.to_owned())
}

const PLANS_TEMPLATE: &str = include_str!("template/plans.jsonc");
const ALLOWANCES_TEMPLATE: &str = include_str!("template/allowances.jsonc");
