//! Random orders of events: the promises hold in each of them.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use kingcuploft::dispatcher::{Action, Call, ClaimResult, Event};
use kingcuploft::utils::{HashMap, HashSet};
use kingcuploft::world::backend_server::CallEnd;
use kingcuploft::world::ids::{AttemptId, RequestId};
use kingcuploft::world::refusal::{Outcome, Refusal, RefusalReason};

use crate::harness::{HOLD, LOOKUP, SEARCH, TestDispatcher, service};

/// What one request's caller and backend servers saw.
#[derive(Default)]
struct Seen {
    finals: u32,
    left: bool,
    may_have_run: bool,
    live_attempts: u32,
    claim_held: bool,
    claim_settled: u32,
}

#[derive(Default)]
struct Book {
    requests: HashMap<RequestId, Seen>,
    claims: Vec<RequestId>,
    live: Vec<Call>,
    cancelled: HashSet<AttemptId>,
}

impl Book {
    /// Checks the promises against new actions.
    fn take(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Call(call) => self.called(call),
                Action::Answer(id, _) => self.finished(id),
                Action::Refuse(id, refusal) => self.refused(id, refusal),
                Action::Claim(id) => self.claims.push(id),
                Action::Release(id) => {
                    let seen = self.requests.get_mut(&id).unwrap();
                    assert!(
                        !seen.may_have_run && seen.live_attempts == 0,
                        "release of {id}"
                    );
                    seen.claim_settled += 1;
                }
                Action::Acknowledge(id, _) => {
                    self.requests.get_mut(&id).unwrap().claim_settled += 1;
                }
                Action::Cancel(id) => assert!(self.cancelled.insert(id), "cancelled twice"),
                _ => {}
            }
        }
    }

    fn called(&mut self, call: Call) {
        let seen = self.requests.get_mut(&call.request).unwrap();
        assert!(seen.finals == 0 && !seen.left, "a call for nobody");
        if &*call.route.rule().name == HOLD {
            assert!(
                !seen.may_have_run && seen.live_attempts == 0,
                "a hold sent twice"
            );
            assert!(seen.claim_held, "a hold sent without its claim");
        }
        seen.live_attempts += 1;
        self.live.push(call);
    }

    fn finished(&mut self, id: RequestId) {
        let seen = self.requests.get_mut(&id).unwrap();
        assert!(!seen.left, "an answer for a caller who left");
        seen.finals += 1;
        assert_eq!(seen.finals, 1, "more than one final answer");
    }

    fn refused(&mut self, id: RequestId, refusal: Refusal) {
        let seen = &self.requests[&id];
        if refusal.outcome == Outcome::NotRun {
            assert!(
                !seen.may_have_run && seen.live_attempts == 0,
                "a lie: {refusal:?}"
            );
        }
        self.finished(id);
    }

    fn ended(&mut self, at: usize, end: CallEnd) -> AttemptId {
        let call = self.live.swap_remove(at);
        let seen = self.requests.get_mut(&call.request).unwrap();
        seen.live_attempts -= 1;
        seen.may_have_run |= !matches!(end, CallEnd::NeverSent | CallEnd::Refused);
        call.attempt
    }
}

const CASES: u64 = 500;

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

fn step(u: &mut Unstructured<'_>, world: &mut TestDispatcher, book: &mut Book) -> Result<()> {
    match u.int_in_range(0..=11)? {
        0..=4 => arrive(u, world, book)?,
        5 | 6 if !book.live.is_empty() => {
            let at = u.choose_index(book.live.len())?;
            let end = *u.choose(&ENDS)?;
            let attempt = book.ended(at, end);
            book.take(world.end(attempt, end));
        }
        7 if !book.claims.is_empty() => claim(u, world, book)?,
        8 => {
            let ids: Vec<RequestId> = book.requests.keys().copied().collect();
            if !ids.is_empty() {
                let id = *u.choose(&ids)?;
                let seen = book.requests.get_mut(&id).unwrap();
                seen.left |= seen.finals == 0;
                book.take(world.event(Event::CallerDisconnected(id)));
            }
        }
        9 => {
            let sets: [&[&str]; 4] = [&["one", "two"], &["two", "one"], &["two"], &[]];
            let mut next = service(u.choose(&sets)?);
            if u.arbitrary()? {
                next.rules.swap(0, 2);
            }
            let next = (!u.ratio(1, 6)?).then_some(next);
            book.take(world.adopt(next));
        }
        10 => {
            let event = Event::ServerDraining("trip".into(), "one".into());
            book.take(world.event(event));
        }
        _ => {
            let time = Duration::from_millis(u.int_in_range(0..=40)?);
            book.take(world.pass(time));
        }
    }
    Ok(())
}

