//! Whether a VM reaches a service, and which other VM a request goes through.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use kingcuploft::entry::service_reach::{ReachChange, ServiceReach};
use kingcuploft::world::ids::BackendServerName;

fn server(number: usize) -> BackendServerName {
    format!("s{number}").into()
}

fn vm(number: u8) -> SocketAddr {
    ([127, 0, 0, number], 7660).into()
}

/// The reach of a service, and the servers that may be tried.
struct Service {
    reach: ServiceReach,
    usable: Vec<BackendServerName>,
}

impl Service {
    fn with_usable(usable: impl IntoIterator<Item = usize>) -> Self {
        Self {
            reach: ServiceReach::default(),
            usable: usable.into_iter().map(server).collect(),
        }
    }

    fn fail(&mut self, number: usize) -> ReachChange {
        let usable = self.usable.iter();
        self.reach.record_not_opened(&server(number), usable)
    }

    fn open(&mut self, number: usize) -> ReachChange {
        let usable = self.usable.iter();
        let now = Instant::now();
        self.reach.record_opened(now, &server(number), usable)
    }
}

/// Returns a service of eleven servers of which these have just refused a connection.
fn after_failures(failed: &[usize]) -> Service {
    let mut service = Service::with_usable(0..11);
    for number in failed {
        service.fail(*number);
    }
    service
}

#[test]
fn servers_that_are_down_beside_others_leave_a_service_in_reach() {
    assert!(!after_failures(&[0, 1]).reach.is_out_of_reach());
    assert!(!after_failures(&[0, 0, 0, 0]).reach.is_out_of_reach());
    let mut service = after_failures(&[0, 1]);
    service.open(2);
    service.fail(3);
    assert!(!service.reach.is_out_of_reach());
}

#[test]
fn a_service_whose_servers_all_refuse_goes_out_of_reach_once() {
    let mut service = after_failures(&[0, 1]);
    assert_eq!(service.fail(2), ReachChange::Lost);
    assert_eq!(service.fail(3), ReachChange::None);
    let mut small = Service::with_usable([0]);
    assert_eq!(small.fail(0), ReachChange::Lost);
}

/// Guards against a cut that is not noticed, as servers that nothing is sent to are waited for.
#[test]
fn a_service_whose_usable_servers_all_refuse_goes_out_of_reach() {
    let mut service = Service::with_usable([4, 5]);
    assert_eq!(service.fail(4), ReachChange::None);
    assert_eq!(service.fail(5), ReachChange::Lost);
}

/// Guards against a service out of reach by failures of servers that nothing is sent to any more.
#[test]
fn usable_servers_that_have_not_refused_leave_a_service_in_reach() {
    let mut service = after_failures(&[0, 1]);
    service.usable = vec![server(1), server(5)];
    assert_eq!(service.fail(1), ReachChange::None);
    service.usable.clear();
    assert_eq!(service.fail(1), ReachChange::None);
}

/// Guards against a service that stays out of reach, as two servers are waited for where there is one.
#[test]
fn the_only_usable_server_that_accepts_brings_a_service_back() {
    let mut service = after_failures(&[0, 1, 2]);
    service.usable = vec![server(7)];
    assert_eq!(service.open(7), ReachChange::Regained);
}

/// Guards against a service that is in reach and out of reach by turns, as the cut has spared one server.
#[test]
fn one_server_that_accepts_does_not_bring_a_service_back() {
    let mut service = after_failures(&[0, 1, 2]);
    for _ in 0..5 {
        assert_eq!(service.open(3), ReachChange::None);
    }
    service.fail(4);
    assert_eq!(service.open(5), ReachChange::None);
    assert_eq!(service.open(6), ReachChange::Regained);
    assert!(!service.reach.is_out_of_reach());
}

/// Guards against two VMs that are cut off together and take each other for a way out.
#[test]
fn a_vm_offers_itself_only_while_servers_answer_it() {
    let now = Instant::now();
    let mut service = after_failures(&[]);
    assert!(!service.reach.may_relay(now));
    service.reach.record_contact(now);
    assert!(service.reach.may_relay(now));
    assert!(!service.reach.may_relay(now + Duration::from_secs(1)));
    for number in 0..3 {
        service.fail(number);
    }
    service.reach.record_contact(now);
    assert!(
        !service.reach.may_relay(now),
        "open connections may be its last"
    );
}

/// Guards against all requests of a zone that is cut off going through one VM.
#[test]
fn requests_spread_over_the_vms_that_reach_the_servers() {
    let now = Instant::now();
    let mut reach = after_failures(&[0, 1, 2]).reach;
    for number in 1..=4 {
        reach.record_reply(now, vm(number), true);
    }
    let mut counts = [0; 5];
    for _ in 0..40 {
        let relay = reach.pick_relay(now, &[], fastrand::f64).unwrap();
        reach.record_relay_started(relay);
        let SocketAddr::V4(relay) = relay else {
            panic!("an address of the test");
        };
        counts[usize::from(relay.ip().octets()[3])] += 1;
    }
    assert_eq!(counts, [0, 10, 10, 10, 10]);
}

#[test]
fn a_vm_that_says_no_says_nothing_or_was_tried_gets_no_request() {
    let now = Instant::now();
    let mut reach = after_failures(&[0, 1, 2]).reach;
    reach.record_reply(now, vm(1), true);
    reach.record_reply(now, vm(2), true);
    reach.record_reply(now, vm(2), false);
    assert_eq!(reach.pick_relay(now, &[], || 0.0), Some(vm(1)));
    assert_eq!(reach.pick_relay(now, &[vm(1)], || 0.0), None);
    let later = now + Duration::from_secs(1);
    assert_eq!(reach.pick_relay(later, &[], || 0.0), None);
}
