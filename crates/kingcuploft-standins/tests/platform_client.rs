//! Checks the limits of the platform client: timeouts, call budget, circuit breaker, backoff, and errors that state
//! whether a write may have taken effect.

use std::time::{Duration, Instant};

use kingcuploft_platform::backoff::Backoff;
use kingcuploft_platform::call_budget::CallBudget;
use kingcuploft_platform::circuit_breaker::{CallPermission, CircuitBreaker};
use kingcuploft_platform::client::{Client, ClientSettings};
use kingcuploft_platform::{ObjectStore, StoreError, WriteCondition};
use kingcuploft_standins::platform::{Faults, Outage, Platform, WriteFault};
use tokio::runtime::Runtime;

fn client(platform: &Platform, settings: ClientSettings) -> Client {
    Client::with_settings(&platform.address().to_string(), settings, 7)
}

#[test]
fn only_errors_that_prove_it_state_that_nothing_was_written() {
    let runtime = Runtime::new().unwrap();
    let platform = Platform::start(&runtime).unwrap();
    let settings = ClientSettings {
        call_timeout_ms: 50,
        failures_to_open: 100,
        ..ClientSettings::default()
    };
    let store = client(&platform, settings.clone());
    let put = |key| store.put(key, "1", WriteCondition::Absent).unwrap_err();
    let slow = WriteFault::Slow(Duration::from_millis(150));
    platform.change_faults(|faults| faults.next_writes.push_back((String::new(), slow)));
    assert!(put("slow").may_have_taken_effect());
    platform.change_faults(|faults| faults.outage = Some(Outage::Closed));
    assert!(put("closed").may_have_taken_effect());
    platform.set_down(true);
    assert!(!put("down").may_have_taken_effect());
    let closed_port = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = closed_port.local_addr().unwrap().to_string();
    drop(closed_port);
    let unreachable = Client::with_settings(&address, settings, 7);
    let put = unreachable
        .put("a", "1", WriteCondition::Absent)
        .unwrap_err();
    assert!(matches!(put, StoreError::NotSent(_)), "{put:?}");
    assert!(!put.may_have_taken_effect());
}

/// Failure: the store accepts calls and never answers. Without the circuit breaker, every caller waits until the call
/// timeout.
#[test]
fn the_circuit_breaker_limits_calls_to_a_silent_store_and_notices_its_return() {
    let runtime = Runtime::new().unwrap();
    let platform = Platform::start(&runtime).unwrap();
    let settings = ClientSettings {
        call_timeout_ms: 60,
        probe_timeout_ms: 40,
        probe_interval_ms: 50,
        ..ClientSettings::default()
    };
    let store = client(&platform, settings);
    platform.change_faults(|faults| faults.outage = Some(Outage::Silence));
    for _ in 0..2 {
        assert!(matches!(store.get("a"), Err(StoreError::NoAnswer(_))));
    }
    for _ in 0..200 {
        assert!(matches!(store.get("a"), Err(StoreError::Down { .. })));
    }
    assert_eq!(platform.calls().refused, 2);
    assert!(store.retry_after(Instant::now()).is_some());
    platform.set_faults(Faults::default());
    let until = Instant::now() + Duration::from_secs(5);
    while store.get("a").is_err() {
        assert!(Instant::now() < until, "the store's return is not noticed");
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(store.retry_after(Instant::now()).is_none());
}

#[test]
fn the_circuit_breaker_probes_once_per_interval_with_jitter_between_vms() {
    let start = Instant::now();
    let interval = Duration::from_millis(300);
    let mut probes = Vec::new();
    for seed in 0..14 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut circuit_breaker = CircuitBreaker::new(2, interval);
        circuit_breaker.record_failure(start, &mut rng);
        assert_eq!(
            circuit_breaker.permit(start, &mut rng),
            CallPermission::Allowed
        );
        circuit_breaker.record_failure(start, &mut rng);
        let CallPermission::Blocked(wait) = circuit_breaker.permit(start, &mut rng) else {
            panic!("the circuit breaker is closed");
        };
        let due = start + wait;
        assert_eq!(circuit_breaker.permit(due, &mut rng), CallPermission::Probe);
        assert!(matches!(
            circuit_breaker.permit(due, &mut rng),
            CallPermission::Blocked(_)
        ));
        circuit_breaker.record_success();
        assert_eq!(
            circuit_breaker.permit(due, &mut rng),
            CallPermission::Allowed
        );
        probes.push(wait);
    }
    probes.sort();
    let spread = probes[13] - probes[0];
    assert!(spread > interval / 2, "{probes:?}");
}

#[test]
fn the_call_budget_allows_its_burst_and_then_its_rate() {
    let start = Instant::now();
    let mut budget = CallBudget::new(10.0, 5.0);
    let mut taken = |ms| budget.try_take(start + Duration::from_millis(ms)).is_ok();
    assert_eq!((0..20).filter(|_| taken(0)).count(), 5);
    let in_a_second = (1..=1000).filter(|&ms| taken(ms)).count();
    assert!((9..=10).contains(&in_a_second), "{in_a_second}");
    let mut empty = CallBudget::new(0.0, 0.0);
    assert_eq!(empty.try_take(start), Err(Duration::from_secs(60)));
    let runtime = Runtime::new().unwrap();
    let platform = Platform::start(&runtime).unwrap();
    let settings = ClientSettings {
        calls_per_s: 0.001,
        calls_burst: 1.0,
        ..ClientSettings::default()
    };
    let store = client(&platform, settings);
    assert_eq!(store.get("a"), Ok(None));
    assert!(matches!(store.get("a"), Err(StoreError::OverBudget { .. })));
    assert_eq!(platform.calls().gets, 1);
}

#[test]
fn backoff_doubles_its_upper_bound_up_to_the_longest_delay() {
    let mut rng = fastrand::Rng::with_seed(3);
    let longest = Duration::from_millis(50);
    let mut backoff = Backoff::new(Duration::from_millis(2), longest);
    for (i, bound_ms) in [2, 4, 8, 16, 32, 50, 50].into_iter().enumerate() {
        let delay = backoff.next_delay(&mut rng);
        assert!(delay <= Duration::from_millis(bound_ms), "{i}: {delay:?}");
    }
    backoff.reset();
    assert!(backoff.next_delay(&mut rng) <= Duration::from_millis(2));
}
