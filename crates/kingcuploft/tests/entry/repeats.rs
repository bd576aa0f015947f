use std::time::{Duration, Instant};

use kingcuploft::entry::repeats::{RepeatBounds, Repeats};

const BOUNDS: RepeatBounds = RepeatBounds {
    ratio: 0.2,
    allowance: 58.0,
    window: Duration::from_secs(10),
};

/// Guards against repeats of all VMs together beyond their budget, however callers are spread.
#[test]
fn all_vms_together_stay_within_the_budget_while_every_request_fails() {
    let start = Instant::now();
    let vms = 14;
    let mut fleet: Vec<Repeats> = (0..vms).map(|_| Repeats::default()).collect();
    let mut sent: Vec<(Duration, bool)> = Vec::new();
    let mut rng = fastrand::Rng::with_seed(3);
    for tick in 0..6000 {
        let at = Duration::from_millis(tick * 5);
        let vm = rng.usize(0..vms).min(rng.usize(0..vms));
        let now = start + at;
        fleet[vm].arrived(now);
        sent.push((at, false));
        while fleet[vm].has_room(now, &BOUNDS, vms) {
            fleet[vm].repeated(now);
            sent.push((at, true));
        }
    }
    for from in (0..20).map(Duration::from_secs) {
        let in_window = |at: Duration| at >= from && at < from + BOUNDS.window;
        let count = |repeat| {
            sent.iter()
                .filter(|(at, r)| *r == repeat && in_window(*at))
                .count()
        };
        let (repeats, requests) = (count(true), count(false));
        let allowed = 0.2 * requests as f64 + 58.0;
        assert!(repeats > 0);
        assert!(
            repeats as f64 <= allowed,
            "{repeats} repeats of {requests} requests from {from:?}"
        );
    }
}

/// A VM restarts while the store is away and does not know how many others there are.
#[test]
fn a_vm_that_has_not_counted_the_others_uses_its_own_share_only() {
    let now = Instant::now();
    let mut repeats = Repeats::default();
    assert!(!repeats.has_room(now, &BOUNDS, 1000));
    (0..20).for_each(|_| repeats.arrived(now));
    assert!(repeats.has_room(now, &BOUNDS, 1000));
    (0..3).for_each(|_| repeats.repeated(now));
    assert!(!repeats.has_room(now, &BOUNDS, 1000));
    assert_eq!(repeats.used(), 3);
}

#[test]
fn room_comes_back_when_the_window_has_passed() {
    let now = Instant::now();
    let mut repeats = Repeats::default();
    while repeats.has_room(now, &BOUNDS, 14) {
        repeats.repeated(now);
    }
    assert!(!repeats.has_room(now + BOUNDS.window, &BOUNDS, 14));
    assert!(repeats.has_room(now + BOUNDS.window.mul_f64(1.2), &BOUNDS, 14));
}
