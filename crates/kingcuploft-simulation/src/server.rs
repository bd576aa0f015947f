//! A simulated backend server with slots, a queue, a varying speed and faults.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use kingcuploft_entry::http::body::BodyReader;
use kingcuploft_entry::http::head::{self, RequestHead};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Semaphore, mpsc};
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::deployment::{RequestKind, Service};
use crate::history::{Arrival, History, RequestedPause};
use crate::link::LinkEnd;
use crate::network::{AcceptedConnection, Host};

/// How often a server's speed changes at random.
const SPEED_INTERVAL: Duration = Duration::from_millis(150);

/// The probability that a server is slow for one interval.
const SLOW_SHARE: f64 = 0.25;

/// The duration of slow work as a multiple of the usual one.
const SLOW_FACTOR: f64 = 5.0;

/// Requests whose path ends with this word crash the server that runs them.
pub const DEADLY_PATH: &str = "deadly";

/// The greatest size of a request's body.
const MAX_BODY_BYTES: usize = 1 << 20;

/// The faults of a server that disruptions switch on.
#[derive(Debug, Default)]
pub struct Faults {
    /// The share of the requests that it refuses.
    pub refused_share: Cell<f64>,
    /// The share of the requests whose answers it loses.
    pub lost_answer_share: Cell<f64>,
    /// The duration of its work as a multiple of the usual one; 0 leaves the usual speed.
    pub slow_factor: Cell<f64>,
    /// The pause that it asks for when it refuses a request.
    pub pause: Cell<Option<Duration>>,
    /// The limit that it names, in requests per second.
    pub limit: Cell<Option<f64>>,
}

/// One backend server.
#[derive(Debug)]
pub struct Server {
    /// The index.
    pub index: usize,
    /// The name.
    pub name: String,
    /// The service.
    pub service: Service,
    /// The index of the zone.
    pub zone: usize,
    /// The address at which it is reached.
    pub address: SocketAddr,
    /// The faults.
    pub faults: Faults,
    /// Until when it is cold.
    pub cold_until: Cell<Option<Instant>>,
    /// Whether it has stopped.
    pub has_stopped: Cell<bool>,
    /// Whether it drains.
    pub is_draining: Cell<bool>,
    /// Whether its entry was removed while it serves on.
    pub is_removed: Cell<bool>,
    kinds: Rc<Vec<RequestKind>>,
    history: Rc<History>,
    slots: Semaphore,
    running: Cell<u32>,
    waiting: Cell<u32>,
    tasks: RefCell<Vec<AbortHandle>>,
    crash_sender: UnboundedSender<usize>,
}

/// Whether a connection stays open after a request.
enum AfterRequest {
    Keep,
    Close,
}

impl Server {
    /// Starts a server on a host.
    pub fn start(
        host: &Host,
        index: usize,
        service: &Service,
        zone: usize,
        kinds: Rc<Vec<RequestKind>>,
        history: Rc<History>,
        crash_sender: UnboundedSender<usize>,
    ) -> Rc<Self> {
        let address: SocketAddr = ([127, 0, 2, 1], 1000 + index as u16).into();
        let server = Rc::new(Self {
            index,
            name: format!("s{index}"),
            service: service.clone(),
            zone,
            address,
            faults: Faults::default(),
            cold_until: Cell::new(None),
            has_stopped: Cell::new(false),
            is_draining: Cell::new(false),
            is_removed: Cell::new(false),
            kinds,
            history,
            slots: Semaphore::new(service.slots as usize),
            running: Cell::new(0),
            waiting: Cell::new(0),
            tasks: RefCell::default(),
            crash_sender,
        });
        let (connections, mut accepted) = mpsc::unbounded_channel::<AcceptedConnection>();
        host.listen(address, connections);
        let accepting_server = server.clone();
        let accepting = tokio::task::spawn_local(async move {
            while let Some((end, vm)) = accepted.recv().await {
                let server = accepting_server.clone();
                let serving = tokio::task::spawn_local(async move {
                    server.serve(end, vm.unwrap_or(usize::MAX)).await;
                });
                let mut tasks = accepting_server.tasks.borrow_mut();
                tasks.retain(|task| !task.is_finished());
                tasks.push(serving.abort_handle());
            }
        });
        server.tasks.borrow_mut().push(accepting.abort_handle());
        server
    }

