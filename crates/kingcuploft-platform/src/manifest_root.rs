//! Reads and writes the manifest in the store: first the service objects, then the root by a conditional write.
//!
//! Only the write of the root makes a manifest accepted. It is conditional on the version that was read, so of two
//! concurrent applies one wins. It is idempotent, so it can be sent again after a lost answer: either it takes effect
//! once, or it finds the version that another write, perhaps its own, left behind.

use kingcuploft::manifest::root::{
    ContentHash, MAX_PAST_APPLIES, PastApply, Root, ServiceChange, ServiceObject, ServiceRef,
    service_objects,
};
use kingcuploft::manifest::{Manifest, Service};
use kingcuploft::utils::HashSet;
use kingcuploft::world::ids::Generation;

use crate::{Object, ObjectStore, StoreError, Version, WriteCondition};

/// The key of the root object.
pub const ROOT_KEY: &str = "manifest/root";

/// The key prefix of service objects; the content hash follows it.
pub const SERVICES_PREFIX: &str = "manifest/services/";

/// The key prefix of earlier roots; the generation follows it.
pub const HISTORY_PREFIX: &str = "manifest/history/";

/// How many earlier roots pruning keeps.
pub const MAX_HISTORY_ROOTS: u64 = 32;

/// After how many generations old roots and unused service objects are pruned.
const PRUNE_INTERVAL_GENERATIONS: u64 = 16;

/// The largest value of an object that the store accepts.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// How often a write without an answer is retried.
const MAX_RETRIES: usize = 3;

/// A manifest to apply, and who applies it.
#[derive(Clone, Debug)]
pub struct ApplyRequest {
    /// The manifest.
    pub manifest: Manifest,
    /// The unique id of this apply.
    pub apply_id: String,
    /// The operator who applies it.
    pub author: String,
    /// When it is applied, in ms since the Unix epoch.
    pub applied_ms: u64,
    /// The generation that must be the accepted one; `None` allows any.
    pub base_generation: Option<Generation>,
    /// The generation that the new one must exceed; above 0 after the store was reset.
    pub above_generation: Generation,
    /// Whether unchanged service objects are written too, which repairs corrupt ones.
    pub verify: bool,
}

/// The outcome of an apply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    /// The manifest was accepted as this generation.
    Accepted(Generation),
    /// The manifest was accepted as this generation, and a later apply has replaced it.
    Superseded {
        /// The generation of this apply.
        generation: Generation,
        /// The newest generation.
        by: Generation,
    },
    /// Another apply was accepted first; nothing of this one is in force.
    Conflicting {
        /// The accepted generation.
        generation: Generation,
        /// The operator who applied it.
        author: String,
        /// What it changed, compared with the generation that this apply was based on.
        changes: Vec<ServiceChange>,
    },
    /// It is not known whether the apply took effect: its write may still reach the store.
    Unknown(String),
}

/// Why a manifest was not applied; nothing of it is in force.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ApplyError {
    /// A call to the store failed.
    #[error("nothing was put in force: {0}")]
    Store(#[from] StoreError),
    /// An object is larger than the store accepts.
    #[error("{what} takes {bytes} bytes, expected at most {MAX_VALUE_BYTES}")]
    TooLarge {
        /// The service, or the root object.
        what: String,
        /// The size of the object.
        bytes: usize,
    },
    /// The root or a service object in the store can't be used.
    #[error("the root object is corrupt: {0}")]
    CorruptRoot(String),
}

/// Applies a manifest under an id, without the name of an author.
///
/// # Errors
///
/// Returns [`ApplyError`] where it is certain that nothing was put in force.
pub fn apply(
    store: &dyn ObjectStore,
    manifest: Manifest,
    apply_id: &str,
) -> Result<ApplyOutcome, ApplyError> {
    let apply = ApplyRequest {
        manifest,
        apply_id: apply_id.into(),
        author: String::new(),
        applied_ms: 0,
        base_generation: None,
        above_generation: 0,
        verify: false,
    };
    apply.run(store)
}

/// Reads the root and its version; `None` where no manifest was ever accepted.
///
/// # Errors
///
/// Returns [`ApplyError::Store`] or [`ApplyError::CorruptRoot`].
pub fn read_root(store: &dyn ObjectStore) -> Result<Option<(Version, Root)>, ApplyError> {
    let Some(object) = store.get(ROOT_KEY)? else {
        return Ok(None);
    };
    let root = parse(&object)?;
    Ok(Some((object.version, root)))
}

/// Reads the earlier roots, oldest first; corrupt ones are left out.
///
/// # Errors
///
/// Returns [`ApplyError::Store`] if the list fails.
pub fn read_history(store: &dyn ObjectStore) -> Result<Vec<Root>, ApplyError> {
    let listed = store.list(HISTORY_PREFIX)?;
    let values = listed.changes.into_iter().filter_map(|change| change.value);
    let roots = values.filter_map(|value| serde_json::from_str(&value).ok());
    let mut roots: Vec<Root> = roots.collect();
    roots.sort_by_key(|root| root.generation);
    Ok(roots)
}

