//! One scenario for each feature of the product: callers get good answers, and worse ones with the feature disabled.

use crate::fleet::simulate;
use crate::world::{
    ALL_FEATURES, Choose, FaultKind, Features, Outcome, PROBES_PER_S, REPEAT_ALLOWANCE,
    REPEAT_RATIO, World,
};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;

/// Returns the mean of a figure of the outcome over several seeds.
fn mean(world: impl Fn(u64) -> World, figure: impl Fn(&Outcome) -> f64) -> f64 {
    let figures: Vec<f64> = SEEDS.map(|seed| figure(&simulate(&world(seed)))).collect();
    figures.iter().sum::<f64>() / figures.len() as f64
}

fn random() -> Features {
    Features {
        choose: Choose::Random,
        ..ALL_FEATURES
    }
}

fn least_own() -> Features {
    Features {
        choose: Choose::LeastOwn,
        ..ALL_FEATURES
    }
}

/// Failure: selection by the load in replies, which is outdated by the next reply.
#[test]
fn callers_under_normal_load_are_answered_in_time() {
    let in_time = |features| {
        mean(
            |seed| World::normal_load(seed).with(features),
            Outcome::in_time_share,
        )
    };
    assert!(in_time(ALL_FEATURES) > 0.98, "{}", in_time(ALL_FEATURES));
    assert!(in_time(random()) < 0.80, "{}", in_time(random()));
    assert!(in_time(least_own()) < 0.80, "{}", in_time(least_own()));
}

/// Failure: an overload is served worse than by naive selection.
#[test]
fn an_overload_is_served_no_worse_than_by_naive_selection() {
    for times in [0.8, 1.0, 1.5, 3.0] {
        let share = |features| {
            let world = |seed| World {
                probe_cost_ms: 0.0,
                ..World::overload(seed, times).with(features)
            };
            mean(world, Outcome::in_time_share)
        };
        let (own, naive) = (share(ALL_FEATURES), share(random()).max(share(least_own())));
        // At three times the capacity all servers are full, and no selection is better than another.
        assert!(own > naive - 0.02, "at {times}: {own} against {naive}");
        let far_better = times > 1.0 || own > naive + 0.2;
        assert!(far_better, "at {times}: {own} against {naive}");
    }
}

/// Failure: requests of a burst wait in queues while a good server is about to be free.
#[test]
fn waiting_for_a_good_server_answers_more_requests_in_time() {
    let in_time = |waits| {
        let features = Features {
            waits,
            ..ALL_FEATURES
        };
        let world = |seed| World {
            probe_cost_ms: 0.0,
            ..World::overload(seed, 1.2).with(features)
        };
        mean(world, Outcome::in_time_share)
    };
    let (waiting, at_once) = (in_time(true), in_time(false));
    assert!(waiting > at_once + 0.05, "{waiting} against {at_once}");
}

/// Failure: requests that can't be answered in time make those behind them late.
#[test]
fn late_requests_do_not_delay_those_that_can_be_in_time() {
    let in_time = |times, yields_when_late| {
        let features = Features {
            yields_when_late,
            ..ALL_FEATURES
        };
        let world = |seed| World {
            probe_cost_ms: 0.0,
            ..World::overload(seed, times).with(features)
        };
        mean(world, Outcome::in_time_share)
    };
    assert!(in_time(1.5, true) > 0.75, "{}", in_time(1.5, true));
    for times in [1.5, 2.0] {
        let (yielding, joining) = (in_time(times, true), in_time(times, false));
        assert!(yielding > joining + 0.1, "{yielding} against {joining}");
    }
}

/// Requests that can't be answered are refused while their callers can still retry, and not held until the deadline.
#[test]
fn refusals_of_an_overload_come_before_the_deadline() {
    for seed in SEEDS {
        let world = World::overload(seed, 3.0);
        let outcome = simulate(&world);
        assert!(outcome.refused > 1000, "{outcome:?}");
        let latest_ms = world.deadline_ms - world.work_ms;
        assert!(outcome.longest_refusal_ms < latest_ms, "{outcome:?}");
    }
}

