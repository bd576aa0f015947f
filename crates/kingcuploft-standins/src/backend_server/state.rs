//! The state that the connections of one backend server share: faults, load, counts and random draws.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;
use tokio::sync::{Semaphore, watch};

use super::faults::Faults;
use super::load::Load;
use super::work::Work;

/// The counts of a backend server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Connections accepted, including those closed at the limit.
    pub connections: u64,
    /// Connections that are open now.
    pub open_connections: u64,
    /// The maximum number of connections open at once.
    pub peak_connections: u64,
    /// Connections closed because the limit was reached.
    pub refused_connections: u64,
    /// Requests whose head was read, including probes.
    pub requests: u64,
    /// Requests whose work began.
    pub runs: u64,
    /// Probes of `/load` and `/health`.
    pub probes: u64,
    /// Requests that were shed.
    pub shed: u64,
    /// Requests that failed at once with status 500.
    pub failed_fast: u64,
    /// Requests cancelled because the peer closed the connection.
    pub cancelled: u64,
    /// Requests whose deadline passed in the queue or during the work.
    pub expired: u64,
    /// Work time used by requests, in µs.
    pub work_us: u64,
    /// Slot time used by probes, in µs.
    pub probe_us: u64,
}

/// The state that the connections share.
#[derive(Debug)]
pub(super) struct State {
    pub(super) work: Work,
    pub(super) faults: watch::Sender<Faults>,
    /// Changes when all open connections have to close.
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

/// The random draws for one request.
#[derive(Debug)]
pub(super) struct RequestDraws {
    /// Picks the answer fault, if any.
    pub(super) answer: f64,
    /// Decides whether the request is shed.
    pub(super) shed: f64,
    /// Decides whether the request fails at once.
    pub(super) fail: f64,
    /// The work time without faults.
    pub(super) work_time: Duration,
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

    /// Makes the draws for a request. Every request makes the same draws, so that switching a fault on or off does not
    /// change the draws of other requests.
    pub(super) fn draw(&self) -> RequestDraws {
        let mut inner = self.lock();
        RequestDraws {
            answer: inner.rng.f64(),
            shed: inner.rng.f64(),
            fail: inner.rng.f64(),
            work_time: self.work.draw(&mut inner.rng),
        }
    }

    /// Multiplies a work time by the current factors of the cold start and the faults.
    pub(super) fn scale_work_time(&self, time: Duration) -> Duration {
        let age = self.lock().started.elapsed();
        let factor = self.work.cold_factor_at(age) * self.faults.borrow().factor_at(age);
        time.mul_f64(factor)
    }

    /// Counts a request whose work begins, by its idempotency key and its call id.
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

    /// Remembers the last answer and its request id, for [`AnswerFault::Crossed`](super::faults::AnswerFault::Crossed).
    pub(super) fn remember(&self, id: &str, body: &str) {
        self.lock().last_answer = Some((id.into(), body.into()));
    }

    /// Returns the request id and the body of the last answer, or made-up ones if there is none.
    pub(super) fn last_answer(&self) -> (String, String) {
        let last = self.lock().last_answer.clone();
        last.unwrap_or_else(|| ("another-1".into(), "GET /another\n".into()))
    }
}
