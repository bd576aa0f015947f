//! The platform's object store API and VM list, in memory, with scripted or random faults.

mod faults;
mod state;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Response, StatusCode};
use kingcuploft_platform::{ListedVm, Object, Version};
use tokio::runtime::Runtime;
use tokio::sync::Notify;

pub use self::faults::{Faults, Outage, WriteFault};
pub use self::state::Calls;
use self::state::{Condition, State};
use crate::http::{Handler, Server, WholeRequest, WholeResponse, close_without_answer};

/// The maximum length of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// How long a call that is not answered keeps its connection open.
const SILENT_CALL_TIME: Duration = Duration::from_secs(30);

#[derive(Debug, Default)]
struct Store {
    state: Mutex<State>,
    changed: Notify,
}

/// A running platform store.
#[derive(Debug)]
pub struct Platform {
    store: Arc<Store>,
    server: Server,
}

impl Platform {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if no port can be opened.
    pub fn start(runtime: &Runtime) -> std::io::Result<Self> {
        let store = Arc::new(Store::default());
        store.lock().rng = fastrand::Rng::with_seed(0);
        let server = Server::start(runtime, Arc::new(Api(Arc::clone(&store))))?;
        Ok(Self { store, server })
    }

    /// Returns the address on which the API listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the counts of the calls so far.
    pub fn calls(&self) -> Calls {
        self.store.lock().calls
    }

    /// Starts or ends an outage in which every call is answered 503.
    pub fn set_down(&self, down: bool) {
        self.change_faults(|faults| faults.outage = down.then_some(Outage::Unavailable));
    }

    /// Replaces the current faults.
    pub fn set_faults(&self, faults: Faults) {
        self.change_faults(|current| *current = faults);
    }

    /// Changes some of the current faults.
    pub fn change_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.store.lock().faults);
        self.store.changed.notify_waiters();
    }

    /// Sets the seed of the random faults.
    pub fn set_seed(&self, seed: u64) {
        self.store.lock().rng = fastrand::Rng::with_seed(seed);
    }

    /// Replaces the VM list; callers see it after `vms_lag`.
    pub fn set_vms(&self, vms: Vec<ListedVm>) {
        self.store.lock().set_vms(vms);
    }

    /// Returns the current revision of an object, without a call.
    pub fn object(&self, key: &str) -> Option<Object> {
        self.store.lock().objects.get(key).cloned()
    }

    /// Returns the keys with a prefix, without a call.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.store.lock();
        let keys = state.objects.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    /// Overwrites an object without a condition, as an operator's mistake would.
    pub fn overwrite(&self, key: &str, value: &str) -> Version {
        let version = self.store.lock().change(key, Some(value.into()));
        self.store.changed.notify_waiters();
        version
    }
}

/// The HTTP handler of the store.
#[derive(Debug)]
struct Api(Arc<Store>);

impl Handler for Api {
    async fn handle(&self, request: WholeRequest) -> WholeResponse {
        let store = &self.0;
        let write = matches!(*request.method(), Method::PUT | Method::DELETE);
        if let Some(refusal) = store.admit(write).await {
            return refusal;
        }
        let path = request.uri().path().to_owned();
        let path = path.strip_prefix("/v1/").unwrap_or_default();
        match (request.method(), path) {
            (&Method::GET, "objects") => store.list(&Query::parse(&request)),
            (&Method::GET, "watch") => store.watch(&Query::parse(&request)).await,
            (&Method::GET, "vms") => store.vms(),
            (&Method::GET, path) => match path.strip_prefix("objects/") {
                Some(key) => store.get(key),
                None => json(StatusCode::NOT_FOUND, &"no such path"),
            },
            (_, path) => match path.strip_prefix("objects/") {
                Some(key) => Store::write(store, key, &request).await,
                None => json(StatusCode::NOT_FOUND, &"no such path"),
            },
        }
    }
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the delay, the outage and the rate limits to a call; returns the answer if it must not go on.
    async fn admit(&self, write: bool) -> Option<WholeResponse> {
        let delay = self.lock().faults.delay;
        if delay > Duration::ZERO {
            tokio::time::sleep(delay).await;
        }
        let (outage, admitted) = {
            let mut state = self.lock();
            let admitted = state.try_admit(write);
            let outage = state.faults.outage;
            state.calls.refused += u64::from(outage.is_some() || !admitted);
            (outage, admitted)
        };
        match outage {
            Some(outage) => Some(self.answer_outage(outage).await),
            None if !admitted => Some(json(StatusCode::TOO_MANY_REQUESTS, &"too many calls")),
            None => None,
        }
    }

    /// Answers a call as the outage requires.
    async fn answer_outage(&self, outage: Outage) -> WholeResponse {
        match outage {
            Outage::Unavailable => json(StatusCode::SERVICE_UNAVAILABLE, &"down"),
            Outage::Closed => close_without_answer(),
            Outage::Silence => {
                tokio::time::sleep(SILENT_CALL_TIME).await;
                close_without_answer()
            }
        }
    }

