//! Which share of the servers of a service is good when it is probed, and how many near servers a request probes first.
//!
//! Load pattern: thousands of servers of which one in a hundred is busy, behind hundreds of VMs that get a request a
//! second each. Six probes for each request cost a small VM more than the request, and find four good servers too many.
//! With half of the slots taken one of six is needed. So a VM probes as many as it takes to find a good one nearly
//! always, by what its last probes have found, and the other near ones where none is good.

use super::placement::{GOOD_MULTIPLE, LoadReport};
use super::probe_fanout::MAX_PROBED_FIRST;

/// Weight of one report in the moving average: about the last twenty count, so that a VM of few requests learns it within
/// some of them, and notices a rising load.
const WEIGHT: f64 = 0.05;

/// The share that is assumed at first: as many servers are probed as ever.
const UNKNOWN: f64 = 0.4;

/// How often none of the servers that are probed first may be good: such a request waits for one more round trip.
const MAX_MISSES: f64 = 0.03;

/// Minimum number of near servers that are probed first: some must be left if one does not answer.
const MIN_PROBED_FIRST: usize = 3;

/// The share of the servers of one service that are good.
#[derive(Clone, Copy, Debug)]
pub struct GoodShare(f64);

impl Default for GoodShare {
    fn default() -> Self {
        Self(UNKNOWN)
    }
}

impl GoodShare {
    /// Records a server's load report.
    pub fn record(&mut self, report: &LoadReport) {
        let is_idle = report.requests_with(0) == 0;
        let is_good = is_idle && report.slowness <= GOOD_MULTIPLE;
        self.0 += WEIGHT * (f64::from(u8::from(is_good)) - self.0);
    }

    /// Returns how many near servers a request probes first.
    pub fn probed_first(self) -> usize {
        let misses_alone = (1.0 - self.0).clamp(0.01, 0.99);
        let needed = (MAX_MISSES.ln() / misses_alone.ln()).ceil();
        (needed as usize).clamp(MIN_PROBED_FIRST, MAX_PROBED_FIRST)
    }
}
