//! The backend servers as this VM uses them: pooled connections, load reports, probes, and requests in flight.

#![deny(clippy::arithmetic_side_effects)]

mod connect_error;
pub mod crash_check;
pub mod exchange;
pub mod own_answer;
mod pool;
pub mod probe;
mod probe_step;
pub mod server_signals;
mod usage;

use std::cell::{Cell, OnceCell};
use std::sync::Arc;
use std::time::{Duration, Instant};

use kingcuploft::entry::backend_servers::BackendServer;
use kingcuploft::entry::cold_time;
use kingcuploft::entry::placement::{Candidate, LoadReport};
use kingcuploft::utils::rendezvous::rendezvous;
use kingcuploft::world::ids::VmName;
use kingcuploft::world::wire_text::{HeaderText, WireTextError};

use crate::clock;
use crate::context::Context;
use crate::http::client::{Connection, ConnectionCount};
pub use connect_error::ConnectError;
use probe_step::ProbeStep;
use usage::{ColdReportRequired, Usage};

/// How long a request that another VM has sent to a server is remembered: longer than the greatest age of a load report
/// by which a server is selected.
const PEER_SEND_RETENTION: Duration = Duration::from_millis(50);

/// How long a server is not probed after its first failed probe; doubled after each further failure.
const FIRST_PROBE_BACKOFF: Duration = Duration::from_millis(60);

/// The longest such pause: a server that recovers is noticed within it.
const MAX_PROBE_BACKOFF: Duration = Duration::from_millis(800);

/// What it costs to learn a server's load, the cheapest first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ProbeCost {
    /// Nothing: the last load report is fresh.
    None,
    /// A probe on an open connection.
    Probe,
    /// A probe on a new connection, which costs a round trip and takes a slot of the server for a millisecond.
    Connection,
}

/// Who learned a load report from the server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportSource {
    /// This VM, by a probe or by the answer to a request.
    Own,
    /// Another VM of the zone.
    OtherVm,
}

/// One backend server as this VM uses it.
#[derive(Debug)]
pub struct Upstream {
    /// The server's entry in the platform's store.
    pub server: Arc<BackendServer>,
    /// Whether the server is in this VM's zone.
    pub near: bool,
    /// The server's place in this VM's order of the servers, which differs between VMs.
    pub rank: u64,
    cold_until: Cell<Instant>,
    /// What is kept of it once it is used.
    usage: OnceCell<Box<Usage>>,
}

impl Upstream {
    /// Creates the upstream of a server, without connections or load reports.
    ///
    /// # Errors
    ///
    /// Returns an error if no header can hold the server's name, so that no request can be meant for it.
    pub fn new(
        server: Arc<BackendServer>,
        vm: &VmName,
        near: bool,
        now: Instant,
    ) -> Result<Self, WireTextError> {
        HeaderText::parse(&server.name)?;
        Ok(Self {
            rank: rendezvous(vm, &server.name),
            cold_until: Cell::new(clock::after(now, cold_time::bounded(server.cold_for))),
            server,
            near,
            usage: OnceCell::new(),
        })
    }

    /// Returns whether this VM has used the server.
    pub fn is_in_use(&self) -> bool {
        self.known_usage().is_some()
    }

    /// Returns what is kept of the server, from now on.
    fn usage(&self) -> &Usage {
        self.usage.get_or_init(Box::default)
    }

    /// Returns what is kept of the server, if it has been used.
    fn known_usage(&self) -> Option<&Usage> {
        self.usage.get().map(|usage| &**usage)
    }

    /// Returns whether a call can get a connection, given that this VM may have `share` connections to the server.
    pub fn has_connection_available(&self, share: usize) -> bool {
        let open = self
            .known_usage()
            .map_or(0, |usage| usage.open_connections.get());
        open < share || self.has_idle_connection()
    }

