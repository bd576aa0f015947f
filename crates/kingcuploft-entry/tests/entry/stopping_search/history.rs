//! What callers sent and got and what servers ran in one scenario, with the time since its begin.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use tokio::time::Instant;

use super::requests::RequestPlan;

/// A promise of the route of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Kind {
    /// May be repeated.
    Lookup,
    /// Runs at most once.
    Booking,
}

/// How a run at a server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RunEnd {
    /// With the whole answer.
    Answered,
    /// With the whole answer, which says that the server has failed.
    Failed,
    /// The server closed the connection before the whole answer.
    BrokeOff,
    /// The VM closed the connection before the whole answer.
    Cancelled,
    /// The server refused it and did not run it.
    Refused,
}

/// A request at a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Run {
    pub(super) server: usize,
    pub(super) began_at: Duration,
    pub(super) end: Option<(Duration, RunEnd)>,
}

impl Run {
    /// Returns whether the server was at work on the request at some moment of this time.
    pub(super) fn was_at_work(&self, from: Duration, to: Duration) -> bool {
        let ended_at = self.end.map_or(Duration::MAX, |(at, _)| at);
        self.began_at <= to && ended_at >= from
    }

    /// Returns when the server had sent its whole answer.
    pub(super) fn answered_at(&self) -> Option<Duration> {
        match self.end {
            Some((at, RunEnd::Answered | RunEnd::Failed)) => Some(at),
            _ => None,
        }
    }

    pub(super) fn ended_with(&self, end: RunEnd) -> bool {
        self.end.is_some_and(|(_, known)| known == end)
    }
}

/// A final answer as its caller has read it.
#[derive(Clone, Debug)]
pub(super) struct SeenAnswer {
    pub(super) at: Duration,
    pub(super) status: u16,
    /// Whether it announces the close.
    pub(super) closes: bool,
    /// Whether a server has made it.
    pub(super) is_of_server: bool,
    /// Whether it is of the request to which it belongs by its place, and has the body that the server sent.
    pub(super) is_own: bool,
}

/// A request that a caller has begun to send.
#[derive(Clone, Debug)]
pub(super) struct SentRequest {
    pub(super) connection: usize,
    pub(super) kind: Kind,
    /// Whether its caller waits for `100 Continue` before it sends the body.
    pub(super) expects_continue: bool,
    pub(super) began_at: Duration,
    /// When its last byte was sent.
    pub(super) sent_at: Option<Duration>,
    /// The least of its deadline and of its route's timeout.
    pub(super) allowed: Duration,
    pub(super) runs: Vec<Run>,
    pub(super) answer: Option<SeenAnswer>,
}

/// Who ended a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ConnectionEnd {
    ByVm,
    ByCaller,
}

/// All that was observed in one scenario.
#[derive(Debug)]
pub(super) struct History {
    began_at: Instant,
    /// What the ids of the scenario's requests begin with: a server can get a request of another test, whose server had the same
    /// address before.
    tag: String,
    /// When the VM was asked to stop.
    pub(super) stop_at: Cell<Duration>,
    pub(super) stopping_vm: Cell<usize>,
    /// When the open connections of a VM to the servers were cut.
    pub(super) cut_at: Cell<Option<Duration>>,
    pub(super) requests: RefCell<Vec<SentRequest>>,
    pub(super) connections: RefCell<Vec<Option<(Duration, ConnectionEnd)>>>,
    /// The VMs to which the connections lead.
    pub(super) connection_vms: RefCell<Vec<usize>>,
    /// When the callers that read slowly, by their connections, last waited for bytes.
    pub(super) slow_readers: RefCell<BTreeMap<usize, Duration>>,
    pub(super) events: RefCell<Vec<String>>,
}

impl History {
    pub(super) fn begin(seed: u64) -> Self {
        Self {
            began_at: Instant::now(),
            tag: format!("{}-{seed}-r", std::process::id()),
            stop_at: Cell::default(),
            stopping_vm: Cell::default(),
            cut_at: Cell::default(),
            requests: RefCell::default(),
            connections: RefCell::default(),
            connection_vms: RefCell::default(),
            slow_readers: RefCell::default(),
            events: RefCell::default(),
        }
    }

