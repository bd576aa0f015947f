//! Placement: which backend server a request is sent to, when, and whether it is refused.
//!
//! Load pattern: a quarter of the backend servers work five times slower than usual, another quarter every 150 ms;
//! servers have two or four slots and are shared by all VMs. Selection by the load reported in replies, which is
//! seconds old, sends every fourth request to a slow server. Load reports of the last tens of milliseconds avoid nearly
//! all of them.
//!
//! The servers of the own availability zone are probed first, as that costs a tenth of a millisecond and no bytes
//! between zones; the others only when no near server is good. A request for which all servers are slow or full waits
//! some milliseconds and repeats the selection, as long as a good server can still answer in time: that is the queue,
//! and its length is bounded by the time left.
//!
//! A request that can't be answered in time any more takes a free slot, or is refused at once if there is none. It does
//! not queue at a server: under overload it would make all requests behind it late as well.

#![expect(
    clippy::indexing_slicing,
    reason = "candidates are chosen by their own positions"
)]

use std::time::Duration;

/// A backend server's answer to a probe.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait in its queue.
    pub waiting: u32,
    /// How many requests it runs at once.
    pub slots: u32,
    /// How long work takes there now, as a multiple of the usual time.
    pub slowness: f64,
}

impl LoadReport {
    /// Returns how many requests the server has, with so many that were sent since its report; figures beyond counting count
    /// as the most that can be counted.
    pub fn requests_with(&self, sent_since: u32) -> u32 {
        let reported = self.running.saturating_add(self.waiting);
        reported.saturating_add(sent_since)
    }
}

/// A backend server as a candidate for one request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Whether it is in the own availability zone.
    pub near: bool,
    /// The last load report, if it is recent enough for a decision.
    pub load_report: Option<LoadReport>,
    /// Whether a probe is in flight.
    pub probe_pending: bool,
    /// Requests of this VM sent there since the load report.
    pub sent_since_report: u32,
    /// Requests of this VM in flight there.
    pub own_in_flight: u32,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it is cold: it started moments ago and is therefore slow.
    pub cold: bool,
    /// The share of recent calls that failed.
    pub failure_rate: f64,
    /// Whether this request was already sent there.
    pub tried: bool,
}

/// The slot that a request takes at a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Slot {
    /// One of several free slots.
    Spare,
    /// One of the last free slots.
    Last,
    /// All slots are taken: the request waits in the server's queue.
    Queued,
}

/// What a request needs, and the state of this VM that its placement depends on.
#[derive(Clone, Copy, Debug)]
pub struct PlacementNeed {
    /// The service time on a server of usual speed, in milliseconds.
    pub work_ms: f64,
    /// The time left until the route's target, in milliseconds; negative if it has passed.
    pub target_left_ms: f64,
    /// The time left until the caller's deadline, in milliseconds.
    pub deadline_left_ms: f64,
    /// How long this selection has waited for load reports beyond the time that they usually take to arrive at this VM, in
    /// milliseconds.
    pub probe_wait_ms: f64,
    /// Which servers were probed.
    pub scope: ProbeScope,
    /// The slowdown of work that takes the last slot of a server.
    pub last_slot_slowdown: f64,
    /// The fraction of the probe budget that is left, from 0 to 1.
    pub probe_budget_left: f64,
    /// Whether its caller retries after an earlier attempt.
    pub is_caller_retry: bool,
}

/// Which servers are probed for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeScope {
    /// Those of the own zone.
    Near,
    /// A few of the other zones as well: no near server is good.
    FewFar,
    /// As many of the other zones as are probed at all: none of the others is suitable.
    Far,
}

/// What to do next with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// Send it to this candidate.
    Send(usize),
    /// Wait for the load reports of the probes in flight.
    AwaitReports,
    /// Probe more servers.
    Probe(ProbeScope),
    /// All servers are slow or full: repeat the selection after this time.
    Recheck(Duration),
    /// No server can answer in time. The caller may retry after this time.
    Refuse(Duration),
}

