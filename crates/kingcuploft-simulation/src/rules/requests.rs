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
pub(super) fn at_most_once(history: &IndexedHistory<'_>) -> BoundUsage {
    let by_request = history.arrivals_by_request();
    let twice = by_request.iter().filter(|(_, arrivals)| {
        let kind = &history.deployment.kinds[arrivals[0].kind];
        let runs = arrivals.iter().filter(|arrival| arrival.ran.get()).count();
        !is_idempotent(kind.contract) && runs > 1
    });
    let twice: Vec<_> = twice.map(|(id, _)| *id).collect();
    let what = twice
        .first()
        .map_or_else(String::new, |id| format!("request {id:016x}"));
    BoundUsage::of_violations(Rule::AtMostOnce, twice.len(), what)
}

/// Counts the requests that may run only once and ran although they were refused as not run.
pub(super) fn truthful_refusals(history: &IndexedHistory<'_>) -> BoundUsage {
    let by_request = history.arrivals_by_request();
    let ran = by_request.iter().filter(|(id, arrivals)| {
        let kind = &history.deployment.kinds[arrivals[0].kind];
        let ran = arrivals.iter().any(|arrival| arrival.ran.get());
        !is_idempotent(kind.contract) && ran && history.outcome(**id) == Some(Outcome::NotRun)
    });
    let ran: Vec<_> = ran.map(|(id, _)| *id).collect();
    let what = ran
        .first()
        .map_or_else(String::new, |id| format!("request {id:016x}"));
    BoundUsage::of_violations(Rule::TruthfulRefusals, ran.len(), what)
}

/// Returns how often a deadly request was still sent on after it had crashed servers and all VMs had had time to learn
/// that, as a share of what is allowed.
pub(super) fn quarantine(history: &IndexedHistory<'_>) -> BoundUsage {
    let deadly = history.arrivals.iter().filter(|arrival| arrival.is_deadly);
    let mut deadly: Vec<_> = deadly.collect();
    deadly.sort_by_key(|arrival| arrival.at);
    let undisturbed_time = history.deployment.bounds.undisturbed_time();
    let known_at = deadly
        .get(CRASHES_TO_QUARANTINE - 1)
        .map(|last| last.at + undisturbed_time);
    let sent_on = deadly.iter().filter(|arrival| {
        let is_undisturbed = history
            .raw
            .was_undisturbed(arrival.vm, arrival.at, undisturbed_time);
        is_undisturbed && known_at.is_some_and(|known| arrival.at > known)
    });
    let sent_on = sent_on.count();
    let what =
        || format!("sent on {sent_on} times after {CRASHES_TO_QUARANTINE} servers had ended");
    let used = sent_on as f64 / MAX_FORWARDED as f64;
    BoundUsage::none(Rule::Quarantine).or_greater(used, what)
}

/// Counts the callers that got an answer that was incomplete or not their own.
pub(super) fn whole_answers(history: &IndexedHistory<'_>) -> BoundUsage {
    let wrong = history.completions.values();
    let wrong: Vec<_> = wrong
        .filter(|completion| completion.outcome == Outcome::Wrong)
        .collect();
    let what = wrong
        .first()
        .map_or_else(String::new, |a| format!("request {:016x}", a.id));
    BoundUsage::of_violations(Rule::WholeAnswers, wrong.len(), what)
}

/// Counts the requests in progress on a stopping VM that ended without an answer, unless their server lost the answer.
pub(super) fn planned_stops(history: &IndexedHistory<'_>) -> BoundUsage {
    let bounds = &history.deployment.bounds;
    let stops = history.raw.planned_stops.borrow();
    let by_request = history.arrivals_by_request();
    let disturbances = history.raw.vm_disturbances.borrow();
    let interrupted = history.requests.iter().filter(|request| {
        let of_vm = stops.iter().filter(|(vm, _)| *vm == request.vm);
        let is_near = |at: &Duration| {
            request.at + MAX_SENT_BEFORE_STOP >= *at && request.at <= *at + STOP_WINDOW
        };
        let stopping: Vec<_> = of_vm.map(|(_, at)| *at).filter(is_near).collect();
        if stopping.is_empty() {
            return false;
        }
        let completion = history.completions.get(&request.id);
        let ended_at = completion.map_or(request.at, |completion| completion.at);
        let was_disturbed = disturbances.iter().any(|other| {
            let is_near =
                other.at + bounds.undisturbed_time() >= request.at && other.at <= ended_at;
            other.vm == request.vm && other.cause != DisturbanceCause::PlannedStop && is_near
        });
        let may_be_interrupted = stopping.iter().any(|stopped_at| {
            let last_sixth = *stopped_at + Duration::from_millis(bounds.stop_ms) * 5 / 6;
            ended_at >= last_sixth && request.at <= *stopped_at + MAX_SENT_AFTER_STOP
        });
        let reached_server = by_request.contains_key(&request.id);
        let kind = &history.deployment.kinds[request.kind];
        let deadline = request.at + Duration::from_millis(kind.deadline_ms);
        let ended_in_time = completion.is_some_and(|completion| completion.at < deadline);
        let has_no_answer = history.outcome(request.id) == Some(Outcome::None);
        reached_server && has_no_answer && ended_in_time && !was_disturbed && !may_be_interrupted
    });
    let interrupted: Vec<_> = interrupted.map(|request| request.id).collect();
    let what = interrupted
        .first()
        .map_or_else(String::new, |id| format!("request {id:016x}"));
    BoundUsage::of_violations(Rule::PlannedStops, interrupted.len(), what)
}
