//! Waiting at the start for what the process needs and is not there yet. It says what it waits for, and can be stopped.

use std::fmt::Display;
use std::time::{Duration, Instant};

use kingcuploft::entry::start::{Stage, Start, StartEvent};

use super::signals::Signals;
use super::standard_error;
use crate::clock;

/// How often what is missing is tried again.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// How often the log says that the same is still missing.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Tries to have what the start waits for at its stage, until that succeeds, which is the event `found`; returns `None` if a
/// signal terminates the process before.
pub fn retry<T, E: Display>(
    start: &mut Start,
    signals: &Signals,
    found: StartEvent,
    mut attempt: impl FnMut() -> Result<T, E>,
) -> Option<T> {
    let mut log = WaitLog::new(start.stage().awaited());
    loop {
        if signals.is_terminated() {
            start.apply(StartEvent::Terminated);
        }
        if start.stage() == Stage::Ended {
            return None;
        }
        match attempt() {
            Ok(value) => {
                start.apply(found);
                log.found();
                return Some(value);
            }
            Err(error) => log.missing(&error.to_string()),
        }
        std::thread::sleep(RETRY_INTERVAL);
    }
}

/// Logs what is missing: at first, when the reason changes, and every few seconds.
#[derive(Debug)]
pub struct WaitLog {
    awaited: &'static str,
    since: Instant,
    last: Option<(String, Instant)>,
}

impl WaitLog {
    /// Begins a wait.
    pub fn new(awaited: &'static str) -> Self {
        Self {
            awaited,
            since: clock::now(),
            last: None,
        }
    }

    /// Records that it is missing.
    pub fn missing(&mut self, error: &str) {
        let known = self.last.as_ref().filter(|(last, _)| last == error);
        if known.is_some_and(|(_, at)| clock::since(*at) < LOG_INTERVAL) {
            return;
        }
        let awaited = self.awaited;
        tracing::warn!(event = "start_waits", awaited, error);
        if known.is_none() {
            standard_error::tell(&format!("waits for {awaited}: {error}"));
        }
        self.last = Some((error.to_owned(), clock::now()));
    }

    /// Records that it is there.
    pub fn found(&self) {
        if self.last.is_some() {
            let (awaited, waited_ms) = (self.awaited, clock::since(self.since).as_millis() as u64);
            tracing::info!(event = "start_goes_on", awaited, waited_ms);
        }
    }
}
