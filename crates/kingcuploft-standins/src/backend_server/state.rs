//! What the connections of one backend server share.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;
use tokio::sync::{Semaphore, watch};

use super::faults::Faults;
use super::load::Load;
use super::work::Work;

/// What a backend server counted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Connections accepted, those closed at the limit included.
    pub connections: u64,
    /// Connections open now.
    pub open_connections: u64,
    /// The most connections open at once.
    pub peak_connections: u64,
    /// Connections closed at the limit.
    pub refused_connections: u64,
    /// Requests whose head was read, probes included.
    pub requests: u64,
    /// Requests whose work began.
    pub runs: u64,
    /// Probes of `/load` and `/health`.
    pub probes: u64,
    /// Requests shed.
    pub shed: u64,
    /// Requests that failed at once.
    pub failed_fast: u64,
    /// Requests cancelled by closing.
    pub cancelled: u64,
    /// Requests whose deadline passed here.
    pub expired: u64,
    /// Work time used by requests, in µs.
    pub work_us: u64,
    /// Slot time used by probes, in µs.
    pub probe_us: u64,
}

/// What the connections share.
#[derive(Debug)]
pub(super) struct State {
    pub(super) work: Work,
    pub(super) faults: watch::Sender<Faults>,
    pub(super) closing: watch::Sender<u64>,
    pub(super) slots: Semaphore,
    pub(super) load: Load,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    rng: fastrand::Rng,
    started: Instant,
    counts: Counts,
    runs: FxHashMap<String, u64>,
    call_runs: FxHashMap<String, u64>,
    last_answer: Option<(String, String)>,
}

/// What was drawn for one request.
#[derive(Debug)]
pub(super) struct RequestDraws {
    /// Picks the faulty answer.
    pub(super) answer: f64,
    /// Picks the requests that are shed.
    pub(super) shed: f64,
    /// Picks the requests that fail at once.
    pub(super) fail: f64,
    /// The work time without faults.
    pub(super) time: Duration,
}

impl State {
    pub(super) fn new(work: Work) -> Self {
        Self {
            faults: watch::Sender::new(Faults::default()),
            closing: watch::Sender::new(0),
            slots: Semaphore::new(work.slots),
            load: Load::new(work.load_lag),
            inner: Mutex::new(Inner {
                rng: fastrand::Rng::with_seed(work.seed),
                started: Instant::now(),
                counts: Counts::default(),
                runs: FxHashMap::default(),
                call_runs: FxHashMap::default(),
                last_answer: None,
            }),
            work,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn count(&self, count: impl FnOnce(&mut Counts)) {
        count(&mut self.lock().counts);
    }

    pub(super) fn counts(&self) -> Counts {
        self.lock().counts
    }

    pub(super) fn runs(&self, key: &str) -> u64 {
        self.lock().runs.get(key).copied().unwrap_or_default()
    }

    pub(super) fn restart(&self) {
        self.lock().started = Instant::now();
    }

    /// Draws what befalls a request; every request draws alike, so that faults switched on or
    /// off do not change the draws of others.
    pub(super) fn draw(&self) -> RequestDraws {
        let mut inner = self.lock();
        RequestDraws {
            answer: inner.rng.f64(),
            shed: inner.rng.f64(),
            fail: inner.rng.f64(),
            time: self.work.draw(&mut inner.rng),
        }
    }

    /// Returns the work time with the slowness of this moment.
    pub(super) fn scale_work_time(&self, time: Duration) -> Duration {
        let age = self.lock().started.elapsed();
        let factor = self.work.cold_factor_at(age) * self.faults.borrow().factor_at(age);
        time.mul_f64(factor)
    }

    /// Counts a run, for its idempotency key and for the one call: the work begins.
    pub(super) fn record_run(&self, key: Option<&str>, call: Option<&str>) {
        let mut inner = self.lock();
        inner.counts.runs += 1;
        if let Some(key) = key {
            *inner.runs.entry(key.into()).or_default() += 1;
        }
        if let Some(call) = call {
            *inner.call_runs.entry(call.into()).or_default() += 1;
        }
    }

    pub(super) fn call_runs(&self, call: &str) -> u64 {
        self.lock().call_runs.get(call).copied().unwrap_or_default()
    }

    /// Remembers an answer, for those that cross.
    pub(super) fn remember(&self, id: &str, body: &str) {
        self.lock().last_answer = Some((id.into(), body.into()));
    }

    /// Returns an earlier answer with its id.
    pub(super) fn last_answer(&self) -> (String, String) {
        let last = self.lock().last_answer.clone();
        last.unwrap_or_else(|| ("another-1".into(), "GET /another\n".into()))
    }
}
