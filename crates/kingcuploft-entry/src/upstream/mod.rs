//! The backend servers as this VM deals with them: connections, readings, own requests in flight.

pub mod crash_check;
pub mod exchange;
pub mod probe;
mod probe_step;

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use kingcuploft::entry::backend_servers::BackendServer;
use kingcuploft::entry::failures::Failures;
use kingcuploft::entry::placement::{Candidate, Reading};
use kingcuploft::utils::rendezvous::rendezvous;
use kingcuploft::world::ids::VmName;

use crate::clock;
use crate::http::client::{Connection, ConnectionCount};
use crate::network::Network;
use probe_step::ProbeStep;

/// The most idle connections kept to one server: VMs share a server's connections, and one VM
/// rarely has more than two requests at one server.
const MAX_IDLE_CONNECTIONS: usize = 3;

/// How long a connection may be idle and still be used, whatever the server says: servers close after 10 s
/// at all sites, and some forget a connection sooner.
const MAX_IDLE_AGE: Duration = Duration::from_secs(9);

/// How long it is remembered that another VM has sent a request to a server: longer than any reading
/// is chosen by.
const PEER_SEND_RETENTION: Duration = Duration::from_millis(50);

/// How long after its answer a probe's failure keeps a server from being asked again, first.
const FIRST_PROBE_BACKOFF: Duration = Duration::from_millis(60);

/// The longest such pause: a server that returns is seen within it.
const MAX_PROBE_BACKOFF: Duration = Duration::from_millis(800);

/// What it takes to hear of a server's load, the least first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ProbeCost {
    /// Its last reading is fresh.
    None,
    /// A probe on an open connection.
    Probe,
    /// A new connection as well, which takes a millisecond of a slot and a round trip.
    Connection,
}

/// One backend server as this VM deals with it.
#[derive(Debug)]
pub struct Upstream {
    /// What the platform's store says of it.
    pub server: BackendServer,
    /// Whether it is in this VM's zone.
    pub near: bool,
    /// Its place in this VM's order of the servers; other VMs order them otherwise.
    pub rank: u64,
    cold_until: Cell<Instant>,
    /// Since when and until when it must say first whether it is cold.
    cold_report_required_at: Cell<Instant>,
    cold_report_required_until: Cell<Option<Instant>>,
    idle_connections: RefCell<Vec<Connection>>,
    open_connections: std::rc::Rc<Cell<usize>>,
    reading: Cell<Option<(Instant, Reading)>>,
    probe_in_flight: Cell<bool>,
    awaits_late_answer: Cell<bool>,
    probe_backoff: Cell<Option<(Instant, Duration)>>,
    in_flight: RefCell<Vec<Instant>>,
    peer_sends: RefCell<Vec<Instant>>,
    failures: RefCell<Failures>,
    running_suspects: Cell<u32>,
}

impl Upstream {
    /// Begins to deal with a server.
    pub fn new(server: BackendServer, vm: &VmName, near: bool, now: Instant) -> Self {
        Self {
            rank: rendezvous(vm, &server.name),
            cold_until: Cell::new(now + server.cold_for),
            cold_report_required_at: Cell::new(now),
            cold_report_required_until: Cell::new(None),
            server,
            near,
            idle_connections: RefCell::default(),
            open_connections: std::rc::Rc::default(),
            reading: Cell::new(None),
            probe_in_flight: Cell::new(false),
            awaits_late_answer: Cell::new(false),
            probe_backoff: Cell::new(None),
            in_flight: RefCell::default(),
            peer_sends: RefCell::default(),
            failures: RefCell::default(),
            running_suspects: Cell::new(0),
        }
    }

    /// Returns whether a call can have a connection of those that this VM may have.
    pub fn has_connection_available(&self, share: usize) -> bool {
        self.open_connections.get() < share || !self.idle_connections.borrow().is_empty()
    }

    /// Returns a connection: an idle one, or a new one.
    ///
    /// # Errors
    ///
    /// Returns the system's error, or a timeout.
    pub async fn connect(&self, network: &dyn Network) -> std::io::Result<Connection> {
        if let Some(connection) = self.take_idle() {
            return Ok(connection);
        }
        let counted = ConnectionCount::increment(&self.open_connections);
        Connection::open_counted(network, self.server.address, counted).await
    }

