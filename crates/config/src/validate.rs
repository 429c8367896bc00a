//! Compares a file with the schema and collects every fault.

use std::net::SocketAddr;

use serde_json::Map;
use serde_json::Value;

use crate::schema::Field;
use crate::schema::Kind;
use crate::schema::Names;
use crate::Problem;

/// Longest name of an entry, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Most characters of a wrong value that a message shows.
const MAX_SHOWN_CHARS: usize = 60;

/// HTTP methods of a service's calls.
const METHODS: [&str; 6] = ["DELETE", "GET", "HEAD", "PATCH", "POST", "PUT"];

/// Compares `value` with `kind`; faults of `file` at `path` and below are added to `out`.
pub(crate) fn compare(kind: &Kind, value: &Value, file: &str, path: &str, out: &mut Vec<Problem>) {
    Comparison { file, out }.value(kind, value, path);
}

/// Returns the path of a field of the value at `path`.
pub(crate) fn join(path: &str, name: &str) -> String {
    match path {
        "" => name.to_owned(),
        _ => format!("{path}.{name}"),
    }
}

/// Returns a value as a message shows it, cut to a bounded length.
pub(crate) fn shown(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(MAX_SHOWN_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}

struct Comparison<'a> {
    file: &'a str,
    out: &'a mut Vec<Problem>,
}

impl Comparison<'_> {
    fn value(&mut self, kind: &Kind, value: &Value, path: &str) {
        match (kind, value) {
            (Kind::Record(fields), Value::Object(object)) => self.record(fields, object, path),
            (Kind::Map { min, names, values }, Value::Object(object)) if object.len() >= *min => {
                self.map(*names, values, object, path);
            }
            (Kind::List { min, values }, Value::Array(items)) if items.len() >= *min => {
                self.list(values, items, path);
            }
            _ if is_scalar_of(kind, value) => {}
            _ => self.problem(path, expected(kind), shown(value)),
        }
    }

    fn record(&mut self, fields: &[Field], object: &Map<String, Value>, path: &str) {
        for (name, value) in object {
            let path = join(path, name);
            match fields.iter().find(|field| field.name == name) {
                Some(field) => self.value(&field.kind, value, &path),
                None => self.problem(&path, one_of(fields), "an unknown field".into()),
            }
        }
        for field in fields {
            if field.required && !object.contains_key(field.name) {
                self.problem(
                    &join(path, field.name),
                    expected(&field.kind),
                    "nothing".into(),
                );
            }
        }
    }

    fn map(&mut self, names: Names, values: &Kind, object: &Map<String, Value>, path: &str) {
        for (name, value) in object {
            let path = join(path, name);
            if !is_name(names, name) {
                self.problem(&path, expected_name(names).into(), format!("name {name:?}"));
            }
            self.value(values, value, &path);
        }
    }

    fn list(&mut self, values: &Kind, items: &[Value], path: &str) {
        for (i, item) in items.iter().enumerate() {
            let path = format!("{path}[{i}]");
            if items[..i].contains(item) {
                self.problem(&path, "each value once".into(), shown(item));
            }
            self.value(values, item, &path);
        }
    }

    fn problem(&mut self, path: &str, expected: String, found: String) {
        self.out.push(Problem {
            file: self.file.to_owned(),
            field: path.to_owned(),
            expected,
            found,
        });
    }
}

fn is_scalar_of(kind: &Kind, value: &Value) -> bool {
    match (kind, value) {
        (Kind::Flag, Value::Bool(_)) => true,
        (Kind::Integer { min, max }, Value::Number(number)) => {
            number.as_u64().is_some_and(|n| (*min..=*max).contains(&n))
        }
        (Kind::Number { min, max }, Value::Number(number)) => {
            number.as_f64().is_some_and(|n| (*min..=*max).contains(&n))
        }
        (Kind::Text, Value::String(text)) => !text.is_empty(),
        (Kind::Address, Value::String(text)) => is_address(text),
        (Kind::Sha256, Value::String(text)) => is_sha256(text),
        (Kind::Method, Value::String(text)) => METHODS.contains(&text.as_str()),
        (Kind::Path, Value::String(text)) => is_path(text),
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

fn is_name(names: Names, name: &str) -> bool {
    let allowed = |c: char| match names {
        Names::Plain => c.is_ascii_alphanumeric() || "-_.".contains(c),
        Names::Model => c.is_ascii_alphanumeric() || "-_./:".contains(c),
    };
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(allowed)
}

fn expected_name(names: Names) -> &'static str {
    match names {
        Names::Plain => "a name of at most 128 letters, digits, '-', '_' and '.'",
        Names::Model => "a name of at most 128 letters, digits, '-', '_', '.', '/' and ':'",
    }
}

fn one_of(fields: &[Field]) -> String {
    let names: Vec<&str> = fields.iter().map(|field| field.name).collect();
    format!("one of {}", names.join(", "))
}

fn expected(kind: &Kind) -> String {
    match kind {
        Kind::Flag => "true or false".into(),
        Kind::Integer { min, max } => format!("an integer from {min} to {max}"),
        Kind::Number { min, max } => format!("a number from {min} to {max}"),
        Kind::Text => "text that is not empty".into(),
        Kind::Address => "an IP address with a port, such as \"10.0.0.1:8080\"".into(),
        Kind::Sha256 => "a SHA-256 of 64 lower-case hexadecimal digits".into(),
        Kind::Method => format!("one of {}", METHODS.join(", ")),
        Kind::Path => "a path that starts with '/', without query".into(),
        Kind::List { min: 0, .. } => "a list".into(),
        Kind::List { min, .. } => format!("a list of at least {min}"),
        Kind::Map { min: 0, .. } => "an object".into(),
        Kind::Map { min, .. } => format!("an object with at least {min} entry"),
        Kind::Record(_) => "an object".into(),
    }
}
