//! Checks a file against the schema and collects all problems.

use std::net::SocketAddr;

use serde_json::Map;
use serde_json::Value;

use crate::schema::Field;
use crate::schema::NameCharset;
use crate::schema::ValueType;
use crate::Problem;

/// Longest name of an entry, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Number of characters after which a message cuts off an invalid value.
const MAX_SHOWN_CHARS: usize = 60;

/// HTTP methods that a service's calls may use.
const METHODS: [&str; 6] = ["DELETE", "GET", "HEAD", "PATCH", "POST", "PUT"];

/// Checks `value`, found at `path` in `file`, against `value_type`; adds problems to `out`.
pub(crate) fn validate(
    value_type: &ValueType,
    value: &Value,
    file: &str,
    path: &str,
    out: &mut Vec<Problem>,
) {
    Validator { file, out }.check_value(value_type, value, path);
}

/// Returns the path of the field `name` of the value at `path`.
pub(crate) fn join_path(path: &str, name: &str) -> String {
    match path {
        "" => name.to_owned(),
        _ => format!("{path}.{name}"),
    }
}

/// Formats a value for a message, cut off after [`MAX_SHOWN_CHARS`].
pub(crate) fn display_value(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(MAX_SHOWN_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}

/// Checks the values of one file and collects the problems.
struct Validator<'a> {
    file: &'a str,
    out: &'a mut Vec<Problem>,
}

impl Validator<'_> {
    fn check_value(&mut self, value_type: &ValueType, value: &Value, path: &str) {
        match (value_type, value) {
            (ValueType::Record(fields), Value::Object(object)) => {
                self.check_record(fields, object, path)
            }
            (
                ValueType::Map {
                    min,
                    charset,
                    values,
                },
                Value::Object(object),
            ) if object.len() >= *min => {
                self.check_map(*charset, values, object, path);
            }
            (ValueType::List { min, values }, Value::Array(items)) if items.len() >= *min => {
                self.check_list(values, items, path);
            }
            _ if is_scalar_of(value_type, value) => {}
            _ => self.add_problem(path, expected(value_type), display_value(value)),
        }
    }

    fn check_record(&mut self, fields: &[Field], object: &Map<String, Value>, path: &str) {
        for (name, value) in object {
            let path = join_path(path, name);
            match fields.iter().find(|field| field.name == name) {
                Some(field) => self.check_value(&field.value_type, value, &path),
                None => self.add_problem(&path, one_of_fields(fields), "an unknown field".into()),
            }
        }
        for field in fields {
            if field.required && !object.contains_key(field.name) {
                self.add_problem(
                    &join_path(path, field.name),
                    expected(&field.value_type),
                    "nothing".into(),
                );
            }
        }
    }

    fn check_map(
        &mut self,
        charset: NameCharset,
        values: &ValueType,
        object: &Map<String, Value>,
        path: &str,
    ) {
        for (name, value) in object {
            let path = join_path(path, name);
            if !is_name(charset, name) {
                self.add_problem(
                    &path,
                    expected_name(charset).into(),
                    format!("name {name:?}"),
                );
            }
            self.check_value(values, value, &path);
        }
    }

    fn check_list(&mut self, values: &ValueType, items: &[Value], path: &str) {
        for (i, item) in items.iter().enumerate() {
            let path = format!("{path}[{i}]");
            if items[..i].contains(item) {
                self.add_problem(&path, "each value once".into(), display_value(item));
            }
            self.check_value(values, item, &path);
        }
    }

    fn add_problem(&mut self, path: &str, expected: String, found: String) {
        self.out.push(Problem {
            file: self.file.to_owned(),
            field: path.to_owned(),
            expected,
            found,
        });
    }
}

fn is_scalar_of(value_type: &ValueType, value: &Value) -> bool {
    match (value_type, value) {
        (ValueType::Bool, Value::Bool(_)) => true,
        (ValueType::Integer { min, max }, Value::Number(number)) => {
            number.as_u64().is_some_and(|n| (*min..=*max).contains(&n))
        }
        (ValueType::Number { min, max }, Value::Number(number)) => {
            number.as_f64().is_some_and(|n| (*min..=*max).contains(&n))
        }
        (ValueType::NonEmptyText, Value::String(text)) => !text.is_empty(),
        (ValueType::Address, Value::String(text)) => is_address(text),
        (ValueType::Sha256, Value::String(text)) => is_sha256(text),
        (ValueType::Method, Value::String(text)) => METHODS.contains(&text.as_str()),
        (ValueType::Path, Value::String(text)) => is_path(text),
        _ => false,
    }
}

fn is_address(text: &str) -> bool {
    text.parse::<SocketAddr>()
        .is_ok_and(|addr| addr.port() != 0 && !addr.ip().is_unspecified())
}

fn is_sha256(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
}

fn is_path(text: &str) -> bool {
    text.starts_with('/')
        && text
            .chars()
            .all(|c| c.is_ascii_graphic() && c != '?' && c != '#')
}

fn is_name(charset: NameCharset, name: &str) -> bool {
    let allowed = |c: char| match charset {
        NameCharset::Plain => c.is_ascii_alphanumeric() || "-_.".contains(c),
        NameCharset::Model => c.is_ascii_alphanumeric() || "-_./:".contains(c),
    };
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(allowed)
}

fn expected_name(charset: NameCharset) -> &'static str {
    match charset {
        NameCharset::Plain => "a name of at most 128 letters, digits, '-', '_' and '.'",
        NameCharset::Model => "a name of at most 128 letters, digits, '-', '_', '.', '/' and ':'",
    }
}

fn one_of_fields(fields: &[Field]) -> String {
    let names: Vec<&str> = fields.iter().map(|field| field.name).collect();
    format!("one of {}", names.join(", "))
}

fn expected(value_type: &ValueType) -> String {
    match value_type {
        ValueType::Bool => "true or false".into(),
        ValueType::Integer { min, max } => format!("an integer from {min} to {max}"),
        ValueType::Number { min, max } => format!("a number from {min} to {max}"),
        ValueType::NonEmptyText => "text that is not empty".into(),
        ValueType::Address => "an IP address with a port, such as \"10.0.0.1:8080\"".into(),
        ValueType::Sha256 => "a SHA-256 of 64 lower-case hexadecimal digits".into(),
        ValueType::Method => format!("one of {}", METHODS.join(", ")),
        ValueType::Path => "a path that starts with '/', without query".into(),
        ValueType::List { min: 0, .. } => "a list".into(),
        ValueType::List { min, .. } => format!("a list of at least {min}"),
        ValueType::Map { min: 0, .. } => "an object".into(),
        ValueType::Map { min, .. } => format!("an object with at least {min} entry"),
        ValueType::Record(_) => "an object".into(),
    }
}
