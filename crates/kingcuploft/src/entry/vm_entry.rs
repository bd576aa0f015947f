//! The entry by which an entry VM is known to the others.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::world::ids::{AvailabilityZone, VmName};

/// One entry VM, as it announced itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmEntry {
    /// Its name.
    pub name: VmName,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Where the other VMs reach it.
    pub address: SocketAddr,
    /// Its CPU capacity, in thousandths of a core.
    pub cpu_milli: u32,
}
