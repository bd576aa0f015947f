//! A store that is restored from an older copy, as callers see it.

use crate::server::{Behavior, TestServer};
use crate::testbed::{Testbed, booking, entry, lookup, run_test, wait_until, with_route};

/// Guards against routes that are denied and servers that get no requests after the rewind, because the copy is older
/// than they are.
#[test]
fn callers_are_served_by_what_was_accepted_before_the_rewind() {
    run_test(async {
        let mut testbed = Testbed::with(&[Behavior::Answer]).await;
        let copy = testbed.store.snapshot();
        testbed.store.write_configuration(with_route(2, "/added/"));
        let young = TestServer::start(Behavior::Answer).await;
        testbed.store.write_backend_server(entry(1, &young));
        testbed.servers.push(young);
        testbed.store.remove_backend_server("s0");
        let context = testbed.vm.context.clone();
        let is_known = || {
            let version = context.active_configuration.version() == Some(2);
            version && context.upstream("s1").is_some() && context.upstream("s0").is_none()
        };
        wait_until(is_known).await;
        testbed.store.rewind(copy);
        assert_eq!(testbed.store.holds("s1", "thun", 2), [false; 3]);
        wait_until(|| context.rewinds.count() == 1).await;
        let added = lookup("a").replace("/look/", "/added/");
        assert_eq!(testbed.ask(&added).await.status, 200);
        assert_eq!(testbed.ask(&booking("b")).await.status, 200);
        assert_eq!(
            testbed.servers[0].received.borrow().len(),
            0,
            "one that had left"
        );
        assert_eq!(testbed.servers[1].received.borrow().len(), 2);
    });
}
