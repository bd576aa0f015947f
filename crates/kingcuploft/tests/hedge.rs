//! Hedging: which slow first attempts of a lookup are a reason for a hedge.

use std::time::Duration;

use kingcuploft::decisions::hedge::{AttemptProgress, Hedge, HedgeDecision, HedgeReason};
use kingcuploft::decisions::service_time::ServiceTime;
use kingcuploft::settings::hedge::HedgeSettings;
use kingcuploft::world::ids::BackendServerName;

const USUAL: Duration = Duration::from_millis(5);

fn usual() -> ServiceTime {
    let mut usual = ServiceTime::default();
    (0..100).for_each(|_| usual.record(USUAL));
    usual
}

/// Returns a full budget, and a backend server whose answers took these times, in ms.
fn hedge(answers: &[u64]) -> (Hedge, BackendServerName) {
    let mut hedge = Hedge::new(&HedgeSettings::default());
    for _ in 0..1_000 {
        hedge.lookup_sent(&usual());
    }
    let server: BackendServerName = "one".into();
    for &ms in answers {
        hedge.record_latency(&server, Duration::from_millis(ms), &usual());
    }
    (hedge, server)
}

fn progress(calm_for: Option<Duration>) -> AttemptProgress {
    AttemptProgress {
        elapsed: Duration::from_millis(100),
        remaining: Duration::from_millis(900),
        service_time: usual(),
        since_last_wait: calm_for,
    }
}

/// Load pattern: a backend server's answers take six times as long as usual, one after the other.
#[test]
fn a_slow_spell_is_a_reason_and_one_long_job_is_none() {
    let (slow, server) = hedge(&[5, 5, 30, 30, 30, 30]);
    let judged = slow.decide(&server, &progress(None));
    assert_eq!(judged, HedgeDecision::Hedge(HedgeReason::SlowSpell));
    let (steady, server) = hedge(&[5, 5, 5, 120]);
    assert_eq!(
        steady.decide(&server, &progress(None)),
        HedgeDecision::DoNotHedge
    );
}

/// Load pattern: requests have just waited for slots, so a hedge would take a slot from the next of them.
#[test]
fn nothing_is_hedged_shortly_after_requests_waited() {
    let (slow, server) = hedge(&[30; 10]);
    let just_now = progress(Some(Duration::from_millis(10)));
    assert_eq!(slow.decide(&server, &just_now), HedgeDecision::DoNotHedge);
    let long_ago = progress(Some(Duration::from_secs(1)));
    let judged = slow.decide(&server, &long_ago);
    assert_eq!(judged, HedgeDecision::Hedge(HedgeReason::SlowSpell));
}
