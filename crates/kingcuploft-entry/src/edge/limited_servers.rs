//! Serves a request for which only servers that announce a rate limit are left: it takes a turn (a reserved send slot)
//! at one.

use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::placement::WORK_MARGIN;
use kingcuploft::entry::server_limit::Turn;

use super::active_request::ActiveRequest;
use super::caller_disconnect::CallerDisconnect;
use crate::clock;
use crate::limits;
use crate::pauses;
use crate::peers::turns;
use crate::upstream::Upstream;

/// At how many servers a request asks for a turn.
const MAX_SERVERS_ASKED: usize = 3;

/// The earliest and the latest time after which a refused caller is told to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

impl ActiveRequest<'_> {
    /// Waits for a turn at a rate-limited server and returns that server.
    ///
    /// # Errors
    ///
    /// Returns the `Retry-After` for the caller if no turn comes within `max_wait`.
    pub(super) async fn take_turn(
        &mut self,
        disconnect: &CallerDisconnect,
        max_wait: Duration,
    ) -> Result<Rc<Upstream>, Duration> {
        let mut limited = limits::limited_upstreams(self.context, &self.service);
        let share = self.context.connection_share(&self.service);
        let now = clock::now();
        limited.retain(|upstream| {
            let is_open =
                upstream.has_connection_available(share) && !upstream.is_unresponsive(now);
            let is_paused = pauses::is_paused(self.context, now, &upstream.server.name);
            let limits = self.context.limits.borrow();
            is_open
                && !is_paused
                && !self.was_tried(upstream)
                && limits.may_have_turn(now, &upstream.server.name, max_wait)
        });
        fastrand::shuffle(&mut limited);
        let mut earliest = MAX_RETRY_AFTER;
        for upstream in limited.into_iter().take(MAX_SERVERS_ASKED) {
            match turns::request(self.context, &upstream.server.name, max_wait).await {
                Turn::After(after) => {
                    tokio::select! {
                        biased;
                        () = tokio::time::sleep(after) => {}
                        () = disconnect.wait() => return Err(MIN_RETRY_AFTER),
                    }
                    self.turn_at = Some(upstream.clone());
                    return Ok(upstream);
                }
                Turn::TooLate(after) => {
                    let (now, server) = (clock::now(), &upstream.server.name);
                    let mut limits = self.context.limits.borrow_mut();
                    limits.defer_turns(now, server, after, max_wait);
                    earliest = earliest.min(after);
                }
            }
        }
        Err(earliest.max(MIN_RETRY_AFTER))
    }

    /// Returns how long the request can wait for a server and still be answered within the target latency, and before this
    /// VM exits. Where callers ask for more than the limits allow, a request that waits longer is late and makes all
    /// requests behind it late.
    pub(super) fn remaining_wait(&self) -> Duration {
        let work_ms = self.context.work_ms(&self.route, &self.service);
        let exits_at = self.context.shutdown.ends_at();
        let answer_by = exits_at.map_or(self.target_at, |at| at.min(self.target_at));
        let left = answer_by.saturating_duration_since(clock::now());
        left.saturating_sub(Duration::from_secs_f64(work_ms * WORK_MARGIN / 1000.0))
    }
}