    fn get(&self, key: &str) -> WholeResponse {
        let mut state = self.lock();
        state.calls.gets += 1;
        match state.read(key) {
            Some(object) => json(StatusCode::OK, &object),
            None => json(StatusCode::NOT_FOUND, &"no such object"),
        }
    }

    fn vms(&self) -> WholeResponse {
        let mut state = self.lock();
        state.calls.vms += 1;
        json(StatusCode::OK, &state.vms())
    }

    fn list(&self, query: &Query) -> WholeResponse {
        let mut state = self.lock();
        state.calls.lists += 1;
        json(StatusCode::OK, &state.list(&query.prefix))
    }

    /// Handles a write, with its scripted or random fault.
    async fn write(store: &Arc<Self>, key: &str, request: &WholeRequest) -> WholeResponse {
        let Some(condition) = condition(request) else {
            return json(StatusCode::BAD_REQUEST, &"one condition is needed");
        };
        let value = match *request.method() {
            Method::DELETE => None,
            _ => Some(String::from_utf8_lossy(request.body()).into_owned()),
        };
        if value
            .as_ref()
            .is_some_and(|value| value.len() > MAX_VALUE_BYTES)
        {
            return json(StatusCode::PAYLOAD_TOO_LARGE, &"a value has at most 1 MB");
        }
        let fault = {
            let state = &mut *store.lock();
            state.faults.write_fault(key, &mut state.rng)
        };
        match fault {
            None => store.apply(key, value, condition),
            Some(WriteFault::LostRequest) => close_without_answer(),
            Some(WriteFault::LostAnswer) => {
                drop(store.apply(key, value, condition));
                close_without_answer()
            }
            Some(WriteFault::Slow(time)) => {
                tokio::time::sleep(time).await;
                store.apply(key, value, condition)
            }
            Some(WriteFault::Delayed(time)) => {
                let (store, key) = (Arc::clone(store), key.to_owned());
                tokio::spawn(async move {
                    tokio::time::sleep(time).await;
                    drop(store.apply(&key, value, condition));
                });
                close_without_answer()
            }
        }
    }

    /// Applies a write or deletion if its condition holds.
    fn apply(&self, key: &str, value: Option<String>, condition: Condition) -> WholeResponse {
        let mut state = self.lock();
        match value {
            Some(_) => state.calls.puts += 1,
            None => state.calls.deletes += 1,
        }
        if let Err(found) = state.check(key, condition) {
            state.calls.conflicts += 1;
            let body = serde_json::json!({ "version": found });
            return json(StatusCode::PRECONDITION_FAILED, &body);
        }
        let version = state.change(key, value);
        self.changed.notify_waiters();
        json(StatusCode::OK, &serde_json::json!({ "version": version }))
    }

    /// Answers with the changes after a revision, or with none if the waiting time ends first.
    async fn watch(&self, query: &Query) -> WholeResponse {
        self.lock().calls.watches += 1;
        let deadline = tokio::time::Instant::now() + query.wait;
        loop {
            let changed = self.changed.notified();
            let (changes, outage, stalled) = {
                let state = self.lock();
                let changes = state.since(&query.prefix, query.after);
                (changes, state.faults.outage, state.faults.stalled_watch)
            };
            if let Some(outage) = outage {
                return self.answer_outage(outage).await;
            }
            if stalled {
                // Ends only when the caller disconnects or the fault is removed.
                changed.await;
                continue;
            }
            let Some(changes) = changes else {
                return json(StatusCode::GONE, &"the revision is too old");
            };
            if !changes.changes.is_empty() {
                return json(StatusCode::OK, &changes);
            }
            if tokio::time::timeout_at(deadline, changed).await.is_err() {
                return json(StatusCode::OK, &changes);
            }
        }
    }
}

/// Parses the condition of a write; a write must have exactly one.
fn condition(request: &WholeRequest) -> Option<Condition> {
    let header = |name| request.headers().get(name)?.to_str().ok();
    match (header("if-none-match"), header("if-match")) {
        (Some("*"), None) => Some(Condition::Absent),
        (None, Some(version)) => version.parse().ok().map(Condition::Version),
        _ => None,
    }
}

/// The parameters of a listing or watch.
#[derive(Debug, Default)]
struct Query {
    prefix: String,
    after: Version,
    wait: Duration,
}

impl Query {
    fn parse(request: &WholeRequest) -> Self {
        let mut query = Self::default();
        let pairs = request.uri().query().unwrap_or_default().split('&');
        for (name, value) in pairs.filter_map(|pair| pair.split_once('=')) {
            match name {
                "prefix" => query.prefix = value.into(),
                "after" => query.after = value.parse().unwrap_or_default(),
                "wait_ms" => query.wait = Duration::from_millis(value.parse().unwrap_or_default()),
                _ => {}
            }
        }
        query
    }
}

fn json<T: serde::Serialize + ?Sized>(status: StatusCode, value: &T) -> WholeResponse {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
