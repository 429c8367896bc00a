//! Reads the settings file field by field.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use serde_json::Map;
use serde_json::Value;

use crate::SettingsError;

/// Reads the fields of one JSON object. Each read removes its field, so that unknown fields are
/// left over and reported by [`SettingsReader::finish`].
pub struct SettingsReader {
    file: String,
    /// Prefix of field names in errors: the name of the section with a dot, or nothing.
    section: String,
    fields: Map<String, Value>,
}

impl SettingsReader {
    /// Parses the content of `file`, whose name is used in errors only.
    pub fn parse(file: &str, text: &[u8]) -> Result<SettingsReader, SettingsError> {
        let value = serde_json::from_slice(text).map_err(|e| SettingsError::NotJson {
            file: file.to_owned(),
            reason: e.to_string(),
        })?;
        match value {
            Value::Object(fields) => Ok(SettingsReader {
                file: file.to_owned(),
                section: String::new(),
                fields,
            }),
            _ => Err(SettingsError::NotJson {
                file: file.to_owned(),
                reason: "the top-level value is not an object".to_owned(),
            }),
        }
    }

    /// Returns an error for `field` that states what was expected.
    pub fn field_error(&self, field: &str, expected: &str) -> SettingsError {
        SettingsError::Field {
            file: self.file.clone(),
            field: format!("{}{field}", self.section),
            expected: expected.to_owned(),
        }
    }

    /// Reads a string, `None` if the field is missing.
    pub fn text(&mut self, field: &str) -> Result<Option<String>, SettingsError> {
        match self.fields.remove(field) {
            None => Ok(None),
            Some(Value::String(text)) => Ok(Some(text)),
            Some(_) => Err(self.field_error(field, "expected a string")),
        }
    }

    /// Reads a required string.
    pub fn required_text(&mut self, field: &str) -> Result<String, SettingsError> {
        match self.text(field)? {
            Some(text) => Ok(text),
            None => Err(self.field_error(field, "expected this field, found none")),
        }
    }

    /// Reads a required socket address.
    pub fn address(&mut self, field: &str) -> Result<SocketAddr, SettingsError> {
        let text = self.required_text(field)?;
        match text.parse() {
            Ok(address) => Ok(address),
            Err(_) => {
                let expected = format!("expected an address such as 10.0.0.1:8080, found {text:?}");
                Err(self.field_error(field, &expected))
            }
        }
    }

    /// Reads a number in `range`; returns `default` if the field is missing.
    pub fn number(
        &mut self,
        field: &str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Result<u64, SettingsError> {
        let Some(value) = self.fields.remove(field) else {
            return Ok(default);
        };
        match value.as_u64() {
            Some(number) if range.contains(&number) => Ok(number),
            _ => {
                let (start, end) = range.into_inner();
                let expected =
                    format!("expected a whole number from {start} to {end}, found {value}");
                Err(self.field_error(field, &expected))
            }
        }
    }

    /// Reads a nested object, `None` if the field is missing.
    pub fn section(&mut self, field: &str) -> Result<Option<SettingsReader>, SettingsError> {
        match self.fields.remove(field) {
            None => Ok(None),
            Some(Value::Object(fields)) => Ok(Some(SettingsReader {
                file: self.file.clone(),
                section: format!("{field}."),
                fields,
            })),
            Some(_) => Err(self.field_error(field, "expected an object")),
        }
    }

    /// Returns an error if the object has fields that were not read.
    pub fn finish(self) -> Result<(), SettingsError> {
        match self.fields.keys().next() {
            None => Ok(()),
            Some(field) => Err(self.field_error(field, "expected no such field")),
        }
    }
}