/// Minimum retry delay of a refused caller: server speeds have changed by then, and most pauses after a failed probe
/// are over.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Maximum retry delay: load reports are some milliseconds old, and say nothing about the next seconds.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// How long a near server's load report is awaited: its round trip takes 0.2 ms.
const NEAR_REPORT_TIMEOUT_MS: f64 = 2.0;

/// How long a far server's load report is awaited: its round trip takes 2 ms.
const FAR_REPORT_TIMEOUT_MS: f64 = 6.0;

/// A server is good if the answer is expected within this multiple of the service time on an idle server of usual
/// speed: a server that is a little slower still counts, one of the slow quarter does not.
pub const GOOD_MULTIPLE: f64 = 1.45;

/// The pause before the selection is repeated: a sixth of the time between two changes of the server speeds.
const RECHECK_DELAY: Duration = Duration::from_millis(20);

/// Safety margin on expected times: work varies by a third around its mean, and most requests take less than this
/// multiple of it.
pub const WORK_MARGIN: f64 = 1.25;

/// Fraction of the probe budget that must be left to probe servers of other zones only because the near ones have no
/// more than their last slots left: less means overload, where those probes don't find an idle server either and are
/// then missing for requests without any server.
const MIN_PROBE_BUDGET_LEFT: f64 = 0.5;

/// The slots beyond this fraction of a server's slots count as its last ones.
const LAST_SLOTS_FROM: f64 = 0.8;

/// Slowdown of a cold server: work takes about twice as long just after the start.
const COLD_SLOWDOWN: f64 = 1.6;

/// Cost of a failure, as a multiple of the service time: the request has to start over on another server.
const FAILURE_COST: f64 = 5.0;

/// Assumed mean slowness of the servers behind whose queues requests wait.
const MEAN_SLOWNESS: f64 = 1.6;

/// Round trip to another zone, in milliseconds.
const FAR_ROUND_TRIP_MS: f64 = 2.0;

impl Candidate {
    /// Returns how long until an answer is expected, in milliseconds, if work takes `last_slot` times as long in a last
    /// slot.
    pub fn expected_ms(&self, work_ms: f64, last_slot: f64) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let busy = self.busy();
        let slowness = self.load_report.map_or(MEAN_SLOWNESS, |r| r.slowness);
        let last_slot = match self.slot() {
            Slot::Last | Slot::Queued => last_slot,
            Slot::Spare => 1.0,
        };
        let cold = match self.cold {
            true => COLD_SLOWDOWN,
            false => 1.0,
        };
        let wait_ms = queue_wait_ms(busy, slots, work_ms * slowness);
        let distance_ms = match self.near {
            true => 0.0,
            false => FAR_ROUND_TRIP_MS,
        };
        let run_ms = work_ms * slowness * last_slot * cold;
        (run_ms + wait_ms) * (1.0 + FAILURE_COST * self.failure_rate) + distance_ms
    }

    /// Returns which slot a request takes that is sent now.
    pub fn slot(&self) -> Slot {
        let (busy, slots) = (self.busy(), f64::from(self.slots.max(1)));
        match busy + 1.0 {
            after if after > slots => Slot::Queued,
            // A server with a single slot has no other.
            after if busy >= 1.0 && after > LAST_SLOTS_FROM * slots => Slot::Last,
            _ => Slot::Spare,
        }
    }

    /// Returns how many requests the server has, or an estimate without a load report.
    fn busy(&self) -> f64 {
        match self.load_report {
            Some(report) => f64::from(report.requests_with(self.sent_since_report)),
            None => f64::from(self.own_in_flight) + f64::from(self.slots.max(1)) / 2.0,
        }
    }

    /// Returns how long a request that is sent now waits until it runs, in milliseconds.
    fn wait_ms(&self, report: &LoadReport, work_ms: f64) -> f64 {
        let slots = f64::from(report.slots.max(1));
        let busy = f64::from(report.requests_with(self.sent_since_report));
        queue_wait_ms(busy, slots, work_ms * report.slowness)
    }

    /// Returns whether the server works at about its usual speed. Requests that are late in any case must not take
    /// slots of slow servers: these are needed when the server turns fast a tenth of a second later.
    fn is_usually_fast(&self) -> bool {
        self.load_report
            .is_some_and(|r| r.slowness <= MEAN_SLOWNESS)
    }

    fn is_full(&self) -> bool {
        let report = self.load_report;
        report.is_some_and(|r| r.requests_with(self.sent_since_report) >= r.slots.max(1))
    }
}

