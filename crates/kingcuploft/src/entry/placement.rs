//! Where a request goes, when, and when it is refused.
//!
//! Load pattern: a quarter of the backend servers work five times slower than usual, another quarter
//! every 150 ms; servers have two or four slots and are shared by all VMs. A choice by replies, which
//! are seconds old, sends every fourth request to a slow server. Readings taken within some tens of
//! milliseconds avoid nearly all of them.
//!
//! The servers of the own availability zone are asked first, as that costs a tenth of a millisecond
//! and no bytes between zones; the others only when none of the near ones is good. A request for
//! which all servers are slow or full waits some milliseconds and looks again, as long as a good
//! server can still answer in time: that is the queue, and its length is the time left.
//!
//! A request that can't be in time any more takes a free slot, and is refused at once where there is
//! none. It joins no server's line: under overload all those behind it would be late as well.

use std::time::Duration;

/// What a backend server said of its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests it works on.
    pub running: u32,
    /// Requests that wait at it.
    pub waiting: u32,
    /// How many it works on at once.
    pub slots: u32,
    /// How long work takes there now, 1 is usual.
    pub slowness: f64,
}

/// One backend server as a request sees it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Whether it is in the own availability zone.
    pub near: bool,
    /// The last reading, if it is young enough to choose by.
    pub load_report: Option<LoadReport>,
    /// Whether a reading was asked for and has not come.
    pub probe_pending: bool,
    /// Own requests sent there since the reading was taken.
    pub sent_since_report: u32,
    /// Own requests in flight there.
    pub own_in_flight: u32,
    /// How many requests it works on at once.
    pub slots: u32,
    /// Whether it started moments ago and is slow for it.
    pub cold: bool,
    /// The share of recent calls that failed.
    pub failure_rate: f64,
    /// Whether this request was already sent there.
    pub tried: bool,
}

/// The slot that a request takes at a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Slot {
    /// One of several.
    Spare,
    /// One of the last.
    Last,
    /// All are taken: the request waits in the server's line.
    Queued,
}

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct PlacementNeed {
    /// The work on a server of usual speed, in milliseconds.
    pub work_ms: f64,
    /// The time left until the answer is worth less, in milliseconds; negative if that is over.
    pub target_left_ms: f64,
    /// The time left until nobody waits for the answer, in milliseconds.
    pub deadline_left_ms: f64,
    /// How long readings have been waited for in this look, in milliseconds.
    pub probe_wait_ms: f64,
    /// Which servers were asked.
    pub scope: ProbeScope,
    /// How many times longer work takes on a server whose last slot it takes.
    pub last_slot_slowdown: f64,
    /// Which part of the probe budget is there to be used, from 0 to 1.
    pub probe_budget_left: f64,
    /// Whether its caller comes back after an earlier attempt.
    pub is_caller_retry: bool,
}

/// Which servers are asked for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeScope {
    /// Those of the own zone.
    Near,
    /// A few of the other zones as well: no near server is good.
    FewFar,
    /// As many of the other zones as are asked at all: none of these will do.
    Far,
}

/// What to do next with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// Send it to this candidate.
    Send(usize),
    /// Wait for the readings asked for.
    AwaitReports,
    /// Ask more servers.
    Probe(ProbeScope),
    /// All are slow or full: look again after this time.
    Recheck(Duration),
    /// No server can answer in time. The caller may come back after this time.
    Refuse(Duration),
}

/// The soonest that a refused caller comes back: speeds have been redrawn by then, and most pauses after
/// a failed probe are over.
const COME_BACK_SOONEST: Duration = Duration::from_millis(250);

/// The latest: readings are some milliseconds old, and say nothing of the next seconds.
const COME_BACK_LATEST: Duration = Duration::from_secs(2);

/// How long a near server's reading is waited for: its round trip is 0.2 ms.
const NEAR_PATIENCE_MS: f64 = 2.0;

/// How long a far server's reading is waited for: its round trip is 2 ms.
const FAR_PATIENCE_MS: f64 = 6.0;

/// A server is good if the answer is expected within this multiple of the work on an idle server of
/// usual speed: a speed redrawn to "a little slower" still counts, one of the slow quarter does not.
const GOOD: f64 = 1.45;

/// The pause before looking again: a sixth of the time between two draws of the speeds.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// Work varies by a third around its mean; this multiple of the expected time is met by most.
pub const WORK_MARGIN: f64 = 1.25;

