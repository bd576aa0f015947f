//! Reads a manifest from YAML or JSON; unknown fields are errors.
//!
//! All faults of a manifest are reported together: the text is parsed into a tree that keeps line numbers, then each
//! service, backend server and rule is deserialized on its own, so that a fault in one does not hide those of the
//! others.

use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde_json::Value;

use super::located::Located;
use super::{BackendServer, Manifest, Rule, Service, check};

/// The longest accepted text, in bytes; a manifest of 10,000 backend servers takes 2 MB.
pub const MAX_TEXT_BYTES: usize = 16 * 1024 * 1024;

/// The most aliases in a YAML text; a "billion laughs" attack needs many, a generated manifest none.
const MAX_ALIASES: usize = 1000;

/// The deepest nesting that the YAML parser accepts.
const MAX_NESTING_DEPTH: usize = 32;

/// A fault in a manifest: its file, line and field, and what was expected.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{file}:{line}: {field}: {expected}")]
pub struct ManifestError {
    /// The file name that the operator gave.
    pub file: String,
    /// The line, from 1; 0 if it is not known.
    pub line: usize,
    /// The path of the field, such as `services[0].rules[1].deadline_ms`.
    pub field: String,
    /// What was found and what was expected.
    pub expected: String,
}

/// A manifest without faults, and its warnings.
#[derive(Clone, Debug)]
pub struct CheckedManifest {
    /// The valid manifest.
    pub manifest: Manifest,
    /// What is allowed but probably a mistake.
    pub warnings: Vec<ManifestError>,
}

/// Reads and checks a manifest.
///
/// # Errors
///
/// Every fault that could be found, in the order of the text.
pub fn read(file: &str, text: &str) -> Result<Manifest, Vec<ManifestError>> {
    read_checked(file, text).map(|checked| checked.manifest)
}

/// Reads and checks a manifest and returns its warnings too.
///
/// # Errors
///
/// Every fault that could be found, in the order of the text.
pub fn read_checked(file: &str, text: &str) -> Result<CheckedManifest, Vec<ManifestError>> {
    let tree = parse(file, text).map_err(|error| vec![error])?;
    let mut faults = Faults {
        file,
        tree: &tree,
        found: Vec::new(),
    };
    let (manifest, indices) = faults.read_manifest();
    for fault in check::faults(&manifest) {
        faults.add(&path_in_text(&fault.field, &indices), fault.expected);
    }
    if !faults.found.is_empty() {
        faults.found.sort_by_key(|fault| fault.line);
        return Err(faults.found);
    }
    for warning in check::warnings(&manifest) {
        faults.add(&warning.field, warning.expected);
    }
    Ok(CheckedManifest {
        warnings: faults.found,
        manifest,
    })
}

/// Parses the text into a tree, with limits on size, nesting and aliases; the fields are not checked.
///
/// # Errors
///
/// The first place where the text is not valid YAML or exceeds a limit.
pub fn parse(file: &str, text: &str) -> Result<Located, ManifestError> {
    let fault = |line, expected| ManifestError {
        file: file.into(),
        line,
        field: "(text)".into(),
        expected,
    };
    if text.len() > MAX_TEXT_BYTES {
        let expected = format!(
            "{} bytes found, expected at most {MAX_TEXT_BYTES}",
            text.len()
        );
        return Err(fault(0, expected));
    }
    let options = serde_saphyr::options! {
        with_snippet: false,
        budget: serde_saphyr::budget! {
            max_aliases: MAX_ALIASES,
            max_depth: MAX_NESTING_DEPTH,
            flow_nesting_limit: MAX_NESTING_DEPTH,
            max_documents: 1,
        },
    };
    let tree: Located = serde_saphyr::from_str_with_options(text, options).map_err(|error| {
        let line = error.location().map_or(0, |at| at.line() as usize);
        fault(line, first_line(&error.to_string()))
    })?;
    match tree.is_shallow() {
        true => Ok(tree),
        false => Err(fault(1, "the nesting is too deep".into())),
    }
}

/// Converts a field's path whose service index counts only the services that were read into its path in the text.
fn path_in_text(field: &str, indices: &[usize]) -> String {
    let split = field
        .strip_prefix("services[")
        .and_then(|rest| rest.split_once(']'));
    let index = split.and_then(|(i, rest)| Some((indices.get(i.parse::<usize>().ok()?)?, rest)));
    index.map_or_else(
        || field.into(),
        |(index, rest)| format!("services[{index}]{rest}"),
    )
}

fn first_line(text: &str) -> String {
    text.lines().next().unwrap_or_default().into()
}

/// Collects faults while the tree is read part by part.
struct Faults<'a> {
    file: &'a str,
    tree: &'a Located,
    found: Vec<ManifestError>,
}

impl Faults<'_> {
    fn add(&mut self, field: &str, expected: String) {
        self.found.push(ManifestError {
            file: self.file.into(),
            line: self.tree.line_of(field),
            field: field.into(),
            expected,
        });
    }

    /// Reads the manifest's valid services and returns the index of each in the text. Invalid services are left out and
    /// reported.
    fn read_manifest(&mut self) -> (Manifest, Vec<usize>) {
        let tree = self.tree;
        let services = tree.member("services").map_or(&[][..], Located::items);
        let (mut read, mut indices) = (Vec::new(), Vec::new());
        for (i, service) in services.iter().enumerate() {
            if let Some(service) = self.read_service(&format!("services[{i}]"), service) {
                read.push(Arc::new(service));
                indices.push(i);
            }
        }
        let outer = with_lists_emptied(tree, &["services"]);
        drop(self.read_part::<Manifest>("", outer));
        (Manifest { services: read }, indices)
    }

    fn read_service(&mut self, path: &str, tree: &Located) -> Option<Service> {
        let before = self.found.len();
        let servers = self.read_list::<BackendServer>(path, tree, "backend_servers");
        let rules = self.read_list::<Rule>(path, tree, "rules");
        let outer = with_lists_emptied(tree, &["backend_servers", "rules"]);
        let mut service: Service = self.read_part(path, outer)?;
        service.backend_servers = servers;
        service.rules = rules;
        // A service with an invalid part is left out: the checks would report the missing part as a further fault.
        (self.found.len() == before).then_some(service)
    }

    fn read_list<T: DeserializeOwned>(&mut self, path: &str, tree: &Located, name: &str) -> Vec<T> {
        let items = tree.member(name).map_or(&[][..], Located::items);
        let mut read = Vec::new();
        for (i, item) in items.iter().enumerate() {
            read.extend(self.read_part(&format!("{path}.{name}[{i}]"), item.value()));
        }
        read
    }

    fn read_part<T: DeserializeOwned>(&mut self, path: &str, value: Value) -> Option<T> {
        match serde_path_to_error::deserialize(value) {
            Ok(part) => Some(part),
            Err(error) => {
                let inner = error.path().to_string();
                let field = match (path.is_empty(), inner.as_str()) {
                    (true, _) => inner,
                    (false, ".") => path.into(),
                    (false, inner) => format!("{path}.{inner}"),
                };
                self.add(&field, error.into_inner().to_string());
                None
            }
        }
    }
}

/// Returns the value of a mapping with these lists emptied.
fn with_lists_emptied(tree: &Located, lists: &[&str]) -> Value {
    let mut value = tree.value();
    for list in lists {
        if let Some(Value::Array(items)) = value.get_mut(list) {
            items.clear();
        }
    }
    value
}
