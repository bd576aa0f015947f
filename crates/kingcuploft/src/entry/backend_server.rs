//! A backend server as it is recorded in the platform's store, and as VMs send it to each other.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::world::ids::{AvailabilityZone, BackendServerName, ServiceName};

/// When a server's process started, as reported by the platform; greater is later.
pub type StartedAt = u64;

/// One backend server, as recorded in the platform's store.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(from = "Row", into = "Row")]
pub struct BackendServer {
    /// Its name, new with each start.
    pub name: BackendServerName,
    /// Its service.
    pub service: ServiceName,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it is draining.
    pub draining: bool,
    /// How much longer it is cold after its start.
    pub cold_for: Duration,
    /// When it started, if known.
    pub started_at: Option<StartedAt>,
}

/// A server as VMs send it to each other: a row without field names, as a VM that joins is sent all of them. Name,
/// service, address, zone, slots, whether it is draining, cold time in ms, start.
#[derive(Deserialize, Serialize)]
struct Row(
    BackendServerName,
    ServiceName,
    SocketAddr,
    AvailabilityZone,
    u32,
    bool,
    u64,
    Option<StartedAt>,
);

impl From<Row> for BackendServer {
    fn from(row: Row) -> Self {
        let Row(name, service, address, zone, slots, draining, cold_ms, started_at) = row;
        Self {
            name,
            service,
            address,
            zone,
            slots,
            draining,
            cold_for: Duration::from_millis(cold_ms),
            started_at,
        }
    }
}

impl From<BackendServer> for Row {
    fn from(server: BackendServer) -> Self {
        Self(
            server.name,
            server.service,
            server.address,
            server.zone,
            server.slots,
            server.draining,
            server.cold_for.as_millis() as u64,
            server.started_at,
        )
    }
}
