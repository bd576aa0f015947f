//! The root object of an accepted manifest: a content-addressed list of its service objects.
//!
//! A service object is the JSON text of one service, addressed by the hash of that text. The root lists the hashes of
//! all of them, so a VM detects a missing or corrupt object before it puts the manifest in force, and a change of one
//! service transfers only its object and the root.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::{Manifest, Service};
use crate::utils::HashMap;
use crate::world::ids::{Generation, ServiceName};

/// The most earlier applies that a root lists, so that an apply whose answer was lost can still be found.
pub const MAX_PAST_APPLIES: usize = 32;

/// The blake3 hash of a text, in hex.
#[derive(
    Clone, Debug, derive_more::Display, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct ContentHash(String);

impl ContentHash {
    /// Returns the hash of a text.
    pub fn of(text: &str) -> Self {
        Self(blake3::hash(text.as_bytes()).to_hex().to_string())
    }

    /// Parses a hash of 64 hex digits.
    pub fn parse(word: &str) -> Option<Self> {
        let hex = word.len() == 64 && word.bytes().all(|b| b.is_ascii_hexdigit());
        hex.then(|| Self(word.to_ascii_lowercase()))
    }

    /// Returns the first eight bytes of the hash, for cheap comparisons.
    pub fn short(&self) -> u64 {
        let head = self.0.get(..16).unwrap_or_default();
        u64::from_str_radix(head, 16).unwrap_or_default()
    }
}

/// A reference from a root to a service object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceRef {
    /// The service's name.
    pub name: ServiceName,
    /// The hash of the service's object.
    pub hash: ContentHash,
}

/// An earlier accepted apply.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PastApply {
    /// The generation under which it was accepted.
    pub generation: Generation,
    /// The apply's id.
    pub apply_id: String,
}

/// The content of the root object.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Root {
    /// The generation, greater than that of every earlier root.
    pub generation: Generation,
    /// The id of the apply that wrote it, by which a client whose answer was lost finds out that it succeeded.
    pub apply_id: String,
    /// Who applied it.
    pub author: String,
    /// When it was applied, by the author's clock, in ms since 1970.
    pub applied_ms: u64,
    /// The services, in the manifest's order.
    pub services: Vec<ServiceRef>,
    /// The latest applies before this one, newest first.
    pub past: Vec<PastApply>,
}

impl Root {
    /// Returns the text that is stored and hashed.
    pub fn text(&self) -> String {
        serde_json::to_string(self).expect("a root has no map with keys other than texts")
    }

    /// Returns the services that differ from those of an earlier root.
    pub fn changes_since(&self, earlier: &[ServiceRef]) -> Vec<ServiceChange> {
        let before: HashMap<_, _> = earlier.iter().map(|s| (&s.name, &s.hash)).collect();
        let after: HashMap<_, _> = self.services.iter().map(|s| (&s.name, &s.hash)).collect();
        let mut changes = Vec::new();
        for service in &self.services {
            let name = service.name.clone();
            match before.get(&service.name) {
                None => changes.push(ServiceChange::Added(name)),
                Some(hash) if **hash != service.hash => changes.push(ServiceChange::Changed(name)),
                Some(_) => {}
            }
        }
        let removed = earlier.iter().filter(|s| !after.contains_key(&s.name));
        changes.extend(removed.map(|s| ServiceChange::Removed(s.name.clone())));
        changes
    }
}

/// How one service differs between two roots.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceChange {
    /// The service was added.
    Added(ServiceName),
    /// The service's content changed.
    Changed(ServiceName),
    /// The service was removed.
    Removed(ServiceName),
}

impl fmt::Display for ServiceChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added(name) => write!(f, "+ {name}"),
            Self::Changed(name) => write!(f, "~ {name}"),
            Self::Removed(name) => write!(f, "- {name}"),
        }
    }
}

/// A service as an object of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceObject {
    /// The service's name.
    pub name: ServiceName,
    /// The hash of the text.
    pub hash: ContentHash,
    /// The service as JSON.
    pub text: String,
}

impl ServiceObject {
    /// Builds the object of a service.
    pub fn new(service: &Service) -> Self {
        let text = serde_json::to_string(service).expect("a service's keys are texts");
        Self {
            name: service.name.clone(),
            hash: ContentHash::of(&text),
            text,
        }
    }
}

/// Returns the service objects of a manifest, in the manifest's order.
pub fn service_objects(manifest: &Manifest) -> Vec<ServiceObject> {
    let services = manifest.services.iter();
    services
        .map(|service| ServiceObject::new(service))
        .collect()
}

/// The difference between two roots, sent to a VM that has an earlier generation: the later root without the services
/// that did not change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RootDelta {
    /// The generation of the earlier root; 0 if all services are listed.
    pub since: Generation,
    /// The later root, with only the services that changed since then.
    pub root: Root,
    /// The names of all services in order, if the set or the order of names changed.
    pub order: Option<Vec<ServiceName>>,
    /// The hash of the complete later root's text.
    pub hash: ContentHash,
}

impl RootDelta {
    /// Builds the difference between two roots; without an earlier root it lists all services.
    pub fn between(earlier: Option<&Root>, later: &Root) -> Self {
        let earlier_services = earlier.map_or(&[][..], |root| &root.services);
        let names = |services: &[ServiceRef]| -> Vec<ServiceName> {
            services.iter().map(|s| s.name.clone()).collect()
        };
        let changed = later
            .services
            .iter()
            .filter(|s| !earlier_services.contains(s));
        let order = names(&later.services);
        Self {
            since: earlier.map_or(0, |root| root.generation),
            root: Root {
                services: changed.cloned().collect(),
                ..later.clone()
            },
            order: (order != names(earlier_services)).then_some(order),
            hash: ContentHash::of(&later.text()),
        }
    }

    /// Returns the complete later root; `None` if `earlier` is not the root that the difference starts from, or if the
    /// result does not have the expected hash.
    pub fn apply(&self, earlier: Option<&Root>) -> Option<Root> {
        let earlier_services = match self.since {
            0 => &[][..],
            since => &earlier.filter(|root| root.generation == since)?.services,
        };
        let both = earlier_services.iter().chain(&self.root.services);
        let hashes: HashMap<_, _> = both.map(|s| (&s.name, &s.hash)).collect();
        let same_order = || earlier_services.iter().map(|s| s.name.clone()).collect();
        let order = self.order.clone().unwrap_or_else(same_order);
        let services = order.into_iter().map(|name| {
            let hash = (*hashes.get(&name)?).clone();
            Some(ServiceRef { name, hash })
        });
        let root = Root {
            services: services.collect::<Option<_>>()?,
            ..self.root.clone()
        };
        (ContentHash::of(&root.text()) == self.hash).then_some(root)
    }
}
