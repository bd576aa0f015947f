//! `overhead`: the same calls over the same kept-alive connections, straight to a backend server
//! and through one daemon, interleaved in one run.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::{ExperimentError, Options, Report};
use crate::fleet::Fleet;
use crate::raw_caller::RawCaller;

/// The connections to each side, a thread each; a thread makes one call at a time.
const CONNECTIONS: usize = 16;

/// The pace of each side.
const CALLS_PER_SECOND: f64 = 2000.0;

/// Calls on each connection before the counting begins.
const WARM_UP: usize = 50;

/// Calls in flight at once in the closed loop, which tells the most that one daemon does.
const CLOSED_CONNECTIONS: usize = 32;

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

/// One side's latencies.
#[derive(Debug)]
struct Side {
    us: Mutex<Histogram<u64>>,
    failed: Mutex<u64>,
}

impl Side {
    fn new() -> Self {
        Self {
            us: Mutex::new(Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds that fit")),
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
        let mut histogram = self.us.lock().unwrap_or_else(PoisonError::into_inner);
        histogram.saturating_record(us);
    }

    fn ms(&self, quantile: f64) -> f64 {
        let histogram = self.us.lock().unwrap_or_else(PoisonError::into_inner);
        histogram.value_at_quantile(quantile) as f64 / 1000.0
    }

    fn calls(&self) -> u64 {
        self.us.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    fn failed(&self) -> u64 {
        *self.failed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs the experiment.
///
/// # Errors
///
/// [`ExperimentError`] where the daemon or the backend server did not start.
pub fn run(options: &Options) -> Result<Report, ExperimentError> {
    let fleet = Fleet::start_single("overhead", RULES, options.seed)?;
    let server = fleet.backend_servers[0][0].address();
    let daemon = fleet.daemons[0].address();
    let (straight, through) = (Side::new(), Side::new());
    let began = Instant::now();
    std::thread::scope(|scope| {
        for i in 0..CONNECTIONS {
            let (straight, through) = (&straight, &through);
            scope.spawn(move || paced(options, i, (server, straight), (daemon, through)));
        }
    });
    let took = began.elapsed().as_secs_f64();
    let closed = closed_loop(daemon, options.duration.min(Duration::from_secs(2)));
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

/// Makes one thread's calls at a seeded pace, each straight and through, in a drawn order.
fn paced(
    options: &Options,
    thread: usize,
    straight: (SocketAddr, &Side),
    through: (SocketAddr, &Side),
) {
    let mut rng = fastrand::Rng::with_seed(options.seed.wrapping_mul(1000) + thread as u64);
    let mut to_server = RawCaller::new(straight.0);
    let mut to_daemon = RawCaller::new(through.0);
    for _ in 0..WARM_UP {
        let _ = to_server.call(REQUEST);
        let _ = to_daemon.call(REQUEST);
    }
    let per_second = CALLS_PER_SECOND / CONNECTIONS as f64;
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

/// Calls without pause on some connections; returns the calls per second.
fn closed_loop(daemon: SocketAddr, time: Duration) -> f64 {
    let began = Instant::now();
    let calls: u64 = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..CLOSED_CONNECTIONS)
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
