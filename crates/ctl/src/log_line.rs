//! Parses the lines of router logs.

use std::collections::BTreeMap;

/// One line of a router's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Date and time as written in the line; lexical order is the order of time.
    pub time: String,
    /// Name of the router that wrote the line.
    pub router: String,
    /// Name of the event.
    pub event: String,
    /// All other fields by key.
    pub fields: BTreeMap<String, String>,
    /// Text of the line, starting with its time.
    pub text: String,
}

impl LogLine {
    /// Parses a line; `None` if it isn't a log line of a router. Text before the time,
    /// which log collectors may add, is ignored.
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

    /// Returns the value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }

    /// Returns whether the line is about a single request.
    pub fn has_request_id(&self) -> bool {
        self.fields.contains_key("id")
    }
}

/// Parses `key=value` pairs; quoted values may contain spaces. `None` if the text is malformed.
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

/// Splits `text`, which follows an opening quote, into the quoted value and the rest.
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
