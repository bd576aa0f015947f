//! How many servers are probed for a request.

use super::placement::ProbeScope;

/// Maximum number of near servers in the first round: one server in four is slow at any moment, and among six nearly
/// always one is fast and free.
pub const MAX_PROBED_FIRST: usize = 6;

/// Number of servers of other zones that are probed if no near one is good: one of three is usually idle and fast while
/// the fleet has capacity, and each costs bytes between zones, a probe of 6 ms, and often a new connection.
const FEW_FAR_SERVERS: usize = 3;

/// Maximum number of servers that are probed in all if none of the first is good: all servers of a typical service, and
/// a bounded number of one with hundreds.
pub const MAX_PROBED: usize = 16;

/// The number of servers to probe, by distance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProbeFanout {
    /// Of the own zone.
    pub near: usize,
    /// Of the other zones.
    pub far: usize,
}

/// Returns how many of the near and far servers are probed in this scope.
///
/// Load pattern: callers move to one zone, whose servers are all full while those of the other zones have capacity. A
/// zone with more servers than the probe limit must not keep its requests to itself. Conversely, with few servers
/// elsewhere or none, more servers of the own zone are probed; otherwise a few VMs would fill six servers each and
/// leave thirty idle.
pub fn probe_fanout(near: usize, far: usize, scope: ProbeScope) -> ProbeFanout {
    let first_near = near.min(MAX_PROBED_FIRST);
    let max_far = match (scope, first_near) {
        (ProbeScope::Far, _) => MAX_PROBED - first_near,
        (_, 0) => MAX_PROBED_FIRST,
        (ProbeScope::FewFar, _) => FEW_FAR_SERVERS,
        (ProbeScope::Near, _) => 0,
    };
    let far = far.min(max_far);
    let near = match scope {
        ProbeScope::Far => near.min(MAX_PROBED - far),
        ProbeScope::FewFar if far == 0 => near.min(MAX_PROBED_FIRST + FEW_FAR_SERVERS),
        ProbeScope::Near | ProbeScope::FewFar => first_near,
    };
    ProbeFanout { near, far }
}
