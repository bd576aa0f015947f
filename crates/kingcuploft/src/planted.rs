//! Fault injection: faults that the simulation plants to check that its bounds detect them. They exist only with the
//! feature `planted`.

/// A fault that can be injected.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum PlantedFault {
    /// A VM forgets at its start what it has used of the repeat budget.
    ForgetsRepeats,
    /// A VM counts only a fifth of the VMs.
    CountsTooFew,
    /// A VM that joins does not receive the list of evacuated zones.
    JoinersLackEvacuations,
    /// A draining server is chosen like any other.
    ChoosesLeavingServers,
    /// What servers say of their leaving in their answers is ignored.
    IgnoresLeavingAnswers,
    /// A protected request is sent again after its answer was lost.
    RepeatsProtected,
    /// A request that may have run is refused as one that did not run.
    RefusesUntruthfully,
    /// A cold server gets its full share of requests at once.
    ForgetsColdServers,
    /// The number of probes is not limited.
    ProbesUnbounded,
    /// A planned stop does not wait for requests in flight.
    StopsAtOnce,
    /// Rate limits that servers announce are ignored.
    IgnoresLimits,
    /// Rate limits that servers announce are applied three seconds late.
    AppliesLimitsLate,
    /// Pauses that servers ask for are ignored.
    IgnoresPauses,
    /// A request that has crashed servers is still sent to others.
    SendsSuspects,
    /// A VM that reaches no server passes no request to another one.
    NeverRelays,
    /// A VM takes its first answer from the store, and the first answer after a failed call, for the end of an outage in
    /// which entries expire, and all VMs that hear of it believe it.
    MistakesOutages,
    /// A watch of the store that keeps up passes for all of them.
    OneWatchStandsForAll,
    /// A VM keeps the first configuration that it receives and ignores newer ones.
    KeepsOldConfiguration,
    /// A VM that lacks something asks only the first other VM that its zone's record names.
    AsksFirstOfZone,
    /// A list that can't go on is dropped, with what its pages have brought.
    DropsStoppedLists,
}

impl PlantedFault {
    /// All faults.
    pub const ALL: [Self; 20] = [
        Self::ForgetsRepeats,
        Self::CountsTooFew,
        Self::JoinersLackEvacuations,
        Self::ChoosesLeavingServers,
        Self::IgnoresLeavingAnswers,
        Self::RepeatsProtected,
        Self::RefusesUntruthfully,
        Self::ForgetsColdServers,
        Self::ProbesUnbounded,
        Self::StopsAtOnce,
        Self::IgnoresLimits,
        Self::AppliesLimitsLate,
        Self::IgnoresPauses,
        Self::SendsSuspects,
        Self::NeverRelays,
        Self::MistakesOutages,
        Self::OneWatchStandsForAll,
        Self::KeepsOldConfiguration,
        Self::AsksFirstOfZone,
        Self::DropsStoppedLists,
    ];
}

#[cfg(feature = "planted")]
mod on {
    use std::cell::{Cell, RefCell};
    use std::time::{Duration, Instant};

    use super::PlantedFault;
    use crate::utils::HashMap;

    thread_local! {
        static FAULT: Cell<Option<PlantedFault>> = const { Cell::new(None) };
        static SEEN_AT: RefCell<HashMap<String, Instant>> = RefCell::default();
    }

    /// Sets the fault that is injected on this thread from now on; `None` injects none.
    pub fn set(fault: Option<PlantedFault>) {
        FAULT.set(fault);
        SEEN_AT.take();
    }

    /// Returns whether this fault is injected on this thread and `key` was first seen less than `delay` ago.
    pub fn is_delayed(fault: PlantedFault, key: &str, now: Instant, delay: Duration) -> bool {
        if !is_on(fault) {
            return false;
        }
        let seen_at = SEEN_AT.with_borrow_mut(|seen| *seen.entry(key.to_owned()).or_insert(now));
        now.saturating_duration_since(seen_at) < delay
    }

    /// Returns whether this fault is injected on this thread.
    pub fn is_on(fault: PlantedFault) -> bool {
        FAULT.get() == Some(fault)
    }
}

#[cfg(not(feature = "planted"))]
mod on {
    use std::time::{Duration, Instant};

    use super::PlantedFault;

    /// Returns `false`: without the feature no fault is injected.
    pub const fn is_on(_: PlantedFault) -> bool {
        false
    }

    /// Returns `false`: without the feature no fault is injected.
    pub const fn is_delayed(_: PlantedFault, _: &str, _: Instant, _: Duration) -> bool {
        false
    }
}

pub use on::*;
