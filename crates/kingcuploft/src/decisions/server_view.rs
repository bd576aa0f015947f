//! One VM's view of one backend server, and the estimated cost of a call to it.
//!
//! Load patterns: a server that fails fast is always idle and would attract all calls, so each failure counts as
//! several calls; a server that was unreachable is cold, so its share rises gradually (slow start); a server whose
//! calls in flight grow old is in a slow spell before any of them ends.

use std::time::{Duration, Instant};

use super::load_estimate::LoadEstimate;
use crate::settings::selection::SelectionSettings;
use crate::world::backend_server::{CallEnd, CallReport};

/// The most calls that failures count as, for each slot of the server.
const MAX_FAILURE_CALLS_PER_SLOT: f64 = 32.0;
/// How long an idle connection is assumed to stay open.
const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The upper bound of the latency penalty for overdue calls in flight, in ms.
const MAX_OVERDUE_MS: f64 = 100.0;

/// One VM's view of one backend server.
#[derive(Clone, Debug)]
pub(super) struct ServerView {
    pub(super) slots: f64,
    /// The network round-trip time to the server, without any work.
    pub(super) rtt: Duration,
    pub(super) load: LoadEstimate,
    /// The calls that failures count as, as of `last_failure`; they decay exponentially.
    failure_calls: f64,
    last_failure: Option<Instant>,
    /// When the server first answered after it had been unreachable.
    recovered_at: Option<Instant>,
    unreachable: bool,
    idle_connections: u32,
    last_used: Option<Instant>,
}

impl ServerView {
    /// Creates the view of a server that was not called yet.
    pub(super) fn new(slots: u32, rtt: Duration) -> Self {
        Self {
            slots: f64::from(slots),
            rtt,
            load: LoadEstimate::new(slots),
            failure_calls: 0.0,
            last_failure: None,
            recovered_at: None,
            unreachable: false,
            idle_connections: 0,
            last_used: None,
        }
    }

    pub(super) fn record_sent(&mut self, now: Instant) {
        self.load.record_sent(now);
        self.idle_connections = self.idle_connections_at(now).saturating_sub(1);
        self.last_used = Some(now);
    }

    pub(super) fn record_end(
        &mut self,
        now: Instant,
        report: &CallReport,
        settings: &SelectionSettings,
    ) {
        self.load.record_end(now, report.latency);
        match report.end {
            CallEnd::Answered { status } if status < 500 => self.record_success(now),
            CallEnd::Answered { .. } | CallEnd::Refused | CallEnd::TimedOut => {
                self.record_failure(now, settings);
            }
            CallEnd::NeverSent | CallEnd::Broken => {
                self.record_failure(now, settings);
                self.unreachable = true;
                self.idle_connections = 0;
            }
            CallEnd::TooLarge | CallEnd::Cancelled => {}
        }
        if let Some(load) = report.load {
            let doubt = settings.doubt_reports;
            self.load.record_report(now, load, self.rtt, doubt);
        }
    }

    /// Returns the estimated cost of a call sent now, in ms, beyond the work itself.
    pub(super) fn cost_ms(&self, now: Instant, total: f64, settings: &SelectionSettings) -> f64 {
        let penalty_calls =
            self.failure_calls_at(now, settings) + self.slow_start_calls(now, settings);
        let total = total + penalty_calls;
        let queued_per_slot = (total + 1.0 - self.slots).max(0.0) / self.slots;
        let usual = Duration::from_secs_f64(settings.overdue_ms / 1000.0);
        let overdue_ms = self.load.overdue(now, usual).as_secs_f64() * 1000.0;
        let connect_ms = match self.idle_connections_at(now) {
            0 => settings.connect_ms,
            _ => 0.0,
        };
        queued_per_slot * settings.wait_ms
            + total / self.slots
            + overdue_ms.min(MAX_OVERDUE_MS)
            + self.rtt.as_secs_f64() * 1000.0
            + connect_ms
    }

    fn record_success(&mut self, now: Instant) {
        self.failure_calls /= 2.0;
        self.idle_connections = self.idle_connections_at(now) + 1;
        if std::mem::take(&mut self.unreachable) {
            self.recovered_at = Some(now);
        }
    }

    /// Adds a failure penalty; each further failure before the penalty has decayed doubles it.
    fn record_failure(&mut self, now: Instant, settings: &SelectionSettings) {
        let calls = 2.0 * self.failure_calls_at(now, settings) + settings.failure_calls;
        self.failure_calls = calls.min(MAX_FAILURE_CALLS_PER_SLOT * self.slots);
        self.last_failure = Some(now);
    }

    fn failure_calls_at(&self, now: Instant, settings: &SelectionSettings) -> f64 {
        let Some(last_failure) = self.last_failure else {
            return 0.0;
        };
        if settings.failure_calls == 0.0 {
            return 0.0;
        }
        let age = now.saturating_duration_since(last_failure).as_secs_f64();
        self.failure_calls * (-age * 1000.0 / settings.failure_ms).exp()
    }

    /// Returns the calls that a recovered server counts as having during its slow start.
    fn slow_start_calls(&self, now: Instant, settings: &SelectionSettings) -> f64 {
        let Some(recovered_at) = self.recovered_at else {
            return 0.0;
        };
        let age_ms = now.saturating_duration_since(recovered_at).as_secs_f64() * 1000.0;
        let left = 1.0 - age_ms / settings.ramp_ms.max(1.0);
        left.max(0.0) * self.slots
    }

    fn idle_connections_at(&self, now: Instant) -> u32 {
        let idle_for = self.last_used.map(|at| now.saturating_duration_since(at));
        match idle_for {
            Some(age) if age < CONNECTION_IDLE_TIMEOUT => self.idle_connections,
            _ => 0,
        }
    }
}
