//! Rules on single requests.

use std::time::Duration;

use super::{BoundUsage, IndexedHistory, Rule};
use crate::history::{DisturbanceCause, Outcome, is_idempotent};

/// How long after the beginning of a planned stop no request may be interrupted.
const STOP_WINDOW: Duration = Duration::from_secs(7);

/// How long before its VM began to stop a request may have been sent, to count as interrupted by the stop.
const MAX_SENT_BEFORE_STOP: Duration = Duration::from_secs(1);

/// A request is quarantined after this many server crashes.
const CRASHES_TO_QUARANTINE: usize = 3;

/// How often a quarantined request may still be sent to servers: it is tried again now and then.
const MAX_FORWARDED: usize = 3;

/// A request may be interrupted if it was sent at most this long after the stop began, and is still in progress in the
/// last sixth of the time that the stop may take.
const MAX_SENT_AFTER_STOP: Duration = Duration::from_secs(3);

/// Counts the requests that ran more than once although they may run only once.
pub(super) fn at_most_once(case: &IndexedHistory<'_>) -> BoundUsage {
    let by_request = case.arrivals_by_request();
    let twice = by_request.iter().filter(|(_, arrivals)| {
        let kind = &case.deployment.kinds[arrivals[0].kind];
        let runs = arrivals.iter().filter(|arrival| arrival.ran.get()).count();
        !is_idempotent(kind.contract) && runs > 1
    });
    let twice: Vec<_> = twice.map(|(id, _)| *id).collect();
    let what = twice
        .first()
        .map_or_else(String::new, |id| format!("request {id:016x}"));
    BoundUsage::of_violations(Rule::AtMostOnce, twice.len(), what)
}

/// Counts the requests that ran although they were refused as not run.
pub(super) fn truthful_refusals(case: &IndexedHistory<'_>) -> BoundUsage {
    let by_request = case.arrivals_by_request();
    let ran = by_request.iter().filter(|(id, arrivals)| {
        let kind = &case.deployment.kinds[arrivals[0].kind];
        let ran = arrivals.iter().any(|arrival| arrival.ran.get());
        !is_idempotent(kind.contract) && ran && case.outcome(**id) == Some(Outcome::NotRun)
    });
    let ran: Vec<_> = ran.map(|(id, _)| *id).collect();
    let what = ran
        .first()
        .map_or_else(String::new, |id| format!("request {id:016x}"));
    BoundUsage::of_violations(Rule::TruthfulRefusals, ran.len(), what)
}

/// Returns how often a deadly request was still sent on after it had crashed servers and all VMs had had time to learn
/// that, as a share of what is allowed.
pub(super) fn quarantine(case: &IndexedHistory<'_>) -> BoundUsage {
    let deadly = case.arrivals.iter().filter(|arrival| arrival.is_deadly);
    let mut deadly: Vec<_> = deadly.collect();
    deadly.sort_by_key(|arrival| arrival.at);
    let contact = case.deployment.bounds.undisturbed_time();
    let known_at = deadly
        .get(CRASHES_TO_QUARANTINE - 1)
        .map(|last| last.at + contact);
    let sent_on = deadly.iter().filter(|arrival| {
        let in_touch = case
            .history
            .was_undisturbed(arrival.vm, arrival.at, contact);
        in_touch && known_at.is_some_and(|known| arrival.at > known)
    });
    let sent_on = sent_on.count();
    let what =
        || format!("sent on {sent_on} times after {CRASHES_TO_QUARANTINE} servers had ended");
    let used = sent_on as f64 / MAX_FORWARDED as f64;
    BoundUsage::none(Rule::Quarantine).or_greater(used, what)
}

/// Counts the callers that got an answer that was incomplete or not their own.
pub(super) fn whole_answers(case: &IndexedHistory<'_>) -> BoundUsage {
    let wrong = case.answers.values();
    let wrong: Vec<_> = wrong
        .filter(|answered| answered.answer == Outcome::Wrong)
        .collect();
    let what = wrong
        .first()
        .map_or_else(String::new, |a| format!("request {:016x}", a.id));
    BoundUsage::of_violations(Rule::WholeAnswers, wrong.len(), what)
}

/// Counts the requests in progress on a stopping VM that ended without an answer, unless their server lost the answer.
pub(super) fn planned_stops(case: &IndexedHistory<'_>) -> BoundUsage {
    let bounds = &case.deployment.bounds;
    let stops = case.history.planned_stops.borrow();
    let by_request = case.arrivals_by_request();
    let disturbed = case.history.vm_disturbances.borrow();
    let cut = case.requests.iter().filter(|request| {
        let of_vm = stops.iter().filter(|(vm, _)| *vm == request.vm);
        let near = |at: &Duration| {
            request.at + MAX_SENT_BEFORE_STOP >= *at && request.at <= *at + STOP_WINDOW
        };
        let stopping: Vec<_> = of_vm.map(|(_, at)| *at).filter(near).collect();
        if stopping.is_empty() {
            return false;
        }
        let answered = case.answers.get(&request.id);
        let ended_at = answered.map_or(request.at, |answered| answered.at);
        let was_struck = disturbed.iter().any(|other| {
            let near = other.at + bounds.undisturbed_time() >= request.at && other.at <= ended_at;
            other.vm == request.vm && other.cause == DisturbanceCause::Fault && near
        });
        let had_to_end = stopping.iter().any(|stopped_at| {
            let last_sixth = *stopped_at + Duration::from_millis(bounds.stop_ms) * 5 / 6;
            ended_at >= last_sixth && request.at <= *stopped_at + MAX_SENT_AFTER_STOP
        });
        let was_passed_on = by_request.contains_key(&request.id);
        let kind = &case.deployment.kinds[request.kind];
        let deadline = request.at + Duration::from_millis(kind.deadline_ms);
        let had_time = answered.is_some_and(|answered| answered.at < deadline);
        let is_cut = case.outcome(request.id) == Some(Outcome::None);
        was_passed_on && is_cut && had_time && !was_struck && !had_to_end
    });
    let cut: Vec<_> = cut.map(|request| request.id).collect();
    let what = cut
        .first()
        .map_or_else(String::new, |id| format!("request {id:016x}"));
    BoundUsage::of_violations(Rule::PlannedStops, cut.len(), what)
}
