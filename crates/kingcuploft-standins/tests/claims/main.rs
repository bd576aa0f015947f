//! Holds through real daemons over a platform that fails: what callers are told, and what ran.

mod entry;

use std::sync::Arc;
use std::time::{Duration, Instant};

use entry::{HandHeld, Told, at_once, fleet, hold, look, post, until};
use kingcuploft::decisions::claim::ledger::EntryState;
use kingcuploft::dispatcher::ClaimResult;
use kingcuploft_platform::claim_lookup;
use kingcuploft_platform::client::Client;
use kingcuploft_standins::fleet::Fleet;
use kingcuploft_standins::platform::{Faults, Outage, WriteFault};

const HEAD: &str = "claims/000/head";

fn next_write(fleet: &Fleet, fault: WriteFault) {
    let scripted = (HEAD.to_owned(), fault);
    fleet
        .platform
        .change_faults(|faults| faults.next_writes.push_back(scripted));
}

fn assert_ran(told: &Told) {
    assert_eq!((told.status, told.reason.as_str()), (200, ""), "{told:?}");
}

/// Guards against a hold that is lost, or runs twice, as the answer to its claim was lost.
#[test]
fn a_lost_answer_of_the_store_costs_neither_the_hold_nor_a_second_one() {
    let fleet = fleet(2);
    next_write(&fleet, WriteFault::LostAnswer);
    let first = hold(&fleet, 0, "squad-7", "beds");
    assert_ran(&first);
    until("the answer is recorded", || {
        hold(&fleet, 1, "squad-7", "beds") == first
    });
    assert_eq!(fleet.runs("squad-7"), 1);
    fleet.stop();
}

