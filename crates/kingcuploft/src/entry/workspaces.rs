//! The workspaces of a configuration: who may call, by which key, with which priority and quota.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::key_digest::KeyDigest;
use crate::utils::{HashMap, HashSet, digest};
use crate::world::ids::WorkspaceName;

/// One workspace.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Workspace {
    /// Its name, which servers are told.
    pub name: WorkspaceName,
    /// The digests of its keys, in ascending order; none if it may not call.
    pub keys: Vec<KeyDigest>,
    /// Its priority, which goes before that of a route; 0 is the highest.
    pub priority: Option<u32>,
    /// How many requests it may make; `None` for any number.
    pub quota: Option<Quota>,
}

/// How many requests of a workspace all VMs together may serve.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Quota {
    /// Requests in a thousand seconds.
    pub per_1000_s: u64,
    /// Requests beyond that rate in one burst, in thousandths.
    pub burst_milli: u64,
}

/// Maximum length of a name or a key, in bytes: a request's head must hold it.
const MAX_BYTES: usize = 4096;

/// The largest rate and burst that are believed.
const MAX_REQUESTS: f64 = 1e9;

/// Returns whether a text can stand in a header: not empty, not too long, visible characters only.
fn is_visible(text: &str) -> bool {
    let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    !text.is_empty() && text.len() <= MAX_BYTES && visible
}

impl Workspace {
    /// Builds a workspace from what an operator has written; a rate of 0 is no quota. The keys are digested.
    ///
    /// # Errors
    ///
    /// Returns an error that says what can't be used. It never repeats a key.
    pub fn new(
        name: &str,
        keys: &[&str],
        priority: Option<u32>,
        per_s: f64,
        burst: f64,
    ) -> Result<Self, WorkspaceError> {
        if !is_visible(name) {
            return Err(WorkspaceError::InvalidName);
        }
        let invalid = keys.iter().position(|key| !is_visible(key));
        if let Some(at) = invalid {
            return Err(WorkspaceError::InvalidKey(name.into(), at));
        }
        let is_number = |number: f64| (0.0..=MAX_REQUESTS).contains(&number);
        if !is_number(per_s) || !is_number(burst) {
            return Err(WorkspaceError::InvalidQuota(name.into(), per_s, burst));
        }
        let digests = keys.iter().map(|key| KeyDigest::of(key.as_bytes()));
        let mut keys: Vec<_> = digests.collect();
        keys.sort_unstable();
        keys.dedup();
        Ok(Self {
            name: name.into(),
            keys,
            priority,
            quota: Quota::new(per_s, burst),
        })
    }
}

impl Quota {
    /// Returns the quota of a rate and a burst; `None` for a rate that rounds to 0.
    pub fn new(per_s: f64, burst: f64) -> Option<Self> {
        let quota = Self {
            per_1000_s: (per_s * 1000.0).round() as u64,
            burst_milli: (burst * 1000.0).round() as u64,
        };
        (quota.per_1000_s > 0).then_some(quota)
    }

    /// Returns the requests per second.
    pub fn per_s(&self) -> f64 {
        self.per_1000_s as f64 / 1000.0
    }

    /// Returns the requests of one burst.
    pub fn burst(&self) -> f64 {
        self.burst_milli as f64 / 1000.0
    }
}

/// Why a list of workspaces can't be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum WorkspaceError {
    /// A name is empty, too long, or holds what can't stand in a header.
    #[error("a name is no visible text")]
    InvalidName,
    /// A key is empty, too long, or holds what can't stand in a header.
    #[error("workspace '{0}': key {1} is no visible text")]
    InvalidKey(WorkspaceName, usize),
    /// A rate or a burst is negative, too large or not a number.
    #[error("workspace '{0}': {1} requests a second with a burst of {2} are no quota")]
    InvalidQuota(WorkspaceName, f64, f64),
    /// Two workspaces have the same name.
    #[error("workspace '{0}' is named twice")]
    NamedTwice(WorkspaceName),
    /// Two workspaces have the same key.
    #[error("workspaces '{0}' and '{1}' have the same key")]
    SharedKey(WorkspaceName, WorkspaceName),
}

/// The workspaces of a configuration, found by name and by key.
#[derive(Clone, Debug, Default)]
pub struct Workspaces {
    by_name: HashMap<WorkspaceName, Arc<Workspace>>,
    by_key: HashMap<KeyDigest, Arc<Workspace>>,
}

impl Workspaces {
    /// Builds the table of workspaces.
    ///
    /// # Errors
    ///
    /// Returns an error if two workspaces have the same name or the same key.
    pub fn new(workspaces: Vec<Workspace>) -> Result<Self, WorkspaceError> {
        let mut table = Self::default();
        for workspace in workspaces {
            if table.by_name.contains_key(&workspace.name) {
                return Err(WorkspaceError::NamedTwice(workspace.name));
            }
            let taken = workspace.keys.iter().find_map(|key| table.by_key.get(key));
            if let Some(other) = taken {
                let other = other.name.clone();
                return Err(WorkspaceError::SharedKey(other, workspace.name));
            }
            table.insert(Arc::new(workspace));
        }
        Ok(table)
    }

    fn insert(&mut self, workspace: Arc<Workspace>) {
        for key in &workspace.keys {
            self.by_key.insert(*key, workspace.clone());
        }
        self.by_name.insert(workspace.name.clone(), workspace);
    }

    fn remove(&mut self, name: &str) {
        if let Some(workspace) = self.by_name.remove(name) {
            for key in &workspace.keys {
                self.by_key.remove(key);
            }
        }
    }

    /// Applies a change. A key may move from one workspace to another within it.
    pub(super) fn apply(&mut self, removed: &[WorkspaceName], written: Vec<Arc<Workspace>>) {
        removed.iter().for_each(|name| self.remove(name));
        written
            .iter()
            .for_each(|workspace| self.remove(&workspace.name));
        written
            .into_iter()
            .for_each(|workspace| self.insert(workspace));
    }

    /// Returns the workspace that holds a key.
    pub fn by_key(&self, key: &KeyDigest) -> Option<&Arc<Workspace>> {
        self.by_key.get(key)
    }

    /// Returns the workspace of this name.
    pub fn by_name(&self, name: &str) -> Option<&Arc<Workspace>> {
        self.by_name.get(name)
    }

    /// Returns the number of workspaces.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns whether there is no workspace.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Returns the number of keys of all workspaces.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }

    /// Returns all workspaces, in any order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.by_name.values()
    }

    /// Returns all workspaces, ordered by name.
    pub fn sorted(&self) -> Vec<Arc<Workspace>> {
        let mut all: Vec<_> = self.by_name.values().cloned().collect();
        all.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        all
    }

    /// Returns a hash that is independent of the order of workspaces.
    pub fn digest(&self) -> u64 {
        let all = self.by_name.values().map(|workspace| digest(&**workspace));
        all.fold(0, u64::wrapping_add)
    }

    /// Returns the workspaces of `new` that differ from those of this table, and the names that `new` lacks, both
    /// ordered by name.
    pub(super) fn difference(&self, new: &Self) -> (Vec<WorkspaceName>, Vec<Arc<Workspace>>) {
        let mut written = new.sorted();
        written.retain(|workspace| self.by_name.get(&workspace.name) != Some(workspace));
        let names: HashSet<_> = new.by_name.keys().collect();
        let gone = self.by_name.keys().filter(|name| !names.contains(name));
        let mut removed: Vec<_> = gone.cloned().collect();
        removed.sort_unstable();
        (removed, written)
    }
}
