//! How much service callers and priorities get when they compete.

use std::time::{Duration, Instant};

use kingcuploft::decisions::admission::{Admission, AdmissionDecision, NextRequest};
use kingcuploft::settings::admission::AdmissionSettings;
use kingcuploft::world::contract::Priority;
use kingcuploft::world::refusal::RefusalReason;

use crate::{service, waiting};

fn unfair() -> AdmissionSettings {
    AdmissionSettings {
        fair_share: false,
        ..AdmissionSettings::default()
    }
}

/// Serves the next `count` requests and counts those of a caller.
fn served(admission: &mut Admission, now: Instant, count: usize, caller: &str) -> usize {
    let served = (0..count).filter_map(|_| match admission.next(now) {
        NextRequest::Serve(waiting) => Some(waiting),
        NextRequest::Shed(..) | NextRequest::Empty => None,
    });
    served.filter(|waiting| &*waiting.caller == caller).count()
}

/// Load pattern: one office's script sends 40 requests at once, then a squad sends one. The squad is served next but
/// one: the script's request whose turn it was goes first.
fn place_behind_a_burst(settings: AdmissionSettings) -> usize {
    let mut admission = Admission::new(&service(settings));
    let now = Instant::now();
    for request in 0..40 {
        let burst = waiting(request, "script", Priority::Interactive, now);
        assert_eq!(admission.offer(now, burst), AdmissionDecision::Queued);
    }
    admission.next(now);
    let one = waiting(100, "squad", Priority::Interactive, now);
    assert_eq!(admission.offer(now, one), AdmissionDecision::Queued);
    let place = (1..).find(|_| served(&mut admission, now, 1, "squad") == 1);
    place.unwrap()
}

#[test]
fn a_caller_does_not_wait_behind_another_ones_burst() {
    assert_eq!(place_behind_a_burst(AdmissionSettings::default()), 2);
    assert_eq!(place_behind_a_burst(unfair()), 40);
}

/// Load pattern: a script has filled the queue when a squad's request arrives. The script's last request is evicted for
/// it; with no other caller waiting, the script was free to use the whole queue.
#[test]
fn a_full_queue_evicts_a_request_of_the_hottest_caller() {
    let mut admission = Admission::new(&service(AdmissionSettings::default()));
    let now = Instant::now();
    for request in 0..64 {
        let burst = waiting(request, "script", Priority::Interactive, now);
        assert_eq!(admission.offer(now, burst), AdmissionDecision::Queued);
    }
    let one = waiting(100, "squad", Priority::Interactive, now);
    let AdmissionDecision::QueuedReplacing(63, refusal) = admission.offer(now, one) else {
        panic!("the squad is turned away");
    };
    assert_eq!(refusal.reason, RefusalReason::CallerShare);
    assert!(refusal.retry_after.is_some());
    let more = waiting(101, "script", Priority::Interactive, now);
    let AdmissionDecision::Refused(refusal) = admission.offer(now, more) else {
        panic!("the script has more than its share");
    };
    assert_eq!(refusal.reason, RefusalReason::CallerShare);
}

/// Load pattern: long jobs and short ones wait. Callers get equal slot time, not equal numbers of requests.
#[test]
fn callers_share_slot_time() {
    let mut admission = Admission::new(&service(AdmissionSettings::default()));
    let now = Instant::now();
    admission.record_service_time(&"Interactive".into(), Duration::from_millis(10));
    admission.record_service_time(&"export".into(), Duration::from_millis(100));
    for request in 0..60 {
        let caller = if request % 2 == 0 { "short" } else { "long" };
        let mut waiting = waiting(request, caller, Priority::Interactive, now);
        waiting.caller_share = 1.0;
        if caller == "long" {
            waiting.rule = "export".into();
        }
        assert_eq!(admission.offer(now, waiting), AdmissionDecision::Queued);
    }
    let long = served(&mut admission, now, 22, "long");
    assert!((2..=3).contains(&long), "{long} long jobs among 22");
}

/// Load pattern: reads arrive faster than they can be served, and searches wait. Holds come first, and a search is
/// still served for every 25 turns or sooner.
#[test]
fn protected_goes_first_and_background_is_not_starved() {
    let mut admission = Admission::new(&service(AdmissionSettings::default()));
    let now = Instant::now();
    let mut request = 0;
    let mut offer = |admission: &mut Admission, priority| {
        request += 1;
        let caller = format!("{priority:?}");
        admission.offer(now, waiting(request, &caller, priority, now));
    };
    for _ in 0..40 {
        offer(&mut admission, Priority::Background);
        offer(&mut admission, Priority::Interactive);
    }
    let mut searches = 0;
    for turn in 0..250 {
        offer(&mut admission, Priority::Interactive);
        if turn % 10 == 5 {
            offer(&mut admission, Priority::Protected);
            let hold = served(&mut admission, now, 1, "Protected");
            assert_eq!(hold, 1, "the hold goes first");
        }
        searches += served(&mut admission, now, 1, "Background");
    }
    assert!(
        (10..=40).contains(&searches),
        "{searches} searches in 250 turns"
    );
}

/// Load pattern: every request comes from a caller never seen before. Memory stays bounded.
#[test]
fn an_unlimited_number_of_callers_takes_bounded_memory() {
    let settings = AdmissionSettings {
        callers_remembered: 100,
        ..AdmissionSettings::default()
    };
    let mut admission = Admission::new(&service(settings));
    let now = Instant::now();
    for request in 0..20_000 {
        let caller = format!("caller-{request}");
        admission.offer(now, waiting(request, &caller, Priority::Interactive, now));
        if request % 2 == 0 {
            admission.next(now);
        }
    }
    assert!(admission.tracked_callers() <= 100 + 64);
}