    /// Opens a new connection, given that this VM may have `share` connections to the server.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectError::ShareInUse`] if this VM has as many, and the system's error, or a timeout, if no
    /// connection could be opened.
    pub async fn open(&self, context: &Context, share: usize) -> Result<Connection, ConnectError> {
        if self.usage().open_connections.get() >= share {
            return Err(ConnectError::ShareInUse);
        }
        let of_server = &self.usage().open_connections;
        let counted = ConnectionCount::increment(of_server, &context.server_connections);
        let opened =
            Connection::open_counted(&*context.network, self.server.address, counted).await;
        opened.map_err(ConnectError::Io)
    }

    /// Records a load report of the server. One that another VM got does not count while this VM's own probes fail: it
    /// says nothing of the path from here.
    pub fn record_load_report(&self, now: Instant, reading: LoadReport, source: ReportSource) {
        let is_mute = self.usage().probe_backoff.get().is_some();
        if is_mute && source == ReportSource::OtherVm {
            return;
        }
        self.usage().last_load_report.set(Some((now, reading)));
        if is_mute {
            self.usage().probe_backoff.set(None);
            tracing::info!(event = "server_heard", server = %self.server.name);
        }
    }

    /// Forgets the last load report, so that the server is probed before it is chosen again.
    pub fn forget_load_report(&self) {
        if let Some(usage) = self.known_usage() {
            usage.last_load_report.set(None);
        }
    }

    /// Returns the last load report and its age.
    pub fn load_report(&self, now: Instant) -> Option<(Duration, LoadReport)> {
        let (at, reading) = self.known_usage()?.last_load_report.get()?;
        Some((now.saturating_duration_since(at), reading))
    }

    /// Returns whether the last load report is fresh enough to select by.
    pub fn has_fresh_load_report(&self, now: Instant, max_age: Duration) -> bool {
        self.load_report(now).is_some_and(|(age, _)| age < max_age)
    }

    /// Returns what it costs to learn the server's load.
    pub fn probe_cost(&self, now: Instant, max_age: Duration) -> ProbeCost {
        match (
            self.has_fresh_load_report(now, max_age),
            self.has_idle_connection(),
        ) {
            (true, _) => ProbeCost::None,
            (false, true) => ProbeCost::Probe,
            (false, false) => ProbeCost::Connection,
        }
    }

    /// Returns for how much longer the server is cold.
    pub fn cold_for(&self, now: Instant) -> Duration {
        self.cold_until.get().saturating_duration_since(now)
    }

    /// Records until when the server is cold.
    pub fn set_cold_until(&self, until: Instant) {
        self.cold_until.set(until);
        if let Some(usage) = self.known_usage() {
            usage.cold_report_required.set(None);
        }
    }

    /// Records the server's own report that it is not cold. `asked_at` is when it was asked; an answer to an earlier
    /// question than the last call of [`Self::require_cold_report`] does not count.
    pub fn set_not_cold(&self, asked_at: Instant) {
        let Some(usage) = self.known_usage() else {
            return;
        };
        let required = usage.cold_report_required.get();
        if required.is_some_and(|required| required.from <= asked_at) {
            usage.cold_report_required.set(None);
        }
    }

    /// Keeps work from the server until it has reported whether it is cold, or for `max_cold_time`, after which it
    /// can't be cold any more.
    pub fn require_cold_report(&self, now: Instant, max_cold_time: Duration) {
        let usage = self.usage();
        usage.cold_report_required.set(Some(ColdReportRequired {
            from: now,
            until: clock::after(now, max_cold_time),
        }));
        usage.last_load_report.set(None);
    }

    /// Returns whether the server must still report whether it is cold.
    pub fn awaits_cold_report(&self, now: Instant) -> bool {
        let required = self
            .known_usage()
            .and_then(|usage| usage.cold_report_required.get());
        required.is_some_and(|required| now < required.until)
    }

    /// Returns whether a probe is in flight.
    pub fn is_probe_in_flight(&self) -> bool {
        self.known_usage()
            .is_some_and(|usage| usage.probe_in_flight.get())
    }