/// Reads the manifest of a root from its service objects.
///
/// # Errors
///
/// Returns [`ApplyError::Store`], or [`ApplyError::CorruptRoot`] where a service object is missing or corrupt.
pub fn read_manifest(store: &dyn ObjectStore, root: &Root) -> Result<Manifest, ApplyError> {
    let mut manifest = Manifest::default();
    for part in &root.services {
        let object = store.get(&service_key(&part.hash))?;
        let text = object.map(|object| object.value);
        let text = text.filter(|text| ContentHash::of(text) == part.hash);
        let service = text.and_then(|text| serde_json::from_str::<Service>(&text).ok());
        let Some(service) = service else {
            let why = format!("the object of service {} is missing or corrupt", part.name);
            return Err(ApplyError::CorruptRoot(why));
        };
        manifest.services.push(service.into());
    }
    Ok(manifest)
}

/// Returns the key of a service object.
pub fn service_key(hash: &ContentHash) -> String {
    format!("{SERVICES_PREFIX}{hash}")
}

fn history_key(generation: Generation) -> String {
    format!("{HISTORY_PREFIX}{generation:020}")
}

fn parse(object: &Object) -> Result<Root, ApplyError> {
    serde_json::from_str(&object.value).map_err(|e| ApplyError::CorruptRoot(e.to_string()))
}

impl ApplyRequest {
    /// Writes the service objects, then replaces the root.
    ///
    /// # Errors
    ///
    /// Returns [`ApplyError`] where it is certain that nothing was put in force.
    pub fn run(&self, store: &dyn ObjectStore) -> Result<ApplyOutcome, ApplyError> {
        let found = read_root(store)?;
        let (expect, before) = match found {
            None => (WriteCondition::Absent, Root::default()),
            Some((version, root)) => (WriteCondition::Version(version), root),
        };
        if self
            .base_generation
            .is_some_and(|base| base != before.generation)
        {
            return Ok(conflicting(&before, &[]));
        }
        let objects = service_objects(&self.manifest);
        let root = self.root(&before, &objects);
        let text = root.text();
        for (what, bytes) in object_sizes(&objects, &text) {
            if bytes > MAX_VALUE_BYTES {
                return Err(ApplyError::TooLarge { what, bytes });
            }
        }
        if before.generation > 0 {
            write_absent(store, &history_key(before.generation), &before.text())?;
        }
        for object in &objects {
            let known = before.services.iter().any(|part| part.hash == object.hash);
            if self.verify || !known {
                write_object(store, object)?;
            }
        }
        let applied = self.swap(store, &text, expect, &before)?;
        if let (ApplyOutcome::Accepted(generation), true) = (&applied, self.should_prune(&root)) {
            // Pruning only saves space: where it fails, the next one deletes the objects.
            drop(prune(store, *generation));
        }
        Ok(applied)
    }

    fn root(&self, before: &Root, objects: &[ServiceObject]) -> Root {
        let mut past = before.past.clone();
        if before.generation > 0 {
            past.insert(
                0,
                PastApply {
                    generation: before.generation,
                    apply_id: before.apply_id.clone(),
                },
            );
        }
        past.truncate(MAX_PAST_APPLIES);
        let services = objects.iter().map(|object| ServiceRef {
            name: object.name.clone(),
            hash: object.hash.clone(),
        });
        Root {
            generation: before.generation.max(self.above_generation) + 1,
            apply_id: self.apply_id.clone(),
            author: self.author.clone(),
            applied_ms: self.applied_ms,
            services: services.collect(),
            past,
        }
    }

    /// Replaces the root by a conditional write. A write without an answer is retried under the same condition, so it
    /// takes effect at most once however often it arrives.
    fn swap(
        &self,
        store: &dyn ObjectStore,
        text: &str,
        expect: WriteCondition,
        before: &Root,
    ) -> Result<ApplyOutcome, ApplyError> {
        let mut no_answer = None;
        for _ in 0..=MAX_RETRIES {
            match store.put(ROOT_KEY, text, expect) {
                Ok(_) => {
                    return Ok(ApplyOutcome::Accepted(
                        before.generation.max(self.above_generation) + 1,
                    ));
                }
                Err(StoreError::Conflict { .. }) => return Ok(self.read_back(store, before)),
                Err(StoreError::NoAnswer(why)) => no_answer = Some(why),
                // The store refused this attempt; an earlier one without an answer may still take effect.
                Err(error) => match no_answer {
                    None => return Err(error.into()),
                    Some(why) => return Ok(ApplyOutcome::Unknown(why)),
                },
            }
        }
        Ok(self.read_back(store, before))
    }

