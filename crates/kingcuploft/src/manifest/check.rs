//! Finds figures and names in a manifest that can not be meant.

use super::Manifest;
use crate::utils::HashSet;

/// One fault, before its line is known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The path of the field.
    pub field: String,
    /// What was found and what was expected.
    pub expected: String,
}

/// Returns every fault of a manifest that parsed.
pub fn faults(manifest: &Manifest) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut names = HashSet::default();
    for (i, service) in manifest.services.iter().enumerate() {
        if !names.insert(&service.name) {
            faults.push(Fault {
                field: format!("services[{i}].name"),
                expected: format!("`{}` names an earlier service too", service.name),
            });
        }
    }
    faults
}