/// The part of the probe budget that must be there to ask the servers of other zones only because the
/// near ones have but their last slots left: less means overload, where those probes find no idle
/// server either and are missed by requests that have none at all.
const CALM: f64 = 0.5;

/// A server of which more than this part of the slots is taken gives its last ones.
const LAST_OF: f64 = 0.8;

/// Work on a server that has just started takes about twice as long.
const COLD: f64 = 1.6;

/// What a failure costs, as a multiple of the work: the request has to start over elsewhere.
const FAILURE: f64 = 5.0;

/// Requests queued behind others finish behind servers of mixed speed; this is their mean slowness.
const MEAN_SLOWNESS: f64 = 1.6;

/// The way to another zone and back, in milliseconds.
const FAR_MS: f64 = 2.0;

impl Candidate {
    /// Returns when an answer is expected, in milliseconds, to work that takes `last_slot` times as long
    /// where it takes the last slot.
    pub fn expected_ms(&self, work_ms: f64, last_slot: f64) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let busy = self.busy();
        let slowness = self.load_report.map_or(MEAN_SLOWNESS, |r| r.slowness);
        let last_slot = match self.slot() {
            Slot::Last | Slot::Queued => last_slot,
            Slot::Spare => 1.0,
        };
        let cold = match self.cold {
            true => COLD,
            false => 1.0,
        };
        let wait_ms = line_ms(busy, slots, work_ms * slowness);
        let distance_ms = match self.near {
            true => 0.0,
            false => FAR_MS,
        };
        let run_ms = work_ms * slowness * last_slot * cold;
        (run_ms + wait_ms) * (1.0 + FAILURE * self.failure_rate) + distance_ms
    }

    /// Returns which slot a request takes that is sent now.
    pub fn slot(&self) -> Slot {
        let (busy, slots) = (self.busy(), f64::from(self.slots.max(1)));
        match busy + 1.0 {
            after if after > slots => Slot::Queued,
            // A server of one slot has no other.
            after if busy >= 1.0 && after > LAST_OF * slots => Slot::Last,
            _ => Slot::Spare,
        }
    }

    /// Returns how many requests the server has, or may have where it has not said.
    fn busy(&self) -> f64 {
        match self.load_report {
            Some(reading) => f64::from(reading.running + reading.waiting + self.sent_since_report),
            None => f64::from(self.own_in_flight) + f64::from(self.slots.max(1)) / 2.0,
        }
    }

    /// Returns when a request that is sent now would begin to run, in milliseconds.
    fn wait_ms(&self, reading: &LoadReport, work_ms: f64) -> f64 {
        let slots = f64::from(reading.slots.max(1));
        let busy = f64::from(reading.running + reading.waiting + self.sent_since_report);
        line_ms(busy, slots, work_ms * reading.slowness)
    }

    /// Returns whether it works at its usual speed, or nearly so. A slot of a slow server that is taken by a
    /// request which is late in any case is missed when the server turns fast, a tenth of a second later.
    fn is_usually_fast(&self) -> bool {
        self.load_report
            .is_some_and(|r| r.slowness <= MEAN_SLOWNESS)
    }

    fn is_full(&self) -> bool {
        let reading = self.load_report;
        reading.is_some_and(|r| r.running + r.waiting + self.sent_since_report >= r.slots.max(1))
    }
}

/// Returns how long a request waits for a slot behind `busy` others that take `run_ms` each.
fn line_ms(busy: f64, slots: f64, run_ms: f64) -> f64 {
    let ahead = (busy + 1.0 - slots).max(0.0) / slots;
    ahead * run_ms
}

/// Says what to do next with a request. `chance` breaks ties, so that the VMs do not all choose the
/// same of several equal servers.
pub fn place(
    need: &PlacementNeed,
    candidates: &[Candidate],
    mut chance: impl FnMut() -> f64,
) -> Step {
    let candidates = &beside_the_best(candidates);
    let best = best(need, candidates, &mut chance);
    if let Some((at, expected_ms)) = best
        && candidates[at].load_report.is_some()
        && expected_ms <= good(need) * need.work_ms
        && (expected_ms <= need.target_left_ms || late_may_take(need, &candidates[at]))
    {
        return Step::Send(at);
    }
    let near_open = candidates.iter().any(|c| c.near && c.probe_pending);
    let far_open = candidates.iter().any(|c| !c.near && c.probe_pending);
    let patience_ms = match need.scope {
        ProbeScope::Near => NEAR_PATIENCE_MS,
        ProbeScope::FewFar | ProbeScope::Far => FAR_PATIENCE_MS,
    };
    let open = near_open || far_open && need.scope != ProbeScope::Near;
    if open && need.probe_wait_ms < patience_ms {
        return Step::AwaitReports;
    }
    let one_will_do = best.is_some_and(|best| will_do(need, candidates, best));
    match need.scope {
        ProbeScope::Near => Step::Probe(ProbeScope::FewFar),
        ProbeScope::FewFar if !one_will_do => Step::Probe(ProbeScope::Far),
        ProbeScope::FewFar | ProbeScope::Far => settle(need, candidates, best),
    }
}

