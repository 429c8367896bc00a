//! Placeholders for values that differ between runs.

use std::collections::BTreeMap;

/// Placeholders for values that differ between runs; equal values of a kind share a placeholder.
#[derive(Debug, Default)]
pub struct Placeholders {
    /// Values of each kind, in the order of their first occurrence.
    texts_by_kind: BTreeMap<&'static str, Vec<String>>,
}

impl Placeholders {
    /// Returns the placeholder of `text`, numbered in the order of first occurrence among texts of
    /// its kind.
    pub fn placeholder(&mut self, kind: &'static str, text: &str) -> String {
        let seen = self.texts_by_kind.entry(kind).or_default();
        let index = seen.iter().position(|other| other == text);
        let index = index.unwrap_or_else(|| {
            seen.push(text.to_owned());
            seen.len() - 1
        });
        format!("{kind}-{}", index + 1)
    }

    /// Returns an event id with its origin decoded, placeholders for the names in it, and without
    /// its MAC; returns malformed ids unchanged.
    pub fn mask_event_id(&mut self, id: &str) -> String {
        let parts: Vec<&str> = id.split('.').collect();
        let [origin, position, end, _mac] = parts[..] else {
            return id.to_owned();
        };
        let origin = self.mask_origin(&decode_hex(origin));
        format!("<{origin}>.{position}.{end}.<mac>")
    }

    /// Replaces values that differ between runs in a JSON text and keeps all other bytes.
    pub fn mask_json(&mut self, text: &str) -> String {
        let Ok(json) = serde_json::from_str::<serde_json::Value>(text) else {
            return text.to_owned();
        };
        let mut text = text.to_owned();
        if let Some(id) = json["id"].as_str() {
            text = text.replace(id, &self.placeholder("completion", id));
        }
        for name in ["created", "retry_after"] {
            if let Some(seconds) = json[name].as_u64() {
                let field = format!("\"{name}\":{seconds}");
                text = text.replace(&field, &format!("\"{name}\":<seconds>"));
            }
        }
        text
    }

    /// Replaces the names of server and stream in the JSON origin of an event id.
    fn mask_origin(&mut self, json: &str) -> String {
        let origin: serde_json::Value = serde_json::from_str(json).expect("the origin is JSON");
        let server = origin["b"].as_str().expect("a string");
        let stream = origin["s"].as_str().expect("a string");
        json.replace(server, &self.placeholder("server", server))
            .replace(stream, &self.placeholder("stream", stream))
    }
}

/// Decodes hexadecimal digits to UTF-8 text.
fn decode_hex(hex: &str) -> String {
    let digits: Vec<char> = hex.chars().collect();
    let bytes = digits.chunks(2).map(|pair| {
        let pair: String = pair.iter().collect();
        u8::from_str_radix(&pair, 16).expect("hexadecimal")
    });
    String::from_utf8(bytes.collect()).expect("UTF-8")
}
