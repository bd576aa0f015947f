//! How many VMs share what all may use together: probes, repeats, connections, limits and quotas.

/// The number of VMs, as far as this VM knows it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum VmCount {
    /// The VMs of some zone are not counted yet.
    #[default]
    Uncounted,
    /// So many, of all zones.
    Counted(usize),
}

impl VmCount {
    /// Returns the number, if it is known.
    pub fn counted(self) -> Option<usize> {
        match self {
            Self::Uncounted => None,
            Self::Counted(vms) => Some(vms),
        }
    }

    /// Returns the number by which a sum is divided for this VM's share. A VM that can't count the others has no share,
    /// however many there are.
    pub fn divisor(self) -> usize {
        match self {
            Self::Uncounted => u32::MAX as usize,
            Self::Counted(vms) => vms.max(1),
        }
    }
}
