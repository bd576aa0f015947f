//! How much work a backend server has now, by what one VM knows of it.
//!
//! Load pattern: fourteen VMs share eleven backend servers of two slots. A report on a reply is true
//! when it leaves and wrong a few milliseconds later, as the other VMs go on sending. Taken at face
//! value, it makes all VMs rush to the same server; not taken at all, each VM is blind to nine
//! tenths of the work.
//!
//! The estimate therefore has two parts. The VM's own calls are known exactly. The others' are the
//! last report without the own calls it contained, and drift from there to their long-run mean.
//!
//! A report may also lie. One that is less than the own calls at the server, or that stays the same
//! while the own calls change, is contradicted by what the VM knows for sure; after a few of these
//! the reports of that server are ignored until they make sense again.

use std::time::{Duration, Instant};

use crate::world::backend_server::LoadReport;

/// Weight of a new report in the long-run mean of the others' calls.
const MEAN_WEIGHT: f64 = 0.05;
/// Contradicted reports, less the sound ones since, from which on reports are ignored.
const DOUBTED_FROM: f64 = 3.0;
/// The most doubt there can be: after it ends, this many sound reports restore trust.
const MOST_DOUBT: f64 = 20.0;
/// Doubt that one sound report takes away.
const SOUND: f64 = 0.5;
/// Calls beyond the slots that the others' calls drift to at most while no report comes.
const MOST_DRIFT_CALLS: f64 = 0.6;
/// Equal reports in a row, over a changing number of own calls, that count as frozen.
const FROZEN_REPORTS: u32 = 12;

/// What one VM knows of the load of one backend server.
#[derive(Clone, Debug)]
pub struct LoadEstimate {
    /// When each of the own calls in flight was sent, in that order.
    own: Vec<Instant>,
    /// The others' calls at the last report.
    others: f64,
    /// When the last report came.
    reported: Option<Instant>,
    /// The long-run mean of the others' calls.
    mean_others: f64,
    /// The most that an old report drifts to.
    ///
    /// A mean beyond the slots would close the server to this VM for good: without calls there is
    /// no report that could lower it. It shows as calls that wait at the entry for ever after an
    /// overload. Less than the slots and the allowance leaves room for the call that brings news.
    most_drift: f64,
    doubt: f64,
    equal: EqualReports,
}

/// Equal reports in a row and the own calls at the server when they came.
#[derive(Clone, Copy, Debug, Default)]
struct EqualReports {
    in_flight: u32,
    count: u32,
    fewest_own: usize,
    most_own: usize,
}

impl EqualReports {
    /// Counts a report; tells whether it looks frozen.
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
        self.count >= FROZEN_REPORTS && self.most_own > self.fewest_own
    }
}

impl LoadEstimate {
    /// Builds the estimate before anything is known of the server.
    pub fn new(slots: u32) -> Self {
        Self {
            own: Vec::new(),
            others: 0.0,
            reported: None,
            mean_others: f64::from(slots) / 2.0,
            most_drift: f64::from(slots) + MOST_DRIFT_CALLS,
            doubt: 0.0,
            equal: EqualReports::default(),
        }
    }

    /// Returns how many own calls are in flight.
    pub fn own_calls(&self) -> u32 {
        self.own.len() as u32
    }

    /// Tells whether the reports of this server are ignored.
    pub fn is_distrusted(&self) -> bool {
        self.doubt >= DOUBTED_FROM
    }

    /// Returns the long-run mean of the others' calls.
    pub fn mean_other_calls(&self) -> f64 {
        self.mean_others
    }

    /// Returns by how much the ages of the own calls in flight exceed `usual`, summed.
    pub fn overdue(&self, now: Instant, usual: Duration) -> Duration {
        let sent = self.own.iter();
        let ages = sent.map(|sent| now.saturating_duration_since(*sent));
        ages.map(|age| age.saturating_sub(usual)).sum()
    }

    /// Notes that an own call was sent.
    pub fn record_sent(&mut self, now: Instant) {
        self.own.push(now);
    }

    /// Notes that an own call ended that took `latency`.
    pub fn record_end(&mut self, now: Instant, latency: Duration) {
        let distance = |sent: &Instant| {
            let took = now.saturating_duration_since(*sent);
            took.abs_diff(latency)
        };
        let nearest = (0..self.own.len()).min_by_key(|&i| distance(&self.own[i]));
        if let Some(nearest) = nearest {
            self.own.remove(nearest);
        }
    }

    /// Takes a report in that left the server half a round trip ago.
    pub fn record_report(&mut self, now: Instant, report: LoadReport, rtt: Duration, doubt: bool) {
        let there = |sent: &&Instant| now.saturating_duration_since(**sent) > rtt;
        let own_there = self.own.iter().filter(there).count();
        if doubt {
            self.weigh(report, own_there);
        }
        if self.is_distrusted() {
            return;
        }
        self.others = (f64::from(report.in_flight) - own_there as f64).max(0.0);
        self.mean_others += MEAN_WEIGHT * (self.others - self.mean_others);
        self.reported = Some(now);
    }

    /// Takes in what a peer learnt of the server's load.
    pub fn record_load(&mut self, now: Instant, in_flight: u32) {
        if !self.is_distrusted() {
            self.others = (f64::from(in_flight) - self.own.len() as f64).max(0.0);
            self.reported = Some(now);
        }
    }

    /// Returns the estimate of all calls at the server; `typical_others` stands for the others'
    /// where reports are ignored.
    pub fn total_calls(&self, now: Instant, ageing: Duration, typical_others: f64) -> f64 {
        let own = self.own.len() as f64;
        if self.is_distrusted() || ageing.is_zero() {
            return own + typical_others;
        }
        own + self.others_now(now, ageing)
    }

    fn others_now(&self, now: Instant, ageing: Duration) -> f64 {
        let Some(reported) = self.reported else {
            return self.mean_others;
        };
        let age = now.saturating_duration_since(reported);
        let mean = self.mean_others.min(self.most_drift);
        let fresh = (-age.as_secs_f64() / ageing.as_secs_f64()).exp();
        mean + (self.others - mean) * fresh
    }

    fn weigh(&mut self, report: LoadReport, own_there: usize) {
        let frozen = self.equal.count(report.in_flight, own_there);
        let contradicted = (report.in_flight as usize) < own_there;
        let change = match frozen || contradicted {
            true => 1.0,
            false => -SOUND,
        };
        self.doubt = (self.doubt + change).clamp(0.0, MOST_DOUBT);
    }
}
