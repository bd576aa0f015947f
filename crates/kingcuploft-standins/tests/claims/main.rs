//! Holds (protected actions) through real daemons over a failing platform: what callers receive, and what ran.

mod entry;

use std::sync::Arc;
use std::time::{Duration, Instant};

use entry::{
    CallerAnswer, ManualClaims, fleet, hold, hold_through_all_vms, lookup_status, post, wait_until,
};
use kingcuploft::decisions::claim::ledger::EntryState;
use kingcuploft::dispatcher::ClaimResult;
use kingcuploft_platform::claim_lookup;
use kingcuploft_platform::client::Client;
use kingcuploft_standins::fleet::Fleet;
use kingcuploft_standins::platform::{Faults, Outage, WriteFault};

/// The key of the ledger object in the store that the claims of these tests are written to.
const HEAD: &str = "claims/000/head";

fn next_write(fleet: &Fleet, fault: WriteFault) {
    let scripted = (HEAD.to_owned(), fault);
    fleet
        .platform
        .change_faults(|faults| faults.next_writes.push_back(scripted));
}

fn assert_ran(answer: &CallerAnswer) {
    assert_eq!(
        (answer.status, answer.reason.as_str()),
        (200, ""),
        "{answer:?}"
    );
}

/// Guards against a hold that is lost or runs twice because the answer of the store to its claim was lost.
#[test]
fn a_lost_answer_of_the_store_neither_loses_nor_repeats_the_hold() {
    let fleet = fleet(2);
    next_write(&fleet, WriteFault::LostAnswer);
    let first = hold(&fleet, 0, "squad-7", "beds");
    assert_ran(&first);
    wait_until("the answer is recorded", || {
        hold(&fleet, 1, "squad-7", "beds") == first
    });
    assert_eq!(fleet.runs("squad-7"), 1);
    fleet.stop();
}

/// Guards against a claim whose delayed write overwrites a later one.
#[test]
fn a_delayed_write_is_fenced_by_the_next() {
    let fleet = fleet(2);
    next_write(&fleet, WriteFault::Delayed(Duration::from_millis(120)));
    let before = fleet.platform.calls().conflicts;
    assert_ran(&hold(&fleet, 0, "squad-7", "beds"));
    wait_until("the delayed write is rejected", || {
        fleet.platform.calls().conflicts > before
    });
    let again = hold(&fleet, 1, "squad-7", "beds");
    assert!(
        again.status == 200 || again.outcome == "unknown",
        "{again:?}"
    );
    assert_eq!(fleet.runs("squad-7"), 1);
    fleet.stop();
}

/// Guards against a hold that runs more than once because several VMs receive it at the same moment.
#[test]
fn the_same_key_through_five_vms_at_once_runs_once() {
    let fleet = Arc::new(fleet(5));
    for key in ["squad-1", "squad-2", "squad-3", "squad-4"] {
        let answers = hold_through_all_vms(&fleet, 5, key);
        assert_eq!(fleet.runs(key), 1, "{answers:?}");
        assert!(
            answers.iter().any(|answer| answer.status == 200),
            "{answers:?}"
        );
        for answer in answers.iter().filter(|answer| answer.status != 200) {
            let expected = (409, "key_in_progress", "unknown", true);
            let got = (
                answer.status,
                answer.reason.as_str(),
                answer.outcome.as_str(),
                answer.retry_after,
            );
            assert_eq!(got, expected);
        }
        wait_until("each VM replays the answer", || {
            (0..5).all(|vm| hold(&fleet, vm, key, "beds").status == 200)
        });
        assert_eq!(fleet.runs(key), 1);
    }
    Arc::into_inner(fleet).unwrap().stop();
}

/// Guards against a second run of a hold: its VM was paused after the claim, and another VM takes the claim over.
#[test]
fn a_paused_claimants_hold_is_not_taken_over_and_its_answer_is_replayed() {
    let fleet = fleet(1);
    let paused = ManualClaims::start(&fleet);
    assert_eq!(paused.claim("squad-7", "beds"), ClaimResult::Held);
    for _ in 0..3 {
        let answer = hold(&fleet, 0, "squad-7", "beds");
        let got = (
            answer.status,
            answer.reason.as_str(),
            answer.outcome.as_str(),
        );
        assert_eq!(got, (409, "key_in_progress", "unknown"));
    }
    paused.acknowledge(b"\x00beds\x7f");
    paused.stop();
    let answer = hold(&fleet, 0, "squad-7", "beds");
    assert_eq!((answer.status, answer.body.as_str()), (201, "\0beds\x7f"));
    assert_eq!(answer.content_type, "text/beds");
    assert_eq!(fleet.runs("squad-7"), 0);
    fleet.stop();
}

