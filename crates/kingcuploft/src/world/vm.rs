//! The identity of an entry VM, from its settings.

use super::ids::{AvailabilityZone, Incarnation, VmName};

/// One entry VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Vm {
    /// The VM's name.
    pub name: VmName,
    /// The VM's availability zone.
    pub availability_zone: AvailabilityZone,
    /// Distinguishes this process of the VM from earlier ones.
    pub incarnation: Incarnation,
}
