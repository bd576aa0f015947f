//! Requests that a VM without servers passes to another VM: what holds on the way.

use std::net::SocketAddr;
use std::time::Duration;

use kingcuploft_entry::reach;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::cut_fleet::Fleet;
use crate::server::Behavior;
use crate::testbed::{Caller, booking, lookup, run_test, wait_until};

/// How long a request takes at a server.
const WORK_TIME: Duration = Duration::from_millis(5);

/// How long it takes at a server that is still at work when its caller leaves.
const LONG_WORK_TIME: Duration = Duration::from_secs(3);

/// Returns what a VM tells another of a request that it passes on.
fn told() -> String {
    "Kingcuploft-Relay: {\"service\":\"trip\",\"configuration\":1,\"waited_ms\":0,\"is_caller_retry\":false,\"attempts\":2}\r\n"
        .to_owned()
}

/// Returns a request with one more header.
fn with_header(request: &str, header: &str) -> String {
    request.replacen("x-id", &format!("{header}x-id"), 1)
}

/// Answers each connection with these bytes, and closes it.
async fn start_false_vm(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4096]).await;
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

/// Guards against a relayed request that has more time, other headers or another answer than one that is sent directly.
#[test]
fn a_relayed_request_reaches_the_server_and_its_answer_the_caller_unchanged() {
    run_test(async {
        let fleet = Fleet::of(&["thun"; 2], &[Behavior::AnswerAfter(WORK_TIME); 3]).await;
        fleet.cut_and_notice(0).await;
        let answer = fleet
            .ask(0, &with_header(&booking("b"), "x-other: kept\r\n"))
            .await;
        assert_eq!((answer.status, &*answer.body), (200, "hello"));
        assert!(answer.has("x-signed: s") && answer.has("x-id: b"));
        assert!(!answer.has("kingcuploft-relay"));
        let received = fleet.received("b");
        let [request] = &received[..] else {
            panic!("it runs once: {received:?}");
        };
        assert!(request.text.ends_with("bed"));
        assert_eq!(request.header("x-other"), Some("kept"));
        assert_eq!(request.header("kingcuploft-relay"), None);
        let left_ms: u32 = request.header("x-deadline-ms").unwrap().parse().unwrap();
        assert!(left_ms <= 4000);
        assert!(fleet.relays(0) > 0);
    });
}

/// Guards against a server that works on for a caller who has left the VM that passed the request on.
#[test]
fn a_caller_who_leaves_cancels_the_relayed_request() {
    run_test(async {
        let fleet = Fleet::of(&["thun"; 2], &[Behavior::Answer; 3]).await;
        fleet.cut_and_notice(0).await;
        for server in &fleet.servers {
            server.behavior.set(Behavior::AnswerAfter(LONG_WORK_TIME));
        }
        let mut caller = Caller::connect(fleet.vms[0].caller_address).await;
        caller.send(&lookup("left")).await;
        wait_until(|| !fleet.received("left").is_empty()).await;
        drop(caller);
        let cancelled = || {
            fleet
                .servers
                .iter()
                .any(|server| server.cancelled.get() > 0)
        };
        wait_until(cancelled).await;
    });
}

/// Guards against a protected request that is sent again after its answer was lost behind another VM.
#[test]
fn a_relayed_booking_whose_answer_is_lost_runs_once_and_is_not_called_unrun() {
    run_test(async {
        let fleet = Fleet::of(&["thun"; 3], &[Behavior::Answer; 3]).await;
        fleet.cut_and_notice(0).await;
        for server in &fleet.servers {
            server.behavior.set(Behavior::LoseAnswer);
        }
        let answer = fleet.ask(0, &booking("lost")).await;
        assert_eq!(answer.status, 502);
        assert_eq!(fleet.received("lost").len(), 1);
    });
}

/// Guards against a refusal at another VM that the caller does not get as the truthful one that it is.
#[test]
fn a_relayed_request_that_all_servers_refuse_is_answered_as_not_run() {
    run_test(async {
        let fleet = Fleet::of(&["thun"; 2], &[Behavior::Answer; 3]).await;
        fleet.cut_and_notice(0).await;
        for server in &fleet.servers {
            server.behavior.set(Behavior::Shed);
        }
        let answer = fleet.ask(0, &booking("refused")).await;
        assert_eq!(answer.status, 503);
        assert!(answer.has("retry-after: "));
        assert_eq!(fleet.received("refused").len(), 3, "each once");
    });
}