    /// Takes an idle connection that can be used.
    fn take_idle(&self) -> Option<Connection> {
        let now = clock::now();
        let mut idle = self.idle_connections.borrow_mut();
        while let Some(mut connection) = idle.pop() {
            if connection.is_reusable(now, MAX_IDLE_AGE) {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for later.
    pub fn release(&self, mut connection: Connection) {
        let mut idle = self.idle_connections.borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS && connection.is_reusable(clock::now(), MAX_IDLE_AGE) {
            idle.push(connection);
        }
    }

    /// Takes in what the server said of its load.
    pub fn record_load_report(&self, now: Instant, reading: Reading) {
        self.reading.set(Some((now, reading)));
        if self.probe_backoff.take().is_some() {
            tracing::info!(event = "server_heard", server = %self.server.name);
        }
    }

    /// Returns the last reading and its age.
    pub fn load_report(&self, now: Instant) -> Option<(Duration, Reading)> {
        let (at, reading) = self.reading.get()?;
        Some((now.saturating_duration_since(at), reading))
    }

    /// Returns whether the last reading is young enough to choose by.
    pub fn has_fresh_load_report(&self, now: Instant, max_age: Duration) -> bool {
        self.load_report(now).is_some_and(|(age, _)| age < max_age)
    }

    /// Returns what it takes to hear of its load.
    pub fn probe_cost(&self, now: Instant, max_age: Duration) -> ProbeCost {
        match (
            self.has_fresh_load_report(now, max_age),
            self.idle_connections.borrow().is_empty(),
        ) {
            (true, _) => ProbeCost::None,
            (false, false) => ProbeCost::Probe,
            (false, true) => ProbeCost::Connection,
        }
    }

    /// Returns for how long it is cold.
    pub fn cold_for(&self, now: Instant) -> Duration {
        self.cold_until.get().saturating_duration_since(now)
    }

    /// Takes in until when it is cold.
    pub fn set_cold_until(&self, until: Instant) {
        self.cold_until.set(until);
        self.cold_report_required_until.set(None);
    }

    /// Takes in that it is not cold, as it says itself, asked at this moment.
    pub fn set_not_cold(&self, asked_at: Instant) {
        if self.cold_report_required_at.get() <= asked_at {
            self.cold_report_required_until.set(None);
        }
    }

    /// Gets no work until it has said whether it is cold, or can't be any more.
    pub fn require_cold_report(&self, now: Instant, lasts: Duration) {
        self.cold_report_required_at.set(now);
        self.cold_report_required_until.set(Some(now + lasts));
        self.reading.set(None);
    }

    /// Returns whether it must say first whether it is cold.
    pub fn awaits_cold_report(&self, now: Instant) -> bool {
        self.cold_report_required_until
            .get()
            .is_some_and(|until| now < until)
    }

    /// Returns whether a probe is on its way.
    pub fn is_probe_in_flight(&self) -> bool {
        self.probe_in_flight.get()
    }

    /// Returns whether the server did not answer the last probe and is not to be asked yet.
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        self.awaits_late_answer.get()
            || self
                .probe_backoff
                .get()
                .is_some_and(|(until, _)| now < until)
    }

    /// Returns whether there is an idle connection.
    pub fn has_idle_connection(&self) -> bool {
        !self.idle_connections.borrow().is_empty()
    }

    fn probe_failed(&self, now: Instant, step: ProbeStep, took: Duration) {
        let before = self.probe_backoff.get();
        let pause = before.map_or(FIRST_PROBE_BACKOFF, |(_, pause)| pause * 2);
        let pause = pause.min(MAX_PROBE_BACKOFF);
        if before.is_none() {
            let heard = self
                .reading
                .get()
                .map(|(at, _)| now.saturating_duration_since(at));
            tracing::info!(
                event = "server_mute",
                server = %self.server.name,
                step = step.label(),
                took_ms = took.as_millis() as u64,
                heard_ms = heard.map(|age| age.as_millis() as u64),
                own = self.in_flight.borrow().len(),
                connections = self.open_connections.get()
            );
        }
        self.probe_backoff.set(Some((now + pause, pause)));
        self.reading.set(None);
    }

    /// Takes in how a call ended.
    pub fn record_outcome(&self, now: Instant, failed: bool) {
        self.failures.borrow_mut().ended(now, failed);
    }

    /// Takes in that another VM of the zone has just sent a request there.
    pub fn record_peer_send(&self, now: Instant) {
        let mut sent = self.peer_sends.borrow_mut();
        sent.retain(|at| now.saturating_duration_since(*at) < PEER_SEND_RETENTION);
        sent.push(now);
    }

    /// Counts an own request as in flight until the guard is dropped.
    pub fn track_in_flight(self: &std::rc::Rc<Self>, now: Instant) -> InFlightGuard {
        self.in_flight.borrow_mut().push(now);
        InFlightGuard {
            upstream: self.clone(),
            sent: now,
        }
    }

    /// Counts a request as at the server, under which others ended, until the guard is dropped.
    pub fn track_suspect(self: &std::rc::Rc<Self>) -> SuspectGuard {
        self.running_suspects.update(|count| count + 1);
        SuspectGuard(self.clone())
    }

    /// Returns whether it runs a request of this VM under which other servers ended.
    pub fn is_running_suspect(&self) -> bool {
        self.running_suspects.get() > 0
    }

    /// Returns the server as a request sees it.
    pub fn candidate(&self, now: Instant, max_age: Duration, tried: bool) -> Candidate {
        let reading = self.reading.get();
        let reading = reading.filter(|(at, _)| now.saturating_duration_since(*at) < max_age);
        let own = self.in_flight.borrow();
        let unseen = match reading {
            Some((at, _)) => {
                let others = self.peer_sends.borrow();
                own.iter()
                    .chain(&*others)
                    .filter(|sent| **sent >= at)
                    .count()
            }
            None => own.len(),
        };
        Candidate {
            near: self.near,
            reading: reading.map(|(_, reading)| reading),
            asked: self.probe_in_flight.get(),
            unseen: unseen as u32,
            own: own.len() as u32,
            slots: self.server.slots,
            cold: now < self.cold_until.get(),
            failures: self.failures.borrow().share(now),
            tried,
        }
    }
}

/// A request at a server, under which others ended.
#[derive(Debug)]
pub struct SuspectGuard(std::rc::Rc<Upstream>);

impl Drop for SuspectGuard {
    fn drop(&mut self) {
        self.0.running_suspects.update(|count| count - 1);
    }
}

/// An own request in flight at a server.
#[derive(Debug)]
pub struct InFlightGuard {
    upstream: std::rc::Rc<Upstream>,
    sent: Instant,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut in_flight = self.upstream.in_flight.borrow_mut();
        if let Some(at) = in_flight.iter().position(|sent| *sent == self.sent) {
            in_flight.swap_remove(at);
        }
    }
}
