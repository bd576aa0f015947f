//! An HTTP client of the object API, with a call budget and a circuit breaker.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use ureq::http::StatusCode;
use ureq::{Agent, Timeout};

use crate::call_budget::CallBudget;
use crate::circuit_breaker::{CallPermission, CircuitBreaker};
use crate::{Changes, ListedVm, Object, ObjectStore, StoreError, Version, WriteCondition};

/// Timeouts and limits of the calls to the object API.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClientSettings {
    /// The timeout of connecting, in ms.
    pub connect_timeout_ms: u64,
    /// The timeout of one call, a watch's wait not counted, in ms.
    pub call_timeout_ms: u64,
    /// The timeout of a call that probes a store that was down, in ms.
    pub probe_timeout_ms: u64,
    /// How many calls a second this VM may make on average.
    pub calls_per_s: f64,
    /// How many calls may be sent at once after an idle time.
    pub calls_burst: f64,
    /// After how many consecutive calls without an answer the store counts as down.
    pub failures_to_open: u32,
    /// The mean time between probes of a store that is down, in ms; jitter draws each between half of it and half as
    /// much again.
    pub probe_interval_ms: u64,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 300,
            call_timeout_ms: 1000,
            probe_timeout_ms: 250,
            calls_per_s: 100.0,
            calls_burst: 100.0,
            failures_to_open: 2,
            probe_interval_ms: 300,
        }
    }
}

/// Limits the calls of one VM by its call budget and the circuit breaker.
#[derive(Debug)]
struct CallGuard {
    budget: CallBudget,
    circuit_breaker: CircuitBreaker,
    rng: fastrand::Rng,
}

/// A client of the object API; its clones share connections, call budget and circuit breaker.
#[derive(Clone, Debug)]
pub struct Client {
    agent: Agent,
    base: String,
    settings: ClientSettings,
    guard: Arc<Mutex<CallGuard>>,
}

impl Client {
    /// Builds a client with the default settings; `address` is `host:port`.
    pub fn new(address: &str) -> Self {
        Self::with_settings(address, ClientSettings::default(), fastrand::u64(..))
    }