/// Failure: probes take the slots of requests.
#[test]
fn probes_stay_in_their_budget_and_leave_slots_to_requests() {
    let world = |features| move |seed| World::overload(seed, 0.85).with(features);
    let unbounded = Features {
        probe_budget: false,
        ..ALL_FEATURES
    };
    let probes = mean(world(ALL_FEATURES), |outcome| outcome.probes_per_s);
    // The budget also accrues in the eight seconds before the traffic, of twenty-eight in all.
    assert!(probes * 20.0 / 28.0 <= PROBES_PER_S, "{probes}");
    let bounded = mean(world(ALL_FEATURES), Outcome::in_time_share);
    let spent = mean(world(unbounded), Outcome::in_time_share);
    assert!(bounded > 0.85 && spent < 0.5, "{bounded} against {spent}");
}

/// Failure: lookups are held by servers that stopped responding.
#[test]
fn lookups_held_by_unresponsive_servers_are_hedged() {
    let failed = |hedges| {
        let features = Features {
            hedges,
            ..ALL_FEATURES
        };
        let world = |seed| {
            World::normal_load(seed)
                .with_faults(4, FaultKind::Silent)
                .with(features)
        };
        mean(world, |outcome| f64::from(outcome.failed))
    };
    let (with, without) = (failed(true), failed(false));
    assert!(with < 1.0 && without >= 2.0, "{with} against {without}");
}

/// Failure: servers that fail look idle and attract requests.
#[test]
fn failing_servers_get_fewer_requests_though_they_look_idle() {
    let repeats = |avoids_failing| {
        let features = Features {
            avoids_failing,
            ..ALL_FEATURES
        };
        let grey = FaultKind::FailsShare(0.5);
        let world = |seed| World::normal_load(seed).with_faults(4, grey).with(features);
        mean(world, |outcome| f64::from(outcome.repeats))
    };
    let (avoided, drawn) = (repeats(true), repeats(false));
    assert!(avoided < 0.8 * drawn, "{avoided} against {drawn}");
}

/// Failure: requests are held without an attempt although all servers fail alike.
#[test]
fn requests_are_not_held_if_all_servers_fail_alike() {
    for seed in SEEDS {
        let failing = World::normal_load(seed).with_faults(16, FaultKind::FailsShare(0.5));
        let outcome = simulate(&failing);
        assert_eq!(outcome.refused, 0, "{outcome:?}");
        assert!(outcome.in_time_share() > 0.74, "{outcome:?}");
    }
}

/// Failure: six of sixteen servers turn eight times slower for eight seconds.
#[test]
fn servers_that_turn_slow_are_avoided() {
    let in_time = |features| {
        let world = |seed| {
            World::normal_load(seed)
                .with_faults(6, FaultKind::Slow(8.0))
                .with(features)
        };
        mean(world, Outcome::in_time_share)
    };
    let (own, naive) = (in_time(ALL_FEATURES), in_time(least_own()));
    assert!(own > 0.92 && naive < 0.75, "{own} against {naive}");
}

/// Failure: draining servers get new requests while the others are busy.
#[test]
fn draining_servers_get_no_new_requests_under_load() {
    for seed in SEEDS {
        let leaving = World::normal_load(seed).with_faults(4, FaultKind::Drains);
        let outcome = simulate(&leaving);
        assert_eq!(outcome.after_draining, 0);
        assert!(outcome.served_share() > 0.97, "{outcome:?}");
    }
}

/// Failure: one request in thirty takes ten times as long, and short ones queue behind it.
#[test]
fn short_requests_are_not_delayed_by_long_ones() {
    let short_in_time = |features| {
        let world = |seed| World {
            long_share: 0.03,
            per_s: 60.0,
            ..World::normal_load(seed).with(features)
        };
        mean(world, |outcome| {
            f64::from(outcome.short_in_time) / f64::from(outcome.short_requests)
        })
    };
    let (own, naive) = (short_in_time(ALL_FEATURES), short_in_time(least_own()));
    assert!(own > 0.97 && naive < 0.80, "{own} against {naive}");
}

