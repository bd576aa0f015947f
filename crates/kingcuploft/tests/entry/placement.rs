use std::time::Duration;

use kingcuploft::entry::failure_rate::FailureRate;
use kingcuploft::entry::last_slot_slowdown::LastSlotSlowdown;
use kingcuploft::entry::placement::{
    Candidate, LoadReport, PlacementNeed, ProbeScope, Slot, Step, place,
};
use kingcuploft::entry::service_time::ServiceTime;
use std::time::Instant;

/// A request with 60 ms of work, 200 ms until its target and 500 ms until its deadline.
fn need() -> PlacementNeed {
    PlacementNeed {
        work_ms: 60.0,
        target_left_ms: 200.0,
        deadline_left_ms: 500.0,
        probe_wait_ms: 0.0,
        scope: ProbeScope::Near,
        last_slot_slowdown: 1.35,
        probe_budget_left: 1.0,
        is_caller_retry: false,
    }
}

/// A near server with two slots that reports that it is idle and fast.
fn idle() -> Candidate {
    Candidate {
        near: true,
        load_report: Some(LoadReport {
            running: 0,
            waiting: 0,
            slots: 2,
            slowness: 1.0,
        }),
        probe_pending: false,
        sent_since_report: 0,
        own_in_flight: 0,
        slots: 2,
        cold: false,
        failure_rate: 0.0,
        tried: false,
    }
}

fn with_load(running: u32, waiting: u32, slowness: f64) -> Candidate {
    Candidate {
        load_report: Some(LoadReport {
            running,
            waiting,
            slots: 2,
            slowness,
        }),
        ..idle()
    }
}

fn without_report(asked: bool) -> Candidate {
    Candidate {
        load_report: None,
        probe_pending: asked,
        ..idle()
    }
}

fn step(need: &PlacementNeed, candidates: &[Candidate]) -> Step {
    place(need, candidates, || 0.0)
}

#[test]
fn the_fast_one_of_two_idle_servers_gets_the_request() {
    let servers = [with_load(0, 0, 5.0), idle()];
    assert_eq!(step(&need(), &servers), Step::Send(1));
}

#[test]
fn a_server_with_a_free_slot_is_preferred_to_a_full_one() {
    let servers = [with_load(2, 0, 1.0), with_load(1, 0, 1.0)];
    assert_eq!(
        step(
            &PlacementNeed {
                scope: ProbeScope::Far,
                ..need()
            },
            &servers
        ),
        Step::Send(1)
    );
}

/// Failure: two requests go to the same slot because the load report is older than the first.
#[test]
fn own_requests_since_the_load_report_are_counted() {
    let sent_to = Candidate {
        sent_since_report: 2,
        ..idle()
    };
    assert_eq!(step(&need(), &[sent_to, idle()]), Step::Send(1));
}

#[test]
fn a_load_report_in_flight_is_awaited() {
    let servers = [with_load(0, 0, 5.0), without_report(true)];
    assert_eq!(step(&need(), &servers), Step::AwaitReports);
}

#[test]
fn more_servers_are_probed_when_no_near_one_is_good() {
    let servers = [with_load(0, 0, 5.0), with_load(2, 1, 1.0)];
    assert_eq!(step(&need(), &servers), Step::Probe(ProbeScope::FewFar));
    let few = PlacementNeed {
        scope: ProbeScope::FewFar,
        ..need()
    };
    assert_eq!(step(&few, &servers), Step::Probe(ProbeScope::Far));
}

/// Failure: a request is sent to a slow server while a faster one may still answer in time.
#[test]
fn a_request_waits_for_a_fast_server_while_that_can_be_in_time() {
    let asked = PlacementNeed {
        scope: ProbeScope::Far,
        ..need()
    };
    let slow = [with_load(0, 0, 5.0)];
    assert!(matches!(step(&asked, &slow), Step::Recheck(_)));
    let late_anyway = PlacementNeed {
        target_left_ms: 70.0,
        ..asked
    };
    assert_eq!(step(&late_anyway, &slow), Step::Send(0));
}

/// Failure: a caller waits until its deadline for nothing, as no server can answer before.
#[test]
fn a_request_that_no_server_can_answer_in_time_is_refused_at_once() {
    let hopeless = PlacementNeed {
        target_left_ms: -200.0,
        deadline_left_ms: 70.0,
        scope: ProbeScope::Far,
        ..need()
    };
    let refused = |servers: &[Candidate]| matches!(step(&hopeless, servers), Step::Refuse(_));
    assert!(refused(&[with_load(2, 4, 5.0)]));
    assert!(refused(&[]));
}

