//! Faults that a test rig plants on purpose. Without the feature `planted` there are none.

/// A fault that can be planted.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum PlantedFault {
    /// A VM forgets at its start what it has used of the budget of repeats.
    ForgetsRepeats,
    /// A VM counts a fifth of the VMs that there are.
    CountsTooFew,
    /// A VM that joins is not told which zones are evacuated.
    JoinersLackEvacuations,
    /// A leaving server is chosen like any other.
    ChoosesLeavingServers,
    /// A protected request is sent again after its answer was lost.
    RepeatsProtected,
    /// A request that may have run is refused as one that has not.
    RefusesUntruthfully,
    /// A cold server is sent what comes.
    ForgetsColdServers,
    /// Servers are probed without a bound.
    ProbesUnbounded,
    /// A planned stop ends at once.
    StopsAtOnce,
    /// Limits that servers name are not read.
    IgnoresLimits,
    /// A request under which servers ended is sent on.
    SendsSuspects,
    /// A VM that starts goes by the oldest configuration that it is told.
    KeepsOldConfiguration,
}

impl PlantedFault {
    /// All of them.
    pub const ALL: [Self; 12] = [
        Self::ForgetsRepeats,
        Self::CountsTooFew,
        Self::JoinersLackEvacuations,
        Self::ChoosesLeavingServers,
        Self::RepeatsProtected,
        Self::RefusesUntruthfully,
        Self::ForgetsColdServers,
        Self::ProbesUnbounded,
        Self::StopsAtOnce,
        Self::IgnoresLimits,
        Self::SendsSuspects,
        Self::KeepsOldConfiguration,
    ];
}

#[cfg(feature = "planted")]
mod on {
    use std::cell::Cell;

    use super::PlantedFault;

    thread_local! {
        static FAULT: Cell<Option<PlantedFault>> = const { Cell::new(None) };
    }

    /// Plants a fault in what this thread does from now on, or none.
    pub fn set(fault: Option<PlantedFault>) {
        FAULT.set(fault);
    }

    /// Returns whether a fault is planted.
    pub fn is_on(fault: PlantedFault) -> bool {
        FAULT.get() == Some(fault)
    }
}

#[cfg(not(feature = "planted"))]
mod on {
    use super::Planted;

    /// Returns whether a fault is planted: none is.
    pub const fn is_on(_: Planted) -> bool {
        false
    }
}

pub use on::*;