    /// Builds a client with these settings; the seed of the jitter spreads the probes of several VMs.
    pub fn with_settings(address: &str, settings: ClientSettings, seed: u64) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_connect(Some(ms(settings.connect_timeout_ms)))
            .build();
        let interval = ms(settings.probe_interval_ms);
        let guard = CallGuard {
            budget: CallBudget::new(settings.calls_per_s, settings.calls_burst),
            circuit_breaker: CircuitBreaker::new(settings.failures_to_open, interval),
            rng: fastrand::Rng::with_seed(seed),
        };
        Self {
            agent: config.into(),
            base: format!("http://{address}/v1"),
            guard: Arc::new(Mutex::new(guard)),
            settings,
        }
    }

    /// Returns the time until the next probe of a store that counts as down; `None` while calls are sent.
    pub fn retry_after(&self, now: Instant) -> Option<Duration> {
        let probe = self.with_guard(|guard| guard.circuit_breaker.next_probe_at())?;
        Some(probe.saturating_duration_since(now))
    }

    fn with_guard<T>(&self, act: impl FnOnce(&mut CallGuard) -> T) -> T {
        act(&mut self.guard.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Makes one call if the call budget and the circuit breaker allow it.
    fn call<T>(
        &self,
        wait: Duration,
        exchange: impl FnOnce(Duration) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let timeout = self.with_guard(CallGuard::admit)?;
        let timeout = match timeout {
            CallPermission::Probe => ms(self.settings.probe_timeout_ms),
            _ => ms(self.settings.call_timeout_ms),
        };
        let result = exchange(timeout + wait);
        // A watch that fails is not counted: a watch may stall while the store serves all other calls.
        let failed = result.as_ref().is_err_and(StoreError::is_outage);
        self.with_guard(|guard| match failed {
            true if wait.is_zero() => guard
                .circuit_breaker
                .record_failure(Instant::now(), &mut guard.rng),
            true => {}
            false => guard.circuit_breaker.record_success(),
        });
        result
    }

    fn read<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<T, StoreError> {
        let request = self.agent.get(format!("{}/{path}", self.base)).config();
        let request = request.timeout_global(Some(timeout)).build();
        let mut response = request.call().map_err(exchange_error)?;
        match response.status() {
            StatusCode::OK => {
                let body = response.body_mut().with_config().limit(MAX_READ_BYTES);
                body.read_json().map_err(no_answer)
            }
            StatusCode::GONE => Err(StoreError::WatchExpired),
            status => Err(status_error(status)),
        }
    }
}

/// The largest body of an answer to a read: a list may hold many values of 1 MB.
const MAX_READ_BYTES: u64 = 64 * 1024 * 1024;

impl CallGuard {
    fn admit(&mut self) -> Result<CallPermission, StoreError> {
        let now = Instant::now();
        match self.circuit_breaker.permit(now, &mut self.rng) {
            CallPermission::Blocked(retry_after) => Err(StoreError::Down { retry_after }),
            passage => match self.budget.try_take(now) {
                Ok(()) => Ok(passage),
                Err(retry_after) => Err(StoreError::OverBudget { retry_after }),
            },
        }
    }
}

impl ObjectStore for Client {
    fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        let path = format!("objects/{key}");
        self.call(Duration::ZERO, |timeout| match self.read(&path, timeout) {
            Err(StoreError::Refused(404)) => Ok(None),
            read => read.map(Some),
        })
    }

    fn put(&self, key: &str, value: &str, expect: WriteCondition) -> Result<Version, StoreError> {
        self.call(Duration::ZERO, |timeout| {
            let request = self.agent.put(format!("{}/objects/{key}", self.base));
            let request = match expect {
                WriteCondition::Absent => request.header("if-none-match", "*"),
                WriteCondition::Version(version) => request.header("if-match", version.to_string()),
            };
            let request = request.config().timeout_global(Some(timeout)).build();
            written_version(request.send(value).map_err(exchange_error)?)
        })
    }

    fn delete(&self, key: &str, version: Version) -> Result<(), StoreError> {
        self.call(Duration::ZERO, |timeout| {
            let request = self.agent.delete(format!("{}/objects/{key}", self.base));
            let request = request.header("if-match", version.to_string());
            let request = request.config().timeout_global(Some(timeout)).build();
            written_version(request.call().map_err(exchange_error)?).map(|_| ())
        })
    }

    fn list(&self, prefix: &str) -> Result<Changes, StoreError> {
        let path = format!("objects?prefix={prefix}");
        self.call(Duration::ZERO, |timeout| self.read(&path, timeout))
    }

    fn watch(&self, prefix: &str, after: Version, wait: Duration) -> Result<Changes, StoreError> {
        let wait_ms = wait.as_millis();
        let path = format!("watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        self.call(wait, |timeout| self.read(&path, timeout))
    }

    fn vms(&self) -> Result<Vec<ListedVm>, StoreError> {
        self.call(Duration::ZERO, |timeout| self.read("vms", timeout))
    }
}

/// The body of an answer to a write: the version written, or the version that the condition met.
#[derive(Deserialize)]
struct WriteReply {
    version: Option<Version>,
}

fn written_version(mut response: ureq::http::Response<ureq::Body>) -> Result<Version, StoreError> {
    let status = response.status();
    match status {
        StatusCode::OK | StatusCode::PRECONDITION_FAILED => {}
        _ => return Err(status_error(status)),
    }
    let reply: WriteReply = response.body_mut().read_json().map_err(no_answer)?;
    match (status, reply.version) {
        (StatusCode::OK, Some(version)) => Ok(version),
        (StatusCode::OK, None) => Err(StoreError::NoAnswer("no version in the answer".into())),
        (_, found) => Err(StoreError::Conflict { found }),
    }
}

/// Turns a status into an error. 500, 502 and 504 may come from a proxy on the way to the store, so they do not tell
/// whether a write took effect.
fn status_error(status: StatusCode) -> StoreError {
    match status {
        StatusCode::INTERNAL_SERVER_ERROR
        | StatusCode::BAD_GATEWAY
        | StatusCode::GATEWAY_TIMEOUT => StoreError::NoAnswer(format!("status {status}")),
        _ => StoreError::Refused(status.as_u16()),
    }
}

/// Turns a failed exchange into an error. Only a failure to connect proves that nothing was sent.
fn exchange_error(error: ureq::Error) -> StoreError {
    match &error {
        ureq::Error::HostNotFound
        | ureq::Error::ConnectionFailed
        | ureq::Error::Timeout(Timeout::Connect | Timeout::Resolve) => {
            StoreError::NotSent(error.to_string())
        }
        ureq::Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            StoreError::NotSent(error.to_string())
        }
        _ => no_answer(error),
    }
}

fn no_answer(error: ureq::Error) -> StoreError {
    StoreError::NoAnswer(error.to_string())
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
