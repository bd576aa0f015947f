//! The manifest, as a build pipeline generates it: services, their backend servers and rules.

pub mod check;
pub mod located;
pub mod reader;
pub mod root;
pub mod routing;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::settings::Policy;
use crate::world::contract::{Contract, Priority};
use crate::world::ids::{AvailabilityZone, BackendServerName, Generation, RuleName, ServiceName};

/// The services of a deployment.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// The services, each with a unique name.
    pub services: Vec<Arc<Service>>,
}

/// The size of a manifest.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct ManifestSize {
    /// The number of services.
    pub services: usize,
    /// The number of backend servers of all services.
    pub backend_servers: usize,
    /// The number of slots of all backend servers.
    pub slots: u64,
    /// The number of rules of all services.
    pub rules: usize,
}

impl ManifestSize {
    /// Counts the parts of a manifest.
    pub fn of(manifest: &Manifest) -> Self {
        let services = &manifest.services;
        let servers = || services.iter().flat_map(|service| &service.backend_servers);
        Self {
            services: services.len(),
            backend_servers: servers().count(),
            slots: servers().map(|server| u64::from(server.slots)).sum(),
            rules: services.iter().map(|service| service.rules.len()).sum(),
        }
    }
}

/// An accepted manifest and the generation under which it was accepted.
#[derive(Clone, Debug, Default)]
pub struct AcceptedManifest {
    /// The generation, greater than that of every earlier accepted manifest.
    pub generation: Generation,
    /// The accepted manifest.
    pub manifest: Arc<Manifest>,
}

/// One service: the hosts and rules that select its requests, and the backend servers that answer them.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// The values of the `Host` header (without a port) that select this service.
    pub hosts: Vec<String>,
    /// The request header that names the caller; without it, the peer address identifies the caller.
    #[serde(default)]
    pub caller_header: Option<String>,
    /// How backend servers report load, drain and refusals.
    #[serde(default)]
    pub signals: Signals,
    /// The backend servers.
    pub backend_servers: Vec<BackendServer>,
    /// The rules; the longest matching path prefix wins.
    pub rules: Vec<Rule>,
    /// The settings of the decisions for this service.
    #[serde(default)]
    pub policy: Policy,
}

/// How the backend servers of a service report their state.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Signals {
    /// Reply header with the number of requests in flight at the backend server.
    pub load_header: String,
    /// Reply header that is present while the backend server is draining.
    pub drain_header: String,
    /// Path of the endpoint that answers a probe with the load, in JSON.
    pub load_path: String,
    /// Path of the endpoint that answers 200 while the backend server takes work.
    pub health_path: String,
    /// Reply header whose presence on a 503 proves that the request was not run.
    pub refused_header: String,
    /// Header that carries the request id on the request and on the reply.
    pub request_id_header: String,
}

impl Default for Signals {
    fn default() -> Self {
        Self {
            load_header: "x-load-in-flight".into(),
            drain_header: "x-draining".into(),
            load_path: "/load".into(),
            health_path: "/health".into(),
            refused_header: "x-not-run".into(),
            request_id_header: "x-request-id".into(),
        }
    }
}

/// One backend server of a service.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// The backend server's name, unique in the service.
    pub name: BackendServerName,
    /// The IP address and port on which it listens.
    pub address: SocketAddr,
    /// The availability zone that it is in.
    pub availability_zone: AvailabilityZone,
    /// How many requests it handles at the same time.
    pub slots: u32,
    /// How many connections it accepts, from all VMs together.
    pub connections: u32,
    /// Whether it is draining and takes no new work.
    #[serde(default)]
    pub draining: bool,
}

/// Which requests a contract, deadline and limits apply to.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// The rule's name, unique in the service.
    pub name: RuleName,
    /// The HTTP methods; all methods if empty.
    #[serde(default)]
    pub methods: Vec<String>,
    /// The path prefix, which matches whole path segments.
    pub path_prefix: String,
    /// Whether a request may run more than once.
    pub contract: Contract,
    /// The priority among waiting requests.
    pub priority: Priority,
    /// The longest time from arrival to answer, in ms.
    pub deadline_ms: u64,
    /// How many requests of this rule may wait on one VM.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
    /// The largest share of the queue that one caller may hold.
    #[serde(default = "default_caller_share")]
    pub caller_share: f64,
    /// The longest request body, in bytes.
    #[serde(default = "default_body_limit_bytes")]
    pub body_limit_bytes: u64,
    /// The longest answer that is buffered whole before its first byte is sent to the caller, in bytes.
    #[serde(default = "default_whole_answer_bytes")]
    pub whole_answer_bytes: u64,
    /// How the idempotency key of an at-most-once rule is read and remembered.
    #[serde(default)]
    pub idempotency: Idempotency,
}

impl Rule {
    /// Returns the rule's deadline.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

fn default_queue_limit() -> u32 {
    64
}

fn default_caller_share() -> f64 {
    0.25
}

fn default_body_limit_bytes() -> u64 {
    64 * 1024
}

fn default_whole_answer_bytes() -> u64 {
    1024 * 1024
}

/// How the idempotency key of an at-most-once rule is read and remembered.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Idempotency {
    /// The request header that carries the key.
    pub header: String,
    /// Whether a request without a key is refused; without a key, duplicates of a request cannot be detected.
    pub required: bool,
    /// How long a key is remembered, in s.
    pub window_s: u64,
    /// The longest answer that is recorded for duplicates, in bytes.
    pub record_bytes: u64,
}

impl Default for Idempotency {
    fn default() -> Self {
        Self {
            header: "idempotency-key".into(),
            required: true,
            window_s: 3600,
            record_bytes: 4096,
        }
    }
}
