//! What a VM keeps of a server that it uses: connections, load reports, probes, and requests in flight.
//!
//! Load pattern: ten thousand servers are known to each VM, and a small VM uses a dozen of them. What is kept of those in
//! use is several times as large as an entry, so it is made when a server is first used.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use kingcuploft::entry::failure_rate::FailureRate;
use kingcuploft::entry::placement::LoadReport;

use crate::http::client::Connection;

/// From when and until when a server must report whether it is cold before it gets work.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdReportRequired {
    pub(super) from: Instant,
    pub(super) until: Instant,
}

/// The state of a server that is in use.
#[derive(Debug, Default)]
pub(super) struct Usage {
    pub(super) cold_report_required: Cell<Option<ColdReportRequired>>,
    pub(super) idle_connections: RefCell<Vec<Connection>>,
    pub(super) open_connections: Rc<Cell<usize>>,
    pub(super) last_load_report: Cell<Option<(Instant, LoadReport)>>,
    pub(super) probe_in_flight: Cell<bool>,
    pub(super) awaits_late_answer: Cell<bool>,
    pub(super) probe_backoff: Cell<Option<(Instant, Duration)>>,
    pub(super) in_flight: RefCell<Vec<Instant>>,
    pub(super) peer_sends: RefCell<Vec<Instant>>,
    pub(super) failures: RefCell<FailureRate>,
    pub(super) running_suspects: Cell<u32>,
}