/// Failure: refused callers are told to retry too soon or too late.
#[test]
fn a_refused_caller_is_told_when_the_shortest_queue_ends() {
    let hopeless = PlacementNeed {
        target_left_ms: -200.0,
        deadline_left_ms: 70.0,
        scope: ProbeScope::Far,
        ..need()
    };
    let retry_delay_ms = |servers: &[Candidate]| match step(&hopeless, servers) {
        Step::Refuse(come_back) => come_back.as_millis(),
        other => panic!("{other:?}"),
    };
    // Five and three requests ahead of it at two slots, of 300 ms each.
    let (longer, shorter) = (with_load(2, 4, 5.0), with_load(2, 2, 5.0));
    assert_eq!(retry_delay_ms(&[longer]), 750);
    assert_eq!(retry_delay_ms(&[longer, shorter]), 450);
    assert_eq!(retry_delay_ms(&[]), 250, "nothing is known");
}

#[test]
fn a_server_that_was_tried_is_not_tried_again() {
    let tried = Candidate {
        tried: true,
        ..idle()
    };
    assert_eq!(step(&need(), &[tried, with_load(1, 0, 1.0)]), Step::Send(1));
}

/// Failure: a server sheds half of its requests and is therefore always idle, so selection by load alone sends it
/// everything.
#[test]
fn a_server_that_fails_half_of_its_calls_is_avoided_until_it_recovers() {
    let now = Instant::now();
    let mut failures = FailureRate::default();
    for call in 0..8 {
        failures.record(now, call % 2 == 0);
    }
    let failing = Candidate {
        failure_rate: failures.rate(now),
        ..idle()
    };
    assert_eq!(
        step(&need(), &[failing, with_load(1, 0, 1.0)]),
        Step::Send(1)
    );
    let later = now + Duration::from_secs(20);
    let recovered = Candidate {
        failure_rate: failures.rate(later),
        ..idle()
    };
    assert_eq!(
        step(&need(), &[recovered, with_load(1, 0, 1.0)]),
        Step::Send(0)
    );
}

#[test]
fn without_load_reports_the_server_with_fewest_own_requests_is_chosen() {
    let busy = Candidate {
        own_in_flight: 2,
        ..without_report(false)
    };
    let asked = PlacementNeed {
        scope: ProbeScope::Far,
        probe_wait_ms: 10.0,
        ..need()
    };
    assert_eq!(step(&asked, &[busy, without_report(false)]), Step::Send(1));
}

/// Simulates requests to servers of which a quarter is five times slower, another quarter every 150 ms; returns the
/// share that is answered within 200 ms.
fn share_in_time(choose: impl Fn(&[f64], &mut fastrand::Rng) -> usize) -> f64 {
    let mut rng = fastrand::Rng::with_seed(7);
    let (mut in_time, requests) = (0, 4000);
    for _ in 0..requests {
        let speeds: Vec<f64> = (0..6)
            .map(|_| if rng.f64() < 0.25 { 5.0 } else { 1.0 })
            .collect();
        let chosen = choose(&speeds, &mut rng);
        let took_ms = 60.0 * speeds[chosen];
        in_time += u32::from(took_ms <= 200.0);
    }
    f64::from(in_time) / f64::from(requests)
}

#[test]
fn placement_by_load_reports_answers_in_time_where_random_choice_is_late() {
    let naive = share_in_time(|speeds, rng| rng.usize(0..speeds.len()));
    let by_load_reports = share_in_time(|speeds, _| {
        let servers: Vec<Candidate> = speeds.iter().map(|s| with_load(0, 0, *s)).collect();
        let asked = PlacementNeed {
            scope: ProbeScope::Far,
            target_left_ms: 70.0,
            ..need()
        };
        match step(&asked, &servers) {
            Step::Send(at) => at,
            other => panic!("expected a choice, got {other:?}"),
        }
    });
    assert!(naive < 0.80, "random choice was in time for {naive}");
    assert!(
        by_load_reports > 0.99,
        "choice by load reports: {by_load_reports}"
    );
}

#[test]
fn the_service_time_is_measured_independently_of_the_servers_speed() {
    let (mut time, mut last_slot) = (ServiceTime::default(), LastSlotSlowdown::default());
    let target = Duration::from_millis(200);
    assert!((time.work_ms(target) - 70.0).abs() < 0.1);
    for _ in 0..50 {
        time.record(Duration::from_millis(300), 5.0, Slot::Spare, &mut last_slot);
    }
    assert!((time.work_ms(target) - 60.0).abs() < 0.1);
}

/// Failure: requests wait without an attempt for a better server although all fail alike.
#[test]
fn servers_that_all_fail_alike_are_sent_requests_at_once() {
    let failing = |failures| Candidate {
        failure_rate: failures,
        ..idle()
    };
    let far_probed = PlacementNeed {
        scope: ProbeScope::Far,
        probe_wait_ms: 10.0,
        ..need()
    };
    let servers = [failing(0.6), failing(0.5), failing(0.55)];
    assert_eq!(step(&far_probed, &servers), Step::Send(1));
    let one_is_well = [failing(0.6), failing(0.0), failing(0.55)];
    assert_eq!(step(&far_probed, &one_is_well), Step::Send(1));
}

