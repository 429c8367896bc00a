//! Merges the files of a folder in the order of their names.

use std::collections::BTreeMap;

use serde_json::Map;
use serde_json::Value;

use crate::schema;
use crate::strict_json;
use crate::validate;
use crate::Folder;
use crate::Override;
use crate::Problem;

/// An entry of a section, or a single limit.
pub(crate) struct Entry {
    /// Last file that declares the entry.
    pub(crate) file: String,
    /// Value of the entry; `None` if it doesn't match the schema.
    pub(crate) value: Option<Value>,
}

/// Entries of one section by name, such as all models.
pub(crate) type Section = BTreeMap<String, Entry>;

/// The merged files of a folder.
#[derive(Default)]
pub(crate) struct Merged {
    /// Sections by name.
    pub(crate) sections: BTreeMap<String, Section>,
    /// Declarations that a later file replaced.
    pub(crate) overrides: Vec<Override>,
    /// Files that aren't JSON objects, and fields that don't match the schema.
    pub(crate) problems: Vec<Problem>,
}

/// Merges the files of `folder`; if several files declare an entry, the last file wins.
pub(crate) fn merge(folder: &Folder) -> Merged {
    let mut merged = Merged::default();
    for (file, content) in &folder.files {
        match strict_json::parse(content) {
            Ok(Value::Object(sections)) => merged.add_file(file, sections),
            Ok(other) => merged.not_an_object(file, validate::display_value(&other)),
            Err(e) => merged.not_json(file, &e),
        }
    }
    merged
}

impl Merged {
    /// Returns the entries that match the schema, as the JSON of a configuration.
    pub(crate) fn to_value(&self) -> Value {
        let sections = self.sections.iter().map(|(name, section)| {
            let entries = section
                .iter()
                .filter_map(|(name, entry)| Some((name.clone(), entry.value.clone()?)));
            (name.clone(), Value::Object(entries.collect()))
        });
        Value::Object(sections.collect())
    }

    fn add_file(&mut self, file: &str, sections: Map<String, Value>) {
        for (name, value) in sections {
            self.add_section(file, name, value);
        }
    }

    /// Validates one section of a file and adds its entries.
    ///
    /// Invalid entries are added without a value, so that references to them aren't
    /// reported as undeclared.
    fn add_section(&mut self, file: &str, section: String, value: Value) {
        let document = Value::Object(Map::from_iter([(section.clone(), value)]));
        let before = self.problems.len();
        validate::validate(&schema::FILE, &document, file, "", &mut self.problems);
        let new_problems = self.problems[before..].to_vec();
        let Value::Object(mut document) = document else {
            return;
        };
        let Some(Value::Object(entries)) = document.remove(&section) else {
            return;
        };
        if new_problems.iter().any(|problem| problem.field == section) {
            return;
        }
        for (name, value) in entries {
            let path = validate::join_path(&section, &name);
            let is_invalid = new_problems
                .iter()
                .any(|problem| is_within(&problem.field, &path));
            let value = (!is_invalid).then_some(value);
            self.add_entry(file, &section, name, value);
        }
    }

    fn add_entry(&mut self, file: &str, section: &str, name: String, value: Option<Value>) {
        let entry = Entry {
            file: file.to_owned(),
            value,
        };
        let field = validate::join_path(section, &name);
        let entries = self.sections.entry(section.to_owned()).or_default();
        if let Some(replaced) = entries.insert(name, entry) {
            self.overrides.push(Override {
                field,
                file: file.to_owned(),
                replaced_file: replaced.file,
            });
        }
    }

    fn not_an_object(&mut self, file: &str, found: String) {
        self.problems.push(Problem {
            file: file.to_owned(),
            field: String::new(),
            expected: "a JSON object".into(),
            found,
        });
    }

    fn not_json(&mut self, file: &str, e: &serde_json::Error) {
        self.problems.push(Problem {
            file: file.to_owned(),
            field: String::new(),
            expected: "JSON text".into(),
            found: e.to_string(),
        });
    }
}

/// Returns whether the path `field` is `path` or lies below it.
fn is_within(field: &str, path: &str) -> bool {
    field
        .strip_prefix(path)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
}
