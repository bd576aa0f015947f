//! The rule on leaving servers counts late requests, and no others.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use kingcuploft_simulation::day;
use kingcuploft_simulation::history::{
    AcceptedWrite, Arrival, CutFromServers, History, ServerHistory,
};
use kingcuploft_simulation::rules::{self, Rule};
use kingcuploft_simulation::simulation::DayResult;

/// When the only server leaves, in milliseconds.
const LEFT_AT_MS: u64 = 10_000;

/// When VM 0 is seen to send it a request: later than is allowed, in milliseconds.
const ARRIVED_AT_MS: u64 = 12_500;

/// A cut of a VM from the servers of a service.
fn cut(vm: usize, service: Option<&str>, from_ms: u64, until_ms: u64) -> CutFromServers {
    CutFromServers {
        vms: vec![vm],
        service: service.map(str::to_owned),
        from: Duration::from_millis(from_ms),
        until: Duration::from_millis(until_ms),
    }
}

/// Returns whether the rule is broken by the late request of VM 0, given this cut.
fn is_broken_beside(cut: Option<CutFromServers>) -> bool {
    let deployment = Rc::new(day::deployment("19-vms").unwrap());
    let history = History::default();
    history.servers.borrow_mut().push(ServerHistory {
        service: "one".into(),
        zone: 0,
        cold: None,
        cold_per_s: 0.0,
        limits: Vec::new(),
    });
    let left = AcceptedWrite::ServerLeaving { server: 0 };
    let left_at = Duration::from_millis(LEFT_AT_MS);
    history.accepted_writes.borrow_mut().push((left_at, left));
    history.arrivals.borrow_mut().push(Arrival {
        id: 1,
        kind: 0,
        at: Duration::from_millis(ARRIVED_AT_MS),
        server: 0,
        vm: 0,
        ran: Cell::new(true),
        is_deadly: false,
    });
    history.cuts_from_servers.borrow_mut().extend(cut);
    let result = DayResult {
        deployment,
        history: Rc::new(history),
        known_vms: Vec::new(),
        lines: Vec::new(),
    };
    let usages = rules::check(&result).into_iter();
    usages
        .filter(|usage| usage.rule == Rule::Draining)
        .any(|usage| usage.is_broken())
}

#[test]
fn a_late_request_breaks_the_rule() {
    assert!(is_broken_beside(None));
}

/// Guards against a rule that blames a VM for what a cut has held up on the way.
#[test]
fn a_request_that_a_cut_of_its_path_may_have_held_up_does_not_break_the_rule() {
    assert!(!is_broken_beside(Some(cut(0, None, 8_000, 12_490))));
    assert!(!is_broken_beside(Some(cut(0, Some("one"), 8_000, 12_490))));
    assert!(!is_broken_beside(Some(cut(0, None, 12_400, 20_000))));
}

/// Guards against a rule that excuses what no cut can have held up.
#[test]
fn a_cut_elsewhere_or_long_before_or_afterwards_excuses_nothing() {
    let contact_ms = day::deployment("19-vms").unwrap().bounds.contact_ms;
    let long_before = ARRIVED_AT_MS - contact_ms - 1;
    assert!(is_broken_beside(Some(cut(1, None, 8_000, 12_490))));
    assert!(is_broken_beside(Some(cut(0, Some("two"), 8_000, 12_490))));
    assert!(is_broken_beside(Some(cut(0, None, 1_000, long_before))));
    assert!(is_broken_beside(Some(cut(0, None, 12_501, 20_000))));
}
