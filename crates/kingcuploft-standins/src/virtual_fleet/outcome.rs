//! What callers received in a run, and what it cost.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use kingcuploft::world::contract::Priority;
use kingcuploft::world::ids::Caller;
use kingcuploft::world::refusal::{Outcome as Ran, RefusalReason};
use serde::Serialize;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The caller waits still, or its VM is gone.
    Lost,
    /// A whole answer.
    Answered,
    /// A backend server's error, passed on.
    Failed,
    /// The system's own answer.
    Refused(RefusalReason, Ran),
}

/// One request and its end.
#[derive(Clone, Debug)]
pub struct Record {
    /// When it arrived.
    pub at: Duration,
    /// Who asked.
    pub caller: Caller,
    /// Its order among waiting requests.
    pub priority: Priority,
    /// The slot time of its work.
    pub work: Duration,
    /// From arrival to the latest useful answer.
    pub deadline: Duration,
    /// How it ended.
    pub end: End,
    /// From arrival to its end.
    pub latency: Duration,
    /// How often it was sent to a backend server.
    pub sent: u32,
}

impl Record {
    /// Tells whether the caller got a whole answer within the deadline.
    pub fn within_deadline(&self) -> bool {
        self.end == End::Answered && self.latency <= self.deadline
    }
}

/// What a run cost besides the work itself.
#[derive(Clone, Debug, Default)]
pub struct Cost {
    /// Calls sent to backend servers, probes not counted.
    pub calls: u64,
    /// Calls beyond the first that were sent while an earlier one was in flight.
    pub hedges: u64,
    /// Calls after an earlier one had ended.
    pub retries: u64,
    /// Probes sent to backend servers.
    pub probes: u64,
    /// Slot time of the probes.
    pub probe_slot_time: Duration,
    /// Slot time used in all.
    pub used_slot_time: Duration,
    /// Bytes of the messages between VMs.
    pub note_bytes: u64,
    /// When calls were sent, and to which backend server.
    pub sent: Vec<(Duration, usize)>,
}

/// The records of a run and its cost.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Every request.
    pub records: Vec<Record>,
    /// The cost.
    pub cost: Cost,
    /// How long callers sent requests.
    pub duration: Duration,
    /// Slots of all backend servers.
    pub slots: u32,
    /// Entry VMs.
    pub vms: usize,
    /// Runs of each idempotency key beyond the first.
    pub duplicate_runs: u64,
}

/// The figures of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Median time to an answer, in ms.
    pub p50_ms: f64,
    /// 99th percentile, in ms.
    pub p99_ms: f64,
    /// 99.9th percentile, in ms.
    pub p999_ms: f64,
    /// Answered in time.
    pub answered: u64,
    /// Answered after the deadline.
    pub late: u64,
    /// Backend servers' errors passed on.
    pub failed: u64,
    /// Refused, by reason.
    pub refused: BTreeMap<&'static str, u64>,
    /// Lost with their VM.
    pub lost: u64,
    /// Slot time of probes over all slots' time.
    pub probe_share: f64,
    /// Hedges over requests.
    pub hedge_share: f64,
    /// Work answered in time over what the slots could do.
    pub goodput_share: f64,
    /// Bytes of notes a second, sent by one VM.
    pub notes_bytes_per_second_per_node: f64,
}

impl Outcome {
    /// Returns the figures of the records that a filter keeps.
    pub fn summary(&self, keep: impl Fn(&Record) -> bool) -> Summary {
        let kept: Vec<&Record> = self.records.iter().filter(|r| keep(r)).collect();
        let count = |test: &dyn Fn(&Record) -> bool| kept.iter().filter(|r| test(r)).count() as u64;
        let latency = latency(
            kept.iter()
                .filter(|r| r.end == End::Answered)
                .map(|r| r.latency),
        );
        let quantile_ms = |q| latency.value_at_quantile(q) as f64 / 1000.0;
        let mut refused = BTreeMap::new();
        for record in &kept {
            if let End::Refused(reason, _) = record.end {
                *refused.entry(reason.label()).or_default() += 1;
            }
        }
        let in_time = kept.iter().filter(|r| r.within_deadline());
        let useful: Duration = in_time.map(|r| r.work).sum();
        let capacity = self.duration.as_secs_f64() * f64::from(self.slots);
        let node_seconds = self.duration.as_secs_f64() * self.vms as f64;
        Summary {
            p50_ms: quantile_ms(0.5),
            p99_ms: quantile_ms(0.99),
            p999_ms: quantile_ms(0.999),
            answered: count(&|r| r.within_deadline()),
            late: count(&|r| r.end == End::Answered && !r.within_deadline()),
            failed: count(&|r| r.end == End::Failed),
            refused,
            lost: count(&|r| r.end == End::Lost),
            probe_share: self.cost.probe_slot_time.as_secs_f64() / capacity,
            hedge_share: self.cost.hedges as f64 / self.records.len().max(1) as f64,
            goodput_share: useful.as_secs_f64() / capacity,
            notes_bytes_per_second_per_node: self.cost.note_bytes as f64 / node_seconds,
        }
    }
}

/// Builds a latency histogram in µs.
pub fn latency(times: impl Iterator<Item = Duration>) -> Histogram<u64> {
    let mut histogram = Histogram::new_with_max(600_000_000, 3).expect("The bounds are valid.");
    for time in times {
        histogram.saturating_record(time.as_micros() as u64);
    }
    histogram
}
