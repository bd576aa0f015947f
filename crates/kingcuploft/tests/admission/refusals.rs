//! Which requests are refused on arrival or shed from the queue, and with which refusal.

use std::time::{Duration, Instant};

use kingcuploft::decisions::admission::{Admission, AdmissionDecision, NextRequest};
use kingcuploft::settings::admission::AdmissionSettings;
use kingcuploft::world::contract::Priority;
use kingcuploft::world::refusal::{Outcome, Refusal, RefusalReason};

use crate::{service, waiting};

/// Returns an admission whose queue moves once in 100 ms, with `len` requests that wait.
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

/// Load pattern: twenty requests wait and one is served in 100 ms. A caller with a second left would wait for its whole
/// deadline and get no answer; it is refused at once and told when to retry.
#[test]
fn a_request_that_can_not_be_answered_in_time_is_refused_on_arrival() {
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

/// Load pattern: the queue stalls and nothing is served for a second. The last request can not be answered in time any
/// more; it is refused now and not at its deadline.
#[test]
fn a_request_that_became_too_late_is_shed_at_once() {
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

/// Load pattern: a caller repeats a hold many times while the first is being claimed. Beyond a few, duplicates are
/// refused without saying that nothing ran: the first may be running.
#[test]
fn a_hot_key_is_limited_to_its_share_and_never_answered_not_run() {
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

/// Failure: a slow spell makes a rule's answers take longer than its callers allow. If admission refused them all,
/// nothing would be measured any more and the rule would stay refused for good after the spell.
#[test]
fn a_slow_spell_does_not_refuse_requests_for_good() {
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
