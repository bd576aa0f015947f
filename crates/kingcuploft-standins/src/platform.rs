//! The platform's object API and VM list, in memory.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Response, StatusCode};
use kingcuploft_platform::{Change, Changes, ListedVm, Object, Version};
use tokio::runtime::Runtime;
use tokio::sync::Notify;

use crate::http::{Handler, Server, WholeRequest, WholeResponse};

/// How often each kind of call was made; a waiting watch counts as one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Calls {
    /// Reads of one object.
    pub gets: u64,
    /// Conditional writes, those that lost included.
    pub puts: u64,
    /// Conditional deletions, those that lost included.
    pub deletes: u64,
    /// Listings.
    pub lists: u64,
    /// Watches.
    pub watches: u64,
    /// Readings of the VM list.
    pub vms: u64,
}

impl Calls {
    /// Returns the calls of all kinds.
    pub fn total(self) -> u64 {
        self.gets + self.puts + self.deletes + self.lists + self.watches + self.vms
    }
}

#[derive(Debug, Default)]
struct State {
    revision: Version,
    objects: BTreeMap<String, Object>,
    history: Vec<Change>,
    vms: Vec<ListedVm>,
    calls: Calls,
    down: bool,
}

#[derive(Debug, Default)]
struct Store {
    state: Mutex<State>,
    changed: Notify,
}

/// A running platform stand-in.
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
    /// The system's error where no port is to be had.
    pub fn start(runtime: &Runtime) -> std::io::Result<Self> {
        let store = Arc::new(Store::default());
        let server = Server::start(runtime, Arc::clone(&store))?;
        Ok(Self { store, server })
    }

    /// Returns where the API listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the calls counted so far.
    pub fn calls(&self) -> Calls {
        self.store.lock().calls
    }

    /// Begins or ends an outage: every call is answered 503.
    pub fn set_down(&self, down: bool) {
        self.store.lock().down = down;
    }

    /// Replaces the VM list.
    pub fn set_vms(&self, vms: Vec<ListedVm>) {
        self.store.lock().vms = vms;
    }
}

impl Handler for Store {
    async fn handle(&self, request: WholeRequest) -> WholeResponse {
        if self.lock().down {
            return json(StatusCode::SERVICE_UNAVAILABLE, &"down");
        }
        let path = request.uri().path().to_owned();
        let path = path.strip_prefix("/v1/").unwrap_or_default();
        match (request.method(), path) {
            (&Method::GET, "objects") => self.list(&Query::of(&request)),
            (&Method::GET, "watch") => self.watch(&Query::of(&request)).await,
            (&Method::GET, "vms") => {
                let mut state = self.lock();
                state.calls.vms += 1;
                json(StatusCode::OK, &state.vms)
            }
            (method, path) => match (method, path.strip_prefix("objects/")) {
                (&Method::GET, Some(key)) => self.get(key),
                (&Method::PUT, Some(key)) => self.put(key, &request),
                (&Method::DELETE, Some(key)) => self.delete(key, &request),
                _ => json(StatusCode::NOT_FOUND, &"no such path"),
            },
        }
    }
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn get(&self, key: &str) -> WholeResponse {
        let mut state = self.lock();
        state.calls.gets += 1;
        match state.objects.get(key) {
            Some(object) => json(StatusCode::OK, object),
            None => json(StatusCode::NOT_FOUND, &"no such object"),
        }
    }

    fn put(&self, key: &str, request: &WholeRequest) -> WholeResponse {
        let mut state = self.lock();
        state.calls.puts += 1;
        if let Some(conflict) = state.conflict(key, request) {
            return conflict;
        }
        let value = String::from_utf8_lossy(request.body()).into_owned();
        let version = state.change(key, Some(value));
        self.changed.notify_waiters();
        json(StatusCode::OK, &serde_json::json!({ "version": version }))
    }

    fn delete(&self, key: &str, request: &WholeRequest) -> WholeResponse {
        let mut state = self.lock();
        state.calls.deletes += 1;
        if let Some(conflict) = state.conflict(key, request) {
            return conflict;
        }
        let version = state.change(key, None);
        self.changed.notify_waiters();
        json(StatusCode::OK, &serde_json::json!({ "version": version }))
    }

    fn list(&self, query: &Query) -> WholeResponse {
        let mut state = self.lock();
        state.calls.lists += 1;
        let found = state.objects.values();
        let found = found.filter(|object| object.key.starts_with(&query.prefix));
        let changes = found.map(|object| Change {
            key: object.key.clone(),
            version: object.version,
            value: Some(object.value.clone()),
        });
        let changes = Changes {
            changes: changes.collect(),
            version: state.revision,
        };
        json(StatusCode::OK, &changes)
    }

    async fn watch(&self, query: &Query) -> WholeResponse {
        self.lock().calls.watches += 1;
        let deadline = tokio::time::Instant::now() + query.wait;
        loop {
            let changed = self.changed.notified();
            let seen = self.lock().since(query);
            if !seen.changes.is_empty() {
                return json(StatusCode::OK, &seen);
            }
            if tokio::time::timeout_at(deadline, changed).await.is_err() {
                return json(StatusCode::OK, &seen);
            }
        }
    }
}

impl State {
    fn conflict(&self, key: &str, request: &WholeRequest) -> Option<WholeResponse> {
        let found = self.objects.get(key).map(|object| object.version);
        let header = |name| request.headers().get(name)?.to_str().ok();
        let holds = match (header("if-none-match"), header("if-match")) {
            (Some("*"), None) => found.is_none(),
            (None, Some(version)) => found.is_some() && version.parse().ok() == found,
            _ => return Some(json(StatusCode::BAD_REQUEST, &"one condition is needed")),
        };
        let body = serde_json::json!({ "version": found });
        (!holds).then(|| json(StatusCode::PRECONDITION_FAILED, &body))
    }

    fn change(&mut self, key: &str, value: Option<String>) -> Version {
        self.revision += 1;
        let version = self.revision;
        match &value {
            Some(value) => {
                let object = Object {
                    key: key.into(),
                    version,
                    value: value.clone(),
                };
                self.objects.insert(key.into(), object);
            }
            None => drop(self.objects.remove(key)),
        }
        self.history.push(Change {
            key: key.into(),
            version,
            value,
        });
        version
    }

    fn since(&self, query: &Query) -> Changes {
        let newer = self.history.iter().rev();
        let newer = newer.take_while(|change| change.version > query.after);
        let fitting = newer.filter(|change| change.key.starts_with(&query.prefix));
        let mut changes: Vec<Change> = fitting.cloned().collect();
        changes.reverse();
        Changes {
            version: self.revision,
            changes,
        }
    }
}

#[derive(Debug, Default)]
struct Query {
    prefix: String,
    after: Version,
    wait: Duration,
}

impl Query {
    fn of(request: &WholeRequest) -> Self {
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
