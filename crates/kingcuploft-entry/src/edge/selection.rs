//! Selects the server for a request's next attempt: probes servers for load reports, waits for them and compares the
//! servers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use kingcuploft::entry::placement::{Candidate, PlacementNeed, ProbeScope, Step, place};
use kingcuploft::entry::probe_fanout::{MAX_PROBED_FIRST, probe_fanout};
use kingcuploft::entry::server_order::{Shortlist, Suitability};
use kingcuploft::entry::server_pauses::PauseDecision;
use kingcuploft::entry::shutdown::LateRequest;

use super::active_request::ActiveRequest;
use super::caller_disconnect::CallerDisconnect;
use super::refusal::{Refusal, RefusalReason};
use super::relay::Path;
use super::suspect::QuarantineDecision;
use crate::clock;
use crate::evacuation;
use crate::limits;
use crate::pauses;
use crate::upstream::{Upstream, probe};

/// How long the VM waits for load reports before it checks again whether they suffice.
pub(super) const LOAD_REPORT_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// How often a request checks whether another run of the same suspect request has ended.
const SUSPECT_RUN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How long a request waits for a turn at a rate-limited server while servers without a limit may still become free.
const OPTIONAL_TURN_WAIT: Duration = Duration::from_millis(20);

/// The result of selecting a server.
pub(super) enum Selection {
    Upstream(Rc<Upstream>),
    /// The service is out of reach; this VM reaches it.
    Relay(SocketAddr),
    /// No server gets it.
    Refuse(Refusal),
}

/// What comes before the search for a server.
enum BeforeSearch {
    /// A server is searched for, by this path.
    Search(Path),
    /// Another run of the same suspect request must end first.
    Wait,
    /// There is nothing to search for.
    End(Selection),
}

/// Returns whether a request for a service that is out of reach must take the way through another VM: no server with an
/// open connection is known to be good now.
fn must_relay(step: Step, candidates: &[Candidate]) -> bool {
    match step {
        Step::Send(at) => candidates.get(at).is_none_or(|c| c.load_report.is_none()),
        Step::Recheck(_) | Step::Refuse(_) => true,
        Step::AwaitReports | Step::Probe(_) => false,
    }
}

