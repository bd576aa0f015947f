//! A request for which only servers are left that name limits.

use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::placement::WORK_MARGIN;
use kingcuploft::entry::server_limit::Turn;

use super::flight::Flight;
use super::gone::Gone;
use crate::clock;
use crate::limits;
use crate::peers::turns;
use crate::upstream::Upstream;

/// At how many servers a request asks for a turn.
const MOST_ASKED: usize = 3;

/// When a refused caller may come back.
const COME_BACK_SOONEST: Duration = Duration::from_millis(250);
const COME_BACK_LATEST: Duration = Duration::from_secs(2);

impl Flight<'_> {
    /// Returns a server that names a limit, when the request's turn there has come within `patience`, or when the caller may
    /// come back.
    pub(super) async fn take_turn(
        &mut self,
        gone: &Gone,
        patience: Duration,
    ) -> Result<Rc<Upstream>, Duration> {
        let mut limited = limits::limited(self.context, &self.service);
        let share = self.context.connection_share(&self.service);
        let now = clock::now();
        limited.retain(|upstream| {
            let is_open = upstream.has_room(share) && !upstream.is_mute(now);
            let limits = self.context.limits.borrow();
            is_open
                && !self.was_tried(upstream)
                && limits.may_have_turn(now, &upstream.server.name, patience)
        });
        fastrand::shuffle(&mut limited);
        let mut soonest = COME_BACK_LATEST;
        for upstream in limited.into_iter().take(MOST_ASKED) {
            match turns::ask(self.context, &upstream.server.name, patience).await {
                Turn::After(after) => {
                    tokio::select! {
                        biased;
                        () = tokio::time::sleep(after) => {}
                        () = gone.wait() => return Err(COME_BACK_SOONEST),
                    }
                    self.turn_at = Some(upstream.clone());
                    return Ok(upstream);
                }
                Turn::TooLate(after) => {
                    let (now, server) = (clock::now(), &upstream.server.name);
                    let mut limits = self.context.limits.borrow_mut();
                    limits.defer_turns(now, server, after, patience);
                    soonest = soonest.min(after);
                }
            }
        }
        Err(soonest.max(COME_BACK_SOONEST))
    }

    /// Returns how long the request can wait for a server and be answered in time. Where callers ask for more than the limits
    /// allow, whoever waits longer is late, and so are all behind it.
    pub(super) fn patience(&self) -> Duration {
        let work_ms = self.context.work_ms(&self.route, &self.service);
        let left = self.target.saturating_duration_since(clock::now());
        left.saturating_sub(Duration::from_secs_f64(work_ms * WORK_MARGIN / 1000.0))
    }
}
