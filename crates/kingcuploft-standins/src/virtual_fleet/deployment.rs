//! The places and sizes of a deployment, as the users gave them.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use kingcuploft::manifest::{BackendServer, Idempotency, Manifest, Rule, Service, Signals};
use kingcuploft::settings::Policy;
use kingcuploft::world::contract::{Contract, Priority};
use kingcuploft::world::ids::{AvailabilityZone, ServiceName};
use serde::{Deserialize, Serialize};

/// Which deployment is meant.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Place {
    /// The trip service of Hsinchu Teamway Travel Lab.
    Teamway,
    /// The notes portal of the Bundesstelle für Versionshinweise.
    Bern,
}

/// Times and losses of the links.
#[derive(Clone, Copy, Debug)]
pub struct Links {
    /// One way within an availability zone.
    pub within_zone: Duration,
    /// One way between availability zones.
    pub between_zones: Duration,
    /// What a new connection to a backend server costs.
    pub connect: Duration,
    /// How long a connection attempt to a silent address lasts.
    pub connect_timeout: Duration,
    /// The share of the messages between VMs that is lost.
    pub peer_loss_share: f64,
}

/// Slow spells that every backend server has now and then.
#[derive(Clone, Copy, Debug)]
pub struct SlowSpells {
    /// The mean time from one spell to the next.
    pub every: Duration,
    /// The shortest and longest spell.
    pub lasting: (Duration, Duration),
    /// How many times longer work takes in a spell.
    pub factor: f64,
}

/// A deployment: its service, VMs, zones and links.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Which one.
    pub place: Place,
    /// The availability zones.
    pub zones: Vec<AvailabilityZone>,
    /// How many entry VMs there are.
    pub vms: usize,
    /// The service under test.
    pub service: Service,
    /// The links.
    pub links: Links,
    /// The slow spells; `None` where servers are steady.
    pub slow_spells: Option<SlowSpells>,
    /// The slot time of a probe.
    pub probe: Duration,
    /// Time from a claim to its settlement.
    pub claim: Duration,
}

impl Deployment {
    /// Builds the deployment of a place.
    pub fn new(place: Place) -> Self {
        match place {
            Place::Teamway => Self::teamway(),
            Place::Bern => Self::bern(),
        }
    }

    /// Builds Teamway's trip service: 11 backend servers of 2 slots behind 14 VMs in 4 zones.
    pub fn teamway() -> Self {
        Self::sized(Place::Teamway, "trip", (4, 14, 11, 2), 0.01)
    }

    /// Builds Bern's notes portal: 11 backend servers of 4 slots behind 13 VMs in 3 zones.
    pub fn bern() -> Self {
        Self::sized(Place::Bern, "notes", (3, 13, 11, 4), 0.005)
    }

    fn sized(
        place: Place,
        service: &str,
        (zones, vms, servers, slots): (usize, usize, usize, u32),
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
            place,
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
            vms,
            links: Links {
                within_zone: Duration::from_micros(150),
                between_zones: Duration::from_millis(1),
                connect: Duration::from_millis(1),
                connect_timeout: Duration::from_millis(250),
                peer_loss_share: 0.0,
            },
            slow_spells: Some(SlowSpells {
                every: Duration::from_secs(4),
                lasting: (Duration::from_millis(50), Duration::from_millis(300)),
                factor: 10.0,
            }),
            probe: Duration::from_millis(6),
            claim: Duration::from_millis(4),
        }
    }

    /// Returns the service's name.
    pub fn service_name(&self) -> ServiceName {
        Arc::clone(&self.service.name)
    }

    /// Returns how many requests the backend servers work on at once.
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

/// The index of the lookup rule.
pub const LOOKUP_RULE: usize = 0;
/// The index of the protected rule.
pub const HOLD_RULE: usize = 1;
/// The index of the search rule.
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