/// Guards against a lost answer and callers that hang because the store goes down while a hold runs.
#[test]
fn a_store_outage_during_a_hold_loses_no_answer_and_blocks_no_caller() {
    let fleet = Arc::new(fleet(2));
    let headers = [("idempotency-key", "squad-7"), ("x-work-us", "400000")];
    let running = {
        let fleet = Arc::clone(&fleet);
        std::thread::spawn(move || post(&fleet, 0, "/holds", &headers, "beds"))
    };
    wait_until("the hold runs", || fleet.runs("squad-7") == 1);
    fleet
        .platform
        .change_faults(|faults| faults.outage = Some(Outage::Silence));
    let first = hold(&fleet, 1, "squad-8", "beds");
    assert_eq!((first.status, first.outcome.as_str()), (503, "not_run"));
    wait_until("the outage is noticed", || {
        let began = Instant::now();
        let answer = hold(&fleet, 1, "squad-9", "beds");
        assert_eq!(
            (answer.status, answer.reason.as_str()),
            (503, "store_unavailable")
        );
        assert_eq!(
            (answer.outcome.as_str(), answer.retry_after),
            ("not_run", true)
        );
        began.elapsed() < Duration::from_millis(50)
    });
    assert_eq!(
        (lookup_status(&fleet, 0), lookup_status(&fleet, 1)),
        (200, 200)
    );
    assert_ran(&running.join().unwrap());
    fleet.platform.set_faults(Faults::default());
    wait_until("the answer is recorded", || {
        hold(&fleet, 1, "squad-7", "beds").status == 200
    });
    assert_eq!(fleet.runs("squad-7"), 1);
    assert_eq!(fleet.runs("squad-8") + fleet.runs("squad-9"), 0);
    Arc::into_inner(fleet).unwrap().stop();
}

/// Guards against a wrong run of a hold whose key is missing, was used with another body, or whose answer is too long
/// to be recorded.
#[test]
fn keys_reused_missing_or_with_a_long_answer_get_the_true_outcome() {
    let fleet = fleet(2);
    assert_ran(&hold(&fleet, 0, "squad-7", "beds"));
    for vm in 0..2 {
        let answer = hold(&fleet, vm, "squad-7", "other beds");
        let got = (
            answer.status,
            answer.reason.as_str(),
            answer.outcome.as_str(),
        );
        assert_eq!(got, (422, "key_reused", "not_run"));
    }
    assert_eq!(fleet.runs("squad-7"), 1);
    let answer = post(&fleet, 0, "/holds", &[], "beds");
    let got = (
        answer.status,
        answer.reason.as_str(),
        answer.outcome.as_str(),
    );
    assert_eq!(got, (400, "key_missing", "not_run"));
    let key = [("idempotency-key", "long")];
    assert_ran(&post(&fleet, 0, "/brief", &key, "beds"));
    wait_until("the end is recorded", || {
        let answer = post(&fleet, 1, "/brief", &key, "beds");
        answer.reason == "key_already_ran" && answer.outcome == "ran"
    });
    assert_eq!(fleet.runs("long"), 1);
    let store = Client::new(&fleet.platform.address().to_string());
    let found = claim_lookup::look_up(&store, &"trip".into(), "squad-7").unwrap();
    let entry = found.entry.unwrap();
    assert!(matches!(entry.state, EntryState::Answered(_)), "{entry:?}");
    assert_eq!(&*entry.claimant.vm, "entry-0");
    assert_eq!(found.object.as_deref(), Some(HEAD));
    let found = claim_lookup::look_up(&store, &"trip".into(), "nobody's").unwrap();
    assert_eq!((found.entry, found.object), (None, None));
    fleet.stop();
}

/// Guards against lost claims: an unreadable object of the ledger is overwritten.
#[test]
fn a_corrupt_ledger_object_is_refused_and_never_overwritten() {
    let fleet = fleet(1);
    let intact = fleet.platform.object(HEAD).unwrap().value;
    fleet.platform.overwrite(HEAD, "{corrupt");
    let answer = hold(&fleet, 0, "squad-7", "beds");
    let got = (
        answer.status,
        answer.reason.as_str(),
        answer.outcome.as_str(),
    );
    assert_eq!(got, (503, "store_unavailable", "not_run"));
    assert_eq!(fleet.platform.object(HEAD).unwrap().value, "{corrupt");
    fleet.platform.overwrite(HEAD, &intact);
    wait_until("holds run again", || {
        hold(&fleet, 0, "squad-8", "beds").status == 200
    });
    assert_eq!(fleet.runs("squad-7"), 0);
    fleet.stop();
}
