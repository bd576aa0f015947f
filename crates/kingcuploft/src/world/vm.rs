//! An entry VM, as its settings name it.

use super::ids::{AvailabilityZone, Incarnation, VmName};

/// One entry VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Vm {
    /// The VM's name.
    pub name: VmName,
    /// The availability zone it stands in.
    pub availability_zone: AvailabilityZone,
    /// Tells this life of the VM from earlier ones.
    pub incarnation: Incarnation,
}
