//! Requests for which only servers are left that want nothing from this VM for a while.

use std::time::Duration;

use kingcuploft::entry::server_pauses::{self, PauseDecision};

use super::active_request::ActiveRequest;
use crate::clock;
use crate::pauses;

impl ActiveRequest<'_> {
    /// Returns what to do with the request, by the pauses of the servers that it was not sent to yet.
    pub(super) fn check_pauses(&self) -> PauseDecision {
        if self.context.pauses.borrow().is_empty() {
            return PauseDecision::Select;
        }
        let now = clock::now();
        self.context.with_upstreams(&self.service, |upstreams| {
            let untried = upstreams.filter(|u| !self.was_tried(u));
            let pauses = untried.map(|u| pauses::remaining(self.context, now, &u.server.name));
            server_pauses::decide(pauses, self.remaining_wait())
        })
    }

    /// Returns how much longer all servers of the service are paused; zero if one is not.
    pub(super) fn all_paused_for(&self) -> Duration {
        if self.context.pauses.borrow().is_empty() {
            return Duration::ZERO;
        }
        let now = clock::now();
        let shortest = self.context.with_upstreams(&self.service, |upstreams| {
            let pauses = upstreams.map(|u| pauses::remaining(self.context, now, &u.server.name));
            server_pauses::shortest(pauses)
        });
        shortest.unwrap_or_default()
    }
}
