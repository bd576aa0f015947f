//! The two reference deployments: zones, VMs, backend servers, links and rules, in the sizes that their operators gave.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use kingcuploft::manifest::{BackendServer, Idempotency, Manifest, Rule, Service, Signals};
use kingcuploft::settings::Policy;
use kingcuploft::world::contract::{Contract, Priority};
use kingcuploft::world::ids::{AvailabilityZone, ServiceName};
use serde::{Deserialize, Serialize};

/// Names a reference deployment.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DeploymentKind {
    /// The trip service of Hsinchu Teamway Travel Lab.
    Teamway,
    /// The notes portal of the Bundesstelle für Versionshinweise.
    Bern,
}

/// The delays and losses of the links.
#[derive(Clone, Copy, Debug)]
pub struct Links {
    /// The one-way delay within an availability zone.
    pub within_zone: Duration,
    /// The one-way delay between availability zones.
    pub between_zones: Duration,
    /// The time to open a connection to a backend server.
    pub connect: Duration,
    /// The time after which a connection attempt to an address that does not answer fails.
    pub connect_timeout: Duration,
    /// The share of the messages between VMs that is lost, in `0.0..=1.0`.
    pub peer_loss_share: f64,
}

/// Random slow spells that every backend server has.
#[derive(Clone, Copy, Debug)]
pub struct SlowSpells {
    /// The mean of the time from the end of one spell to the start of the next, which is exponential.
    pub mean_interval: Duration,
    /// The shortest and longest duration of a spell; durations are uniform between them.
    pub duration_range: (Duration, Duration),
    /// How many times longer work takes during a spell.
    pub factor: f64,
}

/// A deployment: its service, VMs, zones and links.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Which reference deployment it is.
    pub kind: DeploymentKind,
    /// The availability zones.
    pub zones: Vec<AvailabilityZone>,
    /// The number of entry VMs.
    pub vm_count: usize,
    /// The service under test.
    pub service: Service,
    /// The delays and losses of the links.
    pub links: Links,
    /// The slow spells; `None` if the servers have none.
    pub slow_spells: Option<SlowSpells>,
    /// The time for which a probe occupies a slot of its backend server.
    pub probe_slot_time: Duration,
    /// The time that claiming an idempotency key takes.
    pub claim_time: Duration,
}

impl Deployment {
    /// Builds a reference deployment.
    pub fn new(kind: DeploymentKind) -> Self {
        match kind {
            DeploymentKind::Teamway => Self::teamway(),
            DeploymentKind::Bern => Self::bern(),
        }
    }

    /// Builds Teamway's trip service: 11 backend servers of 2 slots behind 14 VMs in 4 zones.
    pub fn teamway() -> Self {
        Self::sized(DeploymentKind::Teamway, "trip", (4, 14, 11, 2), 0.01)
    }

    /// Builds Bern's notes portal: 11 backend servers of 4 slots behind 13 VMs in 3 zones.
    pub fn bern() -> Self {
        Self::sized(DeploymentKind::Bern, "notes", (3, 13, 11, 4), 0.005)
    }

    /// Builds a deployment with a number of zones, VMs, backend servers and slots per backend server, and the share of
    /// the slot time that probes may use.
    fn sized(
        kind: DeploymentKind,
        service: &str,
        (zones, vm_count, servers, slots): (usize, usize, usize, u32),
        budget_share: f64,
    ) -> Self {
        let zones: Vec<AvailabilityZone> =
            (1..=zones).map(|i| format!("zone-{i}").into()).collect();
        let servers = (0..servers).map(|i| BackendServer {
            name: format!("{service}-{:02}", i + 1).into(),
            address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 10_000 + i as u16),
            availability_zone: zones[i % zones.len()].clone(),
            slots,
            connections: 220,
            draining: false,
        });
        let mut policy = Policy::default();
        policy.measuring.budget_share = budget_share;
        Self {
            kind,
            service: Service {
                name: service.into(),
                hosts: vec![format!("{service}.test")],
                caller_header: None,
                signals: Signals::default(),
                backend_servers: servers.collect(),
                rules: rules(),
                policy,
            },
            zones,
            vm_count,
            links: Links {
                within_zone: Duration::from_micros(150),
                between_zones: Duration::from_millis(1),
                connect: Duration::from_millis(1),
                connect_timeout: Duration::from_millis(250),
                peer_loss_share: 0.0,
            },
            slow_spells: Some(SlowSpells {
                mean_interval: Duration::from_secs(4),
                duration_range: (Duration::from_millis(50), Duration::from_millis(300)),
                factor: 10.0,
            }),
            probe_slot_time: Duration::from_millis(6),
            claim_time: Duration::from_millis(4),
        }
    }

    /// Returns the service's name.
    pub fn service_name(&self) -> ServiceName {
        Arc::clone(&self.service.name)
    }

    /// Returns the number of slots of all backend servers, which is how many requests run at once.
    pub fn slots(&self) -> u32 {
        self.service.backend_servers.iter().map(|s| s.slots).sum()
    }

    /// Returns the manifest with this one service.
    pub fn manifest(&self) -> Manifest {
        Manifest {
            services: vec![Arc::new(self.service.clone())],
        }
    }
}

/// The index of the rule for lookups, which may be retried freely.
pub const LOOKUP_RULE: usize = 0;
/// The index of the rule for holds, which run at most once and need an idempotency key.
pub const HOLD_RULE: usize = 1;
/// The index of the rule for searches, which have background priority.
pub const SEARCH_RULE: usize = 2;

fn rules() -> Vec<Rule> {
    let rule = |name: &str, method: &str, contract, priority, deadline_ms| Rule {
        name: name.into(),
        methods: vec![method.into()],
        path_prefix: format!("/{name}"),
        contract,
        priority,
        deadline_ms,
        queue_limit: 64,
        caller_share: 0.25,
        body_limit_bytes: 64 * 1024,
        whole_answer_bytes: 1024 * 1024,
        idempotency: Idempotency::default(),
    };
    let (freely, once) = (Contract::RetryFreely, Contract::AtMostOnce);
    vec![
        rule("lookup", "GET", freely, Priority::Interactive, 1000),
        rule("hold", "POST", once, Priority::Protected, 2000),
        rule("search", "GET", freely, Priority::Background, 3000),
    ]
}
