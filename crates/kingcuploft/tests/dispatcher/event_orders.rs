//! Property test with random orders of events: the dispatcher's guarantees hold in each of them.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use kingcuploft::dispatcher::{Action, Call, ClaimResult, Event};
use kingcuploft::utils::{HashMap, HashSet};
use kingcuploft::world::backend_server::CallEnd;
use kingcuploft::world::ids::{AttemptId, RequestId};
use kingcuploft::world::refusal::{Outcome, Refusal, RefusalReason};

use crate::harness::{HOLD, LOOKUP, SEARCH, TestDispatcher, service};

/// What the caller and the backend servers of one request have observed.
#[derive(Default)]
struct Observed {
    final_answers: u32,
    left: bool,
    may_have_run: bool,
    live_attempts: u32,
    claim_held: bool,
    claim_ends: u32,
}

#[derive(Default)]
struct Checker {
    requests: HashMap<RequestId, Observed>,
    claims: Vec<RequestId>,
    live: Vec<Call>,
    cancelled: HashSet<AttemptId>,
}

impl Checker {
    /// Checks new actions against the guarantees.
    fn check(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Call(call) => self.on_call(call),
                Action::Answer(id, _) => self.on_final_answer(id),
                Action::Refuse(id, refusal) => self.on_refusal(id, refusal),
                Action::Claim(id) => self.claims.push(id),
                Action::Release(id) => {
                    let observed = self.requests.get_mut(&id).unwrap();
                    assert!(
                        !observed.may_have_run && observed.live_attempts == 0,
                        "release of {id}"
                    );
                    observed.claim_ends += 1;
                }
                Action::Acknowledge(id, _) => {
                    self.requests.get_mut(&id).unwrap().claim_ends += 1;
                }
                Action::Cancel(id) => assert!(self.cancelled.insert(id), "cancelled twice"),
                _ => {}
            }
        }
    }

    fn on_call(&mut self, call: Call) {
        let observed = self.requests.get_mut(&call.request).unwrap();
        assert!(
            observed.final_answers == 0 && !observed.left,
            "a call for a request that has ended"
        );
        if &*call.route.rule().name == HOLD {
            assert!(
                !observed.may_have_run && observed.live_attempts == 0,
                "a hold sent twice"
            );
            assert!(observed.claim_held, "a hold sent without its claim");
        }
        observed.live_attempts += 1;
        self.live.push(call);
    }

    fn on_final_answer(&mut self, id: RequestId) {
        let observed = self.requests.get_mut(&id).unwrap();
        assert!(!observed.left, "an answer for a caller who left");
        observed.final_answers += 1;
        assert_eq!(observed.final_answers, 1, "more than one final answer");
    }

    fn on_refusal(&mut self, id: RequestId, refusal: Refusal) {
        let observed = &self.requests[&id];
        if refusal.outcome == Outcome::NotRun {
            assert!(
                !observed.may_have_run && observed.live_attempts == 0,
                "untrue outcome: {refusal:?}"
            );
        }
        self.on_final_answer(id);
    }

    fn on_attempt_end(&mut self, at: usize, end: CallEnd) -> AttemptId {
        let call = self.live.swap_remove(at);
        let observed = self.requests.get_mut(&call.request).unwrap();
        observed.live_attempts -= 1;
        observed.may_have_run |= !matches!(end, CallEnd::NeverSent | CallEnd::Refused);
        call.attempt
    }
}

const CASE_COUNT: u64 = 500;

const ENDS: [CallEnd; 8] = [
    CallEnd::Answered { status: 200 },
    CallEnd::Answered { status: 503 },
    CallEnd::Refused,
    CallEnd::NeverSent,
    CallEnd::Broken,
    CallEnd::TimedOut,
    CallEnd::TooLarge,
    CallEnd::Cancelled,
];