/// Returns how long a request waits for a slot behind `busy` others that take `run_ms` each.
fn queue_wait_ms(busy: f64, slots: f64, run_ms: f64) -> f64 {
    let ahead = (busy + 1.0 - slots).max(0.0) / slots;
    ahead * run_ms
}

/// Decides what to do next with a request. `chance` breaks ties, so that the VMs do not all choose the same one of
/// several equal servers.
pub fn place(
    need: &PlacementNeed,
    candidates: &[Candidate],
    mut chance: impl FnMut() -> f64,
) -> Step {
    let candidates = &with_excess_failures(candidates);
    let best = best(need, candidates, &mut chance);
    if let Some((at, expected_ms)) = best
        && candidates[at].load_report.is_some()
        && expected_ms <= good_multiple(need) * need.work_ms
        && (expected_ms <= need.target_left_ms || may_take_when_late(need, &candidates[at]))
    {
        return Step::Send(at);
    }
    let near_pending = candidates.iter().any(|c| c.near && c.probe_pending);
    let far_pending = candidates.iter().any(|c| !c.near && c.probe_pending);
    let report_timeout_ms = match need.scope {
        ProbeScope::Near => NEAR_REPORT_TIMEOUT_MS,
        ProbeScope::FewFar | ProbeScope::Far => FAR_REPORT_TIMEOUT_MS,
    };
    let is_pending = near_pending || far_pending && need.scope != ProbeScope::Near;
    if is_pending && need.probe_wait_ms < report_timeout_ms {
        return Step::AwaitReports;
    }
    let one_is_acceptable = best.is_some_and(|best| is_acceptable(need, candidates, best));
    match need.scope {
        ProbeScope::Near => Step::Probe(ProbeScope::FewFar),
        ProbeScope::FewFar if !one_is_acceptable => Step::Probe(ProbeScope::Far),
        ProbeScope::FewFar | ProbeScope::Far => decide_without_good_server(need, candidates, best),
    }
}

/// Returns whether this server has a slot for the request and answers in time, though another one may be better.
fn is_acceptable(
    need: &PlacementNeed,
    candidates: &[Candidate],
    (at, expected_ms): (usize, f64),
) -> bool {
    let known = candidates[at].load_report.is_some() && !candidates[at].is_full();
    known && expected_ms * WORK_MARGIN <= need.target_left_ms
}

/// Returns within which multiple of the service time a server must be expected to answer to be chosen without probing
/// more servers.
fn good_multiple(need: &PlacementNeed) -> f64 {
    match need.probe_budget_left >= MIN_PROBE_BUDGET_LEFT {
        true => GOOD_MULTIPLE,
        false => GOOD_MULTIPLE.max(need.last_slot_slowdown + GOOD_MULTIPLE - 1.0),
    }
}

/// Returns the candidates with their failure rates in excess of the lowest one.
///
/// Load pattern: all servers of a service shed half of their requests. Failure rates serve to prefer other servers; if
/// all fail alike, a request that waits for a better one would wait until its time is over, and be refused without an
/// attempt.
fn with_excess_failures(candidates: &[Candidate]) -> Vec<Candidate> {
    let untried = candidates.iter().filter(|c| !c.tried);
    let least = untried.map(|c| c.failure_rate).fold(1.0, f64::min);
    let beside = candidates.iter().map(|c| Candidate {
        failure_rate: (c.failure_rate - least).max(0.0),
        ..*c
    });
    beside.collect()
}