/// Returns whether this server has a slot for the request and answers in time, though another may be better.
fn will_do(
    need: &PlacementNeed,
    candidates: &[Candidate],
    (at, expected_ms): (usize, f64),
) -> bool {
    let known = candidates[at].load_report.is_some() && !candidates[at].is_full();
    known && expected_ms * WORK_MARGIN <= need.target_left_ms
}

/// Returns within which multiple of the work an answer must be expected of a server that is taken without
/// asking more of them.
fn good(need: &PlacementNeed) -> f64 {
    match need.probe_budget_left >= CALM {
        true => GOOD,
        false => GOOD.max(need.last_slot_slowdown + GOOD - 1.0),
    }
}

/// Returns the candidates with only that part of their failures which the best of them does not share.
///
/// Load pattern: all servers of a service shed half of what they get. Failures are there to choose another
/// server by; where all fail alike, a request that waited for a better one would wait until its time is
/// over, and be refused untried.
fn beside_the_best(candidates: &[Candidate]) -> Vec<Candidate> {
    let untried = candidates.iter().filter(|c| !c.tried);
    let least = untried.map(|c| c.failure_rate).fold(1.0, f64::min);
    let beside = candidates.iter().map(|c| Candidate {
        failure_rate: (c.failure_rate - least).max(0.0),
        ..*c
    });
    beside.collect()
}

/// Decides when no server is good and no more readings are to come.
fn settle(need: &PlacementNeed, candidates: &[Candidate], best: Option<(usize, f64)>) -> Step {
    let usual_ms = need.work_ms * WORK_MARGIN;
    let again_ms = LOOK_AGAIN.as_secs_f64() * 1000.0;
    let Some((at, expected_ms)) = best else {
        return match need.deadline_left_ms > usual_ms + again_ms {
            true => Step::Recheck(LOOK_AGAIN),
            false => Step::Refuse(come_back(need, candidates)),
        };
    };
    let in_time = expected_ms * WORK_MARGIN <= need.target_left_ms;
    if in_time && !candidates[at].is_full() {
        return Step::Send(at);
    }
    if need.target_left_ms > usual_ms + again_ms {
        return Step::Recheck(LOOK_AGAIN);
    }
    let taken = match candidates[at].is_full() || !late_may_take(need, &candidates[at]) {
        true => best_of(need, candidates, |c| {
            !c.is_full() && c.is_usually_fast() && late_may_take(need, c)
        }),
        false => Some((at, expected_ms)),
    };
    match taken {
        Some((at, expected_ms)) if expected_ms <= need.deadline_left_ms => Step::Send(at),
        Some(_) if need.deadline_left_ms > usual_ms + again_ms => Step::Recheck(LOOK_AGAIN),
        Some(_) | None => Step::Refuse(come_back(need, candidates)),
    }
}

/// Returns whether a request that is late in any case may take a slot of this server.
///
/// Load pattern: an overload, in which refused callers come back and are late before they begin. Under it they leave last
/// slots to those that can still be in time.
fn late_may_take(need: &PlacementNeed, candidate: &Candidate) -> bool {
    need.probe_budget_left >= CALM || !need.is_caller_retry || candidate.slot() == Slot::Spare
}

/// Returns the best of the untried servers that are like this, and when its answer is expected.
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

/// Returns when a slot is likely to be free: at the server whose line ends first.
fn come_back(need: &PlacementNeed, candidates: &[Candidate]) -> Duration {
    let told = candidates.iter().filter_map(|c| Some((c, c.load_report?)));
    let waits = told.map(|(c, reading)| c.wait_ms(&reading, need.work_ms));
    match waits.min_by(f64::total_cmp) {
        Some(wait_ms) => Duration::try_from_secs_f64(wait_ms / 1000.0)
            .unwrap_or(COME_BACK_LATEST)
            .clamp(COME_BACK_SOONEST, COME_BACK_LATEST),
        None => COME_BACK_SOONEST,
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
