//! The file format of a deployment: the entry VMs, backend servers and kinds of requests of a simulation, and the
//! bounds that the rules check.

use std::time::Duration;

use kingcuploft::entry::quota::QuotaBounds;
use kingcuploft::entry::repeat_budget::RepeatBounds;
use kingcuploft::world::contract::Contract;
use serde::Deserialize;

/// A deployment as its file describes it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// How many entry VMs each availability zone has.
    pub zones: Vec<usize>,
    /// How many VMs of each zone all VMs are told of as seeds.
    #[serde(default)]
    pub seeds_per_zone: usize,
    /// The services.
    pub services: Vec<Service>,
    /// The kinds of requests.
    pub kinds: Vec<RequestKind>,
    /// The workspaces of the callers; none if callers need no keys.
    #[serde(default)]
    pub workspaces: Vec<CallerWorkspace>,
    /// The bounds that must hold.
    pub bounds: Bounds,
}

/// A service and its backend servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name.
    pub name: String,
    /// How many servers it has, spread over the zones.
    pub servers: usize,
    /// How many requests a server works on at once.
    pub slots: u32,
    /// How many further requests wait in a server's queue.
    pub queue: u32,
    /// How many requests a second a cold server can take; 0 if its servers are never cold.
    #[serde(default)]
    pub cold_per_s: f64,
    /// How long a server is cold after its start, in milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
}

/// A kind of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    /// The name, which is the first segment of its paths.
    pub name: String,
    /// The service that answers it.
    pub service: String,
    /// Whether it may run more than once.
    pub contract: Contract,
    /// How many requests of this kind callers send per second.
    pub per_s: f64,
    /// The mean work on a server of usual speed, in milliseconds.
    pub work_ms: f64,
    /// The time within which an answer is worth its full value, in milliseconds.
    pub target_ms: u64,
    /// How long callers wait for an answer, in milliseconds.
    pub deadline_ms: u64,
}

/// A workspace, and how often its callers ask.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerWorkspace {
    /// The name.
    pub name: String,
    /// Its part of all requests, relative to the other workspaces'.
    pub weight: f64,
    /// Its quota, in requests per second.
    pub per_s: f64,
    /// The burst of its quota, in requests.
    pub burst: f64,
}

/// The bounds that the rules check.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Repeats allowed for each request.
    pub repeat_ratio: f64,
    /// Repeats allowed in addition, for all VMs together.
    pub repeat_allowance: f64,
    /// The window over which both are counted, in milliseconds.
    pub repeat_window_ms: u64,
    /// Probes allowed per server and second.
    pub probes_per_s: f64,
    /// How long a draining server may still get requests after the store accepted its entry, in milliseconds.
    pub drain_ms: u64,
    /// How long an older configuration may stay in force after the store accepted a new one, in milliseconds.
    pub configuration_ms: u64,
    /// How long an evacuated zone may still get requests after the store accepted the evacuation, in milliseconds.
    pub evacuation_ms: u64,
    /// What a cold server may get in a second, as a multiple of the rate that it can take.
    pub cold_over: f64,
    /// How many requests a cold server may get in a second beyond that multiple.
    pub cold_slack: f64,
    /// How long a VM must have run undisturbed before the bounds of time hold for it, in milliseconds.
    pub contact_ms: u64,
    /// How long a planned stop may take, in milliseconds.
    pub stop_ms: u64,
    /// The window over which the requests of a quota are counted, in milliseconds.
    #[serde(default)]
    pub quota_window_ms: u64,
    /// The share of a quota that may be used beyond it.
    #[serde(default)]
    pub quota_overage: f64,
    /// How many requests may be used beyond a quota.
    #[serde(default)]
    pub quota_slack: f64,
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

    /// Returns the bounds on quotas.
    pub fn quotas(&self) -> QuotaBounds {
        QuotaBounds {
            window: Duration::from_millis(self.quota_window_ms.max(1)),
            overage: self.quota_overage,
            slack: self.quota_slack,
        }
    }

    /// Returns how long a VM must have run undisturbed before the bounds of time hold for it.
    pub fn undisturbed_time(&self) -> Duration {
        Duration::from_millis(self.contact_ms)
    }
}

impl Deployment {
    /// Returns the number of entry VMs.
    pub fn vms(&self) -> usize {
        self.zones.iter().sum()
    }

    /// Returns the indices of the VMs that all VMs are told of as seeds.
    pub fn seeds(&self) -> impl Iterator<Item = usize> {
        let first_of_zone = self.zones.iter().scan(0, |next, vms| {
            let first = *next;
            *next += vms;
            Some((first, *vms))
        });
        first_of_zone.flat_map(|(first, vms)| first..first + vms.min(self.seeds_per_zone))
    }

    /// Returns the service with a name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}
