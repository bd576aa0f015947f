//! One scenario for each part of the product: callers get what they should, and less with the part
//! switched off.

use crate::fleet::play;
use crate::world::{
    Choose, Outcome, PROBES_PER_S, Parts, REPEAT_ALLOWANCE, REPEAT_RATIO, Trouble, WHOLE, World,
};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;

/// Returns the mean over some seeds of what a figure of the outcome is.
fn mean(world: impl Fn(u64) -> World, figure: impl Fn(&Outcome) -> f64) -> f64 {
    let figures: Vec<f64> = SEEDS.map(|seed| figure(&play(&world(seed)))).collect();
    figures.iter().sum::<f64>() / figures.len() as f64
}

fn random() -> Parts {
    Parts {
        choose: Choose::Random,
        ..WHOLE
    }
}

fn least_own() -> Parts {
    Parts {
        choose: Choose::LeastOwn,
        ..WHOLE
    }
}

/// Guards against choices by replies that are old by the next one.
#[test]
fn callers_of_a_calm_day_are_answered_in_time() {
    let in_time = |parts| mean(|seed| World::calm(seed).with(parts), Outcome::in_time_share);
    assert!(in_time(WHOLE) > 0.98, "{}", in_time(WHOLE));
    assert!(in_time(random()) < 0.80, "{}", in_time(random()));
    assert!(in_time(least_own()) < 0.80, "{}", in_time(least_own()));
}

/// Guards against an overload that is served worse than by blind choice.
#[test]
fn callers_of_an_overload_get_no_less_than_by_naive_choices() {
    for times in [0.8, 1.0, 1.5, 3.0] {
        let share = |parts| {
            let world = |seed| World {
                probe_cost_ms: 0.0,
                ..World::overload(seed, times).with(parts)
            };
            mean(world, Outcome::in_time_share)
        };
        let (own, naive) = (share(WHOLE), share(random()).max(share(least_own())));
        // At three times the load all servers are full, and no choice is better than another.
        assert!(own > naive - 0.02, "at {times}: {own} against {naive}");
        let far_better = times > 1.0 || own > naive + 0.2;
        assert!(far_better, "at {times}: {own} against {naive}");
    }
}

/// Guards against a burst whose requests stand in lines while a good server is near.
#[test]
fn requests_that_wait_for_a_good_server_are_answered_sooner() {
    let in_time = |waits| {
        let parts = Parts { waits, ..WHOLE };
        let world = |seed| World {
            probe_cost_ms: 0.0,
            ..World::overload(seed, 1.2).with(parts)
        };
        mean(world, Outcome::in_time_share)
    };
    let (waiting, at_once) = (in_time(true), in_time(false));
    assert!(waiting > at_once + 0.05, "{waiting} against {at_once}");
}

/// Guards against callers that can't be in time and make those behind them late.
#[test]
fn callers_who_can_be_in_time_do_not_stand_behind_those_who_cannot() {
    let in_time = |times, yields| {
        let parts = Parts { yields, ..WHOLE };
        let world = |seed| World {
            probe_cost_ms: 0.0,
            ..World::overload(seed, times).with(parts)
        };
        mean(world, Outcome::in_time_share)
    };
    assert!(in_time(1.5, true) > 0.75, "{}", in_time(1.5, true));
    for times in [1.5, 2.0] {
        let (yielding, joining) = (in_time(times, true), in_time(times, false));
        assert!(yielding > joining + 0.1, "{yielding} against {joining}");
    }
}

/// What can't be answered is refused while its caller can still come back, and never held to its deadline.
#[test]
fn refusals_of_an_overload_come_before_the_deadline() {
    for seed in SEEDS {
        let world = World::overload(seed, 3.0);
        let outcome = play(&world);
        assert!(outcome.refused > 1000, "{outcome:?}");
        let latest_ms = world.deadline_ms - world.work_ms;
        assert!(outcome.longest_refusal_ms < latest_ms, "{outcome:?}");
    }
}

/// Guards against probes that take the slots of requests.
#[test]
fn probes_stay_in_their_budget_and_leave_slots_to_requests() {
    let world = |parts| move |seed| World::overload(seed, 0.85).with(parts);
    let unbounded = Parts {
        probe_budget: false,
        ..WHOLE
    };
    let probes = mean(world(WHOLE), |outcome| outcome.probes_per_s);
    // Eight seconds before the traffic count as well, of twenty-eight in all.
    assert!(probes * 20.0 / 28.0 <= PROBES_PER_S, "{probes}");
    let bounded = mean(world(WHOLE), Outcome::in_time_share);
    let spent = mean(world(unbounded), Outcome::in_time_share);
    assert!(bounded > 0.85 && spent < 0.5, "{bounded} against {spent}");
}

/// Guards against lookups that servers hold which fell silent.
#[test]
fn lookups_held_by_silent_servers_are_answered_elsewhere() {
    let failed = |second_look| {
        let parts = Parts {
            second_look,
            ..WHOLE
        };
        let world = |seed| World::calm(seed).trouble(4, Trouble::Silent).with(parts);
        mean(world, |outcome| f64::from(outcome.failed))
    };
    let (with, without) = (failed(true), failed(false));
    assert!(with < 1.0 && without >= 2.0, "{with} against {without}");
}

