//! The object API over HTTP.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use ureq::http::StatusCode;
use ureq::{Agent, Timeout};

use crate::budget::CallBudget;
use crate::circuit::{Circuit, Passage};
use crate::{Changes, Expect, ListedVm, Object, ObjectStore, StoreError, Version};

/// How the platform's object API is called.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClientSettings {
    /// Time to connect, in ms.
    pub connect_timeout_ms: u64,
    /// Time of one call, a watch's wait apart, in ms.
    pub call_timeout_ms: u64,
    /// Time of a call that probes a store that was down, in ms.
    pub probe_timeout_ms: u64,
    /// Calls of this VM in a second, on average.
    pub calls_per_s: f64,
    /// Calls that may go out at once after a quiet time.
    pub calls_burst: f64,
    /// Calls without an answer in a row, after which the store counts as down.
    pub failures_to_open: u32,
    /// Time between probes of a store that is down, halved or raised by half at random, in ms.
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

/// What bounds the calls of one VM.
#[derive(Debug)]
struct Guard {
    budget: CallBudget,
    circuit: Circuit,
    rng: fastrand::Rng,
}

/// A client of the object API; its clones share connections, budget and circuit.
#[derive(Clone, Debug)]
pub struct Client {
    agent: Agent,
    base: String,
    settings: ClientSettings,
    guard: Arc<Mutex<Guard>>,
}

impl Client {
    /// Builds a client of the API at `address`, as `host:port`.
    pub fn new(address: &str) -> Self {
        Self::with_settings(address, ClientSettings::default(), fastrand::u64(..))
    }

    /// Builds a client with settings; the seed spreads the probes of several VMs.
    pub fn with_settings(address: &str, settings: ClientSettings, seed: u64) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_connect(Some(ms(settings.connect_timeout_ms)))
            .build();
        let interval = ms(settings.probe_interval_ms);
        let guard = Guard {
            budget: CallBudget::new(settings.calls_per_s, settings.calls_burst),
            circuit: Circuit::new(settings.failures_to_open, interval),
            rng: fastrand::Rng::with_seed(seed),
        };
        Self {
            agent: config.into(),
            base: format!("http://{address}/v1"),
            guard: Arc::new(Mutex::new(guard)),
            settings,
        }
    }

    /// Tells for how long the store counts as down at least; `None` while calls go through.
    pub fn down_for(&self, now: Instant) -> Option<Duration> {
        let probe = self.guarded(|guard| guard.circuit.next_probe())?;
        Some(probe.saturating_duration_since(now))
    }

    fn guarded<T>(&self, act: impl FnOnce(&mut Guard) -> T) -> T {
        act(&mut self.guard.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Makes one call within the budget and past the circuit.
    fn call<T>(
        &self,
        wait: Duration,
        exchange: impl FnOnce(Duration) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let timeout = self.guarded(Guard::enter)?;
        let timeout = match timeout {
            Passage::Probe => ms(self.settings.probe_timeout_ms),
            _ => ms(self.settings.call_timeout_ms),
        };
        let result = exchange(timeout + wait);
        // A watch that stalls alone says nothing of the store: it is not counted.
        let failed = result.as_ref().is_err_and(StoreError::is_outage);
        self.guarded(|guard| match failed {
            true if wait.is_zero() => guard.circuit.failed(Instant::now(), &mut guard.rng),
            true => {}
            false => guard.circuit.answered(),
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
        let mut response = request.call().map_err(failure)?;
        match response.status() {
            StatusCode::OK => {
                let body = response.body_mut().with_config().limit(READ_BYTES);
                body.read_json().map_err(silent)
            }
            StatusCode::GONE => Err(StoreError::Lapsed),
            status => Err(refused(status)),
        }
    }
}

/// The longest answer to a read, in bytes: a listing may hold many values.
const READ_BYTES: u64 = 64 * 1024 * 1024;

impl Guard {
    fn enter(&mut self) -> Result<Passage, StoreError> {
        let now = Instant::now();
        match self.circuit.pass(now, &mut self.rng) {
            Passage::Blocked(retry_after) => Err(StoreError::Down { retry_after }),
            passage => match self.budget.take(now) {
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

    fn put(&self, key: &str, value: &str, expect: Expect) -> Result<Version, StoreError> {
        self.call(Duration::ZERO, |timeout| {
            let request = self.agent.put(format!("{}/objects/{key}", self.base));
            let request = match expect {
                Expect::Absent => request.header("if-none-match", "*"),
                Expect::Version(version) => request.header("if-match", version.to_string()),
            };
            let request = request.config().timeout_global(Some(timeout)).build();
            written(request.send(value).map_err(failure)?)
        })
    }

    fn delete(&self, key: &str, version: Version) -> Result<(), StoreError> {
        self.call(Duration::ZERO, |timeout| {
            let request = self.agent.delete(format!("{}/objects/{key}", self.base));
            let request = request.header("if-match", version.to_string());
            let request = request.config().timeout_global(Some(timeout)).build();
            written(request.call().map_err(failure)?).map(|_| ())
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

/// The answer to a write: the version written, or the version that stood in the way.
#[derive(Deserialize)]
struct Written {
    version: Option<Version>,
}

fn written(mut response: ureq::http::Response<ureq::Body>) -> Result<Version, StoreError> {
    let status = response.status();
    match status {
        StatusCode::OK | StatusCode::PRECONDITION_FAILED => {}
        _ => return Err(refused(status)),
    }
    let written: Written = response.body_mut().read_json().map_err(silent)?;
    match (status, written.version) {
        (StatusCode::OK, Some(version)) => Ok(version),
        (StatusCode::OK, None) => Err(StoreError::Silent("no version in the answer".into())),
        (_, found) => Err(StoreError::Conflict { found }),
    }
}

/// Turns a status into an error: one that something between here and the store may have made
/// says nothing about a write.
fn refused(status: StatusCode) -> StoreError {
    match status {
        StatusCode::INTERNAL_SERVER_ERROR
        | StatusCode::BAD_GATEWAY
        | StatusCode::GATEWAY_TIMEOUT => StoreError::Silent(format!("status {status}")),
        _ => StoreError::Refused(status.as_u16()),
    }
}

/// Turns a failed exchange into an error: only a failure to connect proves that nothing was sent.
fn failure(error: ureq::Error) -> StoreError {
    match &error {
        ureq::Error::HostNotFound
        | ureq::Error::ConnectionFailed
        | ureq::Error::Timeout(Timeout::Connect | Timeout::Resolve) => {
            StoreError::NotSent(error.to_string())
        }
        ureq::Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            StoreError::NotSent(error.to_string())
        }
        _ => silent(error),
    }
}

fn silent(error: ureq::Error) -> StoreError {
    StoreError::Silent(error.to_string())
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
