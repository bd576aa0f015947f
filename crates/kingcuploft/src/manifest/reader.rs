//! Reads a manifest from YAML or JSON, strictly.

use super::{Manifest, check};

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

/// Reads and checks a manifest.
///
/// # Errors
///
/// Every fault that could be found, in the order of the text.
pub fn read(file: &str, text: &str) -> Result<Manifest, Vec<ManifestError>> {
    let manifest: Manifest = serde_saphyr::from_str(text).map_err(|error| {
        vec![ManifestError {
            file: file.into(),
            line: error.location().map_or(0, |at| at.line() as usize),
            field: String::new(),
            expected: error.to_string(),
        }]
    })?;
    let faults = check::faults(&manifest);
    if faults.is_empty() {
        return Ok(manifest);
    }
    Err(faults
        .into_iter()
        .map(|fault| ManifestError {
            file: file.into(),
            line: 0,
            field: fault.field,
            expected: fault.expected,
        })
        .collect())
}