fn step(
    u: &mut Unstructured<'_>,
    harness: &mut TestDispatcher,
    checker: &mut Checker,
) -> Result<()> {
    match u.int_in_range(0..=11)? {
        0..=4 => arrive(u, harness, checker)?,
        5 | 6 if !checker.live.is_empty() => {
            let at = u.choose_index(checker.live.len())?;
            let end = *u.choose(&ENDS)?;
            let attempt = checker.on_attempt_end(at, end);
            checker.check(harness.end_attempt(attempt, end));
        }
        7 if !checker.claims.is_empty() => claim(u, harness, checker)?,
        8 => {
            let ids: Vec<RequestId> = checker.requests.keys().copied().collect();
            if !ids.is_empty() {
                let id = *u.choose(&ids)?;
                let observed = checker.requests.get_mut(&id).unwrap();
                observed.left |= observed.final_answers == 0;
                checker.check(harness.send(Event::CallerDisconnected(id)));
            }
        }
        9 => {
            let sets: [&[&str]; 4] = [&["one", "two"], &["two", "one"], &["two"], &[]];
            let mut next = service(u.choose(&sets)?);
            if u.arbitrary()? {
                next.rules.swap(0, 2);
            }
            let next = (!u.ratio(1, 6)?).then_some(next);
            checker.check(harness.adopt(next));
        }
        10 => {
            let event = Event::ServerDraining("trip".into(), "one".into());
            checker.check(harness.send(event));
        }
        _ => {
            let time = Duration::from_millis(u.int_in_range(0..=40)?);
            checker.check(harness.advance(time));
        }
    }
    Ok(())
}

fn arrive(
    u: &mut Unstructured<'_>,
    harness: &mut TestDispatcher,
    checker: &mut Checker,
) -> Result<()> {
    if harness.service.is_none() {
        return Ok(());
    }
    let rule = *u.choose(&[LOOKUP, HOLD, SEARCH])?;
    let caller = *u.choose(&["squad", "school", "club"])?;
    let remaining = Duration::from_millis(u.int_in_range(1..=200)?);
    let next = checker.requests.len() as RequestId + 1;
    checker.requests.insert(next, Observed::default());
    let arrived = harness.arrive_from(caller, rule, remaining);
    assert_eq!(arrived.id, next);
    checker.check(arrived.actions);
    Ok(())
}

fn claim(
    u: &mut Unstructured<'_>,
    harness: &mut TestDispatcher,
    checker: &mut Checker,
) -> Result<()> {
    let at = u.choose_index(checker.claims.len())?;
    let id = checker.claims.swap_remove(at);
    let refusal = Refusal::not_run(RefusalReason::StoreUnavailable);
    let end = *u.choose(&[
        ClaimResult::Held,
        ClaimResult::Refused(refusal),
        ClaimResult::Replayed,
    ])?;
    end_claim(harness, checker, id, end);
    Ok(())
}

/// Ends a claim. If it is replayed, the claims duty answers a caller that still waits.
fn end_claim(harness: &mut TestDispatcher, checker: &mut Checker, id: RequestId, end: ClaimResult) {
    let observed = checker.requests.get_mut(&id).unwrap();
    observed.claim_held = end == ClaimResult::Held;
    if end == ClaimResult::Replayed && !observed.left && observed.final_answers == 0 {
        observed.final_answers += 1;
    }
    checker.check(harness.end_claim(id, end));
}

/// Ends every claim and lets all deadlines and grace periods pass; attempts in flight never report.
fn finish(harness: &mut TestDispatcher, checker: &mut Checker) {
    for id in std::mem::take(&mut checker.claims) {
        end_claim(harness, checker, id, ClaimResult::Held);
    }
    for _ in 0..20 {
        checker.check(harness.advance(Duration::from_millis(300)));
    }
}

#[test]
fn every_request_ends_once_with_a_true_outcome_in_any_order_of_events() {
    let property = |u: &mut Unstructured<'_>| {
        let mut harness = TestDispatcher::new(service(&["one", "two"]));
        let mut checker = Checker::default();
        while !u.is_empty() {
            step(u, &mut harness, &mut checker)?;
        }
        finish(&mut harness, &mut checker);
        assert_eq!(harness.dispatcher.in_flight(), 0);
        for (id, observed) in &checker.requests {
            assert!(
                observed.left || observed.final_answers == 1,
                "request {id} ended {} times",
                observed.final_answers
            );
            let expected = u32::from(observed.claim_held);
            assert_eq!(observed.claim_ends, expected, "the claim of {id}");
        }
        checker.check(harness.adopt(Some(service(&["one", "two"]))));
        assert_eq!(harness.dispatcher.calls_in_flight(), 0);
        for server in ["one", "two"] {
            let calls = harness
                .dispatcher
                .calls_in_flight_to(&"trip".into(), &server.into());
            assert_eq!(calls, 0, "the count of {server}");
        }
        Ok(())
    };
    for case in 1..=CASE_COUNT {
        // The upper half of a seed selects the case, the lower half its size in bytes.
        let size_bytes = 64 + (case * 8) % 2048;
        arbtest::arbtest(property).seed(case << 32 | size_bytes);
    }
}
