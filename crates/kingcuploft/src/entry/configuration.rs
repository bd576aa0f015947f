//! The configuration in force: which request goes to which service, and within which limits.

use std::borrow::Borrow;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::workspaces::{Workspace, WorkspaceError, Workspaces};
use crate::utils::{HashMap, HashSet, digest};
use crate::world::contract::Contract;
use crate::world::ids::{RuleName, ServiceName};
use crate::world::wire_text::{RequestPath, path_or_empty};

/// The version number of a configuration; a greater one is newer.
pub type ConfigurationVersion = u64;

/// A complete configuration.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(try_from = "Parts", into = "Parts")]
pub struct Configuration {
    /// Its version.
    pub version: ConfigurationVersion,
    /// The routes of each host, by path prefix.
    hosts: HashMap<String, HashSet<ByPrefix>>,
    /// The services, by name.
    pub services: HashMap<ServiceName, Service>,
    /// The limits on what callers send, and on how long they take.
    pub limits: Limits,
    /// The workspaces that may call; `None` if callers need no key.
    pub workspaces: Option<Workspaces>,
}

/// A route that is hashed and compared by its prefix.
#[derive(Clone, Debug)]
struct ByPrefix(Arc<Route>);

impl Borrow<str> for ByPrefix {
    fn borrow(&self) -> &str {
        &self.0.path_prefix
    }
}

impl Hash for ByPrefix {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.path_prefix.hash(state);
    }
}

impl PartialEq for ByPrefix {
    fn eq(&self, other: &Self) -> bool {
        self.0.path_prefix == other.0.path_prefix
    }
}

impl Eq for ByPrefix {}

/// The properties of a service other than its backend servers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// The path of its health and load endpoint; `None` if what was configured is no path, so that servers aren't probed.
    #[serde(with = "path_or_empty")]
    pub health_path: Option<RequestPath>,
    /// How many connections one backend server accepts from all callers together.
    pub most_connections: u32,
    /// The limits of its backend servers just after their start; none if they take full load at once.
    #[serde(default)]
    pub cold_start: Option<ColdStart>,
}

impl Hash for Service {
    /// Leaves out cold starts: VMs of earlier releases, which don't know them, compute the same digest.
    fn hash<H: Hasher>(&self, state: &mut H) {
        let health_path = self.health_path.as_ref();
        health_path.map_or("", RequestPath::as_str).hash(state);
        self.most_connections.hash(state);
    }
}

/// The limits of a backend server while it is cold.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ColdStart {
    /// How long it is cold after its start.
    pub lasts: Duration,
    /// How many requests it accepts in a thousand seconds, from all callers together.
    pub per_1000_s: u64,
}

impl ColdStart {
    /// Returns how many requests per second it accepts.
    pub fn per_s(&self) -> f64 {
        self.per_1000_s as f64 / 1000.0
    }
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum time in which a request's head must arrive.
    pub header_timeout: Duration,
    /// Maximum time for which a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Its name.
    pub name: RuleName,
    /// Its host, in lower case.
    pub host: String,
    /// The prefix of the paths that it matches; it ends with a slash.
    pub path_prefix: String,
    /// Whether its requests may run more than once.
    pub contract: Contract,
    /// The target latency, within which an answer has its full value.
    pub target: Duration,
    /// The maximum time that a caller waits for an answer.
    pub timeout: Duration,
    /// Maximum number of backend servers that one request may be sent to.
    pub most_attempts: u32,
    /// Its priority, 0 is the highest.
    pub priority: u32,
    /// The services that its requests go to, with weights; none for a route that this release can't read.
    pub destinations: Vec<Destination>,
    /// Whether its requests need no key.
    #[serde(default)]
    pub is_public: bool,
}

impl Hash for Route {
    /// Leaves out that a route is not public: VMs of earlier releases, which don't know it, compute the same digest.
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.name.hash(state);
        self.host.hash(state);
        self.path_prefix.hash(state);
        self.contract.hash(state);
        self.target.hash(state);
        self.timeout.hash(state);
        self.most_attempts.hash(state);
        self.priority.hash(state);
        self.destinations.hash(state);
        if self.is_public {
            self.is_public.hash(state);
        }
    }
}

/// A service that takes a share of a route's requests.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Destination {
    /// The service.
    pub service: ServiceName,
    /// Its weight, relative to the other destinations'.
    pub weight: u32,
}

impl Configuration {
    /// Builds a configuration. Of several routes with the same host and prefix the first takes effect.
    pub fn new(
        version: ConfigurationVersion,
        routes: Vec<Route>,
        services: HashMap<ServiceName, Service>,
        limits: Limits,
    ) -> Self {
        let mut configuration = Self {
            version,
            hosts: HashMap::default(),
            services,
            limits,
            workspaces: None,
        };
        for route in routes {
            let of_host = configuration.of_host(&route.host);
            of_host.insert(ByPrefix(Arc::new(route)));
        }
        configuration
    }

    /// Returns the configuration with workspaces, whose callers need keys.
    pub fn with_workspaces(self, workspaces: Option<Workspaces>) -> Self {
        Self { workspaces, ..self }
    }