/// Guards against a request that two VMs without servers pass to each other.
#[test]
fn a_relayed_request_is_not_passed_on_again() {
    run_test(async {
        let fleet = Fleet::of(&["thun"; 3], &[Behavior::Answer; 3]).await;
        fleet.cut_and_notice(0).await;
        let mut other_vm = Caller::connect(fleet.peer_address(0)).await;
        other_vm
            .send(&with_header(&booking("again"), &told()))
            .await;
        let answer = other_vm.answer().await.unwrap();
        assert_eq!(answer.status, 503);
        assert!(answer.has("kingcuploft-relay: {\"server\":null,\"arrived\":0,\"ran\":0}"));
        assert_eq!(fleet.received("again").len(), 0);
        assert_eq!(
            fleet.ask(0, &booking("own")).await.status,
            200,
            "its own are"
        );
    });
}

/// Guards against a VM that believes another one whose configuration is newer than its own.
#[test]
fn a_request_routed_by_a_newer_configuration_is_refused_unsent() {
    run_test(async {
        let fleet = Fleet::of(&["thun"; 2], &[Behavior::Answer; 3]).await;
        let newer = told().replace("\"configuration\":1", "\"configuration\":2");
        let mut other_vm = Caller::connect(fleet.peer_address(0)).await;
        other_vm.send(&with_header(&booking("newer"), &newer)).await;
        let answer = other_vm.answer().await.unwrap();
        assert_eq!(answer.status, 503);
        assert!(answer.has("\"arrived\":0"));
        assert_eq!(fleet.received("newer").len(), 0);
    });
}

/// Guards against a caller who gives itself the rights of a VM.
#[test]
fn a_relay_header_of_a_caller_changes_nothing() {
    run_test(async {
        let fleet = Fleet::of(&["thun"], &[Behavior::Answer; 3]).await;
        let false_told = told().replace("trip", "other");
        let answer = fleet
            .ask(0, &with_header(&lookup("false"), &false_told))
            .await;
        assert_eq!(answer.status, 200);
        assert!(!answer.has("kingcuploft-relay"));
        assert_eq!(fleet.received("false")[0].header("kingcuploft-relay"), None);
    });
}

/// Sends a booking and a lookup through a false VM beside a true one; returns their statuses.
async fn statuses_behind_false_vm(answer: &'static str) -> (u16, u16) {
    let fleet = Fleet::of(&["thun"; 2], &[Behavior::Answer; 3]).await;
    fleet.cut_and_notice(0).await;
    let (context, service) = (&fleet.vms[0].context, "trip".into());
    let true_vm = fleet.peer_address(1);
    let false_vm = start_false_vm(answer).await;
    let mut statuses = [0; 2];
    for (status, request) in statuses.iter_mut().zip([booking("b"), lookup("l")]) {
        reach::handle_reply(context, &service, false, true_vm);
        reach::handle_reply(context, &service, true, false_vm);
        *status = fleet.ask(0, &request).await.status;
    }
    (statuses[0], statuses[1])
}

/// Guards against bytes of a broken VM that are passed on as an answer, or taken for a promise that nothing ran.
#[test]
fn bad_bytes_of_another_vm_are_no_answer_and_no_promise() {
    run_test(async {
        for bytes in [
            "no http",
            "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
            "",
            "HTTP/1.1 000 None\r\nContent-Length: 57\r\n\r\nHTTP/1.1 200 OK\r\nx-signed: s\r\nContent-Length: 5\r\n\r\nfalse",
            "HTTP/1.1 999 High\r\nx-signed: s\r\nContent-Length: 0\r\n\r\n",
        ] {
            let (booking, lookup) = statuses_behind_false_vm(bytes).await;
            assert_eq!(booking, 502, "{bytes:?}: it may have run");
            assert!([200, 502].contains(&lookup), "{bytes:?}: {lookup}");
        }
    });
}