    /// Returns what names a request in its header.
    pub(super) fn name_of(&self, id: usize) -> String {
        format!("{}{id}", self.tag)
    }

    /// Returns the id of the request with this name, if it is of this scenario.
    pub(super) fn id_of(&self, name: &str) -> Option<usize> {
        name.strip_prefix(&self.tag)?.parse().ok()
    }

    pub(super) fn now(&self) -> Duration {
        self.began_at.elapsed()
    }

    /// Waits until a moment of the scenario.
    pub(super) async fn wait_until(&self, at: Duration) {
        tokio::time::sleep_until(self.began_at + at).await;
    }

    pub(super) fn note(&self, event: String) {
        let at = self.now();
        self.events.borrow_mut().push(format!("{at:?} {event}"));
    }

    pub(super) fn open_connection(&self, vm: usize) -> usize {
        self.connection_vms.borrow_mut().push(vm);
        let mut connections = self.connections.borrow_mut();
        connections.push(None);
        connections.len() - 1
    }

    pub(super) fn end_connection(&self, connection: usize, end: ConnectionEnd) {
        let at = self.now();
        self.connections.borrow_mut()[connection].get_or_insert((at, end));
    }

    /// Records that a caller begins to send a request; returns its id.
    pub(super) fn begin_request(&self, connection: usize, plan: &RequestPlan) -> usize {
        let mut requests = self.requests.borrow_mut();
        requests.push(SentRequest {
            connection,
            kind: plan.kind(),
            expects_continue: plan.expects_continue(),
            began_at: self.now(),
            sent_at: None,
            allowed: plan.allowed(),
            runs: Vec::new(),
            answer: None,
        });
        requests.len() - 1
    }

    pub(super) fn finish_request(&self, id: usize) {
        self.requests.borrow_mut()[id].sent_at = Some(self.now());
    }

    /// Records that a request has arrived at a server; returns the number of its run.
    pub(super) fn begin_run(&self, id: usize, server: usize) -> usize {
        let began_at = self.now();
        let runs = &mut self.requests.borrow_mut()[id].runs;
        runs.push(Run {
            server,
            began_at,
            end: None,
        });
        runs.len() - 1
    }

    pub(super) fn end_run(&self, id: usize, run: usize, end: RunEnd) {
        let at = self.now();
        self.requests.borrow_mut()[id].runs[run].end = Some((at, end));
    }

    /// Returns the lines that tell of a connection, with times since the stop, in milliseconds.
    pub(super) fn describe(&self, connection: usize) -> String {
        let stop = self.stop_at.get().as_secs_f64();
        let ms = |at: Duration| (1e3 * (at.as_secs_f64() - stop)).round();
        let mut text = String::new();
        for (id, r) in self.requests.borrow().iter().enumerate() {
            if r.connection != connection {
                continue;
            }
            let _ = write!(text, "  r{id} {:?} {}..", r.kind, ms(r.began_at));
            let _ = match r.sent_at {
                Some(at) => write!(text, "{}", ms(at)),
                None => write!(text, "unfinished"),
            };
            if r.expects_continue {
                text += " expects 100";
            }
            let _ = write!(text, " allowed {:?};", r.allowed);
            for run in &r.runs {
                let end = run.end.map(|(at, end)| (ms(at), end));
                let _ = write!(text, " s{} {} {end:?};", run.server, ms(run.began_at));
            }
            let _ = match &r.answer {
                Some(a) => writeln!(text, " {} at {} closes {}", a.status, ms(a.at), a.closes),
                None => writeln!(text, " no answer"),
            };
        }
        let vm = self.connection_vms.borrow()[connection];
        let end = self.connections.borrow()[connection].map(|(at, end)| (ms(at), end));
        let _ = writeln!(text, "  connection {connection} to vm {vm} ended: {end:?}");
        text
    }
}