/// Failure: budgets reject callers after half of the VMs are lost.
#[test]
fn callers_of_lost_vms_are_served_by_the_others() {
    for seed in SEEDS {
        let lost = World {
            lost_vms: Some((5_000_000, 7)),
            assumed_vms: Some(14),
            ..World::normal_load(seed)
        };
        let outcome = simulate(&lost);
        assert!(outcome.served_share() > 0.99, "{outcome:?}");
        assert!(outcome.in_time_share() > 0.90, "{outcome:?}");
    }
}

/// Failure: the repeats of all VMs together exceed their budget.
#[test]
fn repeats_stay_in_the_budget_of_all_vms() {
    for seed in SEEDS {
        let failing = World {
            per_s: 200.0,
            ..World::normal_load(seed).with_faults(8, FaultKind::FailsShare(0.5))
        };
        let outcome = simulate(&failing);
        // Two windows of ten seconds.
        let most = REPEAT_RATIO * f64::from(outcome.requests) + 2.0 * REPEAT_ALLOWANCE;
        assert!(f64::from(outcome.repeats) <= most, "{outcome:?}");
        assert!(outcome.repeats > 50, "{outcome:?}");
    }
}

/// Failure: requests take slow last slots while idle servers stand in other zones.
#[test]
fn slow_last_slots_are_avoided() {
    let in_time = |features| {
        let world = |seed| World::shared_processors(seed).with(features);
        mean(world, Outcome::in_time_share)
    };
    let alone = |learns_last_slot| {
        in_time(Features {
            learns_last_slot,
            learns_good_share: false,
            ..ALL_FEATURES
        })
    };
    let (learned, blind) = (alone(true), alone(false));
    assert!(in_time(ALL_FEATURES) > 0.97, "{}", in_time(ALL_FEATURES));
    assert!(learned > 0.97, "{learned} against {blind}");
    assert!(learned > blind + 0.03, "{learned} against {blind}");
}

/// Traffic to another zone costs time and bytes; under normal load nearly all requests stay in their zone.
#[test]
fn requests_under_normal_load_stay_in_their_zone() {
    let far = |features| {
        let world = |seed| World::normal_load(seed).with(features);
        mean(world, |o| f64::from(o.far) / f64::from(o.arrivals))
    };
    assert!(far(ALL_FEATURES) < 0.06, "{}", far(ALL_FEATURES));
    assert!(far(random()) > 0.6, "{}", far(random()));
}

#[test]
fn a_seed_gives_the_same_outcome_each_time() {
    let text = |seed| format!("{:?}", simulate(&World::overload(seed, 1.0)));
    assert_eq!(text(5), text(5));
    assert_ne!(text(5), text(6));
}

/// Guards against callers that are told to come back when their answer can only be late, though servers have room.
#[test]
fn callers_whose_requests_were_turned_away_come_back_in_time() {
    let in_time = |tells_when_to_return| {
        let features = Features {
            tells_when_to_return,
            ..ALL_FEATURES
        };
        let world = |seed| World {
            callers_return: true,
            ..World::normal_load(seed)
                .with_faults(16, FaultKind::TurnsAway(0.55))
                .with(features)
        };
        mean(world, Outcome::in_time_share)
    };
    let (told, always_later) = (in_time(true), in_time(false));
    assert!(told > always_later + 0.02, "{told} against {always_later}");
}

/// Guards against VMs that do nothing but ask servers for their load where nearly all of these are idle.
#[test]
fn few_servers_are_probed_where_most_are_idle_and_callers_lose_nothing() {
    let play = |learns_good_share| {
        let features = Features {
            learns_good_share,
            ..ALL_FEATURES
        };
        move |seed| World {
            servers: 200,
            ..World::normal_load(seed).with(features)
        }
    };
    let probes = |world| mean(world, |o: &Outcome| o.probes_per_s * 200.0 / 100.0);
    let (few, all) = (probes(play(true)), probes(play(false)));
    assert!(few < 0.75 * all, "{few} against {all} a request");
    let (of_few, of_all) = (
        mean(play(true), Outcome::in_time_share),
        mean(play(false), Outcome::in_time_share),
    );
    assert!(of_few > of_all - 0.005, "{of_few} against {of_all}");
}
