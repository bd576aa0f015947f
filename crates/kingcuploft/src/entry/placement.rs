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
//! server can still answer in time: that is the queue, and its length is the time left. A request
//! that no server can answer before its deadline is refused at once.

use std::time::Duration;

/// What a backend server said of its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
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
    pub reading: Option<Reading>,
    /// Whether a reading was asked for and has not come.
    pub asked: bool,
    /// Own requests sent there since the reading was taken.
    pub unseen: u32,
    /// Own requests in flight there.
    pub own: u32,
    /// How many requests it works on at once.
    pub slots: u32,
    /// Whether it started moments ago and is slow for it.
    pub cold: bool,
    /// The share of recent calls that failed.
    pub failures: f64,
    /// Whether this request was already sent there.
    pub tried: bool,
}

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// The work on a server of usual speed, in milliseconds.
    pub work_ms: f64,
    /// The time left until the answer is worth less, in milliseconds; negative if that is over.
    pub target_left_ms: f64,
    /// The time left until nobody waits for the answer, in milliseconds.
    pub deadline_left_ms: f64,
    /// How long readings have been waited for in this look, in milliseconds.
    pub looked_ms: f64,
    /// Whether more than the nearest servers were asked.
    pub far_asked: bool,
}

/// What to do next with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// Send it to this candidate.
    Send(usize),
    /// Wait for the readings asked for.
    Await,
    /// Ask more servers, those of the other zones among them.
    AskFar,
    /// All are slow or full: look again after this time.
    LookAgain(Duration),
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
const MARGIN: f64 = 1.25;

/// How many times longer work takes on a server whose last slot it takes, by measurement: 1.7 at one
/// of the sites, none at the other.
const LAST_SLOT: f64 = 1.35;

/// Work on a server that has just started takes about twice as long.
const COLD: f64 = 1.6;

/// What a failure costs, as a multiple of the work: the request has to start over elsewhere.
const FAILURE: f64 = 5.0;

/// Requests queued behind others finish behind servers of mixed speed; this is their mean slowness.
const MEAN_SLOWNESS: f64 = 1.6;

/// The way to another zone and back, in milliseconds.
const FAR_MS: f64 = 2.0;

/// How many servers are asked at first: one in four is slow at any moment, and among six there is
/// nearly always one that is fast and free.
const MOST_ASKED_FIRST: usize = 6;

/// How many servers are asked in all where none of the first is good: all of a service of today, and
/// a bounded number of one with hundreds.
const MOST_ASKED: usize = 16;

/// How many servers are asked, of the own zone and of the others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Asked {
    /// Of the own zone.
    pub near: usize,
    /// Of the other zones.
    pub far: usize,
}

/// Returns how many of these servers are asked, at first and when none of the first was good.
///
/// Load pattern: callers move to one zone, whose servers are all full while those of the other zones
/// have room. A zone with more servers than are asked in all must not keep its requests to itself.
pub fn asked(near: usize, far: usize, more: bool) -> Asked {
    let near = near.min(MOST_ASKED_FIRST);
    let most_far = match (more, near) {
        (true, _) => MOST_ASKED - near,
        (false, 0) => MOST_ASKED_FIRST,
        (false, _) => 0,
    };
    Asked {
        near,
        far: far.min(most_far),
    }
}

impl Candidate {
    /// Returns when an answer is expected, in milliseconds.
    pub fn expected_ms(&self, work_ms: f64) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let busy = match self.reading {
            Some(reading) => f64::from(reading.running + reading.waiting + self.unseen),
            None => f64::from(self.own) + slots / 2.0,
        };
        let slowness = self.reading.map_or(MEAN_SLOWNESS, |r| r.slowness);
        let last_slot = match busy + 1.0 > 0.8 * slots {
            true => LAST_SLOT,
            false => 1.0,
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
        (run_ms + wait_ms) * (1.0 + FAILURE * self.failures) + distance_ms
    }

    /// Returns when a request that is sent now would begin to run, in milliseconds.
    fn wait_ms(&self, reading: &Reading, work_ms: f64) -> f64 {
        let slots = f64::from(reading.slots.max(1));
        let busy = f64::from(reading.running + reading.waiting + self.unseen);
        line_ms(busy, slots, work_ms * reading.slowness)
    }

