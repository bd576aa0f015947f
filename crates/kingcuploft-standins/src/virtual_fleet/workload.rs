//! The workload: requests of callers with Poisson arrivals, drawn from the seed before the run.

use std::time::Duration;

use kingcuploft::world::ids::{Caller, IdempotencyKey};
use serde::{Deserialize, Serialize};

use super::deployment::{Deployment, HOLD_RULE, LOOKUP_RULE, SEARCH_RULE};

/// A request that a caller will send.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// When it arrives at an entry VM, since the start of the run.
    pub arrives_at: Duration,
    /// The caller.
    pub caller: Caller,
    /// The index of the rule that it falls under.
    pub rule: usize,
    /// The idempotency key, for holds.
    pub key: Option<IdempotencyKey>,
    /// The slot time that it takes without slow spells.
    pub work: Duration,
    /// The draw that picks its VM: a number in `0.0..1.0`, scaled to the VMs that accept callers when it arrives.
    pub vm_draw: f64,
}

/// The distribution of the work times of a stream: exponential short jobs, and a share of uniform long jobs.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Work {
    /// The mean of the short jobs, which are exponential, in ms.
    pub short_ms: f64,
    /// The share of the requests that are long jobs, which are uniform between their bounds.
    pub long_share: f64,
    /// The shortest long job, in ms.
    pub long_from_ms: f64,
    /// The longest long job, in ms.
    pub long_until_ms: f64,
}

impl Default for Work {
    /// Returns a mix with a mean of 10 ms.
    fn default() -> Self {
        Self {
            short_ms: 7.2,
            long_share: 0.03,
            long_from_ms: 80.0,
            long_until_ms: 120.0,
        }
    }
}

impl Work {
    /// Returns the mean work time in ms.
    pub fn mean_ms(&self) -> f64 {
        let long_ms = f64::midpoint(self.long_from_ms, self.long_until_ms);
        (1.0 - self.long_share) * self.short_ms + self.long_share * long_ms
    }

    fn draw(&self, rng: &mut fastrand::Rng) -> Duration {
        let (long, uniform) = (rng.f64() < self.long_share, rng.f64());
        let ms = if long {
            self.long_from_ms + uniform * (self.long_until_ms - self.long_from_ms)
        } else {
            -self.short_ms * (1.0 - uniform).ln()
        };
        Duration::from_secs_f64(ms.max(0.05) / 1000.0)
    }
}

/// A stream of requests at a constant mean rate.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Stream {
    /// The start of the stream, in ms.
    pub from_ms: u64,
    /// The end of the stream, in ms; the end of the run if absent.
    pub until_ms: Option<u64>,
    /// The offered load: its work over the total slot time; 1.0 would occupy every slot.
    pub load: f64,
    /// The common prefix of the callers' names.
    pub caller: String,
    /// The number of callers that send it, in equal shares; each has a number after the prefix.
    pub callers: u32,
    /// The share of the requests that are holds.
    pub hold_share: f64,
    /// The share of the requests that are searches; the rest are lookups.
    pub search_share: f64,
    /// The one idempotency key of all holds; if absent, each hold has its own.
    pub key: Option<String>,
    /// The distribution of the work times.
    pub work: Work,
}

impl Default for Stream {
    fn default() -> Self {
        Self {
            from_ms: 0,
            until_ms: None,
            load: 0.75,
            caller: "caller".into(),
            callers: 40,
            hold_share: 0.1,
            search_share: 0.1,
            key: None,
            work: Work::default(),
        }
    }
}

impl Stream {
    fn draw(
        &self,
        deployment: &Deployment,
        duration: Duration,
        stream_index: usize,
        seed: u64,
    ) -> Vec<PlannedRequest> {
        let mut rng =
            fastrand::Rng::with_seed(seed ^ (stream_index as u64 + 1).wrapping_mul(0x9e37_79b9));
        let per_ms = self.load * f64::from(deployment.slots()) / self.work.mean_ms();
        let end_ms = duration.as_secs_f64() * 1000.0;
        let end_ms = self
            .until_ms
            .map_or(end_ms, |until| end_ms.min(until as f64));
        let mut at_ms = self.from_ms as f64;
        let mut requests = Vec::new();
        loop {
            at_ms -= (1.0 - rng.f64()).ln() / per_ms;
            if at_ms.is_nan() || at_ms >= end_ms {
                return requests;
            }
            requests.push(self.draw_request(at_ms, stream_index, requests.len(), &mut rng));
        }
    }

    /// Draws the rule, key, caller, work time and VM of the next request.
    fn draw_request(
        &self,
        at_ms: f64,
        stream_index: usize,
        request_index: usize,
        rng: &mut fastrand::Rng,
    ) -> PlannedRequest {
        let kind = rng.f64();
        let rule = match kind {
            kind if kind < self.hold_share => HOLD_RULE,
            kind if kind < self.hold_share + self.search_share => SEARCH_RULE,
            _ => LOOKUP_RULE,
        };
        let own_key = || format!("key-{stream_index}-{request_index}");
        let key = (rule == HOLD_RULE).then(|| self.key.clone().unwrap_or_else(own_key));
        PlannedRequest {
            arrives_at: Duration::from_secs_f64(at_ms / 1000.0),
            caller: format!("{}-{}", self.caller, rng.u32(0..self.callers.max(1))).into(),
            rule,
            key: key.map(Into::into),
            work: self.work.draw(rng),
            vm_draw: rng.f64(),
        }
    }
}

/// Draws all requests of a run, in the order of arrival.
pub fn draw(
    deployment: &Deployment,
    streams: &[Stream],
    duration: Duration,
    seed: u64,
) -> Vec<PlannedRequest> {
    let streams = streams.iter().enumerate();
    let requests = streams.flat_map(|(i, stream)| stream.draw(deployment, duration, i, seed));
    let mut requests: Vec<PlannedRequest> = requests.collect();
    requests.sort_by_key(|request| request.arrives_at);
    requests
}
