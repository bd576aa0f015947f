//! A backend server with slots, a work time and a count of runs per idempotency key.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::header::HeaderValue;
use rustc_hash::FxHashMap;
use tokio::runtime::Runtime;
use tokio::sync::Semaphore;

use crate::http::{Handler, Server, WholeRequest, WholeResponse};

/// How a backend server works.
#[derive(Clone, Debug)]
pub struct Work {
    /// How many requests it works on at once.
    pub slots: usize,
    /// The mean of the work time; the times are exponential.
    pub mean: Duration,
    /// The seed of the work times.
    pub seed: u64,
}

#[derive(Debug)]
struct State {
    work: Work,
    slots: Semaphore,
    in_flight: AtomicU32,
    rng: Mutex<fastrand::Rng>,
    runs: Mutex<FxHashMap<String, u64>>,
}

/// A running backend server stand-in.
#[derive(Debug)]
pub struct BackendServer {
    state: Arc<State>,
    server: Server,
}

impl BackendServer {
    /// Starts a backend server.
    ///
    /// # Errors
    ///
    /// The system's error where no port is to be had.
    pub fn start(runtime: &Runtime, work: Work) -> std::io::Result<Self> {
        let state = Arc::new(State {
            slots: Semaphore::new(work.slots),
            in_flight: AtomicU32::new(0),
            rng: Mutex::new(fastrand::Rng::with_seed(work.seed)),
            runs: Mutex::default(),
            work,
        });
        let server = Server::start(runtime, Arc::clone(&state))?;
        Ok(Self { state, server })
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns how often the request with this idempotency key ran.
    pub fn runs(&self, key: &str) -> u64 {
        let runs = self
            .state
            .runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        runs.get(key).copied().unwrap_or_default()
    }
}

impl Handler for State {
    async fn handle(&self, request: WholeRequest) -> WholeResponse {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let slot = self.slots.acquire().await;
        let header = |name| request.headers().get(name)?.to_str().ok();
        if let Some(key) = header("idempotency-key") {
            let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
            *runs.entry(key.into()).or_default() += 1;
        }
        let asked = header("x-work-us").and_then(|us| us.parse().ok());
        let time = asked.map_or_else(|| self.time(), Duration::from_micros);
        tokio::time::sleep(time).await;
        drop(slot);
        let in_flight = self.in_flight.fetch_sub(1, Ordering::Relaxed) - 1;
        let body = format!("{} {}\n", request.method(), request.uri().path());
        let mut response = Response::new(Full::new(Bytes::from(body)));
        let headers = response.headers_mut();
        headers.insert("x-load-in-flight", HeaderValue::from(in_flight));
        if let Some(id) = request.headers().get("x-request-id") {
            headers.insert("x-request-id", id.clone());
        }
        response
    }
}

impl State {
    fn time(&self) -> Duration {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        let uniform = rng.f64().max(f64::MIN_POSITIVE);
        self.work.mean.mul_f64(-uniform.ln())
    }
}