    fn is_full(&self) -> bool {
        let reading = self.reading;
        reading.is_some_and(|r| r.running + r.waiting + self.unseen >= r.slots.max(1))
    }
}

/// Returns how long a request waits for a slot behind `busy` others that take `run_ms` each.
fn line_ms(busy: f64, slots: f64, run_ms: f64) -> f64 {
    let ahead = (busy + 1.0 - slots).max(0.0) / slots;
    ahead * run_ms
}

/// Says what to do next with a request. `chance` breaks ties, so that the VMs do not all choose the
/// same of several equal servers.
pub fn place(need: &Need, candidates: &[Candidate], mut chance: impl FnMut() -> f64) -> Step {
    let candidates = &beside_the_best(candidates);
    let best = best(need, candidates, &mut chance);
    if let Some((at, expected_ms)) = best
        && candidates[at].reading.is_some()
        && expected_ms <= GOOD * need.work_ms
    {
        return Step::Send(at);
    }
    let near_open = candidates.iter().any(|c| c.near && c.asked);
    let far_open = candidates.iter().any(|c| !c.near && c.asked);
    if !need.far_asked {
        return match near_open && need.looked_ms < NEAR_PATIENCE_MS {
            true => Step::Await,
            false => Step::AskFar,
        };
    }
    if (near_open || far_open) && need.looked_ms < FAR_PATIENCE_MS {
        return Step::Await;
    }
    settle(need, candidates, best)
}

/// Returns the candidates with only that part of their failures which the best of them does not share.
///
/// Load pattern: all servers of a service shed half of what they get. Failures are there to choose another
/// server by; where all fail alike, a request that waited for a better one would wait until its time is
/// over, and be refused untried.
fn beside_the_best(candidates: &[Candidate]) -> Vec<Candidate> {
    let untried = candidates.iter().filter(|c| !c.tried);
    let least = untried.map(|c| c.failures).fold(1.0, f64::min);
    let beside = candidates.iter().map(|c| Candidate {
        failures: (c.failures - least).max(0.0),
        ..*c
    });
    beside.collect()
}

/// Decides when no server is good and no more readings are to come.
fn settle(need: &Need, candidates: &[Candidate], best: Option<(usize, f64)>) -> Step {
    let usual_ms = need.work_ms * MARGIN;
    let again_ms = LOOK_AGAIN.as_secs_f64() * 1000.0;
    let Some((at, expected_ms)) = best else {
        return match need.deadline_left_ms > usual_ms + again_ms {
            true => Step::LookAgain(LOOK_AGAIN),
            false => Step::Refuse(come_back(need, candidates)),
        };
    };
    let in_time = expected_ms * MARGIN <= need.target_left_ms;
    if in_time && !candidates[at].is_full() {
        return Step::Send(at);
    }
    if need.target_left_ms > usual_ms + again_ms {
        return Step::LookAgain(LOOK_AGAIN);
    }
    match expected_ms <= need.deadline_left_ms {
        true => Step::Send(at),
        false if need.deadline_left_ms > usual_ms + again_ms => Step::LookAgain(LOOK_AGAIN),
        false => Step::Refuse(come_back(need, candidates)),
    }
}

/// Returns when a slot is likely to be free: at the server whose line ends first.
fn come_back(need: &Need, candidates: &[Candidate]) -> Duration {
    let told = candidates.iter().filter_map(|c| Some((c, c.reading?)));
    let waits = told.map(|(c, reading)| c.wait_ms(&reading, need.work_ms));
    match waits.min_by(f64::total_cmp) {
        Some(wait_ms) => Duration::try_from_secs_f64(wait_ms / 1000.0)
            .unwrap_or(COME_BACK_LATEST)
            .clamp(COME_BACK_SOONEST, COME_BACK_LATEST),
        None => COME_BACK_SOONEST,
    }
}

fn best(
    need: &Need,
    candidates: &[Candidate],
    chance: &mut impl FnMut() -> f64,
) -> Option<(usize, f64)> {
    let untried = candidates.iter().enumerate().filter(|(_, c)| !c.tried);
    let costs = untried.map(|(i, candidate)| {
        let expected_ms = candidate.expected_ms(need.work_ms);
        (i, expected_ms, expected_ms + chance())
    });
    let best = costs.min_by(|a, b| a.2.total_cmp(&b.2));
    best.map(|(i, expected_ms, _)| (i, expected_ms))
}
