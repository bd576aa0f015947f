//! `connections`: bursts of callers and slow senders, at a bare `rouille` edge and at the daemon.

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

/// A caller without a first answer after this is starved.
const PATIENCE: Duration = Duration::from_secs(2);

/// How often a slow sender sends one more byte.
const DRIP: Duration = Duration::from_millis(400);

const SLOW_SENDERS: usize = 2000;

/// After how many answers the threads are counted.
const THREADS_EVERY: usize = 32;

const RULES: &[&str] = &[
    "{name: lookup, path_prefix: /, contract: retry_freely, priority: interactive, deadline_ms: 5000, queue_limit: 8192, caller_share: 1.0}",
];

const REQUEST: &[u8] = b"GET /a HTTP/1.1\r\nhost: trip.example\r\nx-work-us: 0\r\n\r\n";

/// What surrounds a burst of callers.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum Beside {
    Nothing,
    SlowHeaders,
    SlowBodies,
}

impl Beside {
    /// What a slow sender sends first; then it adds byte after byte.
    fn beginning(self) -> Option<&'static [u8]> {
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
    beside: Beside,
    /// Callers without a first answer within 2 s.
    starved: usize,
    /// Callers that were answered with something else than 200.
    refused: usize,
    /// Threads that the edge had at most, without those of the experiment itself.
    threads: usize,
    first_answer_p50_ms: f64,
    first_answer_p99_ms: f64,
}

const BURSTS: &[(usize, Beside)] = &[
    (256, Beside::Nothing),
    (2000, Beside::Nothing),
    (256, Beside::SlowHeaders),
    (256, Beside::SlowBodies),
];

/// Runs the experiment.
///
/// # Errors
///
/// [`ExperimentError`] where an edge did not start.
pub fn run(options: &Options) -> Result<Report, ExperimentError> {
    let mut rows = Vec::new();
    for _ in 0..options.rounds {
        for (callers, beside) in BURSTS {
            rows.push(at_rouille(*callers, *beside)?);
            rows.push(at_daemon(options, *callers, *beside)?);
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

/// A burst at a bare `rouille` server that answers by itself.
fn at_rouille(callers: usize, beside: Beside) -> Result<Row, ExperimentError> {
    let runtime = runtime()?;
    let before = threads();
    let server = rouille::Server::new("127.0.0.1:0", |_request| rouille::Response::text("ok"))
        .map_err(|error| std::io::Error::other(error.to_string()))?;
    let address = server.server_addr();
    let (joined, stop) = server.stoppable();
    let row = burst(&runtime, "rouille", address, callers, beside, &|| {
        threads().saturating_sub(before)
    });
    drop(runtime);
    let _ = stop.send(());
    drop(joined.join());
    Ok(row)
}

/// A burst at a daemon in front of one backend server.
fn at_daemon(options: &Options, callers: usize, beside: Beside) -> Result<Row, ExperimentError> {
    let runtime = runtime()?;
    let fleet = Fleet::start_single("connections", RULES, options.seed)?;
    let address = fleet.addresses()[0];
    let row = burst(
        &runtime,
        "kingcuploftd",
        address,
        callers,
        beside,
        &daemon_threads,
    );
    drop(runtime);
    fleet.stop();
    Ok(row)
}

fn runtime() -> std::io::Result<Runtime> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.enable_all().thread_name(OWN_THREAD).build()
}

/// The name of the experiment's own threads.
const OWN_THREAD: &str = "callers";

/// Returns how many threads this process has.
fn threads() -> usize {
    std::fs::read_dir("/proc/self/task").map_or(0, Iterator::count)
}

/// Returns how many threads are the daemon's: it names each after its duty, and the others are
/// the experiment's, the stand-ins' or left over from `rouille`.
fn daemon_threads() -> usize {
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else {
        return 0;
    };
    let comms = tasks.filter_map(|task| Some(task.ok()?.path().join("comm")));
    let names = comms.filter_map(|comm| std::fs::read_to_string(comm).ok());
    let others = [OWN_THREAD, "tokio", "kingcuploft-exp"];
    let own = |name: &str| !name.trim().is_empty() && !others.iter().any(|o| name.starts_with(o));
    names.filter(|name| own(name)).count()
}

fn burst(
    runtime: &Runtime,
    edge: &'static str,
    address: SocketAddr,
    callers: usize,
    beside: Beside,
    edge_threads: &dyn Fn() -> usize,
) -> Row {
    let answered = Arc::new(AtomicUsize::new(0));
    let refused = Arc::new(AtomicUsize::new(0));
    let (us, peak) = runtime.block_on(async {
        if let Some(beginning) = beside.beginning() {
            slow_senders(address, beginning).await;
        }
        let mut tasks = Vec::new();
        for _ in 0..callers {
            let (answered, refused) = (Arc::clone(&answered), Arc::clone(&refused));
            tasks.push(tokio::spawn(async move {
                let began = Instant::now();
                let (status, stream) = tokio::time::timeout(PATIENCE, first_answer(address))
                    .await
                    .ok()??;
                let us = began.elapsed().as_micros() as u64;
                answered.fetch_add(1, Ordering::Relaxed);
                refused.fetch_add(usize::from(status != 200), Ordering::Relaxed);
                // Its connection stays open until all callers have theirs, as a balancer's does.
                Some((us, stream))
            }));
        }
        let us = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3);
        let mut us = us.expect("bounds that fit");
        let mut open = Vec::new();
        let mut peak = 0;
        for (i, task) in tasks.into_iter().enumerate() {
            if i % THREADS_EVERY == 0 {
                peak = peak.max(edge_threads());
            }
            match task.await.ok().flatten() {
                Some((answered_us, stream)) => {
                    us.saturating_record(answered_us);
                    open.push(stream);
                }
                None => us.saturating_record(PATIENCE.as_micros() as u64),
            }
        }
        (us, peak.max(edge_threads()))
    });
    let ms = |quantile| us.value_at_quantile(quantile) as f64 / 1000.0;
    Row {
        edge,
        callers,
        beside,
        starved: callers - answered.load(Ordering::Relaxed),
        refused: refused.load(Ordering::Relaxed),
        threads: peak,
        first_answer_p50_ms: ms(0.5),
        first_answer_p99_ms: ms(0.99),
    }
}

/// Connects the slow senders and leaves them sending byte after byte.
async fn slow_senders(address: SocketAddr, beginning: &'static [u8]) {
    let mut connecting = Vec::new();
    for _ in 0..SLOW_SENDERS {
        connecting.push(tokio::spawn(async move {
            let mut stream = TcpStream::connect(address).await.ok()?;
            stream.write_all(beginning).await.ok()?;
            tokio::spawn(async move {
                while stream.write_all(b"a").await.is_ok() {
                    tokio::time::sleep(DRIP).await;
                }
            });
            Some(())
        }));
    }
    for sender in connecting {
        drop(tokio::time::timeout(PATIENCE, sender).await);
    }
}

/// Connects, sends a request and reads the beginning of its answer.
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
