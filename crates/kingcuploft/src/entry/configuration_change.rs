//! What differs between two configurations, as the VMs tell it each other.
//!
//! Load pattern: an operator changes one value of thousands of routes, or adds a thousand, and every VM has to know within
//! seconds, over links of small machines. What is told is what changed, in parts of a bounded size: a link that breaks
//! goes on with the next part, and a small VM serves requests between two of them.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::configuration::{
    Configuration, ConfigurationVersion, Destination, Limits, Route, Service,
};
use crate::utils::HashMap;
use crate::world::contract::Contract;
use crate::world::ids::{RuleName, ServiceName};

/// The most routes that one part tells.
const MOST_IN_PART: usize = 256;

/// What leads from one configuration to another.
#[derive(Clone, Debug)]
pub struct ConfigurationChange {
    /// The version that it changes; none for one that tells all.
    pub from: Option<ConfigurationVersion>,
    /// The version that it leads to.
    pub to: ConfigurationVersion,
    written: Vec<Arc<Route>>,
    removed: Vec<RouteKey>,
    ending: Ending,
}

/// The host and the prefix of a route.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RouteKey(String, String);

/// What the last part of a change tells.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Ending {
    /// The services, if they differ.
    services: Option<HashMap<ServiceName, Service>>,
    /// The limits, if they differ.
    limits: Option<Limits>,
    /// The digest of the configuration that the change leads to.
    digest: u64,
}

/// One part of a change.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChangePart {
    /// The version that the change begins at; none for one that tells all.
    pub from: Option<ConfigurationVersion>,
    /// The version that it leads to.
    pub to: ConfigurationVersion,
    /// The number of this part, from 0 on.
    pub at: u32,
    written: RouteTable,
    removed: Vec<RouteKey>,
    /// What the last part tells.
    ending: Option<Ending>,
}

/// Routes, with what many of them have in common named once.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
struct RouteTable {
    hosts: Vec<String>,
    kinds: Vec<RouteKind>,
    rows: Vec<Row>,
}

/// A route: name, place of its host, prefix, place of its kind.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Row(RuleName, usize, String, usize);

/// What a route has but names.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct RouteKind {
    contract: Contract,
    target: Duration,
    timeout: Duration,
    most_attempts: u32,
    priority: u32,
    destinations: Vec<Destination>,
}

/// A part can't be read.
#[derive(Debug, thiserror::Error)]
pub enum PartError {
    /// A row names a host or a kind that is not in the table.
    #[error("route {0}: its host or kind is not in the table")]
    UnknownIndex(RuleName),
}

impl ConfigurationChange {
    /// Returns what leads from a configuration to another.
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
            ending: Ending {
                services: (old.services != new.services).then(|| new.services.clone()),
                limits: (old.limits != new.limits).then_some(new.limits),
                digest: new.digest(),
            },
        }
    }

    /// Returns what tells all of a configuration.
    pub fn whole(new: &Configuration) -> Self {
        Self {
            from: None,
            to: new.version,
            written: sorted(new.shared_routes()),
            removed: Vec::new(),
            ending: Ending {
                services: Some(new.services.clone()),
                limits: Some(new.limits),
                digest: new.digest(),
            },
        }
    }

    /// Returns how many routes it writes or removes.
    pub fn route_count(&self) -> usize {
        self.written.len() + self.removed.len()
    }

    /// Splits it into parts. Two VMs split the same change in the same way.
    pub fn parts(&self) -> Vec<ChangePart> {
        let count = self.route_count().div_ceil(MOST_IN_PART).max(1);
        let part = |at: usize| {
            let begin = at * MOST_IN_PART;
            let end = begin + MOST_IN_PART;
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
                ending: (at + 1 == count).then(|| self.ending.clone()),
            }
        };
        (0..count).map(part).collect()
    }

    /// Begins a change that is told part by part.
    pub(super) fn begin(part: &ChangePart) -> Self {
        Self {
            from: part.from,
            to: part.to,
            written: Vec::new(),
            removed: Vec::new(),
            ending: Ending {
                services: None,
                limits: None,
                digest: 0,
            },
        }
    }

    /// Takes the next part in; returns whether it was the last.
    ///
    /// # Errors
    ///
    /// Returns an error if the part can't be read.
    pub(super) fn extend(&mut self, part: ChangePart) -> Result<bool, PartError> {
        self.removed.extend(part.removed);
        self.written.extend(part.written.routes()?);
        let is_last = part.ending.is_some();
        if let Some(ending) = part.ending {
            self.ending = ending;
        }
        Ok(is_last)
    }

    /// Returns the configuration that it leads to from this one, if it does.
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
        // A release that hashes otherwise is believed where it tells all.
        let holds = self.from.is_none() || new.digest() == self.ending.digest;
        holds.then_some(new)
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
            let host = place(&mut table.hosts, &route.host);
            let kind = place(&mut table.kinds, &RouteKind::of(route));
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
        }
    }
}

/// Returns routes in the order of their hosts and prefixes.
fn sorted<'a>(routes: impl Iterator<Item = &'a Arc<Route>>) -> Vec<Arc<Route>> {
    let mut routes: Vec<_> = routes.cloned().collect();
    routes.sort_unstable_by(|a, b| (&a.host, &a.path_prefix).cmp(&(&b.host, &b.path_prefix)));
    routes
}

/// Returns what a list holds of a range that may reach beyond it.
fn within<T>(list: &[T], begin: usize, end: usize) -> &[T] {
    &list[begin.min(list.len())..end.min(list.len())]
}

/// Returns the place of a value in a list, to which it is added if it is not there.
fn place<T: Clone + PartialEq>(list: &mut Vec<T>, value: &T) -> usize {
    match list.iter().position(|known| known == value) {
        Some(at) => at,
        None => {
            list.push(value.clone());
            list.len() - 1
        }
    }
}
