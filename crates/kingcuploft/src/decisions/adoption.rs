//! Manifest adoption: which manifest a VM takes, from which parts, and when it is in force.
//!
//! Load pattern: 17,000 changes a day reach every VM from several sources at once (a watch, a listing, a slow poll,
//! peers), each of which may lag, repeat itself or be cut off half way. Without this module a stale read would put an
//! older manifest back in force, a missing object would put half a manifest in force, and a VM that was replaced would
//! serve what a lagging source sent it first.
//!
//! A manifest is in force only when its root and every service object are here and each object's hash matches. The
//! generation in force only grows, whatever the source. A VM with nothing in force waits for the newest generation that
//! any source announced: it reports "not ready" rather than serve an older manifest than a peer has. A VM with a
//! manifest keeps it while parts of a newer one are missing or corrupt.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::manifest::root::{ContentHash, Root, RootDelta};
use crate::manifest::{AcceptedManifest, Manifest, Service};
use crate::utils::{HashMap, HashSet};
use crate::world::ids::Generation;

/// How many earlier roots are kept to answer peers with a delta; at 17,000 changes a day a peer that is 30 s behind
/// misses 6, and at 740 services a root takes about 100 kB.
pub const MAX_EARLIER_ROOTS: usize = 8;

/// The result of taking a part or an announcement.
#[derive(Clone, Debug)]
pub enum AdoptionStep {
    /// Nothing has changed.
    Unchanged,
    /// Parts of a newer manifest are missing: see [`Adoption::missing_parts`].
    FetchMissing,
    /// This manifest is in force from now on.
    InForce(AcceptedManifest),
}

/// What is missing for the newest generation that is known of.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MissingParts {
    /// Nothing is missing.
    Nothing,
    /// The root of a generation at least this high is missing; the root of `since` is here.
    Root {
        /// The newest generation announced.
        generation: Generation,
        /// The generation of the newest root here; 0 for none.
        since: Generation,
    },
    /// These service objects are missing.
    Services(Vec<ContentHash>),
}

/// Why a part was not taken.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum AdoptionError {
    /// The text of the root object can not be read as a root.
    #[error("the root object is corrupt: {0}")]
    CorruptRoot(String),
    /// The delta does not apply to the root known here, or the resulting hash is wrong.
    #[error("the root of generation {0} does not apply to the one known here")]
    DeltaMismatch(Generation),
    /// An object's text has another hash than its name says.
    #[error("service object {0} is corrupt: its text has another hash")]
    WrongHash(ContentHash),
    /// A source does not have an object.
    #[error("service object {0} is missing")]
    Missing(ContentHash),
    /// An object's text has the right hash but can not be read.
    #[error("service object {hash} can not be read: {why}")]
    Unreadable {
        /// The hash of the object.
        hash: ContentHash,
        /// The reason.
        why: String,
    },
    /// The same generation has two contents: the store was reset or tampered with.
    #[error("generation {0} has two different contents; the one in force is kept")]
    ConflictingContents(Generation),
}

/// The state of adoption, for status pages and metrics.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct AdoptionStatus {
    /// The generation in force; 0 for none.
    pub in_force: Generation,
    /// The hash of the root in force.
    pub root: Option<ContentHash>,
    /// The newest generation that any source announced.
    pub heard: Generation,
    /// How many service objects of a newer root are missing.
    pub missing: usize,
    /// The last error with a part, until a newer manifest is in force.
    pub fault: Option<String>,
}

/// A root, with its hash.
#[derive(Clone, Debug)]
struct KnownRoot {
    root: Root,
    hash: ContentHash,
}

/// A service object that is here, as text and parsed.
#[derive(Clone, Debug)]
struct KnownService {
    text: Arc<str>,
    service: Arc<Service>,
}

/// The manifest in force, the newer one that is being gathered, and its parts.
#[derive(Clone, Debug, Default)]
pub struct Adoption {
    in_force: Option<KnownRoot>,
    pending: Option<KnownRoot>,
    newest_announced: Generation,
    services: HashMap<ContentHash, KnownService>,
    earlier_roots: VecDeque<Root>,
    last_error: Option<String>,
    awaits_sources: bool,
}