    /// Reads the root back to find out whether this apply took effect. A stale read does not tell and is repeated.
    fn read_back(&self, store: &dyn ObjectStore, before: &Root) -> ApplyOutcome {
        let mut last = ApplyOutcome::Unknown("the write may still arrive".into());
        for _ in 0..=MAX_RETRIES {
            last = match read_root(store) {
                Ok(Some((_, root))) => self.outcome_from(&root, before),
                Ok(None) => ApplyOutcome::Unknown("the write may still arrive".into()),
                Err(error) => ApplyOutcome::Unknown(error.to_string()),
            };
            if !matches!(last, ApplyOutcome::Unknown(_)) {
                break;
            }
        }
        last
    }

    /// Returns the outcome of this apply, by the root that was read back.
    pub fn outcome_from(&self, root: &Root, before: &Root) -> ApplyOutcome {
        if root.apply_id == self.apply_id {
            return ApplyOutcome::Accepted(root.generation);
        }
        let past = root.past.iter().find(|past| past.apply_id == self.apply_id);
        if let Some(past) = past {
            return ApplyOutcome::Superseded {
                generation: past.generation,
                by: root.generation,
            };
        }
        match root.generation > before.generation {
            true => conflicting(root, &before.services),
            false => ApplyOutcome::Unknown("the write may still arrive".into()),
        }
    }

    fn should_prune(&self, root: &Root) -> bool {
        root.generation.is_multiple_of(PRUNE_INTERVAL_GENERATIONS)
    }
}

fn conflicting(root: &Root, before: &[ServiceRef]) -> ApplyOutcome {
    ApplyOutcome::Conflicting {
        generation: root.generation,
        author: root.author.clone(),
        changes: root.changes_since(before),
    }
}

fn object_sizes(objects: &[ServiceObject], root: &str) -> Vec<(String, usize)> {
    let objects = objects.iter();
    let objects = objects.map(|object| (format!("service {}", object.name), object.text.len()));
    let root = ("the root".into(), root.len());
    objects.chain([root]).collect()
}

/// Writes an object whose value follows from its key, so that a conflict means that it is already written.
fn write_absent(store: &dyn ObjectStore, key: &str, value: &str) -> Result<(), StoreError> {
    let mut last = Ok(());
    for _ in 0..=MAX_RETRIES {
        match store.put(key, value, WriteCondition::Absent) {
            Ok(_) | Err(StoreError::Conflict { .. }) => return Ok(()),
            Err(StoreError::NoAnswer(why)) => last = Err(StoreError::NoAnswer(why)),
            Err(error) => return Err(error),
        }
    }
    confirm_written(store, key, value).or(last)
}

/// Reads an object back after writes without an answer. Succeeds if it holds the value that was to be written.
fn confirm_written(store: &dyn ObjectStore, key: &str, value: &str) -> Result<(), StoreError> {
    match store.get(key)? {
        Some(object) if object.value == value => Ok(()),
        _ => Err(StoreError::NoAnswer("the write may still arrive".into())),
    }
}

/// Writes a service object. One that exists already is written again: its new version keeps a concurrent prune from
/// deleting it, and a corrupt one is repaired.
fn write_object(store: &dyn ObjectStore, object: &ServiceObject) -> Result<(), StoreError> {
    let key = service_key(&object.hash);
    let mut expect = WriteCondition::Absent;
    let mut last = Ok(());
    for _ in 0..=MAX_RETRIES {
        match store.put(&key, &object.text, expect) {
            Ok(_) => return Ok(()),
            Err(StoreError::Conflict { found: Some(found) }) => {
                expect = WriteCondition::Version(found)
            }
            Err(StoreError::Conflict { found: None }) => expect = WriteCondition::Absent,
            Err(StoreError::NoAnswer(why)) => last = Err(StoreError::NoAnswer(why)),
            Err(error) => return Err(error),
        }
    }
    confirm_written(store, &key, &object.text).or(last)
}

/// Deletes the earlier roots beyond those kept, and the service objects that no kept root names.
///
/// A concurrent apply writes its objects after it has read the root. So an object that is older than the root and not
/// named by it does not belong to an apply that is still running.
fn prune(store: &dyn ObjectStore, generation: Generation) -> Result<(), ApplyError> {
    let Some((version, root)) = read_root(store)? else {
        return Ok(());
    };
    if root.generation != generation {
        return Ok(());
    }
    let oldest = history_key(generation.saturating_sub(MAX_HISTORY_ROOTS));
    let history = store.list(HISTORY_PREFIX)?.changes;
    let (dropped, kept): (Vec<_>, Vec<_>) = history.into_iter().partition(|c| c.key < oldest);
    for change in dropped {
        drop(store.delete(&change.key, change.version));
    }
    let kept = kept.into_iter().filter_map(|change| change.value);
    let kept = kept.filter_map(|value| serde_json::from_str::<Root>(&value).ok());
    let named = kept.chain([root]).flat_map(|root| root.services);
    let named: HashSet<String> = named.map(|part| service_key(&part.hash)).collect();
    for change in store.list(SERVICES_PREFIX)?.changes {
        if change.version < version && !named.contains(&change.key) {
            drop(store.delete(&change.key, change.version));
        }
    }
    Ok(())
}
