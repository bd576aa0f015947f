//! How many servers are asked for a request.

use super::placement::ProbeScope;

/// How many servers are asked at first: one in four is slow at any moment, and among six there is
/// nearly always one that is fast and free.
const MOST_ASKED_FIRST: usize = 6;

/// How many servers of other zones are asked where no near one is good: one of three is idle and fast as a
/// rule while the fleet has room, and each takes bytes between zones, a probe of 6 ms, and often a new
/// connection.
const FEW_FAR: usize = 3;

/// How many servers are asked in all where none of the first is good: all of a service of today, and
/// a bounded number of one with hundreds.
const MOST_ASKED: usize = 16;

/// How many servers are asked, of the own zone and of the others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProbeFanout {
    /// Of the own zone.
    pub near: usize,
    /// Of the other zones.
    pub far: usize,
}

/// Returns how many of these servers are asked, at first and when none of the first was good.
///
/// Load pattern: callers move to one zone, whose servers are all full while those of the other zones
/// have room. A zone with more servers than are asked in all must not keep its requests to itself. The
/// reverse as well: where there are few servers elsewhere, or none, more of the own zone are asked, or a
/// few VMs would fill six servers each and leave thirty idle.
pub fn probe_fanout(near: usize, far: usize, reach: ProbeScope) -> ProbeFanout {
    let first_near = near.min(MOST_ASKED_FIRST);
    let most_far = match (reach, first_near) {
        (ProbeScope::Far, _) => MOST_ASKED - first_near,
        (_, 0) => MOST_ASKED_FIRST,
        (ProbeScope::FewFar, _) => FEW_FAR,
        (ProbeScope::Near, _) => 0,
    };
    let far = far.min(most_far);
    let near = match reach {
        ProbeScope::Far => near.min(MOST_ASKED - far),
        ProbeScope::FewFar if far == 0 => near.min(MOST_ASKED_FIRST + FEW_FAR),
        ProbeScope::Near | ProbeScope::FewFar => first_near,
    };
    ProbeFanout { near, far }
}
