//! The difference between two configurations, as VMs send it to each other.
//!
//! Load pattern: an operator changes one value of thousands of routes, or adds a thousand, and every VM has to apply
//! the change within seconds, over the network links of small machines. Only the difference is sent, in parts of
//! bounded size: a transfer over a broken link resumes with the next part, and a small VM serves requests between two
//! parts.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::configuration::{
    Configuration, ConfigurationVersion, Destination, Limits, Route, Service,
};
use super::workspaces::{Workspace, Workspaces};
use crate::utils::HashMap;
use crate::world::contract::Contract;
use crate::world::ids::{RuleName, ServiceName, WorkspaceName};

/// Maximum number of routes and workspaces in one part.
const MAX_ITEMS_PER_PART: usize = 256;

/// A change that leads from one configuration to another.
#[derive(Clone, Debug)]
pub struct ConfigurationChange {
    /// The version that the change applies to; none for a full configuration.
    pub from: Option<ConfigurationVersion>,
    /// The version that the change leads to.
    pub to: ConfigurationVersion,
    written: Vec<Arc<Route>>,
    removed: Vec<RouteKey>,
    workspaces: WorkspaceChange,
    ending: Ending,
}

/// The workspaces that a change, or a part of it, removes and writes.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
struct WorkspaceChange {
    removed: Vec<WorkspaceName>,
    written: Vec<Arc<Workspace>>,
}

/// The host and the path prefix of a route.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RouteKey(String, String);

/// The content of the last part of a change.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Ending {
    /// The services, if they differ.
    services: Option<HashMap<ServiceName, Service>>,
    /// The limits, if they differ.
    limits: Option<Limits>,
    /// Whether callers need keys.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    needs_keys: bool,
    /// The digest of the configuration that the change leads to.
    digest: u64,
}

/// One part of a change.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChangePart {
    /// The version that the change applies to; none for a full configuration.
    pub from: Option<ConfigurationVersion>,
    /// The version that the change leads to.
    pub to: ConfigurationVersion,
    /// The index of this part, from 0 on.
    pub at: u32,
    written: RouteTable,
    removed: Vec<RouteKey>,
    #[serde(default, skip_serializing_if = "WorkspaceChange::is_empty")]
    workspaces: WorkspaceChange,
    /// Present in the last part only.
    ending: Option<Ending>,
}

/// A table of routes in which repeated values are stored once.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
struct RouteTable {
    hosts: Vec<String>,
    kinds: Vec<RouteKind>,
    rows: Vec<Row>,
}

/// A route: name, index of its host, prefix, index of its kind.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Row(RuleName, usize, String, usize);

/// The properties of a route other than its name, host and prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct RouteKind {
    contract: Contract,
    target: Duration,
    timeout: Duration,
    most_attempts: u32,
    priority: u32,
    destinations: Vec<Destination>,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    is_public: bool,
}

/// A part can't be decoded.
#[derive(Debug, thiserror::Error)]
pub enum PartError {
    /// A row refers to a host or a kind that is not in the table.
    #[error("route {0}: its host or kind is not in the table")]
    UnknownIndex(RuleName),
}

impl ConfigurationChange {
    /// Returns the change that leads from one configuration to another.
    pub fn between(old: &Configuration, new: &Configuration) -> Self {
        let is_new = |route: &&Arc<Route>| {
            let known = old.route_at(&route.host, &route.path_prefix);
            known.is_none_or(|known| !Arc::ptr_eq(known, route) && known != *route)
        };
        let is_gone = |route: &&Route| new.route_at(&route.host, &route.path_prefix).is_none();
        let mut removed: Vec<_> = old.routes().filter(is_gone).map(RouteKey::of).collect();
        removed.sort_unstable();
        Self {
            from: Some(old.version),
            to: new.version,
            written: sorted(new.shared_routes().filter(is_new)),
            removed,
            workspaces: WorkspaceChange::between(old.workspaces.as_ref(), new),
            ending: Ending {
                services: (old.services != new.services).then(|| new.services.clone()),
                limits: (old.limits != new.limits).then_some(new.limits),
                needs_keys: new.workspaces.is_some(),
                digest: new.digest(),
            },
        }
    }

    /// Returns the change that contains a full configuration.
    pub fn whole(new: &Configuration) -> Self {
        Self {
            from: None,
            to: new.version,
            written: sorted(new.shared_routes()),
            removed: Vec::new(),
            workspaces: WorkspaceChange::between(None, new),
            ending: Ending {
                services: Some(new.services.clone()),
                limits: Some(new.limits),
                needs_keys: new.workspaces.is_some(),
                digest: new.digest(),
            },
        }
    }

    /// Returns how many routes the change writes or removes.
    pub fn route_count(&self) -> usize {
        self.written.len() + self.removed.len()
    }

    /// Splits the change into parts. All VMs split the same change in the same way: routes first, then workspaces.
    pub fn parts(&self) -> Vec<ChangePart> {
        let routes = self.route_count();
        let items = routes + self.workspaces.len();
        let count = items.div_ceil(MAX_ITEMS_PER_PART).max(1);
        let part = |at: usize| {
            let begin = at * MAX_ITEMS_PER_PART;
            let end = begin + MAX_ITEMS_PER_PART;
            ChangePart {
                from: self.from,
                to: self.to,
                at: at as u32,
                removed: within(&self.removed, begin, end).to_vec(),
                written: RouteTable::of(within(
                    &self.written,
                    begin.saturating_sub(self.removed.len()),
                    end.saturating_sub(self.removed.len()),
                )),
                workspaces: self
                    .workspaces
                    .within(begin.saturating_sub(routes), end.saturating_sub(routes)),
                ending: (at + 1 == count).then(|| self.ending.clone()),
            }
        };
        (0..count).map(part).collect()
    }