impl Adoption {
    /// Creates the adoption of a VM that just started: it puts nothing in force before enough sources were asked, for
    /// the first that answers may be a peer that was partitioned off for an hour.
    pub fn awaiting_sources() -> Self {
        Self {
            awaits_sources: true,
            ..Self::default()
        }
    }

    /// Returns whether sources are still being asked for a first manifest.
    pub fn awaits_sources(&self) -> bool {
        self.awaits_sources
    }

    /// Records that enough sources were asked: the store answered, or peers had the time to.
    pub fn sources_asked(&mut self) -> AdoptionStep {
        self.awaits_sources = false;
        self.try_activate()
    }

    /// Returns the generation in force; 0 for none.
    pub fn generation(&self) -> Generation {
        self.in_force
            .as_ref()
            .map_or(0, |known| known.root.generation)
    }

    /// Returns the hash of the root in force.
    pub fn root_hash(&self) -> Option<&ContentHash> {
        self.in_force.as_ref().map(|known| &known.hash)
    }

    /// Records that some source has this generation.
    pub fn note_generation(&mut self, generation: Generation) {
        self.newest_announced = self.newest_announced.max(generation);
    }

    /// Takes the text of a root object.
    ///
    /// # Errors
    ///
    /// Fails with [`AdoptionError::CorruptRoot`] or [`AdoptionError::ConflictingContents`]; nothing changes then.
    pub fn root_text(&mut self, text: &str) -> Result<AdoptionStep, AdoptionError> {
        match serde_json::from_str::<Root>(text) {
            Ok(root) => self.root(root),
            Err(error) => self.record_error(AdoptionError::CorruptRoot(error.to_string())),
        }
    }

    /// Takes a root as a delta to the one known here.
    ///
    /// # Errors
    ///
    /// Fails with [`AdoptionError::DeltaMismatch`] or [`AdoptionError::ConflictingContents`]; nothing changes then.
    pub fn root_delta(&mut self, delta: &RootDelta) -> Result<AdoptionStep, AdoptionError> {
        match delta.apply(self.newest_root()) {
            Some(root) => self.root(root),
            None => self.record_error(AdoptionError::DeltaMismatch(delta.root.generation)),
        }
    }

    /// Takes the text of a service object.
    ///
    /// # Errors
    ///
    /// Fails with [`AdoptionError::WrongHash`] or [`AdoptionError::Unreadable`]; nothing changes then.
    pub fn service_text(
        &mut self,
        hash: &ContentHash,
        text: &str,
    ) -> Result<AdoptionStep, AdoptionError> {
        if ContentHash::of(text) != *hash {
            return self.record_error(AdoptionError::WrongHash(hash.clone()));
        }
        if !self.is_pending_part(hash) {
            return Ok(AdoptionStep::Unchanged);
        }
        let service = match serde_json::from_str::<Service>(text) {
            Ok(service) => Arc::new(service),
            Err(error) => {
                return self.record_error(AdoptionError::Unreadable {
                    hash: hash.clone(),
                    why: error.to_string(),
                });
            }
        };
        let text = text.into();
        self.services
            .insert(hash.clone(), KnownService { text, service });
        Ok(self.try_activate())
    }

    /// Records that a source lacks a service object that its root names.
    ///
    /// # Errors
    ///
    /// Fails with [`AdoptionError::Missing`], which the status then shows.
    pub fn service_missing(&mut self, hash: &ContentHash) -> Result<AdoptionStep, AdoptionError> {
        match self.is_pending_part(hash) && !self.services.contains_key(hash) {
            true => self.record_error(AdoptionError::Missing(hash.clone())),
            false => Ok(AdoptionStep::Unchanged),
        }
    }

    /// Returns what is missing for the newest generation that is known of.
    pub fn missing_parts(&self) -> MissingParts {
        let newest = self.newest_root().map_or(0, |root| root.generation);
        match &self.pending {
            Some(pending) if newest >= self.newest_announced => {
                MissingParts::Services(self.missing(&pending.root))
            }
            _ if newest < self.newest_announced => MissingParts::Root {
                generation: self.newest_announced,
                since: newest,
            },
            _ => MissingParts::Nothing,
        }
    }

