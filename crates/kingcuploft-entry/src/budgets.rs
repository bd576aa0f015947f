//! Takes from the VM's budgets for probes, repeats and log lines.

use std::time::{Duration, Instant};

use kingcuploft::entry::log_rate_limiter::LogDecision;
use kingcuploft::entry::placement::LoadReport;
use kingcuploft::entry::probe_budget;
use kingcuploft::entry::repeat_account::UsageReport;
use kingcuploft::entry::repeat_budget::BudgetStatus;
use kingcuploft::planted::{self, PlantedFault};
use kingcuploft::world::ids::ServiceName;

use crate::clock;
use crate::context::Context;

/// A repeat that a request asks for: a retry or a hedge.
#[derive(Debug)]
pub struct WantedRepeat<'a> {
    /// The request's id.
    pub request: Option<&'a str>,
    /// The service that it is sent to.
    pub service: &'a ServiceName,
    /// What was wrong with the earlier send, as logged and counted.
    pub after: &'static str,
    /// The number of sends so far.
    pub attempts: u32,
}

impl Context {
    /// Counts a request for a service; the repeat budget is a share of the requests.
    pub fn count_request(&self, now: Instant, service: &ServiceName) {
        self.repeat_budget.borrow_mut().record_request(now, service);
    }

    /// Takes one probe from the probe budget; returns whether the budget allowed it.
    pub fn take_probe(&self, now: Instant) -> bool {
        if planted::is_on(PlantedFault::ProbesUnbounded) {
            return true;
        }
        let servers = self.total_upstream_count();
        let bound = self.bounds.get().probes_per_server_s;
        self.probe_budget
            .borrow_mut()
            .try_take(now, bound, servers, self.vm_count.get().divisor())
    }

    /// Returns whether the log budget allows a line about a request that succeeded. Logs from time to time how many
    /// such lines were left out.
    pub fn writes_ordinary_line(&self, now: Instant) -> bool {
        let decision = self.log_rate_limiter.borrow_mut().admit(now);
        match decision {
            LogDecision::Write => return true,
            LogDecision::Drop => {}
            LogDecision::DropAndReport(count) => tracing::info!(event = "ordinary_left_out", count),
        }
        self.metrics.ordinary_lines_left_out.inc();
        false
    }

    /// Records a near server's answer to a probe, which took so long.
    pub fn record_near_probe(&self, service: &ServiceName, report: &LoadReport, took: Duration) {
        let mut latency = self.near_probe_latency.get();
        latency.record(took);
        self.near_probe_latency.set(latency);
        let mut good_shares = self.good_shares.borrow_mut();
        good_shares
            .entry(service.clone())
            .or_default()
            .record(report);
    }

    /// Returns how many near servers of a service a request probes first.
    pub fn probed_first(&self, service: &ServiceName) -> usize {
        let good_shares = self.good_shares.borrow();
        let share = good_shares.get(service).copied().unwrap_or_default();
        share.probed_first()
    }

    /// Returns the fill of the probe budget, from 0 (exhausted) to 1 (full).
    pub fn probe_budget_left(&self) -> f64 {
        self.probe_budget.borrow().remaining_share()
    }

    /// Returns the share of its servers that a request probes after so many unsuccessful rounds of selection.
    pub fn probe_share(&self, rounds: u32) -> f64 {
        probe_budget::probe_share(self.probe_budget_left(), rounds)
    }

    /// Returns the greatest age of a load report by which a server may be selected.
    pub fn max_load_report_age(&self) -> Duration {
        self.probe_budget.borrow().max_report_age()
    }

    /// Takes one repeat from the repeat budget; returns whether the budget allowed it.
    pub fn take_repeat(&self, now: Instant, service: &ServiceName) -> bool {
        self.take_from_repeat_budget(now, service).allows_repeat()
    }

    /// Takes one repeat from the repeat budget, counts it by what was wrong with the earlier send, and logs the figures
    /// behind the decision. Returns whether the budget allowed it.
    pub fn request_repeat(&self, wanted: &WantedRepeat<'_>) -> bool {
        let now = clock::now();
        let status = self.take_from_repeat_budget(now, wanted.service);
        let is_allowed = status.allows_repeat();
        tracing::info!(
            event = "repeat",
            request = wanted.request,
            after = wanted.after,
            attempts = wanted.attempts,
            room = is_allowed,
            service = %wanted.service,
            used = status.used,
            allowed = status.allowed,
            vms = self.vm_count.get().counted(),
            up_ms = clock::since(self.started_at).as_millis() as u64,
        );
        let reason = if is_allowed {
            wanted.after
        } else {
            "no_budget"
        };
        self.metrics.count_repeat(reason);
        is_allowed
    }

    fn take_from_repeat_budget(&self, now: Instant, service: &ServiceName) -> BudgetStatus {
        let bounds = self.bounds.get().repeats;
        let mut repeats = self.repeat_budget.borrow_mut();
        let status = repeats.try_take(now, service, &bounds, self.vm_count.get().divisor());
        if status.allows_repeat() {
            self.repeat_taken.notify_one();
        }
        status
    }

    /// Returns the usage of the repeat budget that other VMs store for this VM.
    pub fn repeats_used(&self) -> UsageReport {
        let bounds = self.bounds.get().repeats;
        self.repeat_budget
            .borrow_mut()
            .report(clock::now(), &bounds)
    }

    /// Returns for how much longer the usage before this VM's start matters while no other VM has reported it.
    pub fn repeats_unknown_for(&self) -> Duration {
        self.repeat_budget.borrow().unknown_for(clock::now())
    }

    /// Adopts the usage that another VM has stored for this one; returns whether it was unknown.
    pub fn recover_repeats(&self, used: &UsageReport) -> bool {
        self.repeat_budget.borrow_mut().recover(clock::now(), used)
    }
}
