//! Which manifest a VM takes, from which parts, and when it is in force.
//!
//! Load pattern: 17,000 changes a day reach every VM from several sources at once (a watch, a
//! listing, a slow poll, peers), each of which may lag, repeat itself or be cut off half way.
//! Without this module a stale read would put an older manifest back in force, a missing object
//! would put half a manifest in force, and a VM that was replaced would serve what a lagging
//! source told it first.
//!
//! A manifest is in force only when its root and every service object are here and each object's
//! hash fits. The generation in force only grows, whatever the source. A VM with nothing in force
//! waits for the newest generation that any source told it of: it says not ready in place of
//! serving an older manifest than a peer has. A VM with a manifest keeps it while parts of a newer
//! one are missing or corrupt.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::manifest::root::{ContentHash, Root, RootDelta};
use crate::manifest::{Accepted, Manifest, Service};
use crate::utils::{HashMap, HashSet};
use crate::world::ids::Generation;

/// How many earlier roots are kept to answer peers with a difference; at 17,000 changes a day a
/// peer that is 30 s behind misses 6, and at 740 services a root takes about 100 kB.
pub const MAX_EARLIER_ROOTS: usize = 8;

/// What a VM does next after it learnt something.
#[derive(Clone, Debug)]
pub enum AdoptionStep {
    /// Nothing is new.
    Unchanged,
    /// Parts of a newer manifest are missing: see [`Adoption::need`].
    FetchMissing,
    /// This manifest is in force from now on.
    InForce(Accepted),
}

/// What is missing for the newest generation that is known of.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MissingParts {
    /// Nothing.
    Nothing,
    /// The root of a generation at least this high; `since` is known.
    Root {
        /// The generation heard of.
        generation: Generation,
        /// The generation of the newest root here; 0 for none.
        since: Generation,
    },
    /// These service objects.
    Services(Vec<ContentHash>),
}

/// Why a part was not taken.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum AdoptionError {
    /// The root's text is not a root.
    #[error("the root object is corrupt: {0}")]
    CorruptRoot(String),
    /// The difference does not fit the root known here, or its hash is wrong.
    #[error("the root of generation {0} does not follow from the one known here")]
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
        /// The object.
        hash: ContentHash,
        /// Why.
        why: String,
    },
    /// The same generation has two contents: the store was reset or tampered with.
    #[error("generation {0} was seen with two contents; the one in force stays")]
    ConflictingContents(Generation),
}

/// What is known, for status pages and metrics.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct AdoptionStatus {
    /// The generation in force; 0 for none.
    pub in_force: Generation,
    /// The hash of the root in force.
    pub root: Option<ContentHash>,
    /// The newest generation any source told of.
    pub heard: Generation,
    /// How many service objects of a newer root are missing.
    pub missing: usize,
    /// The last part that was not taken, until a newer manifest is in force.
    pub fault: Option<String>,
}

/// A root that is known, with its hash.
#[derive(Clone, Debug)]
struct KnownRoot {
    root: Root,
    hash: ContentHash,
}

/// A service object that is here.
#[derive(Clone, Debug)]
struct KnownService {
    text: Arc<str>,
    service: Arc<Service>,
}

/// What a VM knows of the manifests.
#[derive(Clone, Debug, Default)]
pub struct Adoption {
    in_force: Option<KnownRoot>,
    awaited: Option<KnownRoot>,
    heard: Generation,
    services: HashMap<ContentHash, KnownService>,
    earlier: VecDeque<Root>,
    fault: Option<String>,
    gathers: bool,
}

impl Adoption {
    /// Builds the adoption of a VM that just started: it puts nothing in force before enough
    /// sources were asked, for the first that answers may be a peer that was cut off for an hour.
    pub fn awaiting_sources() -> Self {
        Self {
            gathers: true,
            ..Self::default()
        }
    }

    /// Tells whether sources are still being asked for a first manifest.
    pub fn awaits_sources(&self) -> bool {
        self.gathers
    }

