//! The upper bound for every policy: one central queue with full knowledge, over the same arrivals and work.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use super::deployment::HOLD_RULE;
use super::outcome::{Cost, End, Outcome, Record};
use super::run::Run;
use super::server::FakeServer;

/// Simulates a run with one central queue: no link delays, first come first served, each job on the free backend server
/// that is fastest when it starts. Slow spells apply as well.
pub fn run(run: &Run) -> Outcome {
    let servers = run.servers();
    let mut free: Vec<usize> = servers.iter().map(|s| s.slots).collect();
    let mut ready: Vec<(Duration, usize)> = (0..run.requests.len())
        .map(|i| (ready_at(run, i), i))
        .collect();
    ready.sort_unstable();
    let mut arrivals = ready.into_iter().peekable();
    let mut ends: BinaryHeap<Reverse<(Duration, usize, usize)>> = BinaryHeap::new();
    let mut queue: VecDeque<usize> = VecDeque::new();
    let mut records: Vec<Record> = (0..run.requests.len()).map(|i| run.record(i)).collect();
    loop {
        let arrival = arrivals.peek().map(|&(at, _)| at);
        let end = ends.peek().map(|&Reverse((at, _, _))| at);
        let now = match (arrival, end) {
            (None, None) => break,
            (Some(arrival), Some(end)) if end <= arrival => end,
            (Some(arrival), _) => arrival,
            (None, Some(end)) => end,
        };
        if end == Some(now) {
            let Some(Reverse((_, server, index))) = ends.pop() else {
                break;
            };
            free[server] += 1;
            records[index].end = End::Answered;
            records[index].latency = now - run.requests[index].arrives_at;
        } else if let Some((_, index)) = arrivals.next() {
            queue.push_back(index);
        }
        while let Some(server) = fastest(&servers, &free, now) {
            let Some(index) = queue.pop_front() else {
                break;
            };
            free[server] -= 1;
            let done = servers[server].done_at(now, run.requests[index].work);
            ends.push(Reverse((done, server, index)));
        }
    }
    run.outcome(records, Cost::default(), 0)
}

/// Returns the earliest start of a request: a hold waits for its claim.
fn ready_at(run: &Run, index: usize) -> Duration {
    let request = &run.requests[index];
    match request.rule {
        HOLD_RULE => request.arrives_at + run.deployment.claim_time,
        _ => request.arrives_at,
    }
}

/// Returns the server with a free slot that is least slowed down now.
fn fastest(servers: &[FakeServer], free: &[usize], now: Duration) -> Option<usize> {
    let with_free_slot = (0..servers.len()).filter(|&i| free[i] > 0);
    with_free_slot.min_by(|&a, &b| servers[a].factor(now).total_cmp(&servers[b].factor(now)))
}
