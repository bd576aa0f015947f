//! The manifest in the store: one root object, swapped by conditional update.

use std::sync::Arc;

use kingcuploft::manifest::{Accepted, Manifest};
use kingcuploft::world::ids::Generation;

use crate::{Expect, ObjectStore, StoreError};

/// The key of the root object.
pub const ROOT_KEY: &str = "manifest/root";

/// The root object's value.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Root {
    /// The generation; it only grows.
    pub generation: Generation,
    /// The id of the apply that wrote it, to settle a lost answer.
    pub apply_id: String,
    /// The manifest.
    pub manifest: Arc<Manifest>,
}

impl From<Root> for Accepted {
    fn from(root: Root) -> Self {
        Self {
            generation: root.generation,
            manifest: root.manifest,
        }
    }
}

/// How an apply ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Applied {
    /// Accepted under this generation.
    Accepted(Generation),
    /// Another operator's apply came first, with this generation.
    Lost(Generation),
    /// Whether it took effect is not known.
    Unknown(String),
}

/// Swaps the root object for a new manifest.
///
/// # Errors
///
/// The store's error where it is certain that nothing was written.
pub fn apply(
    store: &dyn ObjectStore,
    manifest: Manifest,
    apply_id: &str,
) -> Result<Applied, StoreError> {
    let found = store.get(ROOT_KEY)?;
    let (expect, before) = match &found {
        None => (Expect::Absent, 0),
        Some(object) => (Expect::Version(object.version), generation(&object.value)),
    };
    let root = Root {
        generation: before + 1,
        apply_id: apply_id.into(),
        manifest: Arc::new(manifest),
    };
    let value = serde_json::to_string(&root).map_err(|e| StoreError::Silent(e.to_string()))?;
    match store.put(ROOT_KEY, &value, expect) {
        Ok(_) => Ok(Applied::Accepted(root.generation)),
        Err(StoreError::Refused(status)) => Err(StoreError::Refused(status)),
        Err(_) => settle(store, apply_id, before),
    }
}

/// Reads back whether the apply with this id took effect.
fn settle(
    store: &dyn ObjectStore,
    apply_id: &str,
    before: Generation,
) -> Result<Applied, StoreError> {
    let found = match store.get(ROOT_KEY) {
        Ok(found) => found,
        Err(error) => return Ok(Applied::Unknown(error.to_string())),
    };
    let root = found.and_then(|object| serde_json::from_str::<Root>(&object.value).ok());
    Ok(match root {
        Some(root) if root.apply_id == apply_id => Applied::Accepted(root.generation),
        Some(root) if root.generation > before => Applied::Lost(root.generation),
        _ => Applied::Unknown("the write may still arrive".into()),
    })
}

fn generation(value: &str) -> Generation {
    serde_json::from_str::<Root>(value).map_or(0, |root| root.generation)
}
