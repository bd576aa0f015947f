//! `connections`: starved callers, threads and latency under a burst of connections, at a plain `rouille` server and at
//! the daemon.
//!
//! Load pattern: callers connect at the same time, alone or next to many slow senders (the Slowloris pattern) that send
//! a request one byte at a time and hold their connections open.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Runtime;
use tokio::time::Instant;

use super::{ExperimentError, Options, Report};
use crate::fleet::Fleet;

/// A caller that has no answer within this time counts as starved.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// The interval at which a slow sender sends one byte.
const SLOW_BYTE_INTERVAL: Duration = Duration::from_millis(400);

const SLOW_SENDER_COUNT: usize = 2000;

/// The threads are counted once for this many answers.
const ANSWERS_PER_THREAD_SAMPLE: usize = 32;

const RULES: &[&str] = &[
    "{name: lookup, path_prefix: /, contract: retry_freely, priority: interactive, deadline_ms: 5000, queue_limit: 8192, caller_share: 1.0}",
];

const REQUEST: &[u8] = b"GET /a HTTP/1.1\r\nhost: trip.example\r\nx-work-us: 0\r\n\r\n";

/// The load that is on the edge besides a burst of callers.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum BackgroundLoad {
    Nothing,
    SlowHeaders,
    SlowBodies,
}

impl BackgroundLoad {
    /// Returns what a slow sender sends at once, before it continues byte by byte.
    fn request_prefix(self) -> Option<&'static [u8]> {
        match self {
            Self::Nothing => None,
            Self::SlowHeaders => Some(b"GET /slow HTTP/1.1\r\nhost: trip.example\r\nx-slow: "),
            Self::SlowBodies => {
                Some(b"POST /slow HTTP/1.1\r\nhost: trip.example\r\ncontent-length: 1000\r\n\r\n")
            }
        }
    }
}

/// The figures of one burst.
#[derive(Debug, Serialize)]
struct Row {
    edge: &'static str,
    callers: usize,
    beside: BackgroundLoad,
    /// Callers without an answer within 2 s.
    starved: usize,
    /// Callers that received another status than 200.
    refused: usize,
    /// The greatest number of threads that the edge had, without those of the experiment itself.
    threads: usize,
    first_answer_p50_ms: f64,
    first_answer_p99_ms: f64,
}

const BURSTS: &[(usize, BackgroundLoad)] = &[
    (256, BackgroundLoad::Nothing),
    (2000, BackgroundLoad::Nothing),
    (256, BackgroundLoad::SlowHeaders),
    (256, BackgroundLoad::SlowBodies),
];

/// Runs the experiment.
///
/// # Errors
///
/// [`ExperimentError`] if an edge did not start.
pub fn run(options: &Options) -> Result<Report, ExperimentError> {
    let mut rows = Vec::new();
    for _ in 0..options.rounds {
        for (callers, background) in BURSTS {
            rows.push(measure_rouille(*callers, *background)?);
            rows.push(measure_daemon(options, *callers, *background)?);
        }
    }
    let own = rows.iter().filter(|row| row.edge == "kingcuploftd");
    let starved = own.map(|row| row.starved).sum::<usize>();
    let broken = (starved > 0).then(|| format!("{starved} callers starved at the daemon"));
    Ok(Report {
        text: rows.iter().map(|row| format!("{row:?}\n")).collect(),
        figures: serde_json::to_value(&rows)?,
        violations: broken.into_iter().collect(),
    })
}

/// Measures a burst at a plain `rouille` server that answers without a backend server.
fn measure_rouille(callers: usize, background: BackgroundLoad) -> Result<Row, ExperimentError> {
    let runtime = runtime()?;
    let before = count_threads();
    let server = rouille::Server::new("127.0.0.1:0", |_request| rouille::Response::text("ok"))
        .map_err(|error| std::io::Error::other(error.to_string()))?;
    let address = server.server_addr();
    let (joined, stop) = server.stoppable();
    let row = burst(&runtime, "rouille", address, callers, background, &|| {
        count_threads().saturating_sub(before)
    });
    drop(runtime);
    let _ = stop.send(());
    drop(joined.join());
    Ok(row)
}

/// Measures a burst at a daemon in front of one backend server.
fn measure_daemon(
    options: &Options,
    callers: usize,
    background: BackgroundLoad,
) -> Result<Row, ExperimentError> {
    let runtime = runtime()?;
    let fleet = Fleet::start_single("connections", RULES, options.seed)?;
    let address = fleet.addresses()[0];
    let row = burst(
        &runtime,
        "kingcuploftd",
        address,
        callers,
        background,
        &count_daemon_threads,
    );
    drop(runtime);
    fleet.stop();
    Ok(row)
}

