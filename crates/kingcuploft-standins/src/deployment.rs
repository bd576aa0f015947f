//! The reference deployments, as plans from which a [`crate::fleet::Fleet`] starts.

use crate::virtual_fleet::deployment::DeploymentKind;

/// The plan of a deployment: its entry VMs, availability zones and services.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The deployment's name.
    pub name: &'static str,
    /// The number of entry VMs.
    pub vms: usize,
    /// The availability zones, to which VMs and backend servers are assigned round-robin.
    pub availability_zones: &'static [&'static str],
    /// The services.
    pub services: Vec<ServicePlan>,
}

/// One service of a deployment.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// The service's name. Its host is the name followed by `.example`.
    pub name: &'static str,
    /// The number of backend servers.
    pub backend_servers: usize,
    /// The slots of each backend server.
    pub slots: u32,
    /// The rules, as YAML lines of the manifest.
    pub rules: &'static [&'static str],
}

const TRIP_RULES: &[&str] = &[
    "{name: itinerary, methods: [GET], path_prefix: /, contract: retry_freely, priority: interactive, deadline_ms: 2000}",
    "{name: hold, methods: [POST], path_prefix: /holds, contract: at_most_once, priority: protected, deadline_ms: 3000}",
];

const VENUE_RULES: &[&str] = &[
    "{name: transfers, methods: [GET], path_prefix: /, contract: retry_freely, priority: interactive, deadline_ms: 2000}",
];

const NOTES_RULES: &[&str] = &[
    "{name: read, methods: [GET], path_prefix: /, contract: retry_freely, priority: interactive, deadline_ms: 2000}",
    "{name: publish, methods: [POST], path_prefix: /publications, contract: at_most_once, priority: protected, deadline_ms: 5000}",
];

const ARCHIVE_RULES: &[&str] = &[
    "{name: search, methods: [GET], path_prefix: /, contract: retry_freely, priority: background, deadline_ms: 10000}",
];

const TEAMWAY_ZONES: &[&str] = &["tw-a", "tw-b", "tw-c", "tw-d"];

const BERN_ZONES: &[&str] = &["be-a", "be-b", "be-c"];

/// Returns Hsinchu Teamway Travel Lab's deployment at its specified size.
pub fn teamway() -> Deployment {
    Deployment {
        name: "teamway",
        vms: 14,
        availability_zones: TEAMWAY_ZONES,
        services: vec![
            service("trip", 11, 2, TRIP_RULES),
            service("venue", 16, 2, VENUE_RULES),
        ],
    }
}

/// Returns Bundesstelle für Versionshinweise's deployment at its specified size.
pub fn bern() -> Deployment {
    Deployment {
        name: "bern",
        vms: 13,
        availability_zones: BERN_ZONES,
        services: vec![
            service("notes", 11, 4, NOTES_RULES),
            service("archive", 13, 4, ARCHIVE_RULES),
        ],
    }
}

const VIRTUAL_FLEET_RULES: &[&str] = &[
    "{name: lookup, methods: [GET], path_prefix: /lookup, contract: retry_freely, priority: interactive, deadline_ms: 1000}",
    "{name: hold, methods: [POST], path_prefix: /hold, contract: at_most_once, priority: protected, deadline_ms: 2000}",
    "{name: search, methods: [GET], path_prefix: /search, contract: retry_freely, priority: background, deadline_ms: 3000}",
];

/// Returns the deployment that the virtual fleet simulates: one service, with the virtual fleet's rules.
pub fn virtual_deployment(kind: DeploymentKind) -> Deployment {
    match kind {
        DeploymentKind::Teamway => Deployment {
            services: vec![service("trip", 11, 2, VIRTUAL_FLEET_RULES)],
            ..teamway()
        },
        DeploymentKind::Bern => Deployment {
            services: vec![service("notes", 11, 4, VIRTUAL_FLEET_RULES)],
            ..bern()
        },
    }
}

/// Returns a small deployment for the quickstart.
pub fn quickstart() -> Deployment {
    Deployment {
        name: "quickstart",
        vms: 3,
        availability_zones: &["a", "b", "c"],
        services: vec![
            service("trip", 4, 2, TRIP_RULES),
            service("venue", 3, 2, VENUE_RULES),
        ],
    }
}

impl Deployment {
    /// Returns the deployment with its first service only.
    pub fn first_service(mut self) -> Self {
        self.services.truncate(1);
        self
    }

    /// Returns the availability zone of the VM or backend server with this index.
    pub fn zone(&self, index: usize) -> &'static str {
        self.availability_zones[index % self.availability_zones.len()]
    }
}

fn service(
    name: &'static str,
    backend_servers: usize,
    slots: u32,
    rules: &'static [&'static str],
) -> ServicePlan {
    ServicePlan {
        name,
        backend_servers,
        slots,
        rules,
    }
}
