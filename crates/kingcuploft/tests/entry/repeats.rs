use std::time::{Duration, Instant};

use kingcuploft::entry::repeats::{RepeatBounds, Repeats};

const BOUNDS: RepeatBounds = RepeatBounds {
    ratio: 0.2,
    allowance: 58.0,
    window: Duration::from_secs(10),
};

/// Every server fails, and every request asks for a repeat. 14 VMs see uneven shares of 200 requests
/// a second; what reaches the servers beyond the first sends must stay within the bound in every
/// window, however the requests are spread.
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

/// All servers of a service fail on three hundred VMs that may repeat four times each in ten seconds. Cut to whole repeats
/// on each, an eighth of the budget was left while callers were refused; together they use most of it, and no more.
#[test]
fn hundreds_of_vms_use_the_budget_and_no_more() {
    let bounds = RepeatBounds {
        allowance: 430.0,
        ..BOUNDS
    };
    let (start, vms) = (Instant::now(), 312);
    let mut rng = fastrand::Rng::with_seed(7);
    let mut fleet: Vec<Repeats> = (0..vms).map(|_| Repeats::new(rng.f64())).collect();
    let mut repeats_at: Vec<Duration> = Vec::new();
    for request in 0..24_000 {
        let at = Duration::from_micros(request * 1250);
        let (now, vm) = (start + at, rng.usize(0..vms));
        fleet[vm].arrived(now);
        while fleet[vm].has_room(now, &bounds, vms) {
            fleet[vm].repeated(now);
            repeats_at.push(at);
        }
    }
    let allowed = 0.2 * 8000.0 + 430.0;
    for from in (10..20).map(Duration::from_secs) {
        let in_window = |at: &&Duration| **at >= from && **at < from + bounds.window;
        let used = repeats_at.iter().filter(in_window).count() as f64 / allowed;
        assert!(used <= 1.0, "{used:.2} of the budget from {from:?}");
        assert!(used >= 0.7, "{used:.2} of the budget from {from:?}");
    }
}
