//! The server of a request's next attempt: readings asked for, waited for, and weighed.

use std::rc::Rc;
use std::time::{Duration, Instant};

use kingcuploft::entry::placement::{Candidate, PlacementNeed, ProbeScope, Step, place};
use kingcuploft::entry::probe_fanout::probe_fanout;

use super::flight::Flight;
use super::gone::Gone;
use super::suspect::Clearance;
use crate::clock;
use crate::evacuation;
use crate::limits;
use crate::upstream::{Upstream, probe};

/// How long readings are waited for before looking again whether they suffice.
pub(super) const AWAIT_STEP: Duration = Duration::from_millis(2);

/// How often it is looked whether another run of a suspect request has ended.
const RUN_ENDS_STEP: Duration = Duration::from_millis(10);

/// How long a turn at a server that names a limit is waited for by a request for which another server may become good.
const TURN_SOON: Duration = Duration::from_millis(20);

/// What choosing came to.
pub(super) enum Chosen {
    Upstream(Rc<Upstream>),
    /// No server can answer in time; the caller may come back after this time.
    Refuse(Duration),
    /// Servers end under the request; the caller may come back after this time.
    Quarantined(Duration),
    /// All servers are in evacuated zones; the caller may come back after this time.
    Evacuated(Duration),
    CallerLeft,
}

impl Flight<'_> {
    /// Finds the server for the next attempt.
    pub(super) async fn choose(&mut self, gone: &Gone) -> Chosen {
        let mut look_begun = clock::now();
        let mut reach = ProbeScope::Near;
        let mut looks = 0;
        let mut asked_for_turn = false;
        loop {
            if gone.is_set() {
                return Chosen::CallerLeft;
            }
            match self.clearance().await {
                Clearance::Go => {}
                Clearance::Wait => {
                    tokio::time::sleep(RUN_ENDS_STEP).await;
                    look_begun = clock::now();
                    continue;
                }
                Clearance::Refuse(after) => return Chosen::Quarantined(after),
            }
            if let Some(after) = evacuation::refuses(self.context, &self.service) {
                return Chosen::Evacuated(after);
            }
            let now = clock::now();
            let upstreams = self.usable(now, reach);
            let has_limited = !limits::limited(self.context, &self.service).is_empty();
            if upstreams.is_empty() && has_limited {
                return match self.take_turn(gone, self.patience()).await {
                    Ok(upstream) => Chosen::Upstream(upstream),
                    Err(come_back) => Chosen::Refuse(come_back),
                };
            }
            self.ask(&upstreams, self.context.ask_share(looks));
            let life = self.context.reading_life().max(now - look_begun) + AWAIT_STEP;
            let candidates: Vec<Candidate> = upstreams
                .iter()
                .map(|u| u.candidate(now, life, self.is_out(u, now)))
                .collect();
            let need = self.need(now, look_begun, reach);
            match place(&need, &candidates, fastrand::f64) {
                Step::Send(at) => return Chosen::Upstream(upstreams[at].clone()),
                Step::Refuse(come_back) => {
                    let turn = self.take_turn(gone, self.patience()).await;
                    return turn.map_or(Chosen::Refuse(come_back), Chosen::Upstream);
                }
                Step::Recheck(_) if has_limited && !asked_for_turn => {
                    asked_for_turn = true;
                    if let Ok(upstream) = self.take_turn(gone, TURN_SOON).await {
                        return Chosen::Upstream(upstream);
                    }
                }
                Step::Probe(further) => reach = further,
                Step::AwaitProbes => {
                    let told = self.context.readings.notified();
                    let _ = tokio::time::timeout(AWAIT_STEP, told).await;
                }
                Step::Recheck(after) => {
                    tokio::time::sleep(after).await;
                    look_begun = clock::now();
                    looks += 1;
                }
            }
        }
    }

    /// Returns whether the request can't be sent to a server now: it was, or the server may be cold and has not said.
    pub(super) fn is_out(&self, upstream: &Rc<Upstream>, now: Instant) -> bool {
        self.was_tried(upstream) || upstream.is_doubted(now)
    }

    pub(super) fn was_tried(&self, upstream: &Rc<Upstream>) -> bool {
        self.tried.iter().any(|tried| Rc::ptr_eq(tried, upstream))
    }

    /// Returns the servers to choose among: the first of those that answer probes, or of all if none
    /// does; of the other zones those that take the least trouble to ask.
    pub(super) fn usable(&self, now: Instant, reach: ProbeScope) -> Vec<Rc<Upstream>> {
        let mut all = self.context.upstreams(&self.service);
        let share = self.context.connection_share(&self.service);
        all.retain(|upstream| upstream.has_room(share));
        all.retain(|upstream| limits::wait(self.context, upstream, now).is_zero());
        let untried = all.iter().filter(|u| !self.was_tried(u));
        let audible: Vec<_> = untried.filter(|u| !u.is_mute(now)).cloned().collect();
        if !audible.is_empty() {
            all = audible;
        }
        let apart = all.iter().filter(|u| !u.holds_suspect());
        let apart: Vec<_> = apart.cloned().collect();
        if !apart.is_empty() {
            all = apart;
        }
        let (mut near, mut others): (Vec<_>, Vec<_>) = all.into_iter().partition(|u| u.near);
        let asked = probe_fanout(near.len(), others.len(), reach);
        let life = self.context.reading_life();
        others.sort_by_cached_key(|u| u.trouble_to_ask(now, life));
        near.truncate(asked.near);
        others.truncate(asked.far);
        near.append(&mut others);
        near
    }

    /// Asks this share of these servers, drawn by chance.
    pub(super) fn ask(&self, upstreams: &[Rc<Upstream>], share: f64) {
        let Some(service) = self.configuration.services.get(&self.service) else {
            return;
        };
        let health_path = &service.health_path;
        let asked = upstreams.iter().filter(|_| fastrand::f64() < share);
        asked.for_each(|upstream| probe::ask(self.context, upstream, health_path));
    }

    pub(super) fn need(
        &self,
        now: Instant,
        look_begun: Instant,
        reach: ProbeScope,
    ) -> PlacementNeed {
        let millis = |d: Duration| d.as_secs_f64() * 1000.0;
        let left = |until: Instant| match until >= now {
            true => millis(until - now),
            false => -millis(now - until),
        };
        PlacementNeed {
            work_ms: self.context.work_ms(&self.route, &self.service),
            target_left_ms: left(self.target),
            deadline_left_ms: left(self.deadline),
            probe_wait_ms: millis(now - look_begun),
            scope: reach,
            last_slot_slowdown: self.context.last_slot(&self.service),
            probe_budget_left: self.context.probes_left(),
            is_caller_retry: self.returns,
        }
    }
}