/// Guards against a claim whose late write takes the place of the one after it.
#[test]
fn a_delayed_write_is_fenced_by_the_next() {
    let fleet = fleet(2);
    next_write(&fleet, WriteFault::Delayed(Duration::from_millis(120)));
    let before = fleet.platform.calls().conflicts;
    assert_ran(&hold(&fleet, 0, "squad-7", "beds"));
    until("the late write lost", || {
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

/// Guards against a hold that runs at several VMs which get it at the same moment.
#[test]
fn the_same_key_through_five_vms_at_once_runs_once() {
    let fleet = Arc::new(fleet(5));
    for key in ["squad-1", "squad-2", "squad-3", "squad-4"] {
        let told = at_once(&fleet, 5, key);
        assert_eq!(fleet.runs(key), 1, "{told:?}");
        assert!(told.iter().any(|told| told.status == 200), "{told:?}");
        for told in told.iter().filter(|told| told.status != 200) {
            let expected = (409, "key_in_progress", "unknown", true);
            let got = (
                told.status,
                told.reason.as_str(),
                told.outcome.as_str(),
                told.retry_after,
            );
            assert_eq!(got, expected);
        }
        until("each VM replays the answer", || {
            (0..5).all(|vm| hold(&fleet, vm, key, "beds").status == 200)
        });
        assert_eq!(fleet.runs(key), 1);
    }
    Arc::into_inner(fleet).unwrap().stop();
}

/// Guards against a second run of a hold whose VM was paused after its claim.
#[test]
fn a_paused_claimants_hold_is_not_taken_over_and_its_answer_is_replayed() {
    let fleet = fleet(1);
    let paused = HandHeld::start(&fleet);
    assert_eq!(paused.claim("squad-7", "beds"), ClaimResult::Held);
    for _ in 0..3 {
        let told = hold(&fleet, 0, "squad-7", "beds");
        let got = (told.status, told.reason.as_str(), told.outcome.as_str());
        assert_eq!(got, (409, "key_in_progress", "unknown"));
    }
    paused.acknowledge(b"\x00beds\x7f");
    paused.stop();
    let told = hold(&fleet, 0, "squad-7", "beds");
    assert_eq!((told.status, told.body.as_str()), (201, "\0beds\x7f"));
    assert_eq!(told.content_type, "text/beds");
    assert_eq!(fleet.runs("squad-7"), 0);
    fleet.stop();
}

/// Guards against an answer that is lost, and callers that hang, as the store goes down in mid flight.
#[test]
fn an_outage_in_mid_flight_loses_no_answer_and_hangs_nobody() {
    let fleet = Arc::new(fleet(2));
    let headers = [("idempotency-key", "squad-7"), ("x-work-us", "400000")];
    let running = {
        let fleet = Arc::clone(&fleet);
        std::thread::spawn(move || post(&fleet, 0, "/holds", &headers, "beds"))
    };
    until("the hold runs", || fleet.runs("squad-7") == 1);
    fleet
        .platform
        .change_faults(|faults| faults.outage = Some(Outage::Silence));
    let first = hold(&fleet, 1, "squad-8", "beds");
    assert_eq!((first.status, first.outcome.as_str()), (503, "not_run"));
    until("the outage is noticed", || {
        let began = Instant::now();
        let told = hold(&fleet, 1, "squad-9", "beds");
        assert_eq!(
            (told.status, told.reason.as_str()),
            (503, "store_unavailable")
        );
        assert_eq!((told.outcome.as_str(), told.retry_after), ("not_run", true));
        began.elapsed() < Duration::from_millis(50)
    });
    assert_eq!((look(&fleet, 0), look(&fleet, 1)), (200, 200));
    assert_ran(&running.join().unwrap());
    fleet.platform.set_faults(Faults::default());
    until("the answer is recorded", || {
        hold(&fleet, 1, "squad-7", "beds").status == 200
    });
    assert_eq!(fleet.runs("squad-7"), 1);
    assert_eq!(fleet.runs("squad-8") + fleet.runs("squad-9"), 0);
    Arc::into_inner(fleet).unwrap().stop();
}

/// Guards against a run that should not be, as a key is used again, missing, or has a long answer.
#[test]
fn keys_reused_missing_or_with_a_long_answer_are_told_truthfully() {
    let fleet = fleet(2);
    assert_ran(&hold(&fleet, 0, "squad-7", "beds"));
    for vm in 0..2 {
        let told = hold(&fleet, vm, "squad-7", "other beds");
        let got = (told.status, told.reason.as_str(), told.outcome.as_str());
        assert_eq!(got, (422, "key_reused", "not_run"));
    }
    assert_eq!(fleet.runs("squad-7"), 1);
    let told = post(&fleet, 0, "/holds", &[], "beds");
    let got = (told.status, told.reason.as_str(), told.outcome.as_str());
    assert_eq!(got, (400, "key_missing", "not_run"));
    let key = [("idempotency-key", "long")];
    assert_ran(&post(&fleet, 0, "/brief", &key, "beds"));
    until("the end is recorded", || {
        let told = post(&fleet, 1, "/brief", &key, "beds");
        told.reason == "key_already_ran" && told.outcome == "ran"
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

/// Guards against claims that are lost, as a ledger object that can't be read is written over.
#[test]
fn a_corrupt_ledger_object_is_refused_and_never_overwritten() {
    let fleet = fleet(1);
    let whole = fleet.platform.object(HEAD).unwrap().value;
    fleet.platform.overwrite(HEAD, "{corrupt");
    let told = hold(&fleet, 0, "squad-7", "beds");
    let got = (told.status, told.reason.as_str(), told.outcome.as_str());
    assert_eq!(got, (503, "store_unavailable", "not_run"));
    assert_eq!(fleet.platform.object(HEAD).unwrap().value, "{corrupt");
    fleet.platform.overwrite(HEAD, &whole);
    until("holds run again", || {
        hold(&fleet, 0, "squad-8", "beds").status == 200
    });
    assert_eq!(fleet.runs("squad-7"), 0);
    fleet.stop();
}
