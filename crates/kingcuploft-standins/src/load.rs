//! An open-loop load generator with seeded Poisson arrivals.
//!
//! A slow answer does not delay the next call, and latency counts from the time at which the call was due, so that the
//! figures do not suffer from coordinated omission.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use std::time::Instant;
use tokio::runtime::Runtime;

use crate::callers::{CallPlan, CallResult, Callers};
use crate::precise_sleep;
use crate::tally::Tally;

/// A call and when it is due.
#[derive(Clone, Debug)]
pub struct ScheduledCall {
    /// Time from the start of the run.
    pub at: Duration,
    /// The index of the address it goes to, modulo the number of addresses.
    pub address_index: usize,
    /// The call.
    pub plan: CallPlan,
    /// The latency above which its answer counts as late.
    pub deadline: Duration,
    /// The index of the tally, or of another record, that takes its result.
    pub group: usize,
}

/// Draws Poisson arrivals with a mean rate of `per_second` over a time.
pub fn arrivals(rng: &mut fastrand::Rng, per_second: f64, time: Duration) -> Vec<Duration> {
    let mut at = 0.0;
    let mut arrivals = Vec::new();
    loop {
        at += -rng.f64().max(f64::MIN_POSITIVE).ln() / per_second;
        if at >= time.as_secs_f64() {
            return arrivals;
        }
        arrivals.push(Duration::from_secs_f64(at));
    }
}

/// Makes the calls when they are due and returns the counted results, one tally for each group.
pub fn run(
    runtime: &Runtime,
    addresses: &[SocketAddr],
    calls: Vec<ScheduledCall>,
    groups: usize,
) -> Vec<Tally> {
    let tallies = vec![Tally::default(); groups];
    let tallies = Arc::new(Mutex::new(tallies));
    let shared_tallies = Arc::clone(&tallies);
    let addresses = addresses.to_vec();
    let address = move |call: &ScheduledCall| addresses[call.address_index % addresses.len()];
    run_with(runtime, address, calls, move |call, result, latency| {
        let mut tallies = shared_tallies
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        tallies[call.group].add(&result, latency, call.deadline);
    });
    let tallies = tallies.lock().unwrap_or_else(PoisonError::into_inner);
    tallies.clone()
}

/// Makes the calls when they are due and passes each result to `on_result`, with the latency from when the call was due.
/// Returns when the last call has ended.
pub fn run_with(
    runtime: &Runtime,
    address: impl Fn(&ScheduledCall) -> SocketAddr,
    calls: Vec<ScheduledCall>,
    on_result: impl Fn(&ScheduledCall, CallResult, Duration) + Send + Sync + 'static,
) {
    let callers = Arc::new(Callers::default());
    let on_result = Arc::new(on_result);
    runtime.block_on(async {
        let began = Instant::now();
        let mut tasks = Vec::with_capacity(calls.len());
        for call in calls {
            precise_sleep::sleep_until(began + call.at).await;
            let address = address(&call);
            let (callers, on_result) = (Arc::clone(&callers), Arc::clone(&on_result));
            tasks.push(tokio::spawn(async move {
                let timeout = call.deadline * 2 + Duration::from_secs(1);
                let answer = callers.call(address, &call.plan, timeout).await;
                let due = began + call.at;
                on_result(&call, answer, due.elapsed());
            }));
        }
        for task in tasks {
            drop(task.await);
        }
    });
}
