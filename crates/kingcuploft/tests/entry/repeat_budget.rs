use std::time::{Duration, Instant};

use kingcuploft::entry::repeat_account::UsageReport;
use kingcuploft::entry::repeat_budget::{RepeatBounds, RepeatBudget};
use kingcuploft::world::ids::ServiceName;

const BOUNDS: RepeatBounds = RepeatBounds {
    ratio: 0.2,
    allowance: 58.0,
    window: Duration::from_secs(10),
};

const SECOND: Duration = Duration::from_secs(1);

fn trip() -> ServiceName {
    "trip".into()
}

/// Takes repeats until the budget is used up; returns how many.
fn use_up(repeats: &mut RepeatBudget, now: Instant, vms: usize) -> usize {
    let mut made = 0;
    while repeats.try_take(now, &trip(), &BOUNDS, vms).allows_repeat() {
        made += 1;
    }
    made
}

/// Failure: all VMs together exceed the repeat budget, depending on how callers are spread.
#[test]
fn all_vms_together_stay_within_the_budget_while_every_request_fails() {
    let start = Instant::now();
    let vms = 14;
    let mut fleet: Vec<RepeatBudget> = (0..vms).map(|_| RepeatBudget::for_first_start()).collect();
    let mut sent: Vec<(Duration, bool)> = Vec::new();
    let mut rng = fastrand::Rng::with_seed(3);
    for tick in 0..6000 {
        let at = Duration::from_millis(tick * 5);
        let vm = rng.usize(0..vms).min(rng.usize(0..vms));
        let now = start + at;
        fleet[vm].record_request(now, &trip());
        sent.push((at, false));
        let made = use_up(&mut fleet[vm], now, vms);
        sent.extend((0..made).map(|_| (at, true)));
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

/// Failure: a VM restarts while the store is unavailable, and does not know how many others there are.
#[test]
fn a_vm_that_has_not_counted_the_others_uses_its_own_share_only() {
    let now = Instant::now();
    let mut repeats = RepeatBudget::for_first_start();
    assert_eq!(use_up(&mut repeats, now, 1000), 0);
    (0..20).for_each(|_| repeats.record_request(now, &trip()));
    assert_eq!(use_up(&mut repeats, now, 1000), 3);
    assert_eq!(repeats.status(now, &trip(), &BOUNDS, 1000).used, 3);
}

#[test]
fn the_budget_recovers_when_the_window_has_passed() {
    let now = Instant::now();
    let mut repeats = RepeatBudget::for_first_start();
    assert!(use_up(&mut repeats, now, 14) > 0);
    assert_eq!(use_up(&mut repeats, now + BOUNDS.window, 14), 0);
    assert!(use_up(&mut repeats, now + BOUNDS.window.mul_f64(1.2), 14) > 0);
}

/// Failure: a VM gets a full share of the allowance at each start.
#[test]
fn a_vm_with_unknown_earlier_use_leaves_its_share_of_the_allowance_for_a_window() {
    let now = Instant::now();
    let mut repeats = RepeatBudget::after_restart(now, &BOUNDS);
    assert_eq!(use_up(&mut repeats, now + SECOND, 4), 0);
    (0..20).for_each(|_| repeats.record_request(now + SECOND, &trip()));
    assert_eq!(
        use_up(&mut repeats, now + SECOND, 4),
        3,
        "its share of requests"
    );
    let later = now + BOUNDS.window.mul_f64(1.2);
    assert!(use_up(&mut repeats, later, 4) > 3);
}

#[test]
fn a_restarted_vm_continues_with_the_rest_of_its_budget() {
    let start = Instant::now();
    let mut before = RepeatBudget::for_first_start();
    (0..20).for_each(|_| before.record_request(start, &trip()));
    for _ in 0..5 {
        before.try_take(start, &trip(), &BOUNDS, 4);
    }
    let used = before.report(start + SECOND, &BOUNDS);
    let now = start + 2 * SECOND;
    let without_restart = use_up(&mut before, now, 4);
    let mut after = RepeatBudget::after_restart(now, &BOUNDS);
    let mut reported = used;
    reported.heard_ms = 1000;
    reported.accounts.iter_mut().for_each(|of| of.age_ms = 1000);
    assert!(after.recover(now, &reported));
    assert_eq!(use_up(&mut after, now, 4), without_restart);
}

#[test]
fn a_report_received_twice_counts_once() {
    let now = Instant::now();
    let mut before = RepeatBudget::for_first_start();
    for _ in 0..3 {
        before.try_take(now, &trip(), &BOUNDS, 4);
    }
    let used = before.report(now, &BOUNDS);
    let mut after = RepeatBudget::after_restart(now, &BOUNDS);
    assert!(after.recover(now, &used));
    assert!(!after.recover(now, &used));
    assert_eq!(after.status(now, &trip(), &BOUNDS, 4).used, 3);
}

/// Failure: a VM restarts twice and knows only what it did since the first restart.
#[test]
fn a_second_restart_keeps_the_use_before_the_first() {
    let start = Instant::now();
    let mut repeats = RepeatBudget::for_first_start();
    let used = (0..4)
        .map(|restart| {
            let now = start + SECOND * restart;
            if restart > 0 {
                let used = repeats.report(now, &BOUNDS);
                repeats = RepeatBudget::after_restart(now, &BOUNDS);
                repeats.recover(now, &used);
            }
            use_up(&mut repeats, now, 4)
        })
        .collect::<Vec<_>>();
    assert_eq!(used[1..], [0, 0, 0], "after {} at first", used[0]);
    assert!(used[0] > 0);
    let later = start + BOUNDS.window.mul_f64(1.4);
    assert_eq!(use_up(&mut repeats, later, 4), used[0]);
}

/// Failure: a VM counts a report that it sent since its start as use before its start, and so counts it twice.
#[test]
fn a_report_sent_since_the_start_is_not_added() {
    let now = Instant::now();
    let mut repeats = RepeatBudget::after_restart(now, &BOUNDS);
    let later = now + SECOND;
    (0..20).for_each(|_| repeats.record_request(later, &trip()));
    assert_eq!(use_up(&mut repeats, later, 4), 3);
    let own = repeats.report(later, &BOUNDS);
    assert!(!repeats.recover(later, &own));
    assert_eq!(use_up(&mut repeats, later, 4), 0);
    assert_eq!(repeats.status(later, &trip(), &BOUNDS, 4).used, 3);
}

/// Failure: a replica that was cut off reports that nothing was used, because it has received nothing.
#[test]
fn a_replica_out_of_contact_does_not_prove_that_nothing_was_used() {
    let now = Instant::now();
    let heard = |heard_ms, unknown_ms| UsageReport {
        unknown_ms,
        heard_ms,
        accounts: Vec::new(),
    };
    let mut alone = RepeatBudget::after_restart(now, &BOUNDS);
    assert!(!alone.recover(now, &heard(20_000, 0)));
    assert!(alone.unknown_for(now) > SECOND);
    let mut first = RepeatBudget::after_restart(now, &BOUNDS);
    assert!(first.recover(now, &heard(3_500, 0)));
    assert!(
        first.recover(now, &heard(500, 4_000)),
        "the later one holds"
    );
    assert!(first.unknown_for(now) > SECOND);
    assert!(!first.recover(now, &heard(3_500, 0)));
    assert!(first.unknown_for(now) > SECOND);
}

/// Guards against a window that is too short to be divided into steps and ends the report of what was used.
#[test]
fn a_window_of_no_length_is_reported() {
    let bounds = RepeatBounds {
        window: Duration::from_nanos(10),
        ..BOUNDS
    };
    let mut budget = RepeatBudget::for_first_start();
    let now = Instant::now();
    budget.record_request(now, &"trip".into());
    budget.try_take(now, &"trip".into(), &bounds, 1);
    let report = budget.report(now + Duration::from_nanos(5), &bounds);
    assert_eq!(report.accounts.len(), 1);
}