    /// Creates an empty change, to which its parts are added.
    pub(super) fn begin(part: &ChangePart) -> Self {
        Self {
            from: part.from,
            to: part.to,
            written: Vec::new(),
            removed: Vec::new(),
            workspaces: WorkspaceChange::default(),
            ending: Ending {
                services: None,
                limits: None,
                needs_keys: false,
                digest: 0,
            },
        }
    }

    /// Adds the next part; returns whether it was the last.
    ///
    /// # Errors
    ///
    /// Returns an error if the part can't be decoded.
    pub(super) fn extend(&mut self, part: ChangePart) -> Result<bool, PartError> {
        self.removed.extend(part.removed);
        self.written.extend(part.written.routes()?);
        self.workspaces.removed.extend(part.workspaces.removed);
        self.workspaces.written.extend(part.workspaces.written);
        let is_last = part.ending.is_some();
        if let Some(ending) = part.ending {
            self.ending = ending;
        }
        Ok(is_last)
    }

    /// Applies the change to a configuration; returns `None` if it has another version or the result has another
    /// digest.
    pub(super) fn apply(self, old: Option<&Configuration>) -> Option<Configuration> {
        let mut new = match self.from {
            None => Configuration::default(),
            Some(from) => old.filter(|old| old.version == from)?.clone(),
        };
        new.version = self.to;
        for RouteKey(host, path_prefix) in &self.removed {
            new.remove(host, path_prefix);
        }
        self.written.into_iter().for_each(|route| new.write(route));
        if let Some(services) = self.ending.services {
            new.services = services;
        }
        if let Some(limits) = self.ending.limits {
            new.limits = limits;
        }
        new.workspaces = match self.ending.needs_keys {
            true => Some(self.workspaces.apply(new.workspaces)),
            false => None,
        };
        // A full configuration is accepted even if another release computes another digest.
        let holds = self.from.is_none() || new.digest() == self.ending.digest;
        holds.then_some(new)
    }
}

impl WorkspaceChange {
    fn between(old: Option<&Workspaces>, new: &Configuration) -> Self {
        let (none, gone) = (Workspaces::default(), Workspaces::default());
        let new = new.workspaces.as_ref().unwrap_or(&gone);
        let (removed, written) = old.unwrap_or(&none).difference(new);
        Self { removed, written }
    }

    fn len(&self) -> usize {
        self.removed.len() + self.written.len()
    }

    fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the part of the change from one index to another, removed workspaces first.
    fn within(&self, begin: usize, end: usize) -> Self {
        let removed = self.removed.len();
        let written = (begin.saturating_sub(removed), end.saturating_sub(removed));
        Self {
            removed: within(&self.removed, begin, end).to_vec(),
            written: within(&self.written, written.0, written.1).to_vec(),
        }
    }

    fn apply(self, old: Option<Workspaces>) -> Workspaces {
        let mut workspaces = old.unwrap_or_default();
        workspaces.apply(&self.removed, self.written);
        workspaces
    }
}

impl RouteKey {
    fn of(route: &Route) -> Self {
        Self(route.host.clone(), route.path_prefix.clone())
    }
}

impl RouteTable {
    fn of(routes: &[Arc<Route>]) -> Self {
        let mut table = Self::default();
        for route in routes {
            let host = index_of(&mut table.hosts, &route.host);
            let kind = index_of(&mut table.kinds, &RouteKind::of(route));
            let row = Row(route.name.clone(), host, route.path_prefix.clone(), kind);
            table.rows.push(row);
        }
        table
    }

    fn routes(self) -> Result<Vec<Arc<Route>>, PartError> {
        let Self { hosts, kinds, rows } = self;
        let routes = rows.into_iter().map(|Row(name, host, path_prefix, kind)| {
            let (Some(host), Some(kind)) = (hosts.get(host), kinds.get(kind)) else {
                return Err(PartError::UnknownIndex(name));
            };
            Ok(Arc::new(kind.route(name, host.clone(), path_prefix)))
        });
        routes.collect()
    }
}

impl RouteKind {
    fn of(route: &Route) -> Self {
        Self {
            contract: route.contract,
            target: route.target,
            timeout: route.timeout,
            most_attempts: route.most_attempts,
            priority: route.priority,
            destinations: route.destinations.clone(),
            is_public: route.is_public,
        }
    }

    fn route(&self, name: RuleName, host: String, path_prefix: String) -> Route {
        Route {
            name,
            host,
            path_prefix,
            contract: self.contract,
            target: self.target,
            timeout: self.timeout,
            most_attempts: self.most_attempts,
            priority: self.priority,
            destinations: self.destinations.clone(),
            is_public: self.is_public,
        }
    }
}

/// Returns routes ordered by host and prefix.
fn sorted<'a>(routes: impl Iterator<Item = &'a Arc<Route>>) -> Vec<Arc<Route>> {
    let mut routes: Vec<_> = routes.cloned().collect();
    routes.sort_unstable_by(|a, b| (&a.host, &a.path_prefix).cmp(&(&b.host, &b.path_prefix)));
    routes
}

/// Returns the part of a range that lies within a list.
fn within<T>(list: &[T], begin: usize, end: usize) -> &[T] {
    let part = list.get(begin..end.min(list.len()));
    part.unwrap_or_default()
}

/// Returns the index of a value in a list, to which it is added if missing.
fn index_of<T: Clone + PartialEq>(list: &mut Vec<T>, value: &T) -> usize {
    match list.iter().position(|known| known == value) {
        Some(at) => at,
        None => {
            list.push(value.clone());
            list.len() - 1
        }
    }
}