/// Decides when no server is good and no more load reports are awaited.
fn decide_without_good_server(
    need: &PlacementNeed,
    candidates: &[Candidate],
    best: Option<(usize, f64)>,
) -> Step {
    let usual_ms = need.work_ms * WORK_MARGIN;
    let recheck_ms = RECHECK_DELAY.as_secs_f64() * 1000.0;
    let Some((at, expected_ms)) = best else {
        return match need.deadline_left_ms > usual_ms + recheck_ms {
            true => Step::Recheck(RECHECK_DELAY),
            false => Step::Refuse(retry_delay(need, candidates)),
        };
    };
    let in_time = expected_ms * WORK_MARGIN <= need.target_left_ms;
    if in_time && !candidates[at].is_full() {
        return Step::Send(at);
    }
    if need.target_left_ms > usual_ms + recheck_ms {
        return Step::Recheck(RECHECK_DELAY);
    }
    let taken = match candidates[at].is_full() || !may_take_when_late(need, &candidates[at]) {
        true => best_of(need, candidates, |c| {
            !c.is_full() && c.is_usually_fast() && may_take_when_late(need, c)
        }),
        false => Some((at, expected_ms)),
    };
    match taken {
        Some((at, expected_ms)) if expected_ms <= need.deadline_left_ms => Step::Send(at),
        Some(_) if need.deadline_left_ms > usual_ms + recheck_ms => Step::Recheck(RECHECK_DELAY),
        Some(_) | None => Step::Refuse(retry_delay(need, candidates)),
    }
}

/// Returns whether a request that is late in any case may take a slot of this server.
///
/// Load pattern: an overload in which refused callers retry and are late before they begin. In it they leave last slots
/// to requests that can still be answered in time.
fn may_take_when_late(need: &PlacementNeed, candidate: &Candidate) -> bool {
    need.probe_budget_left >= MIN_PROBE_BUDGET_LEFT
        || !need.is_caller_retry
        || candidate.slot() == Slot::Spare
}

/// Returns the best of the untried servers that satisfy a condition, and its expected time.
fn best_of(
    need: &PlacementNeed,
    candidates: &[Candidate],
    is_like: impl Fn(&Candidate) -> bool,
) -> Option<(usize, f64)> {
    let all = candidates.iter().enumerate();
    let like = all.filter(|(_, candidate)| !candidate.tried && is_like(candidate));
    let expected = like.map(|(i, c)| (i, c.expected_ms(need.work_ms, need.last_slot_slowdown)));
    expected.min_by(|a, b| a.1.total_cmp(&b.1))
}

/// Returns the retry delay: when a slot is likely to be free at the server with the shortest queue.
fn retry_delay(need: &PlacementNeed, candidates: &[Candidate]) -> Duration {
    let with_report = candidates.iter().filter_map(|c| Some((c, c.load_report?)));
    let waits = with_report.map(|(c, report)| c.wait_ms(&report, need.work_ms));
    match waits.min_by(f64::total_cmp) {
        Some(wait_ms) => Duration::try_from_secs_f64(wait_ms / 1000.0)
            .unwrap_or(MAX_RETRY_DELAY)
            .clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY),
        None => MIN_RETRY_DELAY,
    }
}

fn best(
    need: &PlacementNeed,
    candidates: &[Candidate],
    chance: &mut impl FnMut() -> f64,
) -> Option<(usize, f64)> {
    let untried = candidates.iter().enumerate().filter(|(_, c)| !c.tried);
    let costs = untried.map(|(i, candidate)| {
        let expected_ms = candidate.expected_ms(need.work_ms, need.last_slot_slowdown);
        (i, expected_ms, expected_ms + chance())
    });
    let best = costs.min_by(|a, b| a.2.total_cmp(&b.2));
    best.map(|(i, expected_ms, _)| (i, expected_ms))
}