    /// Stops the server and closes its connections.
    pub fn stop(&self) {
        self.has_stopped.set(true);
        for task in self.tasks.take() {
            task.abort();
        }
    }

    /// Returns for how much longer the server is cold.
    pub fn cold_for(&self) -> Duration {
        let until = self.cold_until.get();
        until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        })
    }

    /// Returns the current duration of work as a multiple of the usual one.
    fn slowness(&self) -> f64 {
        let interval = self.history.now().as_millis() / SPEED_INTERVAL.as_millis();
        let mut rng = fastrand::Rng::with_seed(interval as u64 * 7919 + self.index as u64);
        // The first numbers drawn from similar seeds are alike.
        rng.u64(..);
        let noise = match rng.f64() < SLOW_SHARE {
            true => SLOW_FACTOR,
            false => 1.0,
        };
        noise * self.faults.slow_factor.get().max(1.0)
    }

    fn load(&self) -> String {
        let percent = (self.slowness() * 100.0) as u32;
        let (running, waiting) = (self.running.get(), self.waiting.get());
        format!("{running},{waiting},{},{percent}", self.service.slots)
    }

    async fn serve(&self, mut end: LinkEnd, vm: usize) {
        let mut buffer = BytesMut::new();
        while let Some(head) = read_request(&mut end, &mut buffer).await {
            let after = match head.target.starts_with("/health") {
                true => self.answer_probe(&mut end).await,
                false => self.answer(&mut end, &head, vm).await,
            };
            if let AfterRequest::Close = after {
                return;
            }
        }
    }

    async fn answer_probe(&self, end: &mut LinkEnd) -> AfterRequest {
        self.history.probes.set(self.history.probes.get() + 1);
        let cold = match self.cold_for().as_millis() {
            0 => String::new(),
            ms => format!("x-cold-ms: {ms}\r\n"),
        };
        let load = self.load();
        let status = match self.is_draining.get() {
            true => "503 Leaving",
            false => "200 OK",
        };
        let (name, leaving) = (&self.name, self.leaving_header());
        let answer = format!(
            "HTTP/1.1 {status}\r\nx-instance: {name}\r\nx-load: {load}\r\n{cold}{leaving}Content-Length: 0\r\n\r\n"
        );
        write(end, &answer).await
    }

    async fn answer(&self, end: &mut LinkEnd, head: &RequestHead, vm: usize) -> AfterRequest {
        let id = head.headers.get("x-id").unwrap_or_default().to_owned();
        let meant_for = head.headers.get("x-meant-for");
        if meant_for.is_some_and(|name| name != self.name) {
            let answer = format!("HTTP/1.1 421 Other\r\nx-id: {id}\r\nContent-Length: 0\r\n\r\n");
            return write(end, &answer).await;
        }
        let Some(kind) = self.kind_of(&head.target) else {
            return write(end, &self.complete_answer(&id)).await;
        };
        let is_deadly = head.target.ends_with(DEADLY_PATH);
        let arrival = Arrival {
            id: u64::from_str_radix(&id, 16).unwrap_or_default(),
            kind,
            at: self.history.now(),
            server: self.index,
            vm,
            ran: Cell::new(false),
            is_deadly,
        };
        let at = {
            let mut arrivals = self.history.arrivals.borrow_mut();
            arrivals.push(arrival);
            arrivals.len() - 1
        };
        let is_full =
            self.running.get() + self.waiting.get() >= self.service.slots + self.service.queue;
        if is_full || fastrand::f64() < self.faults.refused_share.get() {
            return write(end, &self.refusal(&id, vm)).await;
        }
        if is_deadly {
            self.history.arrivals.borrow()[at].ran.set(true);
            let _ = self.crash_sender.send(self.index);
            return AfterRequest::Close;
        }
        if !self.work(end, kind, at).await || fastrand::f64() < self.faults.lost_answer_share.get()
        {
            return AfterRequest::Close;
        }
        let names_limit = self.faults.limit.get().is_some();
        let written = write(end, &self.complete_answer(&id)).await;
        if let (true, AfterRequest::Keep) = (names_limit, &written) {
            self.history.record_limit_told(self.index);
        }
        written
    }

    /// Returns the refusal of a VM's request.
    fn refusal(&self, id: &str, vm: usize) -> String {
        let (load, leaving) = (self.load(), self.leaving_header());
        let pause = self.faults.pause.get().map_or_else(String::new, |pause| {
            self.history
                .requested_pauses
                .borrow_mut()
                .push(RequestedPause {
                    vm,
                    server: self.index,
                    at: self.history.now(),
                    pause,
                });
            format!("Retry-After: {}\r\n", pause.as_secs_f64())
        });
        format!(
            "HTTP/1.1 503 Full\r\nx-id: {id}\r\nx-not-run: 1\r\nx-load: {load}\r\n{leaving}{pause}Content-Length: 0\r\n\r\n"
        )
    }

    fn leaving_header(&self) -> &'static str {
        match self.is_draining.get() {
            true => "x-leaving: 1\r\n",
            false => "",
        }
    }

    /// Returns the complete answer to a request; the caller checks its body.
    fn complete_answer(&self, id: &str) -> String {
        let (name, load, body) = (&self.name, self.load(), answer_body(id));
        let limit = self.faults.limit.get();
        let limit = limit.map_or_else(String::new, |per_s| format!("x-limit: {per_s}\r\n"));
        let (length, leaving) = (body.len(), self.leaving_header());
        format!(
            "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: {name}\r\nx-load: {load}\r\n{limit}{leaving}Content-Length: {length}\r\n\r\n{body}"
        )
    }

    /// Waits for a slot and works; returns whether the connection is still open at the end.
    async fn work(&self, end: &mut LinkEnd, kind: usize, arrival: usize) -> bool {
        let waiting = CountGuard::increment(&self.waiting);
        let mut byte = [0; 1];
        let slot = tokio::select! {
            biased;
            _ = end.read(&mut byte) => return false,
            slot = self.slots.acquire() => slot,
        };
        drop(waiting);
        if slot.is_err() {
            return false;
        }
        let _running = CountGuard::increment(&self.running);
        if let Some(arrival) = self.history.arrivals.borrow().get(arrival) {
            arrival.ran.set(true);
        }
        let spread = 0.7 + 0.6 * fastrand::f64();
        let work_ms = self.kinds[kind].work_ms * spread * self.slowness();
        tokio::select! {
            biased;
            _ = end.read(&mut byte) => false,
            () = tokio::time::sleep(Duration::from_secs_f64(work_ms / 1000.0)) => true,
        }
    }

    fn kind_of(&self, target: &str) -> Option<usize> {
        let mut kinds = self.kinds.iter();
        kinds.position(|kind| {
            let rest = target.strip_prefix('/');
            let rest = rest.and_then(|rest| rest.strip_prefix(&*kind.name));
            rest.is_some_and(|rest| rest.starts_with('/'))
        })
    }
}

/// Holds a count one higher until it is dropped.
struct CountGuard<'a>(&'a Cell<u32>);

impl<'a> CountGuard<'a> {
    fn increment(count: &'a Cell<u32>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Returns the body of the answer to a request.
pub fn answer_body(id: &str) -> String {
    format!("answer to {id}")
}

async fn write(end: &mut LinkEnd, answer: &str) -> AfterRequest {
    match end.write_all(answer.as_bytes()).await {
        Ok(()) => AfterRequest::Keep,
        Err(_) => AfterRequest::Close,
    }
}

async fn read_request(end: &mut LinkEnd, buffer: &mut BytesMut) -> Option<RequestHead> {
    loop {
        if let Some((head, length)) = head::parse_request(buffer).ok()? {
            let _ = buffer.split_to(length);
            let mut body = BodyReader::new(head.framing, MAX_BODY_BYTES).ok()?;
            while !body.read(buffer).ok()? {
                if end.read_buf(buffer).await.ok()? == 0 {
                    return None;
                }
            }
            return Some(head);
        }
        if end.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}