/// Guards against servers that fail, look idle and draw the work of all.
#[test]
fn servers_that_fail_get_less_work_though_they_look_idle() {
    let repeats = |avoids_failing| {
        let parts = Parts {
            avoids_failing,
            ..WHOLE
        };
        let grey = Trouble::Grey(0.5);
        let world = |seed| World::calm(seed).trouble(4, grey).with(parts);
        mean(world, |outcome| f64::from(outcome.repeats))
    };
    let (avoided, drawn) = (repeats(true), repeats(false));
    assert!(avoided < 0.8 * drawn, "{avoided} against {drawn}");
}

/// Guards against requests held untried where all servers fail alike.
#[test]
fn requests_are_not_held_up_where_all_servers_fail_alike() {
    for seed in SEEDS {
        let failing = World::calm(seed).trouble(16, Trouble::Grey(0.5));
        let outcome = play(&failing);
        assert_eq!(outcome.refused, 0, "{outcome:?}");
        assert!(outcome.in_time_share() > 0.74, "{outcome:?}");
    }
}

/// Six of sixteen servers turn eight times slower for eight seconds.
#[test]
fn servers_that_turn_slow_are_left_to_the_others() {
    let in_time = |parts| {
        let world = |seed| World::calm(seed).trouble(6, Trouble::Slow(8.0)).with(parts);
        mean(world, Outcome::in_time_share)
    };
    let (own, naive) = (in_time(WHOLE), in_time(least_own()));
    assert!(own > 0.92 && naive < 0.75, "{own} against {naive}");
}

/// Guards against new work for leaving servers while the others are busy.
#[test]
fn leaving_servers_get_no_new_work_under_load() {
    for seed in SEEDS {
        let leaving = World::calm(seed).trouble(4, Trouble::Leaves);
        let outcome = play(&leaving);
        assert_eq!(outcome.after_leaving, 0);
        assert!(outcome.served_share() > 0.97, "{outcome:?}");
    }
}

/// One request in thirty takes ten times as long. Short ones don't stand behind it.
#[test]
fn short_requests_are_not_held_up_by_long_ones() {
    let short_in_time = |parts| {
        let world = |seed| World {
            long_share: 0.03,
            per_s: 60.0,
            ..World::calm(seed).with(parts)
        };
        mean(world, |outcome| {
            f64::from(outcome.short_in_time) / f64::from(outcome.short_requests)
        })
    };
    let (own, naive) = (short_in_time(WHOLE), short_in_time(least_own()));
    assert!(own > 0.97 && naive < 0.80, "{own} against {naive}");
}

/// Guards against budgets that fail callers where half of the VMs are lost.
#[test]
fn callers_of_lost_vms_are_served_by_the_others() {
    for seed in SEEDS {
        let lost = World {
            lost_vms: Some((5_000_000, 7)),
            vms_believed: Some(14),
            ..World::calm(seed)
        };
        let outcome = play(&lost);
        assert!(outcome.served_share() > 0.99, "{outcome:?}");
        assert!(outcome.in_time_share() > 0.90, "{outcome:?}");
    }
}

/// Guards against repeats beyond the budget of all VMs together.
#[test]
fn repeats_stay_in_the_budget_of_all_vms() {
    for seed in SEEDS {
        let failing = World {
            per_s: 200.0,
            ..World::calm(seed).trouble(8, Trouble::Grey(0.5))
        };
        let outcome = play(&failing);
        // Two windows of ten seconds.
        let most = REPEAT_RATIO * f64::from(outcome.requests) + 2.0 * REPEAT_ALLOWANCE;
        assert!(f64::from(outcome.repeats) <= most, "{outcome:?}");
        assert!(outcome.repeats > 50, "{outcome:?}");
    }
}

/// Guards against last slots that cost callers their time while idle servers stand elsewhere.
#[test]
fn callers_are_not_sent_to_last_slots_that_cost_them_their_time() {
    let in_time = |learns_last_slot| {
        let parts = Parts {
            learns_last_slot,
            ..WHOLE
        };
        let world = |seed| World::shared_processors(seed).with(parts);
        mean(world, Outcome::in_time_share)
    };
    let (learned, blind) = (in_time(true), in_time(false));
    assert!(learned > 0.97, "{learned} against {blind}");
    assert!(learned > blind + 0.03, "{learned} against {blind}");
}

/// The way to another zone costs time and bytes. On a calm day nearly all requests stay in theirs.
#[test]
fn requests_of_a_calm_day_stay_in_their_zone() {
    let far = |parts| {
        let world = |seed| World::calm(seed).with(parts);
        mean(world, |o| f64::from(o.far) / f64::from(o.arrivals))
    };
    assert!(far(WHOLE) < 0.06, "{}", far(WHOLE));
    assert!(far(random()) > 0.6, "{}", far(random()));
}

#[test]
fn a_seed_plays_the_same_day_each_time() {
    let text = |seed| format!("{:?}", play(&World::overload(seed, 1.0)));
    assert_eq!(text(5), text(5));
    assert_ne!(text(5), text(6));
}