fn arrive(u: &mut Unstructured<'_>, world: &mut TestDispatcher, book: &mut Book) -> Result<()> {
    if world.service.is_none() {
        return Ok(());
    }
    let rule = *u.choose(&[LOOKUP, HOLD, SEARCH])?;
    let caller = *u.choose(&["squad", "school", "club"])?;
    let left = Duration::from_millis(u.int_in_range(1..=200)?);
    let next = book.requests.len() as RequestId + 1;
    book.requests.insert(next, Seen::default());
    let arrived = world.arrive_from(caller, rule, left);
    assert_eq!(arrived.id, next);
    book.take(arrived.actions);
    Ok(())
}

fn claim(u: &mut Unstructured<'_>, world: &mut TestDispatcher, book: &mut Book) -> Result<()> {
    let at = u.choose_index(book.claims.len())?;
    let id = book.claims.swap_remove(at);
    let refusal = Refusal::not_run(RefusalReason::StoreUnavailable);
    let end = *u.choose(&[
        ClaimResult::Held,
        ClaimResult::Refused(refusal),
        ClaimResult::Replayed,
    ])?;
    settle_claim(world, book, id, end);
    Ok(())
}

/// The claims duty answers the caller of a replayed claim itself, where the caller still waits.
fn settle_claim(world: &mut TestDispatcher, book: &mut Book, id: RequestId, end: ClaimResult) {
    let seen = book.requests.get_mut(&id).unwrap();
    seen.claim_held = end == ClaimResult::Held;
    if end == ClaimResult::Replayed && !seen.left && seen.finals == 0 {
        seen.finals += 1;
    }
    book.take(world.claimed(id, end));
}

/// Lets every claim settle and every deadline and grace pass; no attempt reports any more.
fn finish(world: &mut TestDispatcher, book: &mut Book) {
    for id in std::mem::take(&mut book.claims) {
        settle_claim(world, book, id, ClaimResult::Held);
    }
    for _ in 0..20 {
        book.take(world.pass(Duration::from_millis(300)));
    }
}

#[test]
fn every_request_ends_once_and_truthfully_in_any_order_of_events() {
    let property = |u: &mut Unstructured<'_>| {
        let mut world = TestDispatcher::new(service(&["one", "two"]));
        let mut book = Book::default();
        while !u.is_empty() {
            step(u, &mut world, &mut book)?;
        }
        finish(&mut world, &mut book);
        assert_eq!(world.dispatcher.in_flight(), 0);
        for (id, seen) in &book.requests {
            assert!(
                seen.left || seen.finals == 1,
                "request {id} ended {} times",
                seen.finals
            );
            let settled = u32::from(seen.claim_held);
            assert_eq!(seen.claim_settled, settled, "the claim of {id}");
        }
        book.take(world.adopt(Some(service(&["one", "two"]))));
        assert_eq!(world.dispatcher.calls_in_flight(), 0);
        for server in ["one", "two"] {
            let calls = world
                .dispatcher
                .calls_in_flight_to(&"trip".into(), &server.into());
            assert_eq!(calls, 0, "the count of {server}");
        }
        Ok(())
    };
    for case in 1..=CASES {
        // The upper half of a seed chooses the case, the lower half its size in bytes.
        let size_bytes = 64 + (case * 8) % 2048;
        arbtest::arbtest(property).seed(case << 32 | size_bytes);
    }
}
