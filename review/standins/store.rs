//! A stand-in for the platform's metadata store, by PROTOCOL.md: linearizable, loses nothing.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::net::{Head, Record, read_message, value_of};

struct Event {
    revision: u64,
    kind: String,
    object: String,
    is_gone: bool,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
    events: Vec<Event>,
    /// The connections with a watch that waits, by kind.
    waiting: Vec<(u64, String, TcpStream)>,
    next_waiting: u64,
}

/// A stand-in for the store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    record: Arc<Record>,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(record: &Arc<Record>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Self {
            address: listener.local_addr().unwrap(),
            record: record.clone(),
            shared: Arc::default(),
        };
        store.shared.0.lock().unwrap().revision = 7;
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object; acknowledged when this returns.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if state
            .objects
            .get(&key)
            .is_some_and(|(_, known)| known == spec)
        {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        state.objects.insert(key, (revision, spec.to_owned()));
        let object = object(name, revision, spec);
        state.events.push(Event {
            revision,
            kind: kind.into(),
            object,
            is_gone: false,
        });
        changed.notify_all();
    }

    /// Removes an object; acknowledged when this returns.
    pub fn remove(&self, kind: &str, name: &str) -> bool {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let Some((_, spec)) = state.objects.remove(&key) else {
            return false;
        };
        state.revision += 1;
        let revision = state.revision;
        state.events.push(Event {
            revision,
            kind: kind.into(),
            object: object(name, revision, &spec),
            is_gone: true,
        });
        changed.notify_all();
        true
    }

    /// Cuts the watches of a kind that are waiting; returns how many.
    pub fn cut_watches(&self, kind: &str) -> usize {
        let mut state = self.shared.0.lock().unwrap();
        let (cut, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut state.waiting)
            .into_iter()
            .partition(|(_, watched, _)| watched == kind);
        state.waiting = kept;
        cut.iter().for_each(|(_, _, stream)| {
            let _ = stream.shutdown(Shutdown::Both);
        });
        cut.len()
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut bytes = Vec::new();
        while let Some((head, body)) = read_message(&mut stream, &mut bytes) {
            let body = String::from_utf8_lossy(&body).into_owned();
            let (status, answer) = self.answer(&head, &body, &stream);
            let text = format!(
                "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str, stream: &TcpStream) -> (u16, String) {
        let (method, target) = head.first_line();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let path = path.trim_start_matches("/objects/");
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        if method != "GET" {
            return self.write(method, kind, name, body);
        }
        let parameter = |wanted: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(known, _)| *known == wanted)
                .map(|(_, value)| value.to_owned())
        };
        if let Some(from) = parameter("watch").and_then(|from| from.parse().ok()) {
            let wait = parameter("waitMs")
                .and_then(|wait| wait.parse().ok())
                .unwrap_or(0);
            return self.watch(kind, from, Duration::from_millis(wait), stream);
        }
        let state = self.shared.0.lock().unwrap();
        if !name.is_empty() {
            let known = state.objects.get(&(kind.to_owned(), name.to_owned()));
            return known.map_or((404, "{}".into()), |(at, spec)| {
                (200, object(name, *at, spec))
            });
        }
        let after = parameter("after").unwrap_or_default();
        let of_kind = state.objects.iter().filter(|((known, _), _)| known == kind);
        let listed = of_kind.filter(|((_, name), _)| *name > after);
        let items: Vec<_> = listed
            .map(|((_, name), (at, spec))| object(name, *at, spec))
            .collect();
        let at = state.revision;
        (
            200,
            format!(
                "{{\"items\":[{}],\"hasMore\":false,\"at\":{at}}}",
                items.join(",")
            ),
        )
    }

    fn write(&self, method: &str, kind: &str, name: &str, body: &str) -> (u16, String) {
        let metadata = value_of(body, "metadata").unwrap_or("{}");
        let own_name = value_of(metadata, "name")
            .unwrap_or_default()
            .trim_matches('"');
        let name = name.split('/').next().unwrap_or_default();
        let name = if name.is_empty() { own_name } else { name };
        let known = {
            let state = self.shared.0.lock().unwrap();
            state
                .objects
                .get(&(kind.to_owned(), name.to_owned()))
                .cloned()
        };
        let expected = value_of(metadata, "revision").and_then(|text| text.parse::<u64>().ok());
        match (method, &known) {
            ("POST", Some((at, spec))) => return (409, object(name, *at, spec)),
            ("PUT" | "DELETE", None) => return (404, "{}".into()),
            (_, Some((at, spec))) if expected.is_some_and(|expected| expected != *at) => {
                return (409, object(name, *at, spec));
            }
            _ => {}
        }
        self.record.add(format!("store {method} {kind}/{name}"));
        if method == "DELETE" {
            self.remove(kind, name);
            return (200, "{}".into());
        }
        let spec = value_of(body, "spec").unwrap_or("null");
        self.put(kind, name, spec);
        (if method == "POST" { 201 } else { 200 }, body.to_owned())
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration, stream: &TcpStream) -> (u16, String) {
        let until = Instant::now() + wait;
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let mut waiting = None;
        loop {
            let newer = state
                .events
                .iter()
                .filter(|e| e.kind == kind && e.revision > from);
            let events: Vec<_> = newer
                .map(|e| format!("{{\"isGone\":{},\"object\":{}}}", e.is_gone, e.object))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                state.waiting.retain(|(id, _, _)| Some(*id) != waiting);
                let at = state.revision;
                return (
                    200,
                    format!("{{\"events\":[{}],\"at\":{at}}}", events.join(",")),
                );
            }
            if waiting.is_none()
                && let Ok(stream) = stream.try_clone()
            {
                let id = state.next_waiting;
                state.next_waiting += 1;
                state.waiting.push((id, kind.to_owned(), stream));
                waiting = Some(id);
            }
            state = changed
                .wait_timeout(state, left.min(Duration::from_millis(500)))
                .unwrap()
                .0;
        }
    }
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!("{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision}}},\"spec\":{spec}}}")
}
