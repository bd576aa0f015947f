//! When the caller of a request may retry that servers have turned away, and for which no repeat is left.
//!
//! Load pattern: the servers of a service turn away half of what reaches them, though they have free slots, and the
//! repeats that all VMs share are used up. Another attempt has the same chance at any time. A caller that comes back
//! after a quarter of a second is late for sure; one that comes back at once is mostly answered in time. Where servers
//! turn requests away as they are full, and where the target has passed already, an early retry would only add load.

use std::time::Duration;

use super::placement::{LoadReport, WORK_MARGIN};

/// The retry delay where another attempt may be answered in time: a few round trips, for the servers' load to differ.
const SOON: Duration = Duration::from_millis(20);

/// The retry delay otherwise: the speed of a server has changed several times by then.
const LATER: Duration = Duration::from_millis(250);

/// Returns the retry delay for a request with so much time left until its target, whose service time is `work_ms`, by the
/// load of the server that has turned it away.
pub fn retry_delay(report: Option<&LoadReport>, target_left_ms: f64, work_ms: f64) -> Duration {
    let has_room = report.is_some_and(|r| r.requests_with(0) < r.slots);
    let soon_ms = SOON.as_secs_f64() * 1000.0;
    match has_room && target_left_ms >= soon_ms + work_ms * WORK_MARGIN {
        true => SOON,
        false => LATER,
    }
}
