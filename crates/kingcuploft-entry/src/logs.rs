//! Structured logs on standard output: one JSON object a line, in ASCII, its texts cut to a length.
//!
//! Failure: the process that reads the log stops reading, and writes to standard output block. The guard: lines go
//! through a bounded queue to a thread of their own; lines that find the queue full are counted and dropped, so
//! requests never wait for the log.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::ascii_json::to_bounded_ascii;

/// The most lines that wait for the writer thread: some seconds of failures of one VM.
const MAX_QUEUED_LINES: usize = 512;

/// The most bytes of one text in a line: a name may be as long as an object of the store.
const MAX_TEXT_BYTES: usize = 2048;

/// How often [`drain`] checks whether all lines are written.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(2);

static DROPPED: AtomicU64 = AtomicU64::new(0);
static QUEUED: AtomicU64 = AtomicU64::new(0);
static WRITTEN: AtomicU64 = AtomicU64::new(0);

/// The lines, until the writer thread takes them.
static UNCLAIMED: Mutex<Option<Receiver<Vec<u8>>>> = Mutex::new(None);

/// Starts logging at this level and above.
pub fn start(level: tracing::Level) {
    let (queue, lines) = sync_channel(MAX_QUEUED_LINES);
    *UNCLAIMED.lock().unwrap_or_else(PoisonError::into_inner) = Some(lines);
    ensure_writer();
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_current_span(false)
        .with_span_list(false)
        .with_max_level(level)
        .with_writer(move || Line {
            queue: queue.clone(),
            bytes: Vec::new(),
        });
    let _ = subscriber.try_init();
}

/// Starts the writer thread unless it has been started. The system may have no thread left for it; lines beyond the queue
/// are dropped until it has.
pub fn ensure_writer() {
    let unclaimed = || UNCLAIMED.lock().unwrap_or_else(PoisonError::into_inner);
    if unclaimed().is_none() {
        return;
    }
    let writer = std::thread::Builder::new()
        .name("logs".into())
        .stack_size(64 * 1024);
    let write = move || {
        let lines = unclaimed().take();
        lines.iter().for_each(write_lines);
    };
    if let Err(error) = writer.spawn(write) {
        tracing::warn!(event = "log_writer_missing", %error);
    }
}

/// Returns how many lines were dropped.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Waits until all lines are written, for at most `within`: a process that just exits loses its last lines, among them
/// the one that reports the graceful shutdown.
pub fn drain(within: Duration) {
    let until = Instant::now() + within;
    let is_behind = || WRITTEN.load(Ordering::Acquire) < QUEUED.load(Ordering::Acquire);
    while is_behind() && Instant::now() < until {
        std::thread::sleep(DRAIN_POLL_INTERVAL);
    }
}

struct Line {
    queue: SyncSender<Vec<u8>>,
    bytes: Vec<u8>,
}

impl Write for Line {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        let line = std::mem::take(&mut self.bytes);
        if line.is_empty() {
            return;
        }
        let line = match std::str::from_utf8(&line) {
            Ok(json) => to_bounded_ascii(json, MAX_TEXT_BYTES)
                .into_owned()
                .into_bytes(),
            Err(_) => line,
        };
        QUEUED.fetch_add(1, Ordering::Release);
        if self.queue.try_send(line).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
            WRITTEN.fetch_add(1, Ordering::Release);
        }
    }
}

/// Writes lines as they come. A line that the output doesn't take counts as dropped: a file may be full until someone
/// makes room.
fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut reported = 0;
    let mut output = std::io::stdout();
    while let Ok(line) = lines.recv() {
        if output.write_all(&line).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        WRITTEN.fetch_add(1, Ordering::Release);
        let left_out = dropped_lines();
        if left_out > reported && report_dropped(&mut output, left_out).is_ok() {
            reported = left_out;
        }
    }
}

fn report_dropped(output: &mut impl Write, count: u64) -> std::io::Result<()> {
    let line = format!("{{\"event\":\"lines_left_out\",\"count\":{count}}}\n");
    output.write_all(line.as_bytes())
}
