//! Reads a settings file strictly and reports all its faults at once.
//!
//! The text is parsed into a tree that knows its lines. Deserialization stops at its first fault. So that one fault
//! does not hide the next, the faulty field is recorded, then removed or replaced by a placeholder, and the tree is
//! deserialized again.

use std::path::Path;

use derive_more::Display;
use kingcuploft::manifest::located::Located;
use kingcuploft::manifest::reader as yaml;
use serde_json::{Map, Value, json};

use super::{Settings, check};

/// The longest settings file, in bytes.
const MAX_TEXT_BYTES: usize = 1024 * 1024;

/// The most faults that are reported at once.
const MAX_FAULTS: usize = 50;

/// One fault of a settings file.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{file}:{line}: {field}: {expected}")]
pub struct Fault {
    /// The file.
    pub file: String,
    /// The line, from 1; for a missing field, the line of its container.
    pub line: usize,
    /// The path of the field, such as `limits.workers`.
    pub field: String,
    /// What was found and what was expected.
    pub expected: String,
}

/// What is wrong with a settings file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{file}: {error}")]
    Unreadable {
        /// The file.
        file: String,
        /// The system's error.
        error: std::io::Error,
    },
    /// Fields are wrong.
    #[error("{}", lines(.0))]
    Invalid(Vec<Fault>),
}

fn lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns every fault found, with file, line and field.
pub fn read(path: &Path) -> Result<Settings, SettingsError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
        file: file.clone(),
        error,
    })?;
    let settings = parse(&file, &text).map_err(SettingsError::Invalid)?;
    let Some(token) = &settings.admin_token_file else {
        return Ok(settings);
    };
    match std::fs::read_to_string(token) {
        Ok(token) if !token.trim().is_empty() => Ok(settings),
        found => {
            let expected = match found {
                Ok(_) => "the file is empty, expected a token".into(),
                Err(error) => format!("{}: {error}", token.display()),
            };
            let tree = yaml::parse(&file, &text).ok();
            let line = tree.map_or(0, |tree| tree.line_of("admin_token_file"));
            Err(SettingsError::Invalid(vec![Fault {
                file,
                line,
                field: "admin_token_file".into(),
                expected,
            }]))
        }
    }
}

/// Reads and checks the text of a settings file, without reading any other file.
///
/// # Errors
///
/// Returns every fault found, in the order of the text.
pub fn parse(file: &str, text: &str) -> Result<Settings, Vec<Fault>> {
    if text.len() > MAX_TEXT_BYTES {
        let expected = format!(
            "{} bytes found, expected at most {MAX_TEXT_BYTES}",
            text.len()
        );
        return Err(vec![fault(file, 0, "(text)", expected)]);
    }
    let tree = yaml::parse(file, text)
        .map_err(|error| vec![fault(file, error.line, &error.field, error.expected)])?;
    let mut reader = Reader {
        file,
        tree: &tree,
        found: Vec::new(),
    };
    let settings = reader.settings();
    if let Some(settings) = &settings {
        for (field, expected) in check::faults(settings) {
            // A field that was replaced by a placeholder is not checked.
            if !reader.found.iter().any(|fault| fault.field == field) {
                reader.add(field, expected);
            }
        }
    }
    let mut found = reader.found;
    found.sort_by_key(|fault| fault.line);
    match settings {
        Some(settings) if found.is_empty() => Ok(settings),
        _ => Err(found),
    }
}

fn fault(file: &str, line: usize, field: &str, expected: String) -> Fault {
    Fault {
        file: file.into(),
        line,
        field: field.into(),
        expected,
    }
}

/// Returns placeholder values for required fields that are missing or wrong, to continue reading.
fn placeholders() -> Value {
    json!({
        "vm": "vm",
        "availability_zone": "zone",
        "listen": "127.0.0.1:0",
        "admin_listen": "127.0.0.1:0",
        "platform": "127.0.0.1:1",
    })
}

struct Reader<'a> {
    file: &'a str,
    tree: &'a Located,
    found: Vec<Fault>,
}

impl Reader<'_> {
    fn add(&mut self, field: &str, expected: String) {
        let line = self.tree.line_of(field);
        self.found.push(fault(self.file, line, field, expected));
    }

    /// Reads the settings; `None` if reading cannot continue after a fault.
    fn settings(&mut self) -> Option<Settings> {
        let mut value = self.tree.value();
        if !value.is_object() {
            self.add("(text)", "expected a mapping of settings".into());
            return None;
        }
        while self.found.len() < MAX_FAULTS {
            let error = match serde_path_to_error::deserialize::<_, Settings>(&value) {
                Ok(settings) => return Some(settings),
                Err(error) => error,
            };
            let path = error.path().to_string();
            let message = error.into_inner().to_string();
            let field = field(&path, &message);
            self.add(&field, message);
            if !replace_or_remove(&mut value, &field) {
                return None;
            }
        }
        None
    }
}

/// Returns the path of the field that an error is about. The error of a missing or unknown field has the path of its
/// container and names the field in its message.
fn field(path: &str, message: &str) -> String {
    let path = if path == "." { "" } else { path };
    let named = ["missing field `", "unknown field `"];
    let named = named.iter().find_map(|start| message.strip_prefix(start));
    let named = named.and_then(|rest| rest.split('`').next());
    match (path, named) {
        (path, Some(name)) if path.rsplit('.').next() == Some(name) => path.into(),
        ("", Some(name)) => name.into(),
        (path, Some(name)) => format!("{path}.{name}"),
        ("", None) => "(text)".into(),
        (path, None) => path.into(),
    }
}

/// Replaces a field by its placeholder, or removes it; returns whether anything changed.
fn replace_or_remove(value: &mut Value, field: &str) -> bool {
    let (parents, name) = field.rsplit_once('.').unwrap_or(("", field));
    let mut at = value;
    for step in parents.split('.').filter(|step| !step.is_empty()) {
        if at.get(step).is_none() {
            return remove_parent(at, step);
        }
        at = &mut at[step];
    }
    let Some(object) = at.as_object_mut() else {
        return false;
    };
    let placeholder = placeholders()
        .get(name)
        .cloned()
        .filter(|_| parents.is_empty());
    match placeholder {
        Some(placeholder) => object.insert(name.into(), placeholder.clone()) != Some(placeholder),
        None => remove(object, name),
    }
}

/// Removes the list or object that a path such as `peer.peers[1]` goes through.
fn remove_parent(at: &mut Value, step: &str) -> bool {
    let name = step.split('[').next().unwrap_or(step);
    at.as_object_mut()
        .is_some_and(|object| remove(object, name))
}

fn remove(object: &mut Map<String, Value>, name: &str) -> bool {
    let name = name.split('[').next().unwrap_or(name);
    object.remove(name).is_some()
}
