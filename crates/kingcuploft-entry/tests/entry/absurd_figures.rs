//! Figures that no sound caller or server would send, and tasks that fail.

use kingcuploft_entry::run;
use kingcuploft_entry::settings::WireNames;

use crate::server::Behavior;
use crate::testbed::{Caller, HEADER_NAMES, lookup, run_test, settings, start_servers, wait_until};

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
        let vm = run::start(settings("vm"), names, store.clone())
            .await
            .unwrap();
        wait_until(|| vm.context.is_ready()).await;
        let mut caller = Caller::connect(vm.caller_address).await;
        let behind = lookup("behind").replace("/look/", "/unknown/");
        caller.send(&[lookup("fails"), behind].concat()).await;
        assert_eq!(caller.answer().await.expect("an answer").status, 502);
        assert_eq!(caller.answer().await.expect("an answer").status, 404);
    });
}
