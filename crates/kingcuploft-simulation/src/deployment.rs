//! What is played: entry VMs, backend servers, kinds of requests, bounds.

use std::time::Duration;

use kingcuploft::entry::repeat_budget::RepeatBounds;
use kingcuploft::world::contract::Contract;
use serde::Deserialize;

/// A deployment, as its file says.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// How many entry VMs each availability zone has.
    pub zones: Vec<usize>,
    /// The services.
    pub services: Vec<Service>,
    /// The kinds of requests.
    pub kinds: Vec<RequestKind>,
    /// What must hold.
    pub bounds: Bounds,
}

/// A service and its backend servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// How many servers it has, spread over the zones.
    pub servers: usize,
    /// How many requests a server works on at once.
    pub slots: u32,
    /// How many more it takes.
    pub queue: u32,
    /// How many requests a second a server bears while it is cold; 0 if it is never cold.
    #[serde(default)]
    pub cold_per_s: f64,
    /// For how long it is cold.
    #[serde(default)]
    pub cold_ms: u64,
}

/// A kind of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    /// Its name, which begins its paths.
    pub name: String,
    /// The service that answers it.
    pub service: String,
    /// Whether it may run more than once.
    pub contract: Contract,
    /// How many come in a second.
    pub per_s: f64,
    /// How long its work takes on a server of usual speed.
    pub work_ms: f64,
    /// The time within which an answer is worth its full value.
    pub target_ms: u64,
    /// How long its callers wait.
    pub deadline_ms: u64,
}

/// What must hold.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Repeats allowed for each request.
    pub repeat_ratio: f64,
    /// Repeats allowed beside these, for all VMs together.
    pub repeat_allowance: f64,
    /// The window over which both are counted.
    pub repeat_window_ms: u64,
    /// Probes allowed of a server and second.
    pub probes_per_s: f64,
    /// How long after the store has taken it a leaving server may get requests.
    pub drain_ms: u64,
    /// How long after the store has taken it an older configuration may be in force.
    pub configuration_ms: u64,
    /// How long after the store has taken it an emptied zone may get requests.
    pub evacuation_ms: u64,
    /// How many times what a cold server bears it may get in a second, and how many requests more.
    pub cold_over: f64,
    /// As `cold_over` says.
    pub cold_slack: f64,
    /// How long a VM must have run undisturbed for bounds of time to hold for it.
    pub contact_ms: u64,
    /// How long a planned stop may take.
    pub stop_ms: u64,
}

impl Bounds {
    /// Returns the bounds on repeats.
    pub fn repeats(&self) -> RepeatBounds {
        RepeatBounds {
            ratio: self.repeat_ratio,
            allowance: self.repeat_allowance,
            window: Duration::from_millis(self.repeat_window_ms),
        }
    }

    /// Returns how long a VM must have run undisturbed.
    pub fn undisturbed_time(&self) -> Duration {
        Duration::from_millis(self.contact_ms)
    }
}

impl Deployment {
    /// Returns how many entry VMs there are.
    pub fn vms(&self) -> usize {
        self.zones.iter().sum()
    }

    /// Returns the service of a name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}
