//! A request for which all servers left name a limit.

use std::time::{Duration, Instant};

use kingcuploft::world::ids::ServiceName;

use super::flight::Flight;
use crate::context::Context;

/// How often a request that waits looks for a server.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// When a refused caller may come back: another VM, which it may reach then, has another part of the limits.
const COME_BACK_SOONEST: Duration = Duration::from_millis(250);
const COME_BACK_LATEST: Duration = Duration::from_secs(2);

/// The place of a request among those that wait for a service's limits at this VM.
pub(super) struct Turn<'a> {
    context: &'a Context,
    service: ServiceName,
    /// How many waited before.
    ahead: u32,
}

impl<'a> Turn<'a> {
    pub(super) fn take(context: &'a Context, service: &ServiceName) -> Self {
        let mut waits = context.limit_waits.borrow_mut();
        let waiting = waits.entry(service.clone()).or_default();
        let ahead = *waiting;
        *waiting += 1;
        Self {
            context,
            service: service.clone(),
            ahead,
        }
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        let mut waits = self.context.limit_waits.borrow_mut();
        if let Some(waiting) = waits.get_mut(&self.service) {
            *waiting -= 1;
        }
    }
}

impl Flight<'_> {
    /// Returns how long to wait before looking again, or, where no server takes the request in time, when the caller may
    /// come back. The first of the servers takes one in `after`.
    pub(super) fn await_limit(
        &self,
        now: Instant,
        after: Duration,
        turn: &Turn<'_>,
    ) -> Result<Duration, Duration> {
        let work_ms = self.context.work_ms(&self.route, &self.service);
        let work = Duration::from_secs_f64(work_ms / 1000.0);
        let left = self.deadline.saturating_duration_since(now);
        let served_after = after.saturating_mul(turn.ahead + 1).saturating_add(work);
        match served_after < left {
            true => Ok(after.min(LOOK_AGAIN)),
            false => Err(after.clamp(COME_BACK_SOONEST, COME_BACK_LATEST)),
        }
    }
}