    /// Returns the root in force as a delta for a peer that knows an earlier generation; `None` where there is nothing
    /// newer.
    pub fn delta_since(&self, since: Generation) -> Option<RootDelta> {
        let known = self.in_force.as_ref()?;
        if known.root.generation <= since {
            return None;
        }
        let earlier = self
            .earlier_roots
            .iter()
            .find(|root| root.generation == since);
        Some(RootDelta::between(earlier, &known.root))
    }

    /// Returns the text of a service object that is here.
    pub fn service(&self, hash: &ContentHash) -> Option<&Arc<str>> {
        self.services.get(hash).map(|known| &known.text)
    }

    /// Returns the state for status pages and metrics.
    pub fn status(&self) -> AdoptionStatus {
        let missing = self.pending.as_ref().map(|known| self.missing(&known.root));
        AdoptionStatus {
            in_force: self.generation(),
            root: self.root_hash().cloned(),
            heard: self.newest_announced,
            missing: missing.map_or(0, |missing| missing.len()),
            fault: self.last_error.clone(),
        }
    }

    /// Takes a root that was parsed.
    fn root(&mut self, root: Root) -> Result<AdoptionStep, AdoptionError> {
        let hash = ContentHash::of(&root.text());
        let generation = root.generation;
        let conflicts = |known: &Option<KnownRoot>| {
            let known = known.as_ref();
            known.is_some_and(|k| k.root.generation == generation && k.hash != hash)
        };
        if conflicts(&self.in_force) || conflicts(&self.pending) {
            return self.record_error(AdoptionError::ConflictingContents(generation));
        }
        self.note_generation(generation);
        // An older root than the newest here is a stale read or comes from a peer that lags: the generation only grows.
        if generation <= self.newest_root().map_or(0, |root| root.generation) {
            return Ok(self.try_activate());
        }
        self.pending = Some(KnownRoot { root, hash });
        Ok(self.try_activate())
    }

    /// Puts the pending root in force if it is complete.
    fn try_activate(&mut self) -> AdoptionStep {
        let Some(pending) = &self.pending else {
            return AdoptionStep::Unchanged;
        };
        // A first manifest must be the newest that any source announced; a later one is progress even where a still
        // newer one is known of.
        let first_is_stale =
            self.in_force.is_none() && pending.root.generation < self.newest_announced;
        if first_is_stale || self.awaits_sources {
            return AdoptionStep::FetchMissing;
        }
        let mut services = Vec::new();
        for part in &pending.root.services {
            match self.services.get(&part.hash) {
                Some(known) => services.push(Arc::clone(&known.service)),
                None => return AdoptionStep::FetchMissing,
            }
        }
        let generation = pending.root.generation;
        self.activate_pending();
        AdoptionStep::InForce(AcceptedManifest {
            generation,
            manifest: Arc::new(Manifest { services }),
        })
    }

    /// Puts the pending root in force and drops the service objects that it does not name.
    fn activate_pending(&mut self) {
        let old = std::mem::replace(&mut self.in_force, self.pending.take());
        self.earlier_roots.extend(old.map(|known| known.root));
        if self.earlier_roots.len() > MAX_EARLIER_ROOTS {
            self.earlier_roots.pop_front();
        }
        self.last_error = None;
        let services = self.in_force.iter().flat_map(|known| &known.root.services);
        let used: HashSet<&ContentHash> = services.map(|part| &part.hash).collect();
        self.services.retain(|hash, _| used.contains(hash));
    }

    fn newest_root(&self) -> Option<&Root> {
        let newest = self.pending.as_ref().or(self.in_force.as_ref());
        newest.map(|known| &known.root)
    }

    fn is_pending_part(&self, hash: &ContentHash) -> bool {
        let pending = self.pending.as_ref();
        pending.is_some_and(|known| known.root.services.iter().any(|part| part.hash == *hash))
    }

    fn missing(&self, root: &Root) -> Vec<ContentHash> {
        let parts = root.services.iter().map(|part| &part.hash);
        let parts = parts.filter(|hash| !self.services.contains_key(*hash));
        parts.cloned().collect()
    }

    fn record_error<T>(&mut self, error: AdoptionError) -> Result<T, AdoptionError> {
        self.last_error = Some(error.to_string());
        Err(error)
    }
}
