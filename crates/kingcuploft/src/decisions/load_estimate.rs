//! An estimate of the calls in progress at one backend server, by what one VM knows of it.
//!
//! Load pattern: fourteen VMs share eleven backend servers of two slots. A load report on a response is true when it
//! leaves the server and wrong a few milliseconds later, as the other VMs go on sending. Taken at face value, it makes
//! all VMs send to the same server (herding); ignored, it leaves each VM blind to nine tenths of the work.
//!
//! The estimate therefore has two parts. The VM's own calls are known exactly. The calls of the other VMs are the last
//! report less the own calls that it contained, and decay from there to their long-run mean.
//!
//! A report may also be wrong. One that is less than the own calls at the server, or that stays the same while the own
//! calls change, contradicts what the VM knows for sure; after a few of these the reports of that server are ignored
//! until they are consistent again.

use std::time::{Duration, Instant};

use crate::world::backend_server::LoadReport;

/// The weight of a new report in the moving average of the other VMs' calls.
const MEAN_WEIGHT: f64 = 0.05;
/// The distrust from which on a server's reports are ignored: contradicted reports, less what consistent ones took
/// away.
const DISTRUST_THRESHOLD: f64 = 3.0;
/// The upper bound of distrust: it bounds how many consistent reports restore trust.
const MAX_DISTRUST: f64 = 20.0;
/// The distrust that one consistent report takes away.
const DISTRUST_DECREMENT: f64 = 0.5;
/// How far above the slots the estimate of the other VMs' calls may drift while no report comes, in calls.
const MAX_DRIFT_CALLS: f64 = 0.6;
/// Equal reports in a row, while the own calls change, from which on the reports count as frozen.
const FROZEN_AFTER_REPORTS: u32 = 12;

/// One VM's estimate of the load of one backend server.
#[derive(Clone, Debug)]
pub struct LoadEstimate {
    /// When each of the VM's own calls in flight was sent, oldest first.
    own_sent_at: Vec<Instant>,
    /// The other VMs' calls at the last report.
    other_calls: f64,
    /// When the last report came.
    reported_at: Option<Instant>,
    /// The moving average of the other VMs' calls.
    mean_other_calls: f64,
    /// The upper bound of the mean that an old report decays to.
    ///
    /// A mean above the slots would close the server to this VM for good: without calls there is no report that could
    /// lower it, and after an overload calls would wait at the entry for ever. A bound below the slots plus the
    /// allowance leaves room for the call that brings a report.
    max_drift_calls: f64,
    distrust: f64,
    equal_reports: EqualReports,
}

/// A run of equal reports, and the range of own calls at the server while they came.
#[derive(Clone, Copy, Debug, Default)]
struct EqualReports {
    in_flight: u32,
    count: u32,
    fewest_own: usize,
    most_own: usize,
}

impl EqualReports {
    /// Counts a report; returns whether the reports look frozen.
    fn count(&mut self, in_flight: u32, own: usize) -> bool {
        if self.count == 0 || self.in_flight != in_flight {
            *self = Self {
                in_flight,
                count: 0,
                fewest_own: own,
                most_own: own,
            };
        }
        self.count += 1;
        self.fewest_own = self.fewest_own.min(own);
        self.most_own = self.most_own.max(own);
        self.count >= FROZEN_AFTER_REPORTS && self.most_own > self.fewest_own
    }
}

impl LoadEstimate {
    /// Creates the estimate for a server of which nothing is known.
    pub fn new(slots: u32) -> Self {
        Self {
            own_sent_at: Vec::new(),
            other_calls: 0.0,
            reported_at: None,
            mean_other_calls: f64::from(slots) / 2.0,
            max_drift_calls: f64::from(slots) + MAX_DRIFT_CALLS,
            distrust: 0.0,
            equal_reports: EqualReports::default(),
        }
    }

    /// Returns how many of the VM's own calls are in flight.
    pub fn own_calls(&self) -> u32 {
        self.own_sent_at.len() as u32
    }

    /// Returns whether the reports of this server are ignored.
    pub fn is_distrusted(&self) -> bool {
        self.distrust >= DISTRUST_THRESHOLD
    }

    /// Returns the moving average of the other VMs' calls.
    pub fn mean_other_calls(&self) -> f64 {
        self.mean_other_calls
    }

    /// Returns the sum of the times by which the own calls in flight are older than `usual`.
    pub fn overdue(&self, now: Instant, usual: Duration) -> Duration {
        let sent = self.own_sent_at.iter();
        let ages = sent.map(|sent| now.saturating_duration_since(*sent));
        ages.map(|age| age.saturating_sub(usual)).sum()
    }

    /// Records that an own call was sent.
    pub fn record_sent(&mut self, now: Instant) {
        self.own_sent_at.push(now);
    }

    /// Records the end of an own call that took `latency`.
    pub fn record_end(&mut self, now: Instant, latency: Duration) {
        let distance = |sent: &Instant| {
            let took = now.saturating_duration_since(*sent);
            took.abs_diff(latency)
        };
        let nearest = (0..self.own_sent_at.len()).min_by_key(|&i| distance(&self.own_sent_at[i]));
        if let Some(nearest) = nearest {
            self.own_sent_at.remove(nearest);
        }
    }

    /// Records a load report that left the server half a round trip ago; `check` has its consistency checked.
    pub fn record_report(&mut self, now: Instant, report: LoadReport, rtt: Duration, check: bool) {
        let had_arrived = |sent: &&Instant| now.saturating_duration_since(**sent) > rtt;
        let own_arrived = self.own_sent_at.iter().filter(had_arrived).count();
        if check {
            self.update_distrust(report, own_arrived);
        }
        if self.is_distrusted() {
            return;
        }
        self.other_calls = (f64::from(report.in_flight) - own_arrived as f64).max(0.0);
        self.mean_other_calls += MEAN_WEIGHT * (self.other_calls - self.mean_other_calls);
        self.reported_at = Some(now);
    }

    /// Records a load that a probe or a peer saw at the server.
    pub fn record_load(&mut self, now: Instant, in_flight: u32) {
        if !self.is_distrusted() {
            self.other_calls = (f64::from(in_flight) - self.own_sent_at.len() as f64).max(0.0);
            self.reported_at = Some(now);
        }
    }

    /// Returns the estimate of all calls at the server; `typical_others` stands for the other VMs' calls where reports
    /// are ignored.
    pub fn total_calls(&self, now: Instant, ageing: Duration, typical_others: f64) -> f64 {
        let own = self.own_sent_at.len() as f64;
        if self.is_distrusted() || ageing.is_zero() {
            return own + typical_others;
        }
        own + self.other_calls_at(now, ageing)
    }

    fn other_calls_at(&self, now: Instant, ageing: Duration) -> f64 {
        let Some(reported_at) = self.reported_at else {
            return self.mean_other_calls;
        };
        let age = now.saturating_duration_since(reported_at);
        let mean = self.mean_other_calls.min(self.max_drift_calls);
        let fresh = (-age.as_secs_f64() / ageing.as_secs_f64()).exp();
        mean + (self.other_calls - mean) * fresh
    }

    fn update_distrust(&mut self, report: LoadReport, own_arrived: usize) {
        let frozen = self.equal_reports.count(report.in_flight, own_arrived);
        let contradicted = (report.in_flight as usize) < own_arrived;
        let change = match frozen || contradicted {
            true => 1.0,
            false => -DISTRUST_DECREMENT,
        };
        self.distrust = (self.distrust + change).clamp(0.0, MAX_DISTRUST);
    }
}