impl ActiveRequest<'_> {
    /// Selects the server for the next attempt.
    #[expect(
        clippy::indexing_slicing,
        reason = "placement returns a position in the list that it was given"
    )]
    pub(super) async fn select_upstream(&mut self, disconnect: &CallerDisconnect) -> Selection {
        let mut search_began = clock::now();
        let mut scope = ProbeScope::Near;
        let mut most_near = self.context.probed_first(&self.service);
        let mut rounds = 0;
        let mut asked_for_turn = false;
        loop {
            let path = match self.check_before_search(disconnect, scope, most_near).await {
                BeforeSearch::Search(path) => path,
                BeforeSearch::Wait => {
                    tokio::time::sleep(SUSPECT_RUN_POLL_INTERVAL).await;
                    search_began = clock::now();
                    continue;
                }
                BeforeSearch::End(selection) => return selection,
            };
            let now = clock::now();
            let upstreams = match path {
                Path::OpenConnectionsOr(_) => self.connected_upstreams(now, scope, most_near),
                Path::Direct | Path::None => self.candidate_upstreams(now, scope, most_near),
            };
            let has_limited = !limits::limited_upstreams(self.context, &self.service).is_empty();
            if upstreams.is_empty() && has_limited {
                return match self.take_turn(disconnect, self.remaining_wait()).await {
                    Ok(upstream) => Selection::Upstream(upstream),
                    Err(after) => Selection::Refuse(RefusalReason::NoRoom.after(after)),
                };
            }
            self.probe_upstreams(&upstreams, self.context.probe_share(rounds));
            let searched_for = now.saturating_duration_since(search_began);
            let max_age = self.context.max_load_report_age().max(searched_for);
            let max_age = max_age.saturating_add(LOAD_REPORT_POLL_INTERVAL);
            let candidates: Vec<Candidate> = upstreams
                .iter()
                .map(|u| u.candidate(now, max_age, self.is_excluded(u, now)))
                .collect();
            let need = self.need(now, search_began, scope);
            let step = place(&need, &candidates, fastrand::f64);
            if let Path::OpenConnectionsOr(address) = path
                && must_relay(step, &candidates)
            {
                return Selection::Relay(address);
            }
            match step {
                Step::Send(at) => return Selection::Upstream(upstreams[at].clone()),
                Step::Refuse(retry_after) => {
                    let turn = self.take_turn(disconnect, self.remaining_wait()).await;
                    let refusal = RefusalReason::NoRoom.after(retry_after);
                    return turn.map_or(Selection::Refuse(refusal), Selection::Upstream);
                }
                Step::Recheck(_) if has_limited && !asked_for_turn => {
                    asked_for_turn = true;
                    if let Ok(upstream) = self.take_turn(disconnect, OPTIONAL_TURN_WAIT).await {
                        return Selection::Upstream(upstream);
                    }
                }
                Step::Probe(further) => {
                    let near_count = upstreams.iter().filter(|u| u.near).count();
                    let may_be_more_near = near_count >= most_near;
                    if scope == ProbeScope::Near && most_near < MAX_PROBED_FIRST && may_be_more_near
                    {
                        most_near = MAX_PROBED_FIRST;
                        search_began = clock::now();
                    } else {
                        scope = further;
                    }
                }
                Step::AwaitReports => {
                    let notified = self.context.load_report_received.notified();
                    let _ = tokio::time::timeout(LOAD_REPORT_POLL_INTERVAL, notified).await;
                }
                Step::Recheck(after) => {
                    tokio::time::sleep(after).await;
                    search_began = clock::now();
                    rounds += 1;
                }
            }
        }
    }

    /// Returns whether a server is searched for now, and by which path, or what ends the selection.
    async fn check_before_search(
        &mut self,
        disconnect: &CallerDisconnect,
        scope: ProbeScope,
        most_near: usize,
    ) -> BeforeSearch {
        let refuse = |reason: RefusalReason, retry_after| {
            BeforeSearch::End(Selection::Refuse(reason.after(retry_after)))
        };
        if self.is_key_gone() {
            return refuse(RefusalReason::KeyGone, self.retry_after);
        }
        if disconnect.is_set() {
            return refuse(RefusalReason::CallerLeft, self.retry_after);
        }
        if !self.has_time_until_exit() {
            return refuse(RefusalReason::Stopping, self.retry_after);
        }
        if let PauseDecision::Refuse(after) = self.check_pauses() {
            return refuse(RefusalReason::Paused, after);
        }
        if let Some(after) = evacuation::retry_after(self.context, &self.service) {
            return refuse(RefusalReason::Evacuated, after);
        }
        let path = self.path().await;
        match path {
            Path::None => return refuse(RefusalReason::NoRoom, self.retry_after),
            Path::Direct if self.was_sent_to_all() => {
                return refuse(RefusalReason::NoRoom, self.retry_after);
            }
            Path::OpenConnectionsOr(address)
                if self
                    .connected_upstreams(clock::now(), scope, most_near)
                    .is_empty() =>
            {
                return BeforeSearch::End(Selection::Relay(address));
            }
            Path::Direct | Path::OpenConnectionsOr(_) => {}
        }
        match self.check_quarantine().await {
            QuarantineDecision::Send => BeforeSearch::Search(path),
            QuarantineDecision::Wait => BeforeSearch::Wait,
            QuarantineDecision::Refuse(after) => refuse(RefusalReason::Quarantined, after),
        }
    }

    /// Returns whether a server that gets the request now will answer before this VM exits, if it is stopping.
    fn has_time_until_exit(&self) -> bool {
        let Some(ends_at) = self.context.shutdown.ends_at() else {
            return true;
        };
        let now = clock::now();
        let began_at = self.context.shutdown.began_at().unwrap_or(now);
        let late_request = LateRequest {
            until_exit: ends_at.saturating_duration_since(now),
            left: self.deadline.saturating_duration_since(now),
            work_ms: self.context.work_ms(&self.route, &self.service),
            came_after: self.request.arrived.saturating_duration_since(began_at),
        };
        late_request.has_time_to_answer()
    }

    /// Returns those of the candidates to which an open connection seems to work: a probe shows whether it does.
    fn connected_upstreams(
        &self,
        now: Instant,
        scope: ProbeScope,
        most_near: usize,
    ) -> Vec<Rc<Upstream>> {
        let mut connected = self.candidate_upstreams(now, scope, most_near);
        connected.retain(|u| u.has_idle_connection() && !u.is_unresponsive(now));
        connected.retain(|u| !self.was_tried(u));
        connected
    }

    /// Returns whether the request must not be sent to a server now: an attempt there was made already, or the server
    /// may be cold and has not reported whether it is.
    pub(super) fn is_excluded(&self, upstream: &Rc<Upstream>, now: Instant) -> bool {
        self.was_tried(upstream) || upstream.awaits_cold_report(now)
    }

    /// Returns whether an attempt at the server was made already.
    pub(super) fn was_tried(&self, upstream: &Upstream) -> bool {
        self.tried_upstreams
            .iter()
            .any(|tried| std::ptr::eq(&**tried, upstream))
    }

    /// Returns whether the service has servers, and an attempt was made at each.
    fn was_sent_to_all(&self) -> bool {
        if self.tried_upstreams.is_empty() {
            return false;
        }
        self.context.with_upstreams(&self.service, |upstreams| {
            let mut upstreams = upstreams.peekable();
            upstreams.peek().is_some() && upstreams.all(|u| self.was_tried(u))
        })
    }

    /// Returns the servers to select from. Of the own zone these are the first in this VM's order that answer probes,
    /// or of all servers if none does; of the other zones those that are cheapest to probe. As long as only near ones are
    /// looked at, these are `most_near` at most.
    pub(super) fn candidate_upstreams(
        &self,
        now: Instant,
        scope: ProbeScope,
        most_near: usize,
    ) -> Vec<Rc<Upstream>> {
        let share = self.context.connection_share(&self.service);
        let judge = |upstream: &Upstream| self.suitability(upstream, now, share);
        let Shortlist { mut near, mut far } = self.context.shortlist(&self.service, judge);
        let fanout = probe_fanout(near.len(), far.len(), scope);
        let max_age = self.context.max_load_report_age();
        far.sort_by_cached_key(|u| u.probe_cost(now, max_age));
        near.truncate(match scope {
            ProbeScope::Near => fanout.near.min(most_near),
            ProbeScope::FewFar | ProbeScope::Far => fanout.near,
        });
        far.truncate(fanout.far);
        near.append(&mut far);
        near
    }

    /// Returns how well a server suits the request, given that this VM may have `share` connections to it.
    fn suitability(&self, upstream: &Upstream, now: Instant, share: usize) -> Suitability {
        let is_usable = upstream.has_connection_available(share)
            && !pauses::is_paused(self.context, now, &upstream.server.name)
            && limits::wait_before_send(self.context, upstream, now).is_zero();
        if !is_usable {
            return Suitability::Unusable;
        }
        let is_doubtful = upstream.is_unresponsive(now) || self.was_tried(upstream);
        match (is_doubtful, upstream.is_running_suspect()) {
            (false, false) => Suitability::Suitable,
            (false, true) => Suitability::RunsSuspect,
            (true, false) => Suitability::Doubtful,
            (true, true) => Suitability::DoubtfulRunsSuspect,
        }
    }

    /// Probes a random sample of these servers; each is in it with probability `share`.
    pub(super) fn probe_upstreams(&self, upstreams: &[Rc<Upstream>], share: f64) {
        let service = self.configuration.services.get(&self.service);
        let Some(health_path) = service.and_then(|service| service.health_path.as_ref()) else {
            return;
        };
        let sampled = upstreams.iter().filter(|_| fastrand::f64() < share);
        sampled.for_each(|upstream| probe::start(self.context, upstream, health_path));
    }

    /// Returns what the request requires of a server, for placement.
    pub(super) fn need(
        &self,
        now: Instant,
        search_began: Instant,
        scope: ProbeScope,
    ) -> PlacementNeed {
        let millis = |d: Duration| d.as_secs_f64() * 1000.0;
        let left = |until: Instant| match until >= now {
            true => millis(until.saturating_duration_since(now)),
            false => -millis(now.saturating_duration_since(until)),
        };
        let usual = self.context.near_probe_latency.get().usual();
        PlacementNeed {
            work_ms: self.context.work_ms(&self.route, &self.service),
            target_left_ms: left(self.target_at),
            deadline_left_ms: left(self.deadline),
            probe_wait_ms: millis(
                now.saturating_duration_since(search_began)
                    .saturating_sub(usual),
            ),
            scope,
            last_slot_slowdown: self.context.last_slot_factor(&self.service),
            probe_budget_left: self.context.probe_budget_left(),
            is_caller_retry: self.is_returning,
        }
    }
}
