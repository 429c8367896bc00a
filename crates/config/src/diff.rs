//! Field-by-field comparison of two configurations.

use std::collections::BTreeSet;
use std::fmt;

use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use crate::validate;
use crate::Config;

/// A field that differs between two configurations.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// Path of the field, or of the entry if only one configuration has it.
    pub field: String,
    /// Value in the first configuration; `None` if the field was added.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub from: Option<Value>,
    /// Value in the second configuration; `None` if the field was removed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub to: Option<Value>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let field = &self.field;
        match (&self.from, &self.to) {
            (Some(from), Some(to)) => write!(f, "~ {field}: {from} -> {to}"),
            (None, Some(to)) => write!(f, "+ {field}: {to}"),
            (Some(from), None) => write!(f, "- {field}: {from}"),
            (None, None) => write!(f, "  {field}"),
        }
    }
}

/// Returns the differences between two configurations; absent fields count as their defaults.
pub fn diff(from: &Config, to: &Config) -> Vec<Difference> {
    diff_values(&to_value(from), &to_value(to))
}

/// Returns the differences between two JSON documents.
pub fn diff_values(from: &Value, to: &Value) -> Vec<Difference> {
    let mut out = Vec::new();
    compare("", from, to, &mut out);
    out
}

fn to_value(config: &Config) -> Value {
    serde_json::to_value(config).expect("a configuration has string keys and finite numbers")
}

fn compare(path: &str, from: &Value, to: &Value, out: &mut Vec<Difference>) {
    match (from, to) {
        (Value::Object(from), Value::Object(to)) => compare_objects(path, from, to, out),
        _ if from == to => {}
        _ => out.push(Difference {
            field: path.to_owned(),
            from: Some(from.clone()),
            to: Some(to.clone()),
        }),
    }
}

fn compare_objects(
    path: &str,
    from: &Map<String, Value>,
    to: &Map<String, Value>,
    out: &mut Vec<Difference>,
) {
    let names: BTreeSet<&String> = from.keys().chain(to.keys()).collect();
    for name in names {
        let field = validate::join_path(path, name);
        match (from.get(name), to.get(name)) {
            (Some(from), Some(to)) => compare(&field, from, to, out),
            (from, to) => out.push(Difference {
                field,
                from: from.cloned(),
                to: to.cloned(),
            }),
        }
    }
}
