//! Lines of routers' logs.

use std::collections::BTreeMap;

/// One line: when, where, what, and its fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Time of day, as written; sorts as text.
    pub time: String,
    /// Router that wrote it.
    pub router: String,
    /// What happened.
    pub event: String,
    /// All other fields.
    pub fields: BTreeMap<String, String>,
    /// The line from its time on.
    pub text: String,
}

impl LogLine {
    /// Reads a line; none if it isn't one of a router's log. What stands before
    /// the time, as collectors add it, is ignored.
    pub fn parse(line: &str) -> Option<LogLine> {
        let text = &line[line.find("time=")?..];
        let mut fields = fields(text)?;
        Some(LogLine {
            time: fields.remove("time")?,
            router: fields.remove("router")?,
            event: fields.remove("event")?,
            fields,
            text: text.trim_end().to_owned(),
        })
    }

    /// Returns a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }

    /// Tells whether the line is about one request.
    pub fn has_request_id(&self) -> bool {
        self.fields.contains_key("id")
    }
}

/// Reads `key=value` pairs; values in quotes may hold spaces.
fn fields(mut text: &str) -> Option<BTreeMap<String, String>> {
    let mut fields = BTreeMap::new();
    loop {
        text = text.trim_start();
        if text.is_empty() {
            return Some(fields);
        }
        let (key, rest) = text.split_once('=')?;
        let (value, rest) = match rest.strip_prefix('"') {
            Some(quoted) => quoted_value(quoted)?,
            None => rest.split_once(' ').unwrap_or((rest.trim_end(), "")),
        };
        fields.insert(key.to_owned(), value.to_owned());
        text = rest;
    }
}

fn quoted_value(text: &str) -> Option<(&str, &str)> {
    let mut escaped = false;
    for (at, c) in text.char_indices() {
        match c {
            '"' if !escaped => return Some((&text[..at], &text[at + 1..])),
            '\\' => escaped = !escaped,
            _ => escaped = false,
        }
    }
    None
}