fn runtime() -> std::io::Result<Runtime> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.enable_all().thread_name(CALLER_THREAD_NAME).build()
}

/// The name of the threads on which the experiment's callers run.
const CALLER_THREAD_NAME: &str = "callers";

/// Returns the number of threads of this process.
fn count_threads() -> usize {
    std::fs::read_dir("/proc/self/task").map_or(0, Iterator::count)
}

/// Returns the number of the daemon's threads. The daemon gives each thread a name of its own; all others belong to the
/// experiment or the stand-ins, or are left over from `rouille`.
fn count_daemon_threads() -> usize {
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else {
        return 0;
    };
    let comms = tasks.filter_map(|task| Some(task.ok()?.path().join("comm")));
    let names = comms.filter_map(|comm| std::fs::read_to_string(comm).ok());
    let others = [CALLER_THREAD_NAME, "tokio", "kingcuploft-exp"];
    let own = |name: &str| !name.trim().is_empty() && !others.iter().any(|o| name.starts_with(o));
    names.filter(|name| own(name)).count()
}

fn burst(
    runtime: &Runtime,
    edge: &'static str,
    address: SocketAddr,
    callers: usize,
    background: BackgroundLoad,
    edge_threads: &dyn Fn() -> usize,
) -> Row {
    let answered = Arc::new(AtomicUsize::new(0));
    let refused = Arc::new(AtomicUsize::new(0));
    let (latency_us, peak_threads) = runtime.block_on(async {
        if let Some(request_prefix) = background.request_prefix() {
            start_slow_senders(address, request_prefix).await;
        }
        let mut tasks = Vec::new();
        for _ in 0..callers {
            let (answered, refused) = (Arc::clone(&answered), Arc::clone(&refused));
            tasks.push(tokio::spawn(async move {
                let began = Instant::now();
                let (status, stream) =
                    tokio::time::timeout(FIRST_ANSWER_TIMEOUT, first_answer(address))
                        .await
                        .ok()??;
                let latency_us = began.elapsed().as_micros() as u64;
                answered.fetch_add(1, Ordering::Relaxed);
                refused.fetch_add(usize::from(status != 200), Ordering::Relaxed);
                // The connection stays open until all callers have an answer, as connections from a balancer do.
                Some((latency_us, stream))
            }));
        }
        let latency_us = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3);
        let mut latency_us = latency_us.expect("bounds that fit");
        let mut open = Vec::new();
        let mut peak_threads = 0;
        for (i, task) in tasks.into_iter().enumerate() {
            if i % ANSWERS_PER_THREAD_SAMPLE == 0 {
                peak_threads = peak_threads.max(edge_threads());
            }
            match task.await.ok().flatten() {
                Some((answered_us, stream)) => {
                    latency_us.saturating_record(answered_us);
                    open.push(stream);
                }
                None => latency_us.saturating_record(FIRST_ANSWER_TIMEOUT.as_micros() as u64),
            }
        }
        (latency_us, peak_threads.max(edge_threads()))
    });
    let ms = |quantile| latency_us.value_at_quantile(quantile) as f64 / 1000.0;
    Row {
        edge,
        callers,
        beside: background,
        starved: callers - answered.load(Ordering::Relaxed),
        refused: refused.load(Ordering::Relaxed),
        threads: peak_threads,
        first_answer_p50_ms: ms(0.5),
        first_answer_p99_ms: ms(0.99),
    }
}

/// Connects the slow senders, which keep sending one byte after another in the background.
async fn start_slow_senders(address: SocketAddr, request_prefix: &'static [u8]) {
    let mut connecting = Vec::new();
    for _ in 0..SLOW_SENDER_COUNT {
        connecting.push(tokio::spawn(async move {
            let mut stream = TcpStream::connect(address).await.ok()?;
            stream.write_all(request_prefix).await.ok()?;
            tokio::spawn(async move {
                while stream.write_all(b"a").await.is_ok() {
                    tokio::time::sleep(SLOW_BYTE_INTERVAL).await;
                }
            });
            Some(())
        }));
    }
    for sender in connecting {
        drop(tokio::time::timeout(FIRST_ANSWER_TIMEOUT, sender).await);
    }
}

/// Connects, sends a request, and reads its answer up to the end of the headers.
async fn first_answer(address: SocketAddr) -> Option<(u16, TcpStream)> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(REQUEST).await.ok()?;
    let mut answer = Vec::new();
    while !answer.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
        if stream.read_buf(&mut answer).await.ok()? == 0 {
            return None;
        }
    }
    let status = std::str::from_utf8(answer.get(9..12)?).ok()?.parse().ok()?;
    Some((status, stream))
}
