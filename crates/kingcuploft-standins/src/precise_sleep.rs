//! Sleeps that end within about 0.1 ms of their time.
//!
//! The runtime's own timer counts whole milliseconds and rounds up. A stand-in with work of 7 ms
//! would be busy for 8 ms: at load 0.75 it would really be loaded with 0.83, and queues would be
//! measured that the work does not cause.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Condvar, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

/// The longest wait of the timer's thread without a sleeper.
const IDLE: Duration = Duration::from_secs(1);

#[derive(Default)]
struct Timer {
    sleepers: Mutex<Sleepers>,
    earlier: Condvar,
}

#[derive(Default)]
struct Sleepers {
    due: BinaryHeap<Reverse<(Instant, u64)>>,
    wakers: rustc_hash::FxHashMap<u64, oneshot::Sender<()>>,
    last: u64,
}

/// Sleeps for a time.
pub async fn sleep(time: Duration) {
    sleep_until(Instant::now() + time).await;
}

/// Sleeps until a time.
pub async fn sleep_until(due: Instant) {
    if due <= Instant::now() {
        return;
    }
    // The timer's thread lives as long as the process, so the waker is never dropped unused.
    drop(register(due).await);
}

/// Adds a sleeper; the thread is woken where it is the first one due.
fn register(due: Instant) -> oneshot::Receiver<()> {
    let (waker, woken) = oneshot::channel();
    let timer = timer();
    let mut sleepers = timer
        .sleepers
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    sleepers.last += 1;
    let number = sleepers.last;
    sleepers.due.push(Reverse((due, number)));
    sleepers.wakers.insert(number, waker);
    let first = sleepers.due.peek();
    if first.is_some_and(|Reverse((_, first))| *first == number) {
        timer.earlier.notify_one();
    }
    woken
}

fn timer() -> &'static Timer {
    static TIMER: OnceLock<Timer> = OnceLock::new();
    static THREAD: OnceLock<()> = OnceLock::new();
    let timer = TIMER.get_or_init(Timer::default);
    THREAD.get_or_init(|| drop(std::thread::spawn(|| wake(timer))));
    timer
}

fn wake(timer: &Timer) {
    let mut sleepers = timer
        .sleepers
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    loop {
        let now = Instant::now();
        while let Some(&Reverse((due, number))) = sleepers.due.peek() {
            if due > now {
                break;
            }
            sleepers.due.pop();
            if let Some(waker) = sleepers.wakers.remove(&number) {
                // A sleeper that was dropped has no use for it.
                let _ = waker.send(());
            }
        }
        let next = sleepers.due.peek().map(|Reverse((due, _))| *due);
        let wait = next.map_or(IDLE, |due| due.saturating_duration_since(Instant::now()));
        let waited = timer.earlier.wait_timeout(sleepers, wait);
        sleepers = waited.map_or_else(|e| e.into_inner().0, |(sleepers, _)| sleepers);
    }
}
