//! Reads a manifest from YAML or JSON, strictly.
//!
//! A manifest that is wrong in five places is reported with five faults: the text is parsed into a
//! tree that knows its lines, then each service, backend server and rule is read by itself, so
//! that a fault in one does not hide those of the others.

use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde_json::Value;

use super::located::Located;
use super::{BackendServer, Manifest, Rule, Service, check};

/// The longest text that is read, in bytes; the manifest of 10,000 backend servers takes 2 MB.
pub const MAX_TEXT_BYTES: usize = 16 * 1024 * 1024;

/// The most aliases of a YAML text; a "billion laughs" text needs them, a generated manifest none.
const MAX_ALIASES: usize = 1000;

/// The deepest nesting of a text.
const MAX_NESTING_DEPTH: usize = 32;

/// What is wrong with a manifest: where, which field, and what was expected.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{file}:{line}: {field}: {expected}")]
pub struct ManifestError {
    /// The file's name as the operator gave it.
    pub file: String,
    /// The line, from 1; 0 where it is not known.
    pub line: usize,
    /// The path of the field, such as `services[0].rules[1].deadline_ms`.
    pub field: String,
    /// What was found and what was expected.
    pub expected: String,
}

/// A manifest without faults, and what an operator should still look at.
#[derive(Clone, Debug)]
pub struct CheckedManifest {
    /// The manifest.
    pub manifest: Manifest,
    /// What is allowed but seldom meant.
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

/// Reads and checks a manifest and keeps the warnings.
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
    let (manifest, places) = faults.manifest();
    for fault in check::faults(&manifest) {
        faults.add(&in_text(&fault.field, &places), fault.expected);
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

/// Parses the text alone, with bounds on size, nesting and aliases.
///
/// # Errors
///
/// The first place where the text is no YAML, or passes a bound.
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

/// Turns the path of a field among the services that were read into its path in the text.
fn in_text(field: &str, places: &[usize]) -> String {
    let split = field
        .strip_prefix("services[")
        .and_then(|rest| rest.split_once(']'));
    let place = split.and_then(|(i, rest)| Some((places.get(i.parse::<usize>().ok()?)?, rest)));
    place.map_or_else(
        || field.into(),
        |(place, rest)| format!("services[{place}]{rest}"),
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

    /// Reads the services that can be read, with the place of each in the text; one that can not
    /// is left out and reported.
    fn manifest(&mut self) -> (Manifest, Vec<usize>) {
        let tree = self.tree;
        let services = tree.member("services").map_or(&[][..], Located::items);
        let (mut read, mut places) = (Vec::new(), Vec::new());
        for (i, service) in services.iter().enumerate() {
            if let Some(service) = self.service(&format!("services[{i}]"), service) {
                read.push(Arc::new(service));
                places.push(i);
            }
        }
        let outer = without(tree, &["services"]);
        drop(self.part::<Manifest>("", outer));
        (Manifest { services: read }, places)
    }

    fn service(&mut self, path: &str, tree: &Located) -> Option<Service> {
        let before = self.found.len();
        let servers = self.list::<BackendServer>(path, tree, "backend_servers");
        let rules = self.list::<Rule>(path, tree, "rules");
        let outer = without(tree, &["backend_servers", "rules"]);
        let mut service: Service = self.part(path, outer)?;
        service.backend_servers = servers;
        service.rules = rules;
        // A service with a part left out would be reported again for the part's absence.
        (self.found.len() == before).then_some(service)
    }

    fn list<T: DeserializeOwned>(&mut self, path: &str, tree: &Located, name: &str) -> Vec<T> {
        let items = tree.member(name).map_or(&[][..], Located::items);
        let mut read = Vec::new();
        for (i, item) in items.iter().enumerate() {
            read.extend(self.part(&format!("{path}.{name}[{i}]"), item.value()));
        }
        read
    }

    fn part<T: DeserializeOwned>(&mut self, path: &str, value: Value) -> Option<T> {
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

/// Returns a mapping's value in which these lists are present but empty.
fn without(tree: &Located, lists: &[&str]) -> Value {
    let mut value = tree.value();
    for list in lists {
        if let Some(Value::Array(items)) = value.get_mut(list) {
            items.clear();
        }
    }
    value
}
