//! Async sleeps that end within about 0.1 ms of their due time.
//!
//! The async runtime's own timer counts whole milliseconds and rounds up. A stand-in with a work time of 7 ms would be
//! busy for 8 ms, so that an offered load of 0.75 would really be 0.83 and the measured queues would be too long.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Condvar, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

/// How long the timer's thread waits at a time while nothing sleeps.
const IDLE_WAIT: Duration = Duration::from_secs(1);

/// The state shared by the sleepers and the timer's thread.
#[derive(Default)]
struct Timer {
    sleepers: Mutex<Sleepers>,
    earlier_due: Condvar,
}

/// The pending sleeps by due time, and the channel that wakes each.
#[derive(Default)]
struct Sleepers {
    due: BinaryHeap<Reverse<(Instant, u64)>>,
    wakers: rustc_hash::FxHashMap<u64, oneshot::Sender<()>>,
    last_id: u64,
}

/// Sleeps for a time.
pub async fn sleep(time: Duration) {
    sleep_until(Instant::now() + time).await;
}

/// Sleeps until a due time.
pub async fn sleep_until(due: Instant) {
    if due <= Instant::now() {
        return;
    }
    // The timer's thread runs as long as the process, so the sender is never dropped unused.
    drop(register(due).await);
}

/// Adds a sleeper, and wakes the timer's thread if the sleeper is the first one due.
fn register(due: Instant) -> oneshot::Receiver<()> {
    let (waker, woken) = oneshot::channel();
    let timer = timer();
    let mut sleepers = timer
        .sleepers
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    sleepers.last_id += 1;
    let id = sleepers.last_id;
    sleepers.due.push(Reverse((due, id)));
    sleepers.wakers.insert(id, waker);
    let first = sleepers.due.peek();
    if first.is_some_and(|Reverse((_, first))| *first == id) {
        timer.earlier_due.notify_one();
    }
    woken
}

fn timer() -> &'static Timer {
    static TIMER: OnceLock<Timer> = OnceLock::new();
    static THREAD: OnceLock<()> = OnceLock::new();
    let timer = TIMER.get_or_init(Timer::default);
    THREAD.get_or_init(|| drop(std::thread::spawn(|| run_timer(timer))));
    timer
}

fn run_timer(timer: &Timer) {
    let mut sleepers = timer
        .sleepers
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    loop {
        let now = Instant::now();
        while let Some(&Reverse((due, id))) = sleepers.due.peek() {
            if due > now {
                break;
            }
            sleepers.due.pop();
            if let Some(waker) = sleepers.wakers.remove(&id) {
                // Sending fails only if the sleeping future was dropped.
                let _ = waker.send(());
            }
        }
        let next = sleepers.due.peek().map(|Reverse((due, _))| *due);
        let wait = next.map_or(IDLE_WAIT, |due| {
            due.saturating_duration_since(Instant::now())
        });
        let waited = timer.earlier_due.wait_timeout(sleepers, wait);
        sleepers = waited.map_or_else(|e| e.into_inner().0, |(sleepers, _)| sleepers);
    }
}
