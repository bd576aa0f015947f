//! Names that come from outside and that no request can hold.

use kingcuploft::entry::backend_servers::BackendServer;
use kingcuploft_entry::unreadable::parse_health_path;

use crate::server::{Behavior, TestServer};
use crate::testbed::{Testbed, booking, configuration, entry, lookup, run_test, wait_until};

/// Ids that would end their header, reach the server as another id, or be too long for any head.
fn ids() -> Vec<String> {
    let held = [
        "s1\r\nx-evil: 1",
        "s1\nx-evil: 1",
        "s1\0",
        "s1 ",
        "\ts1",
        "s\u{7f}1",
        "",
    ];
    let long = "s".repeat(1 << 20);
    held.into_iter().map(str::to_owned).chain([long]).collect()
}

/// Guards against headers that a server's id adds to the requests of callers, from the store or from another VM.
#[test]
fn a_server_whose_id_no_header_can_hold_gets_no_request_and_the_others_serve() {
    for id in ids() {
        run_test(async {
            let testbed = Testbed::with(&[Behavior::Answer]).await;
            let server = TestServer::start(Behavior::Answer).await;
            let unsendable = BackendServer {
                name: id.as_str().into(),
                ..entry(1, &server)
            };
            testbed.store.write_backend_server(unsendable);
            let context = &testbed.vm.context;
            wait_until(|| context.with_servers(|known| known.get(&id).is_some())).await;
            for at in 0..8 {
                assert_eq!(testbed.ask(&lookup(&format!("r{at}"))).await.status, 200);
            }
            assert_eq!(server.received.borrow().len(), 0, "{:.20?}", id);
            assert_eq!(context.metrics.unreadable_entries.get(), 1);
        });
    }
}

/// Guards against requests that are refused as the servers of their service can't be probed.
#[test]
fn a_service_whose_health_path_is_no_path_is_served_without_probes() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Answer]).await;
        let mut unprobed = configuration(2);
        for service in unprobed.services.values_mut() {
            service.health_path = parse_health_path("trip", "/health HTTP/1.1\r\nx-evil: 1\r\n");
        }
        testbed.store.write_configuration(unprobed);
        let context = &testbed.vm.context;
        wait_until(|| context.active_configuration.version() == Some(2)).await;
        let probes = testbed.servers[0].probe_count.get();
        for at in 0..8 {
            assert_eq!(testbed.ask(&lookup(&format!("r{at}"))).await.status, 200);
            assert_eq!(testbed.ask(&booking(&format!("b{at}"))).await.status, 200);
        }
        assert_eq!(testbed.servers[0].probe_count.get(), probes);
    });
}
