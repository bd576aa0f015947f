//! `overhead`: the latency that one daemon adds to a call.
//!
//! The same calls go over keepalive connections straight to a backend server and through one daemon, interleaved in one
//! run. A closed loop then measures the daemon's greatest throughput.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::{ExperimentError, Options, Report};
use crate::fleet::Fleet;
use crate::raw_caller::RawCaller;

/// The number of connections to each side. One thread drives one connection to each and makes one call at a time.
const CONNECTIONS_PER_SIDE: usize = 16;

/// The mean rate of calls to each side.
const CALLS_PER_S_PER_SIDE: f64 = 2000.0;

/// The number of calls on each connection that are not measured.
const WARM_UP_CALLS: usize = 50;

/// The number of calls in flight in the closed loop, which measures the greatest throughput of one daemon.
const CLOSED_LOOP_CONNECTIONS: usize = 32;

const RULES: &[&str] = &[
    "{name: lookup, path_prefix: /, contract: retry_freely, priority: interactive, deadline_ms: 5000, queue_limit: 1024, caller_share: 1.0}",
];

const REQUEST: &[u8] =
    b"GET /itinerary/7 HTTP/1.1\r\nhost: trip.example\r\naccept: application/json\r\nx-work-us: 0\r\n\r\n";

#[derive(Debug, Serialize)]
struct Figures {
    added_p50_ms: f64,
    added_p99_ms: f64,
    calls_per_second: f64,
    straight_p50_ms: f64,
    straight_p99_ms: f64,
    through_p50_ms: f64,
    through_p99_ms: f64,
    through_p999_ms: f64,
    closed_loop_calls_per_second: f64,
    calls: u64,
    failed: u64,
}

/// The latencies and failures of the calls to one side.
#[derive(Debug)]
struct CallStatistics {
    latency_us: Mutex<Histogram<u64>>,
    failed: Mutex<u64>,
}

impl CallStatistics {
    fn new() -> Self {
        Self {
            latency_us: Mutex::new(
                Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds that fit"),
            ),
            failed: Mutex::new(0),
        }
    }

    fn call(&self, caller: &mut RawCaller) {
        let began = Instant::now();
        if caller.call(REQUEST).is_none_or(|status| status != 200) {
            *self.failed.lock().unwrap_or_else(PoisonError::into_inner) += 1;
            return;
        }
        let us = began.elapsed().as_micros() as u64;
        let mut histogram = self
            .latency_us
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        histogram.saturating_record(us);
    }

    fn ms(&self, quantile: f64) -> f64 {
        let histogram = self
            .latency_us
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        histogram.value_at_quantile(quantile) as f64 / 1000.0
    }

    fn calls(&self) -> u64 {
        self.latency_us
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .len()
    }

    fn failed(&self) -> u64 {
        *self.failed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs the experiment.
///
/// # Errors
///
/// [`ExperimentError`] if the daemon or the backend server did not start.
pub fn run(options: &Options) -> Result<Report, ExperimentError> {
    let fleet = Fleet::start_single("overhead", RULES, options.seed)?;
    let server = fleet.backend_servers[0][0].address();
    let daemon = fleet.daemons[0].address();
    let (straight, through) = (CallStatistics::new(), CallStatistics::new());
    let began = Instant::now();
    std::thread::scope(|scope| {
        for i in 0..CONNECTIONS_PER_SIDE {
            let (straight, through) = (&straight, &through);
            scope.spawn(move || run_open_loop(options, i, (server, straight), (daemon, through)));
        }
    });
    let took = began.elapsed().as_secs_f64();
    let closed = run_closed_loop(daemon, options.duration.min(Duration::from_secs(2)));
    fleet.stop();
    let figures = Figures {
        added_p50_ms: through.ms(0.5) - straight.ms(0.5),
        added_p99_ms: through.ms(0.99) - straight.ms(0.99),
        calls_per_second: through.calls() as f64 / took,
        straight_p50_ms: straight.ms(0.5),
        straight_p99_ms: straight.ms(0.99),
        through_p50_ms: through.ms(0.5),
        through_p99_ms: through.ms(0.99),
        through_p999_ms: through.ms(0.999),
        closed_loop_calls_per_second: closed,
        calls: through.calls(),
        failed: straight.failed() + through.failed(),
    };
    let failed = (figures.failed > 0).then(|| format!("{} calls failed", figures.failed));
    Ok(Report {
        text: format!("{figures:#?}"),
        figures: serde_json::to_value(&figures)?,
        violations: failed.into_iter().collect(),
    })
}

/// Makes one thread's calls at Poisson arrivals drawn from the seed, each to both sides in a random order.
fn run_open_loop(
    options: &Options,
    thread: usize,
    straight: (SocketAddr, &CallStatistics),
    through: (SocketAddr, &CallStatistics),
) {
    let mut rng = fastrand::Rng::with_seed(options.seed.wrapping_mul(1000) + thread as u64);
    let mut to_server = RawCaller::new(straight.0);
    let mut to_daemon = RawCaller::new(through.0);
    for _ in 0..WARM_UP_CALLS {
        let _ = to_server.call(REQUEST);
        let _ = to_daemon.call(REQUEST);
    }
    let per_second = CALLS_PER_S_PER_SIDE / CONNECTIONS_PER_SIDE as f64;
    let began = Instant::now();
    let mut due = Duration::ZERO;
    while due < options.duration {
        std::thread::sleep(due.saturating_sub(began.elapsed()));
        if rng.bool() {
            straight.1.call(&mut to_server);
            through.1.call(&mut to_daemon);
        } else {
            through.1.call(&mut to_daemon);
            straight.1.call(&mut to_server);
        }
        let uniform = rng.f64().max(f64::MIN_POSITIVE);
        due += Duration::from_secs_f64(-uniform.ln() / per_second);
    }
}

/// Calls without pause on all connections of the closed loop and returns the calls per second.
fn run_closed_loop(daemon: SocketAddr, time: Duration) -> f64 {
    let began = Instant::now();
    let calls: u64 = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..CLOSED_LOOP_CONNECTIONS)
            .map(|_| {
                scope.spawn(|| {
                    let mut caller = RawCaller::new(daemon);
                    let mut calls = 0;
                    while began.elapsed() < time {
                        calls += u64::from(caller.call(REQUEST) == Some(200));
                    }
                    calls
                })
            })
            .collect();
        let calls = threads.into_iter().map(|thread| thread.join().unwrap_or(0));
        calls.sum()
    });
    calls as f64 / began.elapsed().as_secs_f64()
}
