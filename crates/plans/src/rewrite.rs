//! Updates the text of the lists without losing its comments.
//!
//! Only values that differ are replaced; the order, layout and comments of
//! everything else are preserved.

use jsonc_parser::ParseOptions;
use jsonc_parser::cst::{CstInputValue, CstNode, CstObject, CstRootNode};
use jsonc_parser::parse_to_serde_value;
use serde_json::{Map, Value};

use crate::depth::find_too_deep;
use crate::lists::ConfigLists;

/// Optional field and its default value.
const DEFAULT_FIELD: (&str, &str) = ("kind", "report");

/// Updates the given texts to parse to `wanted`, with as few changes as possible.
///
/// Falls back to newly rendered texts if the given ones can't be updated.
pub fn rewrite_texts(plans: &str, allowances: &str, wanted: &ConfigLists) -> (String, String) {
    let rewritten = rewrite(plans, &wanted.plans).zip(rewrite(allowances, &wanted.allowances));
    let is_correct = |(plans, allowances): &(String, String)| {
        ConfigLists::parse(plans, allowances).as_ref() == Ok(wanted)
    };
    rewritten
        .filter(is_correct)
        .unwrap_or_else(|| wanted.render())
}

fn rewrite(text: &str, wanted: &impl serde::Serialize) -> Option<String> {
    if find_too_deep(text).is_some() {
        return None;
    }
    let root = CstRootNode::parse(text, &ParseOptions::default()).ok()?;
    let Value::Object(fields) = serde_json::to_value(wanted).ok()? else {
        return None;
    };
    merge_object(&root.object_value()?, &fields);
    Some(root.to_string())
}

/// Updates `object` to have exactly the fields of `wanted`.
fn merge_object(object: &CstObject, wanted: &Map<String, Value>) {
    for property in object.properties() {
        let name = property.name().and_then(|name| name.decoded_value().ok());
        let kept = name.is_some_and(|name| wanted.get(&name).is_some_and(|value| !value.is_null()));
        if !kept {
            property.remove();
        }
    }
    for (name, value) in wanted {
        merge_field(object, name, value);
    }
}

fn merge_field(object: &CstObject, name: &str, wanted: &Value) {
    let Some(property) = object.get(name) else {
        if !wanted.is_null() && !is_default(name, wanted) {
            object.append(name, input_value(wanted));
        }
        return;
    };
    let inner = property.object_value();
    if let (Some(inner), Value::Object(fields)) = (inner, wanted) {
        merge_object(&inner, fields);
        return;
    }
    let unchanged = property
        .value()
        .is_some_and(|value| is_equal(&value, wanted));
    if !unchanged {
        property.set_value(input_value(wanted));
    }
}

fn is_default(name: &str, wanted: &Value) -> bool {
    (name, wanted.as_str()) == (DEFAULT_FIELD.0, Some(DEFAULT_FIELD.1))
}

/// Returns whether `node` is equal to `wanted`, ignoring the order of arrays.
fn is_equal(node: &CstNode, wanted: &Value) -> bool {
    let parsed = parse_to_serde_value(&node.to_string(), &ParseOptions::default());
    let Ok(Some(current)) = parsed else {
        return false;
    };
    match (&current, wanted) {
        (Value::Array(current), Value::Array(wanted)) => {
            let contains = |value| current.contains(value);
            current.len() == wanted.len() && wanted.iter().all(contains)
        }
        _ => current == *wanted,
    }
}

fn input_value(value: &Value) -> CstInputValue {
    match value {
        Value::Null => CstInputValue::Null,
        Value::Bool(value) => CstInputValue::Bool(*value),
        Value::Number(value) => CstInputValue::Number(value.to_string()),
        Value::String(value) => CstInputValue::String(value.clone()),
        Value::Array(values) => CstInputValue::Array(values.iter().map(input_value).collect()),
        Value::Object(fields) => {
            let fields = fields.iter().filter(|(_, value)| !value.is_null());
            let fields = fields.map(|(name, value)| (name.clone(), input_value(value)));
            CstInputValue::Object(fields.collect())
        }
    }
}
