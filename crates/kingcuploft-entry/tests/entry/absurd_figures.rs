//! Figures that no sound caller or server would send, and tasks that fail.

use std::time::Duration;

use kingcuploft::entry::backend_servers::BackendServer;
use kingcuploft::entry::configuration::{Configuration, Limits, Route};
use kingcuploft::entry::placement::LoadReport;
use kingcuploft_entry::run;
use kingcuploft_entry::settings::WireNames;

use crate::server::Behavior;
use crate::testbed::{
    Caller, HEADER_NAMES, Testbed, configuration, entry, lookup, run_test, settings, start,
    start_servers, wait_until,
};

/// Guards against a deadline that is beyond all time and ends the task of its request.
#[test]
fn a_lookup_with_an_absurd_deadline_is_served() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Answer]).await;
        for deadline in ["1e30", "1.9e22", "18446744073709551615", "1e308"] {
            let request = lookup("r1").replace("x-deadline-ms: 4000", "x-deadline-ms: DEADLINE");
            let answer = testbed.ask(&request.replace("DEADLINE", deadline)).await;
            assert_eq!(answer.status, 200, "{deadline}");
        }
    });
}

/// Guards against a task that fails and takes the other requests of its connection along.
#[test]
fn a_request_whose_task_fails_cuts_no_request_behind_it() {
    run_test(async {
        let (store, _servers) = start_servers(&[Behavior::NameLimit(5)]).await;
        let names = WireNames {
            load: HEADER_NAMES.limit,
            parse_load: |_| panic!("a fault of the program"),
            ..HEADER_NAMES
        };
        let vm = run::start(settings("vm"), names, store.clone());
        wait_until(|| vm.context.is_ready()).await;
        let mut caller = Caller::connect(vm.caller_address).await;
        let behind = lookup("behind").replace("/look/", "/unknown/");
        caller.send(&[lookup("fails"), behind].concat()).await;
        assert_eq!(caller.answer().await.expect("an answer").status, 502);
        assert_eq!(caller.answer().await.expect("an answer").status, 404);
    });
}

/// Guards against a server whose keep-alive time is no number and ends the tasks of its requests.
#[test]
fn a_server_with_an_absurd_keep_alive_time_is_used() {
    run_test(async {
        for time in ["nan", "inf", "1e300", "-1e300", "-nan"] {
            let testbed = Testbed::with(&[Behavior::KeepAlive(time)]).await;
            for at in 0..3 {
                let answer = testbed.ask(&lookup(&format!("r{at}"))).await;
                assert_eq!(answer.status, 200, "{time}");
            }
        }
    });
}

/// Guards against one entry with an absurd time that ends the following of all servers.
#[test]
fn a_server_that_is_cold_beyond_all_time_keeps_no_vm_from_the_others() {
    run_test(async {
        let (store, servers) = start_servers(&[Behavior::Answer; 2]).await;
        store.0.write_backend_server(BackendServer {
            cold_for: Duration::MAX,
            ..entry(0, &servers[0])
        });
        let vm = start("vm", &store).await;
        let mut caller = Caller::connect(vm.caller_address).await;
        caller.send(&lookup("r1")).await;
        assert_eq!(caller.answer().await.expect("an answer").status, 200);
    });
}

/// Guards against times of a configuration that are beyond all time and end the task of each request.
#[test]
fn lookups_are_served_whose_route_and_limits_have_absurd_times() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Answer]).await;
        let known = configuration(2);
        let routes = known.routes().cloned().map(|route| Route {
            target: Duration::MAX,
            timeout: Duration::MAX,
            ..route
        });
        let limits = Limits {
            header_timeout: Duration::MAX,
            idle_timeout: Duration::MAX,
            ..known.limits
        };
        let (routes, services) = (routes.collect(), known.services.clone());
        let absurd = Configuration::new(2, routes, services, limits);
        testbed.store.write_configuration(absurd);
        let context = &testbed.vm.context;
        wait_until(|| context.active_configuration.version() == Some(2)).await;
        for deadline in ["x-deadline-ms: 4000\r\n", ""] {
            let request = lookup("r1").replace("x-deadline-ms: 4000\r\n", deadline);
            let answer = testbed.ask(&request).await;
            assert_eq!(answer.status, 200, "{deadline} {answer:?}");
        }
    });
}

/// Guards against a server that is taken for idle, or ends the task of its request, as it reports more load than can be counted.
#[test]
fn a_server_that_reports_a_load_beyond_counting_is_not_idle() {
    run_test(async {
        let (store, _servers) = start_servers(&[Behavior::Answer]).await;
        let names = WireNames {
            parse_load: |_| {
                Some(LoadReport {
                    running: u32::MAX,
                    waiting: 1,
                    slots: 4,
                    slowness: 1.0,
                })
            },
            ..HEADER_NAMES
        };
        let vm = run::start(settings("vm"), names, store.clone());
        wait_until(|| vm.context.is_ready()).await;
        let mut caller = Caller::connect(vm.caller_address).await;
        caller
            .send(&lookup("r1").replace("x-deadline-ms: 4000", "x-deadline-ms: 300"))
            .await;
        assert_eq!(caller.answer().await.expect("an answer").status, 503);
    });
}
