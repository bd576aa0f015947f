//! Who gives way when the process has few descriptors left.

use std::time::Duration;

use kingcuploft_entry::settings::EntrySettings;

use crate::server::Behavior;
use crate::testbed::{Caller, lookup, run_test, settings, start_servers, start_with, wait_until};

/// The descriptors of a VM, of which connections may hold twelve.
const DESCRIPTORS: usize = 16;

/// How many connections they may hold.
const MOST_HELD: usize = 12;

/// Longer than a caller must be idle to give way.
const IDLE_TIME: Duration = Duration::from_millis(1_200);

fn few_descriptors() -> EntrySettings {
    EntrySettings {
        max_descriptors: DESCRIPTORS,
        ..settings("vm")
    }
}

/// Guards against callers who open connections and say nothing, and keep those with a request from being served.
#[test]
fn callers_that_say_nothing_give_way_to_those_with_a_request() {
    run_test(async {
        let (store, _servers) = start_servers(&[Behavior::Answer]).await;
        let vm = start_with(few_descriptors(), &store).await;
        let mut silent = Vec::new();
        for _ in 0..MOST_HELD {
            silent.push(Caller::connect(vm.caller_address).await);
        }
        wait_until(|| vm.context.caller_connections.get() == MOST_HELD).await;
        tokio::time::sleep(IDLE_TIME).await;
        for at in 0..MOST_HELD - 4 {
            let mut caller = Caller::connect(vm.caller_address).await;
            caller.send(&lookup(&format!("r{at}"))).await;
            assert_eq!(caller.answer().await.expect("an answer").status, 200);
            silent.push(caller);
        }
        assert_eq!(vm.context.caller_limit.refused(), 0);
        let held = vm.context.descriptor_use();
        let total = held.callers + held.server_connections;
        assert!(total <= MOST_HELD + 2, "{held:?}");
        assert!(silent[0].answer().await.is_none(), "the oldest is kept");
        let newest_silent = &mut silent[MOST_HELD - 1];
        newest_silent.send(&lookup("kept")).await;
        let kept = newest_silent.answer().await;
        assert_eq!(kept.expect("an answer").status, 200);
    });
}

/// Guards against callers who keep connections for later and keep those with a request from being served.
#[test]
fn callers_that_were_answered_long_ago_give_way_to_those_with_a_request() {
    run_test(async {
        let (store, _servers) = start_servers(&[Behavior::Answer]).await;
        let vm = start_with(few_descriptors(), &store).await;
        let mut kept = Vec::new();
        for at in 0..MOST_HELD {
            let mut caller = Caller::connect(vm.caller_address).await;
            caller.send(&lookup(&format!("r{at}"))).await;
            assert_eq!(caller.answer().await.expect("an answer").status, 200);
            kept.push(caller);
        }
        tokio::time::sleep(IDLE_TIME).await;
        kept[0].send(&lookup("again")).await;
        assert_eq!(kept[0].answer().await.expect("an answer").status, 200);
        let mut next = Caller::connect(vm.caller_address).await;
        next.send(&lookup("next")).await;
        assert_eq!(next.answer().await.expect("an answer").status, 200);
        assert!(vm.context.idle_callers.gave_way() > 0);
        assert!(kept[1].answer().await.is_none(), "the longest idle is kept");
        kept[0].send(&lookup("once more")).await;
        assert_eq!(kept[0].answer().await.expect("an answer").status, 200);
    });
}

/// Guards against connections to servers that nobody uses and that keep a caller from being served.
#[test]
fn idle_connections_to_servers_give_way_to_callers() {
    run_test(async {
        let (store, _servers) = start_servers(&[Behavior::Answer]).await;
        let vm = start_with(few_descriptors(), &store).await;
        let mut callers = Vec::new();
        for at in 0..MOST_HELD {
            let mut caller = Caller::connect(vm.caller_address).await;
            caller.send(&lookup(&format!("r{at}"))).await;
            assert_eq!(caller.answer().await.expect("an answer").status, 200);
            callers.push(caller);
        }
        let limit = &vm.context.caller_limit;
        assert!(limit.server_connections_closed() > 0);
        assert_eq!(limit.refused(), 0);
        assert_eq!(vm.context.idle_callers.gave_way(), 0);
    });
}
