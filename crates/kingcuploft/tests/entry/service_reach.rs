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

/// Returns the reach of a service of eleven servers of which these have just refused a connection.
fn after_failures(failed: &[usize]) -> ServiceReach {
    let mut reach = ServiceReach::default();
    for number in failed {
        reach.record_not_opened(&server(*number), 11);
    }
    reach
}

#[test]
fn servers_that_are_down_beside_others_leave_a_service_in_reach() {
    assert!(!after_failures(&[0, 1]).is_out_of_reach());
    assert!(!after_failures(&[0, 0, 0, 0]).is_out_of_reach());
    let mut reach = after_failures(&[0, 1]);
    reach.record_opened(Instant::now(), &server(2), 11);
    reach.record_not_opened(&server(3), 11);
    assert!(!reach.is_out_of_reach());
}

#[test]
fn a_service_whose_servers_all_refuse_goes_out_of_reach_once() {
    let mut reach = after_failures(&[0, 1]);
    assert_eq!(reach.record_not_opened(&server(2), 11), ReachChange::Lost);
    assert_eq!(reach.record_not_opened(&server(3), 11), ReachChange::None);
    let mut small = ServiceReach::default();
    assert_eq!(small.record_not_opened(&server(0), 1), ReachChange::Lost);
}

/// Guards against a service that is in reach and out of reach by turns, as the cut has spared one server.
#[test]
fn one_server_that_accepts_does_not_bring_a_service_back() {
    let now = Instant::now();
    let mut reach = after_failures(&[0, 1, 2]);
    for _ in 0..5 {
        assert_eq!(reach.record_opened(now, &server(3), 11), ReachChange::None);
    }
    reach.record_not_opened(&server(4), 11);
    assert_eq!(reach.record_opened(now, &server(5), 11), ReachChange::None);
    assert_eq!(
        reach.record_opened(now, &server(6), 11),
        ReachChange::Regained
    );
    assert!(!reach.is_out_of_reach());
}

/// Guards against two VMs that are cut off together and take each other for a way out.
#[test]
fn a_vm_offers_itself_only_while_servers_answer_it() {
    let now = Instant::now();
    let mut reach = ServiceReach::default();
    assert!(!reach.may_relay(now));
    reach.record_contact(now);
    assert!(reach.may_relay(now));
    assert!(!reach.may_relay(now + Duration::from_secs(1)));
    for number in 0..3 {
        reach.record_not_opened(&server(number), 11);
    }
    reach.record_contact(now);
    assert!(!reach.may_relay(now), "open connections may be its last");
}

/// Guards against all requests of a zone that is cut off going through one VM.
#[test]
fn requests_spread_over_the_vms_that_reach_the_servers() {
    let now = Instant::now();
    let mut reach = after_failures(&[0, 1, 2]);
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
    let mut reach = after_failures(&[0, 1, 2]);
    reach.record_reply(now, vm(1), true);
    reach.record_reply(now, vm(2), true);
    reach.record_reply(now, vm(2), false);
    assert_eq!(reach.pick_relay(now, &[], || 0.0), Some(vm(1)));
    assert_eq!(reach.pick_relay(now, &[vm(1)], || 0.0), None);
    let later = now + Duration::from_secs(1);
    assert_eq!(reach.pick_relay(later, &[], || 0.0), None);
}