    /// Returns whether the server did not answer the last probe and must not be probed yet.
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        let Some(usage) = self.known_usage() else {
            return false;
        };
        let backoff = usage.probe_backoff.get();
        usage.awaits_late_answer.get() || backoff.is_some_and(|(until, _)| now < until)
    }

    fn probe_failed(&self, now: Instant, step: ProbeStep, took: Duration) {
        let before = self.usage().probe_backoff.get();
        let pause = before.map_or(FIRST_PROBE_BACKOFF, |(_, pause)| pause.saturating_mul(2));
        let pause = pause.min(MAX_PROBE_BACKOFF);
        if before.is_none() {
            let age = self
                .usage()
                .last_load_report
                .get()
                .map(|(at, _)| now.saturating_duration_since(at));
            tracing::info!(
                event = "server_mute",
                server = %self.server.name,
                step = step.label(),
                took_ms = took.as_millis() as u64,
                heard_ms = age.map(|age| age.as_millis() as u64),
                own = self.usage().in_flight.borrow().len(),
                connections = self.usage().open_connections.get()
            );
        }
        self.usage()
            .probe_backoff
            .set(Some((clock::after(now, pause), pause)));
        self.usage().last_load_report.set(None);
    }

    /// Records how a call ended, for the failure rate.
    pub fn record_outcome(&self, now: Instant, failed: bool) {
        self.usage().failures.borrow_mut().record(now, failed);
    }

    /// Records that another VM of the zone has just sent a request to the server.
    pub fn record_peer_send(&self, now: Instant) {
        let mut sent = self.usage().peer_sends.borrow_mut();
        sent.retain(|at| now.saturating_duration_since(*at) < PEER_SEND_RETENTION);
        sent.push(now);
    }

    /// Counts a request of this VM as in flight until the guard is dropped.
    pub fn track_in_flight(self: &std::rc::Rc<Self>, now: Instant) -> InFlightGuard {
        self.usage().in_flight.borrow_mut().push(now);
        InFlightGuard {
            upstream: self.clone(),
            sent: now,
        }
    }

    /// Counts a suspect request, during which other servers have crashed, as in flight until the guard is dropped.
    pub fn track_suspect(self: &std::rc::Rc<Self>) -> SuspectGuard {
        self.usage().running_suspects.update(|count| count + 1);
        SuspectGuard(self.clone())
    }

    /// Returns whether the server runs a suspect request of this VM.
    pub fn is_running_suspect(&self) -> bool {
        self.known_usage()
            .is_some_and(|usage| usage.running_suspects.get() > 0)
    }

    /// Returns what placement considers of the server.
    pub fn candidate(&self, now: Instant, max_age: Duration, tried: bool) -> Candidate {
        let usage = self.usage();
        let reading = usage.last_load_report.get();
        let reading = reading.filter(|(at, _)| now.saturating_duration_since(*at) < max_age);
        let own = usage.in_flight.borrow();
        let unseen = match reading {
            Some((at, _)) => {
                let others = usage.peer_sends.borrow();
                own.iter()
                    .chain(&*others)
                    .filter(|sent| **sent >= at)
                    .count()
            }
            None => own.len(),
        };
        Candidate {
            near: self.near,
            load_report: reading.map(|(_, reading)| reading),
            probe_pending: self.usage().probe_in_flight.get(),
            sent_since_report: unseen as u32,
            own_in_flight: own.len() as u32,
            slots: self.server.slots,
            cold: now < self.cold_until.get(),
            failure_rate: self.usage().failures.borrow().rate(now),
            tried,
        }
    }
}

/// Counts a suspect request as in flight at a server.
#[derive(Debug)]
pub struct SuspectGuard(std::rc::Rc<Upstream>);

impl Drop for SuspectGuard {
    fn drop(&mut self) {
        self.0.usage().running_suspects.update(|count| count - 1);
    }
}

/// Counts a request of this VM as in flight at a server.
#[derive(Debug)]
pub struct InFlightGuard {
    upstream: std::rc::Rc<Upstream>,
    sent: Instant,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut in_flight = self.upstream.usage().in_flight.borrow_mut();
        if let Some(at) = in_flight.iter().position(|sent| *sent == self.sent) {
            in_flight.swap_remove(at);
        }
    }
}
