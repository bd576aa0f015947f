//! The results of a run: how each request ended for its caller, and what the run cost.

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
    /// The caller got no answer: its VM stopped, no VM accepted it, or the run ended first.
    Lost,
    /// The caller got a complete answer.
    Answered,
    /// The caller got the error of a backend server.
    Failed,
    /// The load balancer refused the request.
    Refused(RefusalReason, Ran),
}

/// A request and how it ended.
#[derive(Clone, Debug)]
pub struct Record {
    /// When it arrived, since the start of the run.
    pub arrived_at: Duration,
    /// The caller.
    pub caller: Caller,
    /// The priority of its rule.
    pub priority: Priority,
    /// The slot time that its work takes without slow spells.
    pub work: Duration,
    /// The time from arrival by which an answer is useful.
    pub deadline: Duration,
    /// How it ended.
    pub end: End,
    /// The time from arrival to its end.
    pub latency: Duration,
    /// The number of calls to backend servers for it.
    pub call_count: u32,
}

impl Record {
    /// Returns whether the caller got a complete answer within the deadline.
    pub fn within_deadline(&self) -> bool {
        self.end == End::Answered && self.latency <= self.deadline
    }
}

/// The calls, probes, slot time and messages that a run took.
#[derive(Clone, Debug, Default)]
pub struct Cost {
    /// Calls sent to backend servers, without probes.
    pub calls: u64,
    /// Calls beyond the first that were sent while an earlier one was in flight.
    pub hedges: u64,
    /// Calls after an earlier one had ended.
    pub retries: u64,
    /// Probes sent to backend servers.
    pub probes: u64,
    /// The slot time that probes used.
    pub probe_slot_time: Duration,
    /// The slot time that requests and probes used.
    pub used_slot_time: Duration,
    /// The bytes of the messages between VMs.
    pub note_bytes: u64,
    /// The time of each call and the index of its backend server.
    pub sent_calls: Vec<(Duration, usize)>,
}

/// The records of a run and its cost.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The records of all requests.
    pub records: Vec<Record>,
    /// The cost.
    pub cost: Cost,
    /// How long callers sent requests.
    pub duration: Duration,
    /// The slots of all backend servers.
    pub slots: u32,
    /// The number of entry VMs.
    pub vm_count: usize,
    /// The runs of idempotency keys beyond the first of each key.
    pub duplicate_runs: u64,
}

/// The latencies, counts and shares of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// The median time to an answer, in ms.
    pub p50_ms: f64,
    /// The 99th percentile of the time to an answer, in ms.
    pub p99_ms: f64,
    /// The 99.9th percentile of the time to an answer, in ms.
    pub p999_ms: f64,
    /// Requests answered within their deadline.
    pub answered: u64,
    /// Requests answered after their deadline.
    pub late: u64,
    /// Requests that got the error of a backend server.
    pub failed: u64,
    /// Refused requests, by reason.
    pub refused: BTreeMap<&'static str, u64>,
    /// Requests that got no answer.
    pub lost: u64,
    /// The slot time of probes over the total slot time.
    pub probe_share: f64,
    /// Hedged calls over requests.
    pub hedge_share: f64,
    /// The work of requests answered within their deadline over the total slot time.
    pub goodput_share: f64,
    /// The bytes of messages to peers that one VM sends per second, on average.
    pub notes_bytes_per_second_per_node: f64,
}

impl Outcome {
    /// Summarizes the records that match a filter.
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
        let node_seconds = self.duration.as_secs_f64() * self.vm_count as f64;
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