/// Failure: near last slots are taken while idle servers stand in other zones.
#[test]
fn a_few_far_servers_are_probed_before_a_near_last_slot_is_taken() {
    let costly = PlacementNeed {
        last_slot_slowdown: 1.7,
        ..need()
    };
    let near = with_load(1, 0, 1.0);
    assert_eq!(step(&costly, &[near]), Step::Probe(ProbeScope::FewFar));
    let asked = PlacementNeed {
        scope: ProbeScope::FewFar,
        ..costly
    };
    let far_idle = Candidate {
        near: false,
        ..idle()
    };
    assert_eq!(step(&asked, &[near, far_idle]), Step::Send(1));
    let far_busy = Candidate {
        near: false,
        ..with_load(1, 0, 1.0)
    };
    assert_eq!(step(&asked, &[near, far_busy]), Step::Send(0));
    let full = with_load(2, 0, 1.0);
    assert_eq!(step(&asked, &[full, far_busy]), Step::Send(1));
    assert_eq!(step(&asked, &[full]), Step::Probe(ProbeScope::Far));
}

/// While the probe budget is low, probes of other zones are reserved for requests without any near server.
#[test]
fn a_near_last_slot_is_taken_when_the_probe_budget_is_low() {
    let short = PlacementNeed {
        last_slot_slowdown: 1.7,
        probe_budget_left: 0.2,
        ..need()
    };
    assert_eq!(step(&short, &[with_load(1, 0, 1.0)]), Step::Send(0));
}

#[test]
fn the_last_slot_slowdown_is_learned_from_answers() {
    let (mut time, mut last_slot) = (ServiceTime::default(), LastSlotSlowdown::default());
    let answer = Duration::from_millis;
    for _ in 0..40 {
        time.record(answer(100), 1.0, Slot::Spare, &mut last_slot);
        time.record(answer(100), 1.0, Slot::Last, &mut last_slot);
    }
    assert!(last_slot.factor() < 1.1, "{last_slot:?}");
    for _ in 0..100 {
        time.record(answer(170), 1.0, Slot::Last, &mut last_slot);
    }
    assert!((last_slot.factor() - 1.7).abs() < 0.1, "{last_slot:?}");
    let work_ms = time.work_ms(answer(1000));
    assert!((work_ms - 100.0).abs() < 1.0, "work itself is not slower");
}

/// A service under constant load answers from last slots only, which then also measure the service time.
#[test]
fn the_service_time_is_learned_from_last_slots_if_there_are_no_others() {
    let (mut time, mut last_slot) = (ServiceTime::default(), LastSlotSlowdown::default());
    let answer = Duration::from_millis(300);
    (0..50).for_each(|_| time.record(answer, 1.0, Slot::Last, &mut last_slot));
    let work_ms = time.work_ms(Duration::from_secs(10));
    assert!((150.0..=300.0).contains(&work_ms), "{work_ms}");
}

/// Failure: time in a queue counts as service time.
#[test]
fn time_in_a_queue_does_not_count_as_service_time() {
    let (mut time, mut last_slot) = (ServiceTime::default(), LastSlotSlowdown::default());
    let answer = Duration::from_millis;
    (0..10).for_each(|_| time.record(answer(100), 1.0, Slot::Spare, &mut last_slot));
    let before = last_slot.factor();
    (0..50).for_each(|_| time.record(answer(900), 1.0, Slot::Queued, &mut last_slot));
    assert!((time.work_ms(answer(1000)) - 100.0).abs() < 1.0);
    assert!((last_slot.factor() - before).abs() < 0.01);
}

/// Failure: a late caller takes the slot in which another request would be answered in time.
#[test]
fn a_late_caller_retry_leaves_last_slots_to_others_under_overload() {
    let late = PlacementNeed {
        target_left_ms: -20.0,
        deadline_left_ms: 150.0,
        probe_budget_left: 0.1,
        is_caller_retry: true,
        scope: ProbeScope::Far,
        ..need()
    };
    let last = with_load(1, 0, 1.0);
    assert!(matches!(step(&late, &[last]), Step::Refuse(_)));
    let in_time = PlacementNeed {
        target_left_ms: 200.0,
        deadline_left_ms: 500.0,
        ..late
    };
    assert_eq!(step(&in_time, &[last]), Step::Send(0));
    assert_eq!(step(&late, &[last, idle()]), Step::Send(1));
    let calm = PlacementNeed {
        probe_budget_left: 1.0,
        ..late
    };
    let first_attempt = PlacementNeed {
        is_caller_retry: false,
        ..late
    };
    for need in [calm, first_attempt] {
        assert_eq!(step(&need, &[last]), Step::Send(0));
    }
}
