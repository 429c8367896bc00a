//! Stable names for what differs from run to run.

use std::collections::BTreeMap;

/// Stable names for what differs from run to run; the same text has the same name.
#[derive(Debug, Default)]
pub struct Placeholders {
    texts_by_kind: BTreeMap<&'static str, Vec<String>>,
}

impl Placeholders {
    /// Returns the name of `text`, numbered in the order in which texts of a kind are met.
    pub fn placeholder(&mut self, kind: &'static str, text: &str) -> String {
        let seen = self.texts_by_kind.entry(kind).or_default();
        let index = seen.iter().position(|other| other == text);
        let index = index.unwrap_or_else(|| {
            seen.push(text.to_owned());
            seen.len() - 1
        });
        format!("{kind}-{}", index + 1)
    }

    /// Writes an event id with the stream it names in clear and without its MAC.
    pub fn mask_event_id(&mut self, id: &str) -> String {
        let parts: Vec<&str> = id.split('.').collect();
        let [origin, position, end, _mac] = parts[..] else {
            return id.to_owned();
        };
        let origin = self.mask_origin(&decode_hex(origin));
        format!("<{origin}>.{position}.{end}.<mac>")
    }

    /// Replaces what differs from run to run in a JSON text; the rest stays byte for byte.
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

    fn mask_origin(&mut self, json: &str) -> String {
        let origin: serde_json::Value = serde_json::from_str(json).expect("an origin is JSON");
        let server = origin["b"].as_str().expect("a name");
        let stream = origin["s"].as_str().expect("a name");
        json.replace(server, &self.placeholder("server", server))
            .replace(stream, &self.placeholder("stream", stream))
    }
}

fn decode_hex(hex: &str) -> String {
    let digits: Vec<char> = hex.chars().collect();
    let bytes = digits.chunks(2).map(|pair| {
        let pair: String = pair.iter().collect();
        u8::from_str_radix(&pair, 16).expect("hexadecimal")
    });
    String::from_utf8(bytes.collect()).expect("UTF-8")
}
