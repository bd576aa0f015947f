//! Who is refused at the door or given up, with which words.

use std::time::{Duration, Instant};

use kingcuploft::decisions::admission::{Admission, AdmissionDecision, NextRequest};
use kingcuploft::settings::admission::AdmissionSettings;
use kingcuploft::world::contract::Priority;
use kingcuploft::world::refusal::{Outcome, Refusal, RefusalReason};

use crate::{service, waiting};

/// An admission whose queue moves once in 100 ms, with `len` requests that wait.
fn slow_queue(settings: AdmissionSettings, len: u64) -> (Admission, Instant) {
    let mut admission = Admission::new(&service(settings));
    let mut now = Instant::now();
    for request in 0..20 + len {
        let mut waiting = waiting(request, "squad", Priority::Interactive, now);
        waiting.deadline += Duration::from_secs(60);
        assert_eq!(admission.offer(now, waiting), AdmissionDecision::Queued);
    }
    for _ in 0..20 {
        now += Duration::from_millis(100);
        assert!(matches!(admission.next(now), NextRequest::Serve(_)));
    }
    admission.record_service_time(&"Interactive".into(), Duration::from_millis(50));
    (admission, now)
}

fn refused(offer: AdmissionDecision) -> Refusal {
    match offer {
        AdmissionDecision::Refused(refusal) => refusal,
        other => panic!("{other:?}"),
    }
}

/// Twenty requests wait and one is served in 100 ms. A caller with a second left would wait for
/// its whole deadline and get nothing; it is refused in the same instant and told when to come.
#[test]
fn a_request_that_can_not_be_answered_in_time_is_refused_at_the_door() {
    let (mut admission, now) = slow_queue(AdmissionSettings::default(), 20);
    let late = waiting(100, "squad", Priority::Interactive, now);
    let refusal = refused(admission.offer(now, late));
    assert_eq!(refusal.reason, RefusalReason::DeadlineUnreachable);
    assert_eq!(refusal.outcome, Outcome::NotRun);
    let after = refusal.retry_after.expect("a time to come back");
    assert!(after > Duration::from_millis(1400) && after < Duration::from_millis(2600));
}

#[test]
fn deadline_awareness_is_what_refuses_it() {
    let settings = AdmissionSettings {
        deadline_aware: false,
        ..AdmissionSettings::default()
    };
    let (mut admission, now) = slow_queue(settings, 20);
    let late = waiting(100, "squad", Priority::Interactive, now);
    assert_eq!(admission.offer(now, late), AdmissionDecision::Queued);
}

/// The queue stalls: nothing is served for a second. Who waits at the end can not be answered in
/// time any more; it is told so now and not at its deadline.
#[test]
fn who_is_given_up_is_told_at_once() {
    let settings = AdmissionSettings {
        standing_wait_share: 1.0,
        ..AdmissionSettings::default()
    };
    let (mut admission, now) = slow_queue(settings, 6);
    let last = waiting(100, "squad", Priority::Interactive, now);
    assert_eq!(admission.offer(now, last), AdmissionDecision::Queued);
    assert_eq!(admission.shed_one(now), None);
    let stalled = now + Duration::from_millis(700);
    let (request, refusal) = admission.shed_one(stalled).expect("given up");
    assert_eq!(request, 100);
    assert_eq!(refusal.reason, RefusalReason::DeadlineUnreachable);
    assert!(refusal.retry_after.is_some());
}

/// A caller repeats a hold many times while the first is being claimed. Beyond a few, duplicates
/// are refused without a word that nothing ran: the first may be running.
#[test]
fn a_hot_key_is_held_to_its_share_and_never_told_not_run() {
    let mut admission = Admission::new(&service(AdmissionSettings::default()));
    let now = Instant::now();
    let mut hold = waiting(1, "squad", Priority::Protected, now);
    hold.key = Some("squad-7".into());
    for _ in 0..4 {
        assert_eq!(admission.check(now, &hold), AdmissionDecision::Queued);
        admission.claim_started(&hold.rule, hold.key.as_ref());
    }
    let refusal = refused(admission.check(now, &hold));
    assert_eq!(refusal.reason, RefusalReason::KeyShare);
    assert_eq!(refusal.outcome, Outcome::Unknown);
    admission.key_ended(&"squad-7".into());
    assert_eq!(admission.check(now, &hold), AdmissionDecision::Queued);
}

/// A slow spell makes a rule's answers take longer than its callers allow. Had the door refused
/// them all, nothing would be measured any more and the rule stay shut for good after the spell.
#[test]
fn a_slow_spell_does_not_shut_the_door_for_good() {
    let mut admission = Admission::new(&service(AdmissionSettings::default()));
    let now = Instant::now();
    for _ in 0..100 {
        admission.record_service_time(&"Interactive".into(), Duration::from_secs(5));
    }
    for request in 0..3 {
        let alone = waiting(request, "squad", Priority::Interactive, now);
        assert_eq!(admission.offer(now, alone), AdmissionDecision::Queued);
        assert!(matches!(admission.next(now), NextRequest::Serve(_)));
    }
}
