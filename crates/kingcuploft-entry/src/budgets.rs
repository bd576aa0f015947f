//! What a VM takes from budgets: probes, repeats, lines of log.

use std::time::{Duration, Instant};

use kingcuploft::entry::log_budget::Ordinary;
use kingcuploft::entry::probe_budget;
use kingcuploft::entry::repeat_account::Used;
use kingcuploft::entry::repeats::Standing;
use kingcuploft::planted::{self, Planted};
use kingcuploft::world::ids::ServiceName;

use crate::clock;
use crate::context::Context;

/// A second send that a request wants.
#[derive(Debug)]
pub struct WantedRepeat<'a> {
    /// The request's id.
    pub request: Option<&'a str>,
    /// The service.
    pub service: &'a ServiceName,
    /// What was wrong with the first send.
    pub after: &'static str,
    /// Sends so far.
    pub attempts: u32,
}

impl Context {
    /// Counts a request for a service.
    pub fn count_request(&self, now: Instant, service: &ServiceName) {
        self.repeats.borrow_mut().arrived(now, service);
    }

    /// Takes one probe from the budget, if it has room.
    pub fn take_probe(&self, now: Instant) -> bool {
        if planted::is_on(Planted::ProbesUnbounded) {
            return true;
        }
        let servers = self.servers.borrow().in_use();
        let bound = self.bounds.get().probes_per_server_s;
        self.probe_budget
            .borrow_mut()
            .take(now, bound, servers, self.vm_count.get())
    }

    /// Returns whether a line that says that all went well is written; tells now and then how many
    /// were not.
    pub fn writes_ordinary_line(&self, now: Instant) -> bool {
        let taken = self.log_budget.borrow_mut().take(now);
        match taken {
            Ordinary::Write => return true,
            Ordinary::LeaveOut => {}
            Ordinary::Tell(count) => tracing::info!(event = "ordinary_left_out", count),
        }
        self.metrics.ordinary_lines_left_out.inc();
        false
    }

    /// Returns which part of the probe budget is there to be used, from 0 to 1.
    pub fn probe_budget_left(&self) -> f64 {
        self.probe_budget.borrow().fill()
    }

    /// Returns which share of its servers a request asks that has looked so often in vain.
    pub fn probe_share(&self, looks: u32) -> f64 {
        probe_budget::ask_share(self.probe_budget_left(), looks)
    }

    /// Returns how old a reading may be to choose by it.
    pub fn max_load_report_age(&self) -> Duration {
        self.probe_budget.borrow().reading_life()
    }

    /// Takes one repeat from the budget, if it has room.
    pub fn take_repeat(&self, now: Instant, service: &ServiceName) -> bool {
        self.take_repeat_share(now, service).has_room()
    }

    /// Takes one repeat from the budget, if it has room, counts it by what was wrong with the first send, and writes what
    /// decided it.
    pub fn request_repeat(&self, wanted: &WantedRepeat<'_>) -> bool {
        let now = clock::now();
        let standing = self.take_repeat_share(now, wanted.service);
        let room = standing.has_room();
        tracing::info!(
            event = "repeat",
            request = wanted.request,
            after = wanted.after,
            attempts = wanted.attempts,
            room,
            service = %wanted.service,
            used = standing.used,
            allowed = standing.allowed,
            vms = self.vm_count.get(),
            up_ms = clock::since(self.started_at).as_millis() as u64,
        );
        let reason = if room { wanted.after } else { "no_budget" };
        self.metrics.count_repeat(reason);
        room
    }

    fn take_repeat_share(&self, now: Instant, service: &ServiceName) -> Standing {
        let bounds = self.bounds.get().repeats;
        let mut repeats = self.repeats.borrow_mut();
        let standing = repeats.take(now, service, &bounds, self.vm_count.get());
        if standing.has_room() {
            self.repeat_taken.notify_one();
        }
        standing
    }

    /// Returns what others may keep of the budget of repeats for this VM.
    pub fn repeats_used(&self) -> Used {
        let bounds = self.bounds.get().repeats;
        self.repeats.borrow_mut().used(clock::now(), &bounds)
    }

    /// Returns for how much longer it matters what this VM used before it started, which nobody has told it.
    pub fn repeats_unknown_for(&self) -> Duration {
        self.repeats.borrow().unknown_for(clock::now())
    }

    /// Goes on with what another VM has kept; returns whether that is news.
    pub fn recover_repeats(&self, used: &Used) -> bool {
        self.repeats.borrow_mut().recover(clock::now(), used)
    }
}
