//! What one VM knows of one backend server, and what a call to it would cost.
//!
//! Load patterns: a server that fails fast is always idle and would attract all work, so failures
//! count as calls; one that was away is cold, so it gets its share by and by; one whose calls in
//! flight grow old is in a slow spell before any of them ends.

use std::time::{Duration, Instant};

use super::load_estimate::LoadEstimate;
use crate::settings::selection::SelectionSettings;
use crate::world::backend_server::{CallEnd, CallReport};

/// The most calls that failures count as, for each slot.
const MOST_FAILURE_CALLS: f64 = 32.0;
/// How long an idle connection is taken for open.
const CONNECTION_IDLE: Duration = Duration::from_secs(10);
/// The longest excess of calls in flight that counts, in ms.
const MOST_OVERDUE_MS: f64 = 100.0;

/// What one VM knows of one backend server.
#[derive(Clone, Debug)]
pub(super) struct ServerView {
    pub(super) slots: f64,
    /// A round trip on the link, without any work.
    pub(super) rtt: Duration,
    pub(super) load: LoadEstimate,
    /// Calls that failures count as, at `failed`.
    failure_calls: f64,
    failed: Option<Instant>,
    /// When it first answered after it had been away.
    back: Option<Instant>,
    away: bool,
    idle_connections: u32,
    used: Option<Instant>,
}

impl ServerView {
    /// Builds the view before the first call.
    pub(super) fn new(slots: u32, rtt: Duration) -> Self {
        Self {
            slots: f64::from(slots),
            rtt,
            load: LoadEstimate::new(slots),
            failure_calls: 0.0,
            failed: None,
            back: None,
            away: false,
            idle_connections: 0,
            used: None,
        }
    }

    pub(super) fn record_sent(&mut self, now: Instant) {
        self.load.record_sent(now);
        self.idle_connections = self.idle_connections_at(now).saturating_sub(1);
        self.used = Some(now);
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
                self.away = true;
                self.idle_connections = 0;
            }
            CallEnd::TooLarge | CallEnd::Cancelled => {}
        }
        if let Some(load) = report.load {
            let doubt = settings.doubt_reports;
            self.load.record_report(now, load, self.rtt, doubt);
        }
    }

    /// Returns what a call would cost now, in ms, beyond the work itself.
    pub(super) fn cost_ms(&self, now: Instant, total: f64, settings: &SelectionSettings) -> f64 {
        let phantom = self.failure_calls_at(now, settings) + self.slow_start_calls(now, settings);
        let total = total + phantom;
        let ahead = (total + 1.0 - self.slots).max(0.0) / self.slots;
        let usual = Duration::from_secs_f64(settings.overdue_ms / 1000.0);
        let overdue_ms = self.load.overdue(now, usual).as_secs_f64() * 1000.0;
        let connect_ms = match self.idle_connections_at(now) {
            0 => settings.connect_ms,
            _ => 0.0,
        };
        ahead * settings.wait_ms
            + total / self.slots
            + overdue_ms.min(MOST_OVERDUE_MS)
            + self.rtt.as_secs_f64() * 1000.0
            + connect_ms
    }

    fn record_success(&mut self, now: Instant) {
        self.failure_calls /= 2.0;
        self.idle_connections = self.idle_connections_at(now) + 1;
        if std::mem::take(&mut self.away) {
            self.back = Some(now);
        }
    }

    /// Counts a failure as calls; each further one while it counts doubles them.
    fn record_failure(&mut self, now: Instant, settings: &SelectionSettings) {
        let calls = 2.0 * self.failure_calls_at(now, settings) + settings.failure_calls;
        self.failure_calls = calls.min(MOST_FAILURE_CALLS * self.slots);
        self.failed = Some(now);
    }

    fn failure_calls_at(&self, now: Instant, settings: &SelectionSettings) -> f64 {
        let Some(failed) = self.failed else {
            return 0.0;
        };
        if settings.failure_calls == 0.0 {
            return 0.0;
        }
        let age = now.saturating_duration_since(failed).as_secs_f64();
        self.failure_calls * (-age * 1000.0 / settings.failure_ms).exp()
    }

    /// Returns the calls that a server counts as having while it warms up.
    fn slow_start_calls(&self, now: Instant, settings: &SelectionSettings) -> f64 {
        let Some(back) = self.back else {
            return 0.0;
        };
        let age_ms = now.saturating_duration_since(back).as_secs_f64() * 1000.0;
        let left = 1.0 - age_ms / settings.ramp_ms.max(1.0);
        left.max(0.0) * self.slots
    }

    fn idle_connections_at(&self, now: Instant) -> u32 {
        let used = self.used.map(|at| now.saturating_duration_since(at));
        match used {
            Some(age) if age < CONNECTION_IDLE => self.idle_connections,
            _ => 0,
        }
    }
}
