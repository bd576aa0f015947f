//! When a lookup's slow first attempt is reason enough for a second.

use std::time::Duration;

use kingcuploft::decisions::hedge::{Hedge, HedgeReason, Judgement, Look};
use kingcuploft::decisions::pace::ServiceTime;
use kingcuploft::settings::hedge::HedgeSettings;
use kingcuploft::world::ids::BackendServerName;

const USUAL: Duration = Duration::from_millis(5);

fn usual() -> ServiceTime {
    let mut usual = ServiceTime::default();
    (0..100).for_each(|_| usual.sample(USUAL));
    usual
}

/// A budget that is full, and a backend server whose answers took so long.
fn hedge(answers: &[u64]) -> (Hedge, BackendServerName) {
    let mut hedge = Hedge::new(&HedgeSettings::default());
    for _ in 0..1_000 {
        hedge.sent(&usual());
    }
    let server: BackendServerName = "one".into();
    for &ms in answers {
        hedge.measured(&server, Duration::from_millis(ms), &usual());
    }
    (hedge, server)
}

fn look(calm_for: Option<Duration>) -> Look {
    Look {
        elapsed: Duration::from_millis(100),
        left: Duration::from_millis(900),
        usual: usual(),
        calm_for,
    }
}

/// A backend server's answers take six times as long as usual, one after the other.
#[test]
fn a_slow_spell_is_a_reason_and_one_long_job_is_none() {
    let (slow, server) = hedge(&[5, 5, 30, 30, 30, 30]);
    let judged = slow.judge(&server, &look(None));
    assert_eq!(judged, Judgement::Hedge(HedgeReason::SlowSpell));
    let (steady, server) = hedge(&[5, 5, 5, 120]);
    assert_eq!(steady.judge(&server, &look(None)), Judgement::Leave);
}

/// Requests have waited for slots just now: the hedge would take one from the next of them.
#[test]
fn nothing_is_hedged_shortly_after_requests_waited() {
    let (slow, server) = hedge(&[30; 10]);
    let just_now = look(Some(Duration::from_millis(10)));
    assert_eq!(slow.judge(&server, &just_now), Judgement::Leave);
    let long_ago = look(Some(Duration::from_secs(1)));
    let judged = slow.judge(&server, &long_ago);
    assert_eq!(judged, Judgement::Hedge(HedgeReason::SlowSpell));
}
