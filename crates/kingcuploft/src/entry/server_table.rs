//! A compact table of all backend servers, as VMs send it to each other: each service and zone is named once.
//!
//! Load pattern: after an outage every VM is sent all servers at once, and the network links of small machines are the
//! bottleneck.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::backend_servers::{BackendServer, StartedAt};
use crate::world::ids::{AvailabilityZone, BackendServerName, ServiceName};

/// A table of backend servers.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ServerTable {
    services: Vec<ServiceName>,
    zones: Vec<AvailabilityZone>,
    rows: Vec<Row>,
}

/// A server: name, index of its service and of its zone in the table's lists, address, slots, whether it is draining,
/// cold time in ms, start.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Row(
    BackendServerName,
    usize,
    usize,
    SocketAddr,
    u32,
    bool,
    u64,
    Option<StartedAt>,
);

/// A table can't be decoded.
#[derive(Debug, thiserror::Error)]
pub enum TableError {
    /// A row refers to a service or zone that is not in the lists.
    #[error("server {0}: its service or zone is not in the table")]
    UnknownIndex(BackendServerName),
}

impl ServerTable {
    /// Builds the table of these servers.
    pub fn from_servers<'a>(servers: impl Iterator<Item = &'a BackendServer>) -> Self {
        let mut table = Self::default();
        for server in servers {
            let service = index_of(&mut table.services, &server.service);
            let zone = index_of(&mut table.zones, &server.zone);
            table.rows.push(Row(
                server.name.clone(),
                service,
                zone,
                server.address,
                server.slots,
                server.draining,
                server.cold_for.as_millis() as u64,
                server.started_at,
            ));
        }
        table
    }

    /// Returns the servers.
    ///
    /// # Errors
    ///
    /// Returns an error if a row refers to a service or zone that is not in the lists.
    pub fn servers(self) -> Result<Vec<BackendServer>, TableError> {
        let Self {
            services,
            zones,
            rows,
        } = self;
        let servers = rows.into_iter().map(|row| {
            let Row(name, service, zone, address, slots, draining, cold_ms, started_at) = row;
            let (Some(service), Some(zone)) = (services.get(service), zones.get(zone)) else {
                return Err(TableError::UnknownIndex(name));
            };
            Ok(BackendServer {
                name,
                service: service.clone(),
                address,
                zone: zone.clone(),
                slots,
                draining,
                cold_for: Duration::from_millis(cold_ms),
                started_at,
            })
        });
        servers.collect()
    }
}

/// Returns the index of a name in a list, to which it is added if missing.
fn index_of(list: &mut Vec<std::sync::Arc<str>>, name: &std::sync::Arc<str>) -> usize {
    match list.iter().position(|known| known == name) {
        Some(at) => at,
        None => {
            list.push(name.clone());
            list.len() - 1
        }
    }
}
