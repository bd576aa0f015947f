//! The account of the process's descriptors: who holds how many, and who gives way to one more caller.
//!
//! Load pattern: callers keep connections open that they don't use, or open them and say nothing, until none is left for
//! those who have a request, and few for servers, the store and readiness. Once 0.8 of the descriptors are used, idle connections to
//! servers give way first, as another one can be opened; then callers that have been idle for longest, as nothing of
//! theirs is lost; only then is the new caller refused, at once, so that it tries another VM.

/// The share of the descriptors beyond which somebody gives way. The rest is for files, the store, other VMs and readiness.
const USED_SHARE: f64 = 0.8;

/// The share that callers may take.
const CALLER_SHARE: f64 = 0.75;

/// How many descriptors connections hold.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DescriptorUse {
    /// Connections of callers.
    pub callers: usize,
    /// Those of them that have been idle for so long that they may give way.
    pub idle_callers: usize,
    /// Connections to servers.
    pub server_connections: usize,
    /// Those of them that are idle.
    pub idle_server_connections: usize,
}

/// Who gives way to one more caller.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Relief {
    /// How many idle connections to servers are closed.
    pub server_connections: usize,
    /// How many idle connections of callers are closed.
    pub callers: usize,
    /// Whether the new caller is admitted.
    pub admits: bool,
}

/// The account of a process's descriptors.
#[derive(Clone, Copy, Debug)]
pub struct DescriptorAccount {
    max_used: usize,
    max_callers: usize,
}

impl DescriptorAccount {
    /// Creates the account of a process that may have so many descriptors.
    pub fn new(max_descriptors: usize) -> Self {
        let share = |share: f64| (max_descriptors as f64 * share) as usize;
        Self {
            max_used: share(USED_SHARE),
            max_callers: share(CALLER_SHARE),
        }
    }

    /// Returns how many descriptors connections may hold before somebody gives way.
    pub fn max_used(&self) -> usize {
        self.max_used
    }

    /// Returns whether there is room for one more caller, so that nobody has to give way.
    pub fn has_room(&self, callers: usize, server_connections: usize) -> bool {
        callers < self.max_callers && callers.saturating_add(server_connections) < self.max_used
    }

    /// Returns who gives way to one more caller. Nobody does to a caller that is refused all the same.
    pub fn relief(&self, held: &DescriptorUse) -> Relief {
        let used = held.callers.saturating_add(held.server_connections);
        let excess = used.saturating_add(1).saturating_sub(self.max_used);
        let server_connections = excess.min(held.idle_server_connections);
        let too_many_callers = held
            .callers
            .saturating_add(1)
            .saturating_sub(self.max_callers);
        let callers = (excess - server_connections).max(too_many_callers);
        match callers <= held.idle_callers {
            true => Relief {
                server_connections,
                callers,
                admits: true,
            },
            false => Relief::default(),
        }
    }
}
