//! Load at a seeded, open-loop pace: a slow answer does not delay the next call.

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
    /// The index of the address it goes to.
    pub address_index: usize,
    /// The call.
    pub plan: CallPlan,
    /// When its answer is late.
    pub deadline: Duration,
    /// Which tally counts it.
    pub group: usize,
}

/// Draws Poisson arrivals, `per_second` on average, for a time.
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

/// Makes the calls when they are due and counts what callers received, a tally for each group.
pub fn run(
    runtime: &Runtime,
    to: &[SocketAddr],
    calls: Vec<ScheduledCall>,
    groups: usize,
) -> Vec<Tally> {
    let tallies = vec![Tally::default(); groups];
    let tallies = Arc::new(Mutex::new(tallies));
    let counted = Arc::clone(&tallies);
    let to = to.to_vec();
    let address = move |call: &ScheduledCall| to[call.address_index % to.len()];
    run_with(runtime, address, calls, move |call, received, latency| {
        let mut tallies = counted.lock().unwrap_or_else(PoisonError::into_inner);
        tallies[call.group].add(&received, latency, call.deadline);
    });
    let tallies = tallies.lock().unwrap_or_else(PoisonError::into_inner);
    tallies.clone()
}

/// Makes the calls when they are due and hands over what each received, with the time from when
/// it was due; returns when the last one has ended.
pub fn run_with(
    runtime: &Runtime,
    address: impl Fn(&ScheduledCall) -> SocketAddr,
    calls: Vec<ScheduledCall>,
    received: impl Fn(&ScheduledCall, CallResult, Duration) + Send + Sync + 'static,
) {
    let callers = Arc::new(Callers::default());
    let received = Arc::new(received);
    runtime.block_on(async {
        let began = Instant::now();
        let mut tasks = Vec::with_capacity(calls.len());
        for call in calls {
            precise_sleep::sleep_until(began + call.at).await;
            let address = address(&call);
            let (callers, received) = (Arc::clone(&callers), Arc::clone(&received));
            tasks.push(tokio::spawn(async move {
                let patience = call.deadline * 2 + Duration::from_secs(1);
                let answer = callers.call(address, &call.plan, patience).await;
                let due = began + call.at;
                received(&call, answer, due.elapsed());
            }));
        }
        for task in tasks {
            drop(task.await);
        }
    });
}