    /// Notes that enough sources were asked: the store answered, or peers had the time to.
    pub fn sources_asked(&mut self) -> AdoptionStep {
        self.gathers = false;
        self.step()
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

    /// Notes that some source knows this generation.
    pub fn note_generation(&mut self, generation: Generation) {
        self.heard = self.heard.max(generation);
    }

    /// Takes the text of a root object.
    ///
    /// # Errors
    ///
    /// [`AdoptionError::CorruptRoot`] or [`AdoptionError::TwoContents`]; nothing changes.
    pub fn root_text(&mut self, text: &str) -> Result<AdoptionStep, AdoptionError> {
        match serde_json::from_str::<Root>(text) {
            Ok(root) => self.root(root),
            Err(error) => self.failed(AdoptionError::CorruptRoot(error.to_string())),
        }
    }

    /// Takes a root as a difference to the one known here.
    ///
    /// # Errors
    ///
    /// [`AdoptionError::Unfit`] or [`AdoptionError::TwoContents`]; nothing changes.
    pub fn root_delta(&mut self, delta: &RootDelta) -> Result<AdoptionStep, AdoptionError> {
        match delta.apply(self.newest_root()) {
            Some(root) => self.root(root),
            None => self.failed(AdoptionError::DeltaMismatch(delta.root.generation)),
        }
    }

    /// Takes the text of a service object.
    ///
    /// # Errors
    ///
    /// [`AdoptionError::WrongHash`] or [`AdoptionError::Unreadable`]; nothing changes.
    pub fn service_text(
        &mut self,
        hash: &ContentHash,
        text: &str,
    ) -> Result<AdoptionStep, AdoptionError> {
        if ContentHash::of(text) != *hash {
            return self.failed(AdoptionError::WrongHash(hash.clone()));
        }
        if !self.awaits(hash) {
            return Ok(AdoptionStep::Unchanged);
        }
        let service = match serde_json::from_str::<Service>(text) {
            Ok(service) => Arc::new(service),
            Err(error) => {
                return self.failed(AdoptionError::Unreadable {
                    hash: hash.clone(),
                    why: error.to_string(),
                });
            }
        };
        let text = text.into();
        self.services
            .insert(hash.clone(), KnownService { text, service });
        Ok(self.step())
    }

    /// Notes that a source lacks a service object that its root names.
    ///
    /// # Errors
    ///
    /// [`AdoptionError::Missing`], which the status then tells.
    pub fn service_missing(&mut self, hash: &ContentHash) -> Result<AdoptionStep, AdoptionError> {
        match self.awaits(hash) && !self.services.contains_key(hash) {
            true => self.failed(AdoptionError::Missing(hash.clone())),
            false => Ok(AdoptionStep::Unchanged),
        }
    }

    /// Returns what is missing.
    pub fn missing_parts(&self) -> MissingParts {
        let newest = self.newest_root().map_or(0, |root| root.generation);
        match &self.awaited {
            Some(awaited) if newest >= self.heard => {
                MissingParts::Services(self.missing(&awaited.root))
            }
            _ if newest < self.heard => MissingParts::Root {
                generation: self.heard,
                since: newest,
            },
            _ => MissingParts::Nothing,
        }
    }

    /// Returns the root in force for a peer that knows an earlier generation; `None` where there
    /// is nothing newer.
    pub fn delta_since(&self, since: Generation) -> Option<RootDelta> {
        let known = self.in_force.as_ref()?;
        if known.root.generation <= since {
            return None;
        }
        let earlier = self.earlier.iter().find(|root| root.generation == since);
        Some(RootDelta::between(earlier, &known.root))
    }

    /// Returns the text of a service object that is here.
    pub fn service(&self, hash: &ContentHash) -> Option<&Arc<str>> {
        self.services.get(hash).map(|known| &known.text)
    }

    /// Returns what is known.
    pub fn status(&self) -> AdoptionStatus {
        let missing = self.awaited.as_ref().map(|known| self.missing(&known.root));
        AdoptionStatus {
            in_force: self.generation(),
            root: self.root_hash().cloned(),
            heard: self.heard,
            missing: missing.map_or(0, |missing| missing.len()),
            fault: self.fault.clone(),
        }
    }

    /// Takes a root whose form is sound.
    fn root(&mut self, root: Root) -> Result<AdoptionStep, AdoptionError> {
        let hash = ContentHash::of(&root.text());
        let generation = root.generation;
        let two_contents = |known: &Option<KnownRoot>| {
            let known = known.as_ref();
            known.is_some_and(|k| k.root.generation == generation && k.hash != hash)
        };
        if two_contents(&self.in_force) || two_contents(&self.awaited) {
            return self.failed(AdoptionError::ConflictingContents(generation));
        }
        self.note_generation(generation);
        // An older root than the newest here is a stale read or a peer that lags: the generation
        // only grows.
        if generation <= self.newest_root().map_or(0, |root| root.generation) {
            return Ok(self.step());
        }
        self.awaited = Some(KnownRoot { root, hash });
        Ok(self.step())
    }

    /// Puts the awaited root in force if it is whole.
    fn step(&mut self) -> AdoptionStep {
        let Some(awaited) = &self.awaited else {
            return AdoptionStep::Unchanged;
        };
        // A first manifest must be the newest that any source told of; a later one is progress
        // even where a still newer one is known of.
        let first_is_stale = self.in_force.is_none() && awaited.root.generation < self.heard;
        if first_is_stale || self.gathers {
            return AdoptionStep::FetchMissing;
        }
        let mut services = Vec::new();
        for part in &awaited.root.services {
            match self.services.get(&part.hash) {
                Some(known) => services.push(Arc::clone(&known.service)),
                None => return AdoptionStep::FetchMissing,
            }
        }
        let generation = awaited.root.generation;
        self.swap();
        AdoptionStep::InForce(Accepted {
            generation,
            manifest: Arc::new(Manifest { services }),
        })
    }

    /// Makes the awaited root the one in force and forgets what no kept root needs.
    fn swap(&mut self) {
        let old = std::mem::replace(&mut self.in_force, self.awaited.take());
        self.earlier.extend(old.map(|known| known.root));
        if self.earlier.len() > MAX_EARLIER_ROOTS {
            self.earlier.pop_front();
        }
        self.fault = None;
        let services = self.in_force.iter().flat_map(|known| &known.root.services);
        let used: HashSet<&ContentHash> = services.map(|part| &part.hash).collect();
        self.services.retain(|hash, _| used.contains(hash));
    }

    fn newest_root(&self) -> Option<&Root> {
        let newest = self.awaited.as_ref().or(self.in_force.as_ref());
        newest.map(|known| &known.root)
    }

    fn awaits(&self, hash: &ContentHash) -> bool {
        let awaited = self.awaited.as_ref();
        awaited.is_some_and(|known| known.root.services.iter().any(|part| part.hash == *hash))
    }

    fn missing(&self, root: &Root) -> Vec<ContentHash> {
        let parts = root.services.iter().map(|part| &part.hash);
        let parts = parts.filter(|hash| !self.services.contains_key(*hash));
        parts.cloned().collect()
    }

    fn failed<T>(&mut self, error: AdoptionError) -> Result<T, AdoptionError> {
        self.fault = Some(error.to_string());
        Err(error)
    }
}