    /// Returns the routes of a host, which is added if missing.
    fn of_host(&mut self, host: &str) -> &mut HashSet<ByPrefix> {
        self.hosts.entry(host.to_owned()).or_default()
    }

    /// Adds a route, which replaces the one with the same host and prefix.
    pub(super) fn write(&mut self, route: Arc<Route>) {
        let host = route.host.clone();
        self.of_host(&host).replace(ByPrefix(route));
    }

    /// Removes a route.
    pub(super) fn remove(&mut self, host: &str, path_prefix: &str) {
        if let Some(of_host) = self.hosts.get_mut(host) {
            of_host.remove(path_prefix);
            if of_host.is_empty() {
                self.hosts.remove(host);
            }
        }
    }

    /// Returns the route of a host with exactly this prefix.
    pub fn route_at(&self, host: &str, path_prefix: &str) -> Option<&Arc<Route>> {
        self.hosts.get(host)?.get(path_prefix).map(|route| &route.0)
    }

    /// Shares the routes that are equal in another configuration, so that they are stored once.
    pub fn share_routes(&mut self, other: &Self) {
        let same = self.shared_routes().filter_map(|own| {
            let route = other.route_at(&own.host, &own.path_prefix)?;
            (!Arc::ptr_eq(own, route) && own == route).then(|| route.clone())
        });
        let same: Vec<_> = same.collect();
        same.into_iter().for_each(|route| self.write(route));
    }

    /// Returns a hash of everything but the version, independent of the order of routes and services.
    pub fn digest(&self) -> u64 {
        let routes = self.routes().map(digest);
        let services = self.services.iter().map(|service| digest(&service));
        let workspaces = self.workspaces.iter().map(Workspaces::digest);
        let all = routes.chain(services).chain([digest(&self.limits)]);
        all.chain(workspaces).fold(0, u64::wrapping_add)
    }

    /// Returns the route of a request: among its host's routes, the one with the longest prefix of its path.
    pub fn route(&self, host: &str, target: &str) -> Option<&Arc<Route>> {
        let host = host.trim().to_ascii_lowercase();
        let name = host
            .rsplit_once(':')
            .map_or(host.as_str(), |(name, _)| name);
        let of_host = self.hosts.get(&host).or_else(|| self.hosts.get(name))?;
        let path = target.split(['?', '#']).next().unwrap_or(target);
        let slashes = path.rmatch_indices('/').map(|(at, _)| at);
        let mut prefixes = slashes.filter_map(|at| path.get(..=at));
        let found = prefixes.find_map(|prefix| of_host.get(prefix))?;
        Some(&found.0)
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.shared_routes().map(AsRef::as_ref)
    }

    pub(super) fn shared_routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten().map(|route| &route.0)
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(HashSet::len).sum()
    }
}

/// A configuration as VMs of earlier releases send it to each other.
#[derive(Deserialize, Serialize)]
struct Parts {
    version: ConfigurationVersion,
    routes: Vec<Route>,
    services: HashMap<ServiceName, Service>,
    limits: Limits,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    workspaces: Option<Vec<Workspace>>,
}

impl TryFrom<Parts> for Configuration {
    type Error = WorkspaceError;

    fn try_from(parts: Parts) -> Result<Self, WorkspaceError> {
        let workspaces = parts.workspaces.map(Workspaces::new).transpose()?;
        let whole = Self::new(parts.version, parts.routes, parts.services, parts.limits);
        Ok(whole.with_workspaces(workspaces))
    }
}

impl From<Configuration> for Parts {
    fn from(configuration: Configuration) -> Self {
        Self {
            version: configuration.version,
            routes: configuration.routes().cloned().collect(),
            services: configuration.services,
            limits: configuration.limits,
            workspaces: configuration.workspaces.map(|workspaces| {
                let all = workspaces.sorted().into_iter();
                all.map(Arc::unwrap_or_clone).collect()
            }),
        }
    }
}

/// The fractional part of the golden ratio: its multiples, modulo 1, fill the unit interval evenly from the first few
/// on.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;

/// Distributes the requests of a route among its destinations by weight.
///
/// Load pattern: a VM sees a few requests per second of a route. With random selection the shares of some hundred
/// requests are far from the weights; a low-discrepancy sequence keeps to them.
#[derive(Clone, Copy, Debug)]
pub struct WeightedSelector {
    point: f64,
}

impl WeightedSelector {
    /// Creates a selector that starts at a point of the unit interval that differs between VMs.
    pub fn new(from: f64) -> Self {
        Self {
            point: from.fract(),
        }
    }

    /// Returns the destination of the next request.
    pub fn select<'a>(&mut self, destinations: &'a [Destination]) -> Option<&'a Destination> {
        let total: u64 = destinations.iter().map(|d| u64::from(d.weight)).sum();
        self.point = (self.point + GOLDEN_RATIO_FRACTION).fract();
        let mut left = self.point * total as f64;
        let selected = destinations.iter().find(|destination| {
            left -= f64::from(destination.weight);
            left < 0.0
        });
        selected.or(destinations.iter().rfind(|d| d.weight > 0))
    }
}
